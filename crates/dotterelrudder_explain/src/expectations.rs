//! Compares the times to first token that entries predicted with the times that they measured.

use std::collections::BTreeMap;
use std::fmt;

use hdrhistogram::Histogram;

use crate::event::REQUEST_MESSAGE;
use crate::Event;

/// Upper bounds of the rows, by predicted time to first token, in milliseconds; the last row is
/// unbounded.
const ROW_UPPER_BOUNDS_MS: [u64; 8] = [25, 50, 100, 200, 300, 500, 1_000, u64::MAX];
/// The upper bound of the histograms, in milliseconds; longer times count as this one. No route
/// waits longer.
const MAX_RECORDED_MS: u64 = 60_000;
/// The quantiles that are printed for each row, from 0 to 1.
const QUANTILES: [f64; 4] = [0.1, 0.5, 0.9, 0.99];

/// Histograms of measured times to first token, by service and predicted time, from the `request`
/// lines of entries.
#[derive(Debug, Default)]
pub struct Expectations {
    services: BTreeMap<String, [Option<Histogram<u64>>; ROW_UPPER_BOUNDS_MS.len()]>,
}

impl Expectations {
    /// Reads the lines of all entries; skips lines without a predicted and measured first token.
    pub fn read<I, S>(lines: I) -> Self
    where
        I: IntoIterator<Item = S>,
        S: AsRef<str>,
    {
        let mut found = Self::default();
        let events = lines.into_iter().filter_map(|l| Event::read(l.as_ref()));
        for event in events.filter(|e| e.message == REQUEST_MESSAGE) {
            for attempt in event.text("attempts").split("; ") {
                let began = number_between(attempt, ": began after ", " ms");
                let expected = number_between(attempt, " expected ", " ms");
                if let (Some(expected), Some(measured)) = (expected, began) {
                    found.add(event.text("service"), expected, measured);
                }
            }
        }
        found
    }

    /// Returns whether no line contained a first token.
    pub fn is_empty(&self) -> bool {
        self.services.is_empty()
    }

    fn add(&mut self, service: &str, expected: u64, measured: u64) {
        let rows = self.services.entry(service.to_owned()).or_default();
        let row_index = ROW_UPPER_BOUNDS_MS.iter().position(|top| expected < *top);
        let row = &mut rows[row_index.unwrap_or(ROW_UPPER_BOUNDS_MS.len() - 1)];
        let row = row.get_or_insert_with(|| {
            Histogram::new_with_bounds(1, MAX_RECORDED_MS, 3).expect("the bounds are in order")
        });
        row.saturating_record(measured);
    }
}

impl fmt::Display for Expectations {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (service, rows) in &self.services {
            writeln!(f, "service {service}, ms to the first token")?;
            writeln!(f, "      expected    count   seen 10%    50%    90%    99%")?;
            let mut from = 0;
            for (top, row) in ROW_UPPER_BOUNDS_MS.iter().zip(rows) {
                if let Some(row) = row {
                    let range = match *top {
                        u64::MAX => format!("{from} and more"),
                        top => format!("{from} to {top}"),
                    };
                    write!(f, "{range:>14} {:>8}   ", row.len())?;
                    for quantile in QUANTILES {
                        write!(f, " {:>6}", row.value_at_quantile(quantile))?;
                    }
                    writeln!(f)?;
                }
                from = *top;
            }
        }
        Ok(())
    }
}

/// Returns the number between the first `before` in the text and the `after` that follows it.
fn number_between(text: &str, before: &str, after: &str) -> Option<u64> {
    let (_, rest) = text.split_once(before)?;
    let (number, _) = rest.split_once(after)?;
    number.parse().ok()
}
