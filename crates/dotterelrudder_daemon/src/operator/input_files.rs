//! Reads the files named on the command line: declarations and logs.

use std::io::Read;
use std::path::Path;

use dotterelrudder_config::SourceFile;

/// Reads the given files, and every `*.toml` file below the given folders in the order of their
/// names.
pub(super) fn read_declarations(paths: &[String]) -> Result<Vec<SourceFile>, String> {
    let mut files = Vec::new();
    for path in paths {
        let before = files.len();
        read_declaration_path(Path::new(path), &mut files)?;
        if files.len() == before {
            return Err(format!("\"{path}\" contains no .toml file"));
        }
    }
    Ok(files)
}

fn read_declaration_path(path: &Path, files: &mut Vec<SourceFile>) -> Result<(), String> {
    let io_error = |e: std::io::Error| format!("{}: {e}", path.display());
    if !path.is_dir() {
        let text = std::fs::read_to_string(path).map_err(io_error)?;
        files.push(SourceFile {
            name: path.display().to_string(),
            text,
        });
        return Ok(());
    }
    let listed: Result<Vec<_>, _> = std::fs::read_dir(path).map_err(io_error)?.collect();
    let mut entries: Vec<_> = listed
        .map_err(io_error)?
        .into_iter()
        .map(|e| e.path())
        .collect();
    entries.sort();
    for entry in entries {
        if entry.is_dir() || entry.extension().is_some_and(|e| e == "toml") {
            read_declaration_path(&entry, files)?;
        }
    }
    Ok(())
}

/// Reads the lines of files, or of standard input if no file is named. Bytes that are not UTF-8 are
/// replaced instead of refused, since a log may be cut off anywhere.
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
