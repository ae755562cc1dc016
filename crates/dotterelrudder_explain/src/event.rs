//! Parses one JSON log line into an event.

use std::time::Duration;

use serde_json::Map;
use serde_json::Value;
use time::format_description::well_known::Rfc3339;
use time::OffsetDateTime;

/// The message of the line that an entry writes at the end of each request.
pub(crate) const REQUEST_MESSAGE: &str = "request";

/// Fields that every line has; they are left out of the details of an event.
const COMMON_FIELDS: &[&str] = &["msg", "level", "ts", "instance", "role"];

/// A parsed log line.
#[derive(Debug, Clone)]
pub struct Event {
    /// The time at which the line was written, since the Unix epoch, by the clock of its process.
    pub at: Duration,
    /// The instance that wrote the line.
    pub instance: String,
    /// The role of that instance; empty if the line has none.
    pub role: String,
    /// The log message (`msg`), which names the kind of event.
    pub message: String,
    fields: Map<String, Value>,
}

impl Event {
    /// Parses a line; returns none if it is truncated or was written by another program.
    ///
    /// Skips text before the JSON object, since log collectors prepend times and instance names.
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

    /// Returns a text field; empty if it is missing or not text.
    pub fn text(&self, name: &str) -> &str {
        self.fields.get(name).and_then(Value::as_str).unwrap_or("")
    }

    /// Returns an integer field; none if it is missing, negative or not an integer.
    pub fn number(&self, name: &str) -> Option<u64> {
        self.fields.get(name).and_then(Value::as_u64)
    }

    /// Returns a boolean field; false if it is missing or not a boolean.
    pub fn is_set(&self, name: &str) -> bool {
        self.fields.get(name).and_then(Value::as_bool) == Some(true)
    }

    /// Returns the fields as `name=value`, sorted by name, without the common fields, the fields
    /// named in `without` and fields with an empty text.
    pub fn details(&self, without: &[&str]) -> Vec<String> {
        let mut details: Vec<String> = self
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
        details.sort_unstable();
        details
    }
}
