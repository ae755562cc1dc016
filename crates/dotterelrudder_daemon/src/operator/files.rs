//! Finds and reads declaration files.

use std::path::Path;

use dotterelrudder_config::SourceFile;

/// Reads every `*.toml` file below the given folders, in the order of their names.
pub(super) fn read(places: &[String]) -> Result<Vec<SourceFile>, String> {
    let mut files = Vec::new();
    for place in places {
        let before = files.len();
        read_place(Path::new(place), &mut files)?;
        if files.len() == before {
            return Err(format!("\"{place}\" holds no .toml file"));
        }
    }
    Ok(files)
}

fn read_place(path: &Path, files: &mut Vec<SourceFile>) -> Result<(), String> {
    let refused = |e: std::io::Error| format!("{}: {e}", path.display());
    if !path.is_dir() {
        let text = std::fs::read_to_string(path).map_err(refused)?;
        files.push(SourceFile {
            name: path.display().to_string(),
            text,
        });
        return Ok(());
    }
    let listed: Result<Vec<_>, _> = std::fs::read_dir(path).map_err(refused)?.collect();
    let mut entries: Vec<_> = listed
        .map_err(refused)?
        .into_iter()
        .map(|e| e.path())
        .collect();
    entries.sort();
    for entry in entries {
        if entry.is_dir() || entry.extension().is_some_and(|e| e == "toml") {
            read_place(&entry, files)?;
        }
    }
    Ok(())
}
