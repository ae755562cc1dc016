//! One line of a log.

use std::time::Duration;

use serde_json::Map;
use serde_json::Value;
use time::format_description::well_known::Rfc3339;
use time::OffsetDateTime;

/// The line that an entry writes for each request.
pub(crate) const REQUEST: &str = "request";

/// Fields that every line has; they aren't told again among a line's own fields.
const COMMON_FIELDS: &[&str] = &["msg", "level", "ts", "instance", "role"];

/// A line that could be read.
#[derive(Debug, Clone)]
pub struct Event {
    /// When it was written, by its process's own clock, since the Unix epoch.
    pub at: Duration,
    /// The instance that wrote it.
    pub instance: String,
    /// That instance's role.
    pub role: String,
    /// What happened.
    pub message: String,
    fields: Map<String, Value>,
}

impl Event {
    /// Reads a line; none when it is no whole line of ours. What stands before the JSON object,
    /// as collectors of logs write it, is passed over.
    pub fn read(line: &str) -> Option<Self> {
        let begin = line.find('{')?;
        let value = serde_json::from_str(line[begin..].trim_end()).ok()?;
        let Value::Object(fields) = value else {
            return None;
        };
        let text = |name: &str| fields.get(name).and_then(Value::as_str);
        let at = OffsetDateTime::parse(text("ts")?, &Rfc3339).ok()?;
        let at = Duration::try_from(at - OffsetDateTime::UNIX_EPOCH).ok()?;
        Some(Self {
            at,
            instance: text("instance")?.to_owned(),
            role: text("role").unwrap_or("").to_owned(),
            message: text("msg")?.to_owned(),
            fields,
        })
    }

    /// Returns a field's text; empty when the line doesn't have it.
    pub fn text(&self, name: &str) -> &str {
        self.fields.get(name).and_then(Value::as_str).unwrap_or("")
    }

    /// Returns a field's number; none when the line doesn't have it or it is negative.
    pub fn number(&self, name: &str) -> Option<u64> {
        self.fields.get(name).and_then(Value::as_u64)
    }

    /// Returns a field that is true or false; false when the line doesn't have it.
    pub fn is_set(&self, name: &str) -> bool {
        self.fields.get(name).and_then(Value::as_bool) == Some(true)
    }

    /// Returns the line's own fields as text, by name, without those named.
    pub fn details(&self, without: &[&str]) -> Vec<String> {
        let mut told: Vec<String> = self
            .fields
            .iter()
            .filter(|(name, _)| !COMMON_FIELDS.contains(&name.as_str()))
            .filter(|(name, _)| !without.contains(&name.as_str()))
            .filter(|(_, value)| value.as_str() != Some(""))
            .map(|(name, value)| match value {
                Value::String(text) => format!("{name}={text}"),
                other => format!("{name}={other}"),
            })
            .collect();
        told.sort_unstable();
        told
    }
}
