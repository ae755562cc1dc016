//! Schema of declaration files: the keys of each table, their allowed values, and the check of a
//! table against them.

use toml_edit::Item;
use toml_edit::Table;

use crate::Fault;
use crate::SourceFile;

/// The kind of value that a key accepts.
#[derive(Debug, Clone, Copy)]
pub(crate) enum ValueRule {
    Name,
    Text,
    OneOf(&'static [&'static str]),
    Number { min: i64, max: i64 },
    Weight,
    Flag,
    TextList,
    HashList,
}

impl ValueRule {
    fn allowed(self) -> String {
        match self {
            Self::Name => "a name of 1 to 64 letters, digits, '-', '_' or '.'".into(),
            Self::Text => "text of up to 256 bytes".into(),
            Self::OneOf(values) => values.join(", "),
            Self::Number { min, max } => format!("a whole number from {min} to {max}"),
            Self::Weight => "a number from 0 to 1000".into(),
            Self::Flag => "true or false".into(),
            Self::TextList => "a list of texts".into(),
            Self::HashList => "a list of \"sha256:\" and 64 hexadecimal digits".into(),
        }
    }

    fn accepts(self, item: &Item) -> bool {
        match self {
            Self::Name => item.as_str().is_some_and(is_name),
            Self::Text => item.as_str().is_some_and(|s| s.len() <= 256),
            Self::OneOf(values) => item.as_str().is_some_and(|s| values.contains(&s)),
            Self::Number { min, max } => item.as_integer().is_some_and(|n| n >= min && n <= max),
            Self::Weight => number(item).is_some_and(|n| (0.0..=1000.0).contains(&n)),
            Self::Flag => item.as_bool().is_some(),
            Self::TextList => texts(item).is_some(),
            Self::HashList => texts(item).is_some_and(|list| {
                list.iter()
                    .all(|t| dotterelrudder_types::AccountKeyHash::parse(t).is_some())
            }),
        }
    }
}

fn is_name(text: &str) -> bool {
    let plain = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.');
    !text.is_empty() && text.len() <= 64 && text.chars().all(plain)
}

/// Returns the value of an integer or a floating-point number.
pub(crate) fn number(item: &Item) -> Option<f64> {
    item.as_float()
        .or_else(|| item.as_integer().map(|n| n as f64))
}

/// Returns the strings of an array; none if the item is not an array of strings only.
pub(crate) fn texts(item: &Item) -> Option<Vec<&str>> {
    item.as_array()?.iter().map(|v| v.as_str()).collect()
}

/// One key of a table, the values that it accepts, and whether it is required.
#[derive(Debug)]
pub(crate) struct KeyRule {
    pub(crate) key: &'static str,
    pub(crate) rule: ValueRule,
    pub(crate) required: bool,
}

const fn key(key: &'static str, rule: ValueRule, required: bool) -> KeyRule {
    KeyRule {
        key,
        rule,
        required,
    }
}

/// The largest request rate that a client account can declare, in requests per second.
const MAX_REQUESTS_PER_SECOND: i64 = 1_000_000;

/// The keys of a `[service]` table.
pub(crate) const SERVICE_KEYS: &[KeyRule] = &[
    key("name", ValueRule::Name, true),
    key("kind", ValueRule::OneOf(&["model", "plain", "store"]), true),
    key("model", ValueRule::Name, false),
    key("weight_version", ValueRule::Name, false),
    key("engine_fencing", ValueRule::Flag, false),
    key("path_prefix", ValueRule::Text, false),
    key("not_repeatable", ValueRule::TextList, false),
    key("first_token_weight", ValueRule::Weight, false),
    key("recompute_weight", ValueRule::Weight, false),
    key("link_weight", ValueRule::Weight, false),
    key("stores", ValueRule::TextList, false),
    key(
        "queue_limit",
        ValueRule::Number {
            min: 1,
            max: 100_000,
        },
        false,
    ),
    key(
        "trial_store_percent",
        ValueRule::Number { min: 0, max: 100 },
        false,
    ),
    key("island", ValueRule::OneOf(&["serve", "refuse"]), false),
];

/// The keys of a `[[client_account]]` table.
pub(crate) const ACCOUNT_KEYS: &[KeyRule] = &[
    key("name", ValueRule::Name, true),
    key("tier", ValueRule::OneOf(&["paying", "trial"]), true),
    key("key_hashes", ValueRule::HashList, true),
    key(
        "requests_per_second",
        ValueRule::Number {
            min: 1,
            max: MAX_REQUESTS_PER_SECOND,
        },
        true,
    ),
    key("services", ValueRule::TextList, true),
];

/// The top-level tables of a declaration file.
pub(crate) const TOP_KEYS: &[&str] = &["service", "client_account"];

/// Finds the known key with the smallest edit distance to an unknown one, to suggest it.
pub(crate) fn nearest<'a, I>(unknown: &str, known: I) -> &'a str
where
    I: Iterator<Item = &'a str>,
{
    known
        .min_by_key(|k| strsim::damerau_levenshtein(k, unknown))
        .unwrap_or("")
}

/// Checks a table against its schema and adds every fault found to `faults`.
pub(crate) fn check_table(
    file: &SourceFile,
    table_name: &str,
    table: &Table,
    rules: &[KeyRule],
    faults: &mut Vec<Fault>,
) {
    let table_line = table.span().map_or(0, |span| file.line_of(span.start));
    for (name, item) in table.iter() {
        let line = table
            .get_key_value(name)
            .and_then(|(k, _)| k.span())
            .map_or(table_line, |span| file.line_of(span.start));
        let mut fault = |what: String, allowed: String| {
            let (file, key) = (file.name.clone(), format!("{table_name}.{name}"));
            faults.push(Fault {
                file,
                line,
                key,
                what,
                allowed,
            });
        };
        match rules.iter().find(|r| r.key == name) {
            None => {
                let near = nearest(name, rules.iter().map(|r| r.key));
                let all: Vec<_> = rules.iter().map(|r| r.key).collect();
                fault(
                    format!("is unknown, did you mean \"{near}\"?"),
                    all.join(", "),
                );
            }
            Some(rule) if !rule.rule.accepts(item) => {
                let value = item.to_string().trim().chars().take(80).collect::<String>();
                fault(format!("can't be {value}"), rule.rule.allowed());
            }
            Some(_) => {}
        }
    }
    for rule in rules
        .iter()
        .filter(|r| r.required && !table.contains_key(r.key))
    {
        faults.push(Fault {
            file: file.name.clone(),
            line: table_line,
            key: format!("{table_name}.{}", rule.key),
            what: "is missing".into(),
            allowed: rule.rule.allowed(),
        });
    }
}
