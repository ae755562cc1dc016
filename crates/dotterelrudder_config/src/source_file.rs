//! The name and text of a declaration file.

/// The name and text of one declaration file, which the caller has read from disk.
#[derive(Debug, Clone)]
pub struct SourceFile {
    /// The name that faults show.
    pub name: String,
    /// The content of the file, expected to be TOML.
    pub text: String,
}

impl SourceFile {
    /// Returns the line of a byte offset, counted from 1.
    pub(crate) fn line_of(&self, offset: usize) -> usize {
        let end = offset.min(self.text.len());
        self.text.as_bytes()[..end]
            .iter()
            .filter(|b| **b == b'\n')
            .count()
            + 1
    }
}
