//! Finds and reads files that operators name.

use std::io::Read;
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

/// Reads the lines of files, or of standard input when none is named. Bytes that are no text don't
/// end the reading, since a log may be cut anywhere.
pub(super) fn read_lines(paths: &[String]) -> Result<Vec<String>, String> {
    let mut bytes = Vec::new();
    if paths.is_empty() {
        let read = std::io::stdin().lock().read_to_end(&mut bytes);
        read.map_err(|e| format!("standard input: {e}"))?;
    }
    for path in paths {
        let file = std::fs::read(path).map_err(|e| format!("{path}: {e}"))?;
        bytes.extend(file);
        bytes.push(b'\n');
    }
    let text = String::from_utf8_lossy(&bytes);
    Ok(text.lines().map(str::to_owned).collect())
}
