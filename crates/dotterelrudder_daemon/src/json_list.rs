//! Splits a JSON list into the bytes of its entries, so that one odd entry costs itself alone.
//!
//! A parser that reads a whole document fails at the first value that it can't represent: a number
//! out of range, a value that is nested too deeply, text that is no UTF-8. The scanner here follows
//! only strings and brackets, without recursion; each entry is then parsed by itself.

use std::hash::DefaultHasher;
use std::hash::Hash;
use std::hash::Hasher;

/// Largest entry that is parsed, in bytes.
pub const MAX_ENTRY_BYTES: usize = 16 * 1024;
/// Largest number of entries of one list.
const MAX_ENTRIES: usize = 10_000;
/// Largest number of unreadable entries of one list that are described.
const MAX_DESCRIBED: usize = 64;
/// Largest number of positions at which reading resumes behind an entry that doesn't end.
const MAX_RESUME_ATTEMPTS: usize = 200;
/// Largest part of a document behind its list, in bytes.
const MAX_DOCUMENT_END_BYTES: usize = 64 * 1024;
/// Length of the beginning of an unreadable entry that its description shows, in bytes.
const EXCERPT_BYTES: usize = 120;

/// An entry of a list that could not be read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UnreadableEntry {
    /// Hash of the entry, by which it is recognized when the list is read again.
    pub digest: u64,
    /// The beginning of the entry, as printable text.
    pub excerpt: String,
    /// Why it could not be read.
    pub reason: String,
}

impl UnreadableEntry {
    /// Describes an entry.
    pub fn new<S>(entry: &[u8], reason: S) -> Self
    where
        S: Into<String>,
    {
        let mut hasher = DefaultHasher::new();
        entry.hash(&mut hasher);
        let excerpt = &entry[..entry.len().min(EXCERPT_BYTES)];
        Self {
            digest: hasher.finish(),
            excerpt: excerpt.escape_ascii().to_string(),
            reason: reason.into(),
        }
    }
}

/// What was found out about a list besides its readable entries.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ListOutcome {
    /// Position behind the list; `None` if the list doesn't end.
    pub end: Option<usize>,
    /// Number of unreadable entries.
    pub unreadable: usize,
    /// The first unreadable entries.
    pub described: Vec<UnreadableEntry>,
}

impl ListOutcome {
    fn add_unreadable(&mut self, entry: &[u8], reason: String) {
        self.unreadable += 1;
        if self.described.len() < MAX_DESCRIBED {
            self.described.push(UnreadableEntry::new(entry, reason));
        }
    }
}

/// Returns the position of the first byte from `at` on that is no white space.
pub fn skip_space(text: &[u8], at: usize) -> usize {
    let rest = text.get(at..).unwrap_or_default();
    let space = rest.iter().take_while(|b| b.is_ascii_whitespace());
    at + space.count()
}

/// Returns the position behind the string whose opening quote is at `start`.
fn string_end(text: &[u8], start: usize) -> Option<usize> {
    let mut at = start + 1;
    loop {
        match text.get(at)? {
            b'"' => return Some(at + 1),
            b'\\' => at += 2,
            _ => at += 1,
        }
    }
}

/// Returns the position behind the value that begins at `start`; `None` if it doesn't end, or its
/// brackets don't match. Whether the value is valid is left to its parser.
pub fn value_end(text: &[u8], start: usize) -> Option<usize> {
    let mut depth = 0_u32;
    // One bit for each of the outer levels, set for objects.
    let mut objects = 0_u128;
    let mut at = start;
    loop {
        let byte = *text.get(at)?;
        let level = 1_u128.checked_shl(depth).unwrap_or(0);
        match byte {
            b'"' => at = string_end(text, at)?,
            b'{' | b'[' => {
                objects = (objects & !level) | if byte == b'{' { level } else { 0 };
                depth += 1;
                at += 1;
            }
            b'}' | b']' => {
                depth = depth.checked_sub(1)?;
                let opened = 1_u128.checked_shl(depth).unwrap_or(0);
                if opened != 0 && (objects & opened != 0) != (byte == b'}') {
                    return None;
                }
                at += 1;
            }
            _ if depth > 0 => {
                at += 1;
                continue;
            }
            b',' | b':' => return None,
            _ => {
                let is_end = |b: &u8| b.is_ascii_whitespace() || b",]}".contains(b);
                return text[at..].iter().position(is_end).map(|n| at + n);
            }
        }
        if depth == 0 {
            return Some(at);
        }
    }
}

/// Reads the members of an object from `at` on, which is behind its opening bracket or behind a
/// member's comma. Returns the position behind the object.
fn read_members<F>(text: &[u8], mut at: usize, mut on_member: F) -> Option<usize>
where
    F: FnMut(&[u8], usize) -> Option<usize>,
{
    at = skip_space(text, at);
    while *text.get(at)? != b'}' {
        if text[at] != b'"' {
            return None;
        }
        let name_end = string_end(text, at)?;
        let colon = skip_space(text, name_end);
        if *text.get(colon)? != b':' {
            return None;
        }
        let name = &text[at + 1..name_end - 1];
        at = skip_space(text, on_member(name, skip_space(text, colon + 1))?);
        match text.get(at)? {
            b',' => at = skip_space(text, at + 1),
            b'}' => {}
            _ => return None,
        }
    }
    Some(at + 1)
}

