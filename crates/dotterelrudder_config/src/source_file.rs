//! A declaration file that was read.

/// The name and text of one declaration file; reading it is the caller's business.
#[derive(Debug, Clone)]
pub struct SourceFile {
    /// The name to show in faults.
    pub name: String,
    /// The file's text.
    pub text: String,
}

impl SourceFile {
    /// Returns the line, counted from 1, of a byte offset.
    pub(crate) fn line_of(&self, offset: usize) -> usize {
        let end = offset.min(self.text.len());
        self.text.as_bytes()[..end]
            .iter()
            .filter(|b| **b == b'\n')
            .count()
            + 1
    }
}
