//! The on-disk journal of a Raft replica: its record format, and its recovery after a crash.
//!
//! Each record is a length, a CRC-32 and a bincode body. docs/design/disk-identity.md describes how
//! recovery distinguishes a torn tail, which was never synced, from damage to synced records.

mod damage;
mod record;
mod recovered;

pub use damage::Damage;
pub use record::Record;
pub use recovered::Recovered;

/// The length of the body and its CRC-32, each as four bytes in little-endian order.
const HEADER_BYTES: usize = 8;

/// Reads a journal up to its end or to the first damage, which [`Recovered::damage`] reports.
pub fn read_journal(bytes: &[u8]) -> Recovered {
    let mut found = Recovered::default();
    let mut at = 0;
    while at < bytes.len() {
        let offset = at as u64;
        let Some(header) = bytes.get(at..at + HEADER_BYTES) else {
            found.damage = Some(Damage::TornTail { offset });
            break;
        };
        if bytes[at..].iter().all(|b| *b == 0) {
            found.damage = Some(Damage::TornTail { offset });
            break;
        }
        let length = u32::from_le_bytes([header[0], header[1], header[2], header[3]]) as usize;
        let crc = u32::from_le_bytes([header[4], header[5], header[6], header[7]]);
        let Some(body) = bytes.get(at + HEADER_BYTES..at + HEADER_BYTES + length) else {
            found.damage = Some(classify_short_record(bytes, at));
            break;
        };
        let record = decode(body, crc);
        let Some(record) = record else {
            found.damage = Some(Damage::Corrupt { offset });
            break;
        };
        found.apply(record);
        at += HEADER_BYTES + length;
        found.valid_bytes = at as u64;
    }
    found
}

/// Decodes the body of a record; `None` if its checksum or its encoding is wrong.
fn decode(body: &[u8], crc: u32) -> Option<Record> {
    if crc32fast::hash(body) != crc {
        return None;
    }
    let decoded = bincode::serde::decode_from_slice(body, bincode::config::standard());
    decoded.ok().map(|(record, _)| record)
}

/// Classifies a record at offset `at` whose length exceeds the rest of the file. If a complete
/// record follows at any later offset, the record was synced and its length field is corrupt;
/// otherwise the record is a torn tail.
fn classify_short_record(bytes: &[u8], at: usize) -> Damage {
    let offset = at as u64;
    let whole_record_follows = (at + 1..bytes.len()).any(|start| {
        let Some(header) = bytes.get(start..start + HEADER_BYTES) else {
            return false;
        };
        let length = u32::from_le_bytes([header[0], header[1], header[2], header[3]]) as usize;
        let crc = u32::from_le_bytes([header[4], header[5], header[6], header[7]]);
        let body = bytes.get(start + HEADER_BYTES..start + HEADER_BYTES + length);
        length > 0 && body.is_some_and(|body| decode(body, crc).is_some())
    });
    if whole_record_follows {
        Damage::Corrupt { offset }
    } else {
        Damage::TornTail { offset }
    }
}
