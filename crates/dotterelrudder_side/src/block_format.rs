//! Binary format of a KV cache block in a slot of a store.
//!
//! The header holds the key, generation, tier and length of the block and a checksum over these and
//! the payload, so that a slot that was partly written, freed, reused or damaged is never read as
//! the block.

use bytes::BufMut;
use bytes::Bytes;
use bytes::BytesMut;
use dotterelrudder_types::BlockKey;
use dotterelrudder_types::Tier;

const MAGIC: &[u8; 8] = b"dr-block";
/// Length of the truncated BLAKE3 checksum.
const CHECKSUM_BYTES: usize = 16;
/// Length of the header in bytes: magic, key, generation, tier, payload length, checksum.
pub const BLOCK_HEADER_BYTES: usize = 8 + 16 + 8 + 1 + 4 + CHECKSUM_BYTES;

/// Returns the checksum over the header, without its checksum field, and the payload.
fn checksum(head: &[u8], payload: &[u8]) -> [u8; CHECKSUM_BYTES] {
    let mut hasher = blake3::Hasher::new();
    hasher.update(head);
    hasher.update(payload);
    let mut sum = [0; CHECKSUM_BYTES];
    sum.copy_from_slice(&hasher.finalize().as_bytes()[..CHECKSUM_BYTES]);
    sum
}

/// Encodes a block to the bytes of a slot.
pub fn encode_block(key: BlockKey, generation: u64, tier: Tier, payload: &[u8]) -> Bytes {
    let mut buf = BytesMut::with_capacity(BLOCK_HEADER_BYTES + payload.len());
    buf.put_slice(MAGIC);
    buf.put_slice(&key.0);
    buf.put_u64_le(generation);
    buf.put_u8(u8::from(tier == Tier::Trial));
    buf.put_u32_le(payload.len() as u32);
    let sum = checksum(&buf, payload);
    buf.put_slice(&sum);
    buf.put_slice(payload);
    buf.freeze()
}

/// Decodes the bytes of a slot to key, generation, tier and payload. Returns `None` if they are
/// truncated or do not match the checksum.
pub fn decode_block(data: &Bytes) -> Option<(BlockKey, u64, Tier, Bytes)> {
    let head_bytes = BLOCK_HEADER_BYTES - CHECKSUM_BYTES;
    let head = data.get(..head_bytes)?;
    if !head.starts_with(MAGIC) {
        return None;
    }
    let key = BlockKey(head[8..24].try_into().ok()?);
    let generation = u64::from_le_bytes(head[24..32].try_into().ok()?);
    let tier = if head[32] == 0 {
        Tier::Paying
    } else {
        Tier::Trial
    };
    let length = u32::from_le_bytes(head[33..37].try_into().ok()?) as usize;
    let sum = data.get(head_bytes..BLOCK_HEADER_BYTES)?;
    let payload = data.get(BLOCK_HEADER_BYTES..BLOCK_HEADER_BYTES + length)?;
    if checksum(head, payload) != sum {
        return None;
    }
    let payload = data.slice(BLOCK_HEADER_BYTES..BLOCK_HEADER_BYTES + length);
    Some((key, generation, tier, payload))
}
