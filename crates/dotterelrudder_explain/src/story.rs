//! Selects the log lines that explain one request and prints them in order of time.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::fmt;
use std::time::Duration;

use crate::event::REQUEST_MESSAGE;
use crate::Event;

/// Messages of lines that report a change in the state of a process. The newest line of each
/// message before a request shows the state at its start and is part of its story.
const STATE_MESSAGES: &[&str] = &[
    "started",
    "stopping",
    "readiness",
    "seeds changed",
    "configuration in force",
    "backend servers listed",
    "evacuated data centres changed",
    "following the leading control instance",
    "leading control instance doesn't answer",
];
/// The message of the line in which a control instance reports whether it is the leader.
const REPLICATION_STATUS_MESSAGE: &str = "standing in the log";
/// Fields of a request's line that describe how it was delayed or refused while capacity was short.
const SHORTAGE_FIELDS: &[&str] = &[
    "admission",
    "priority",
    "account",
    "work",
    "expected_wait_ms",
    "ahead",
    "waited_ms",
    "wait_limit_ms",
    "retry_after_ms",
];
/// How long after the end of a request lines about its runners are still included: a side detects
/// an unresponsive runner after about a second, and the clocks of processes differ.
const RUNNER_EVENT_DELAY: Duration = Duration::from_secs(3);

/// The events of one request and their context, in order of time.
#[derive(Debug)]
pub struct Story {
    id: String,
    /// Lines of the request and of its context, in order of time.
    events: Vec<Event>,
    /// The earliest start of the request by any of its lines, since the Unix epoch.
    began: Duration,
    /// The number of lines that belong to the request itself.
    own: usize,
    /// The number of lines read, without blank ones.
    lines: usize,
    /// The number of lines that could not be parsed.
    unparsed: usize,
}

impl Story {
    /// Reads the lines of all processes and selects those that explain the request `id`.
    pub fn read<I, S>(id: &str, lines: I) -> Self
    where
        I: IntoIterator<Item = S>,
        S: AsRef<str>,
    {
        let (mut read, mut count, mut unparsed) = (Vec::new(), 0, 0);
        for line in lines {
            let line = line.as_ref();
            if line.trim().is_empty() {
                continue;
            }
            count += 1;
            match Event::read(line) {
                Some(event) => read.push(event),
                None => unparsed += 1,
            }
        }
        let named = |e: &&Event| e.text("id") == id && !e.text("attempt").is_empty();
        let attempts: BTreeSet<String> = read
            .iter()
            .filter(named)
            .map(|e| e.text("attempt").to_owned())
            .collect();
        let (mut own, others): (Vec<Event>, Vec<Event>) = read
            .into_iter()
            .partition(|e| e.text("id") == id || attempts.contains(e.text("attempt")));
        own.sort_by_key(|e| e.at);
        let took = |e: &Event| Duration::from_millis(e.number("took_ms").unwrap_or(0));
        let begins = own.iter().map(|e| e.at.saturating_sub(took(e)));
        let began = begins.min().unwrap_or_default();
        let ended = own.iter().map(|e| e.at).max().unwrap_or_default();
        let context = context(&own, others, began, ended);
        let mut story = Self {
            id: id.to_owned(),
            began,
            own: own.len(),
            events: own,
            lines: count,
            unparsed,
        };
        story.events.extend(context);
        story.events.sort_by_key(|e| e.at);
        story
    }

    /// Returns whether no line belongs to the request.
    pub fn is_empty(&self) -> bool {
        self.own == 0
    }
}

/// Returns the context of a request: the state of the processes involved, the leader, and events of
/// the runners to which the request was offered.
fn context(own: &[Event], others: Vec<Event>, began: Duration, ended: Duration) -> Vec<Event> {
    let instances: BTreeSet<&str> = own.iter().map(|e| e.instance.as_str()).collect();
    let attempts = own.iter().flat_map(|e| e.text("attempts").split("; "));
    let runners: BTreeSet<&str> = attempts.filter_map(|a| a.split(' ').nth(1)).collect();
    let mut newest: BTreeMap<(String, String), Event> = BTreeMap::new();
    let mut during = Vec::new();
    for event in others {
        let about_runner = runners.contains(event.text("runner"));
        let of_instance = instances.contains(event.instance.as_str());
        let state_change = of_instance && STATE_MESSAGES.contains(&event.message.as_str());
        let leads = event.message == REPLICATION_STATUS_MESSAGE && event.is_set("leads");
        if own.is_empty() || !(about_runner || state_change || leads) {
            continue;
        }
        let until = if about_runner {
            ended + RUNNER_EVENT_DELAY
        } else {
            ended
        };
        if event.at > until {
            continue;
        }
        if event.at >= began {
            during.push(event);
            continue;
        }
        // Only the newest leader is kept, whichever instance it is.
        let place = if leads { "" } else { event.instance.as_str() };
        let kind = (place.to_owned(), event.message.clone());
        if newest.get(&kind).is_none_or(|known| known.at <= event.at) {
            newest.insert(kind, event);
        }
    }
    during.extend(newest.into_values());
    during
}

impl fmt::Display for Story {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "request {}", self.id)?;
        if self.is_empty() {
            writeln!(f, "no line tells of it")?;
        }
        for event in &self.events {
            let (sign, from) = match event.at.checked_sub(self.began) {
                Some(after) => ('+', after),
                None => ('-', self.began - event.at),
            };
            let place = format!("{} ({})", event.instance, event.role);
            let seconds = from.as_secs_f64();
            writeln!(f, "{sign}{seconds:9.3} s  {place}: {}", event.message)?;
            let attempts = event.text("attempts");
            let mut without = vec!["id", "attempts"];
            let shortage = shortage_note(event);
            if shortage.is_some() {
                without.extend(SHORTAGE_FIELDS);
            }
            let details = event.details(&without);
            if !details.is_empty() {
                writeln!(f, "              {}", details.join(", "))?;
            }
            if let Some(note) = shortage {
                writeln!(f, "              {note}")?;
            }
            for attempt in attempts.split("; ").filter(|a| !a.is_empty()) {
                writeln!(f, "              offered to {attempt}")?;
            }
        }
        self.write_count(f)
    }
}

/// Describes how a request was delayed or refused while capacity was short, if it was.
fn shortage_note(event: &Event) -> Option<String> {
    let admission = event.text("admission");
    if admission.is_empty() {
        return None;
    }
    let ms = |name| event.number(name).unwrap_or(0);
    let mut note = format!(
        "capacity was short: {admission} after {} ms (expected {} ms behind {} requests, of use for {} \
         ms), priority {}, account \"{}\", work {}",
        ms("waited_ms"),
        ms("expected_wait_ms"),
        ms("ahead"),
        ms("wait_limit_ms"),
        ms("priority"),
        event.text("account"),
        ms("work")
    );
    if let Some(after) = event.number("retry_after_ms") {
        note += &format!(", told to return after {after} ms");
    }
    Some(note)
}

impl Story {
    /// Writes how many lines were read and used, since a story from only some of them is partial.
    fn write_count(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let end_lines = self
            .events
            .iter()
            .filter(|e| e.message == REQUEST_MESSAGE)
            .count();
        writeln!(
            f,
            "{} lines read, {} of them cut or foreign; {} tell of the request, {end_lines} of these \
             its end; times are each process's own",
            self.lines, self.unparsed, self.own
        )
    }
}
