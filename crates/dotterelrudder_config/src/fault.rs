//! A fault in a declaration file, with its location and the allowed values.

use serde::Serialize;

/// One fault in a declaration file, with what an operator needs to correct it.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize)]
pub struct Fault {
    /// The file's name as it was given.
    pub file: String,
    /// The line, counted from 1; 0 when the fault belongs to the whole file.
    pub line: usize,
    /// The key, or the table's name.
    pub key: String,
    /// What is wrong, as a clause whose subject is the key.
    pub what: String,
    /// The allowed values or keys.
    pub allowed: String,
}

impl std::fmt::Display for Fault {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let Self {
            file,
            line,
            key,
            what,
            allowed,
        } = self;
        write!(f, "{file}:{line}: key \"{key}\" {what}; allowed: {allowed}")
    }
}