/// Calls `on_member` for each member of the object that `text` holds, with its raw name and the
/// position of its value; it returns the position behind the value, or `None` to end the reading.
///
/// # Errors
///
/// Returns a description of the fault if `text` is not exactly one object.
pub fn for_each_member<F>(text: &[u8], on_member: F) -> Result<(), String>
where
    F: FnMut(&[u8], usize) -> Option<usize>,
{
    let begin = skip_space(text, 0);
    if text.get(begin) != Some(&b'{') {
        return Err("the document is no JSON object".into());
    }
    match read_members(text, begin + 1, on_member) {
        Some(end) if skip_space(text, end) == text.len() => Ok(()),
        _ => Err("the document breaks off or is not valid".into()),
    }
}

/// Returns whether the document ends properly behind one of its members, or behind a list that is
/// all of it.
fn is_document_end(text: &[u8], at: usize) -> bool {
    let at = skip_space(text, at);
    if text.len() - at.min(text.len()) > MAX_DOCUMENT_END_BYTES {
        return false;
    }
    let end = match text.get(at) {
        Some(b',') => read_members(text, at + 1, |_, value| value_end(text, value)),
        Some(b'}') => Some(at + 1),
        // The document is the list itself.
        None => Some(at),
        _ => None,
    };
    end.is_some_and(|end| skip_space(text, end) == text.len())
}

/// Calls `read` with the bytes of each entry of a list, which begins at `start` and is a member of
/// the document or all of it; `read` returns why an entry cannot be read. Behind an entry that
/// doesn't end, or that seems to end the list, reading resumes at the next object that can be read.
pub fn for_each_entry<F>(text: &[u8], start: usize, mut read: F) -> ListOutcome
where
    F: FnMut(&[u8]) -> Result<(), String>,
{
    let mut outcome = ListOutcome::default();
    if text.get(start) != Some(&b'[') {
        return outcome;
    }
    let mut at = skip_space(text, start + 1);
    if text.get(at) == Some(&b']') {
        outcome.end = Some(at + 1);
        return outcome;
    }
    let mut attempts = MAX_RESUME_ATTEMPTS;
    for _ in 0..MAX_ENTRIES {
        let end = value_end(text, at);
        let next = end.map(|end| skip_space(text, end));
        let next = next.filter(|next| match text.get(*next) {
            Some(b',') => true,
            Some(b']') => is_document_end(text, next + 1),
            _ => false,
        });
        let behind = match (end, next) {
            (Some(end), Some(next)) => {
                let entry = &text[at..end];
                if let Err(reason) = read_bounded(entry, &mut read) {
                    outcome.add_unreadable(entry, reason);
                }
                next
            }
            _ => {
                // A sound entry may be followed by bytes that belong to none.
                let whole = end.filter(|end| read_bounded(&text[at..*end], &mut read).is_ok());
                let begin = whole.unwrap_or(at);
                let resumed = resume_behind(text, begin, &mut attempts, &mut read);
                let resumed_at = resumed.map_or(text.len(), |(begin, _)| begin);
                outcome.add_unreadable(&text[begin..resumed_at], "the entry doesn't end".into());
                match resumed {
                    Some((_, end)) => skip_space(text, end),
                    None => return outcome,
                }
            }
        };
        match text.get(behind) {
            Some(b']') if is_document_end(text, behind + 1) => {
                outcome.end = Some(behind + 1);
                return outcome;
            }
            Some(b',') => at = skip_space(text, behind + 1),
            _ => at = behind,
        }
    }
    outcome
}

fn read_bounded<F>(entry: &[u8], read: &mut F) -> Result<(), String>
where
    F: FnMut(&[u8]) -> Result<(), String>,
{
    if entry.len() > MAX_ENTRY_BYTES {
        return Err(format!("the entry has more than {MAX_ENTRY_BYTES} bytes"));
    }
    read(entry)
}

/// Reads the next object behind a comma that can be read, from `start` on. Returns its begin and
/// end.
fn resume_behind<F>(
    text: &[u8],
    start: usize,
    attempts: &mut usize,
    read: &mut F,
) -> Option<(usize, usize)>
where
    F: FnMut(&[u8]) -> Result<(), String>,
{
    let mut at = start;
    while *attempts > 0 {
        at += text.get(at..)?.iter().position(|b| *b == b',')? + 1;
        let begin = skip_space(text, at);
        if text.get(begin) != Some(&b'{') {
            continue;
        }
        *attempts -= 1;
        let bounded = &text[..text.len().min(begin + MAX_ENTRY_BYTES)];
        let end = value_end(bounded, begin);
        if let Some(end) = end.filter(|end| read(&text[begin..*end]).is_ok()) {
            return Some((begin, end));
        }
    }
    None
}
