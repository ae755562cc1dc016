//! A buffer whose memory is counted until the last reference to it is dropped.

use bytes::Bytes;

use super::ByteLease;

/// A complete body with the lease that counts its memory.
#[derive(Debug)]
pub struct HeldBytes {
    bytes: Vec<u8>,
    /// Releases the memory's count behind the memory itself.
    _lease: ByteLease,
}

impl HeldBytes {
    /// Returns a body that holds the lease until its memory is released.
    pub fn share(bytes: Vec<u8>, lease: ByteLease) -> Bytes {
        if bytes.is_empty() {
            return Bytes::new();
        }
        Bytes::from_owner(Self {
            bytes,
            _lease: lease,
        })
    }
}

impl AsRef<[u8]> for HeldBytes {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}
