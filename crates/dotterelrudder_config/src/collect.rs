//! Parses declaration files, checks them together and collects them into one configuration.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use compact_str::CompactString;
use dotterelrudder_types::AccountKeyHash;
use dotterelrudder_types::ClientAccount;
use dotterelrudder_types::ServiceName;
use dotterelrudder_types::Tier;
use toml_edit::Document;
use toml_edit::Item;
use toml_edit::Table;

use crate::schema;
use crate::AccountDeclaration;
use crate::Configuration;
use crate::Fault;
use crate::Objective;
use crate::PartitionPolicy;
use crate::ServiceDeclaration;
use crate::ServiceKind;
use crate::SourceFile;

/// Default of `queue_limit`: requests that may wait at one backend server of a service.
const DEFAULT_QUEUE_LIMIT: u32 = 256;
/// Default of `trial_store_percent`: percent of a store that blocks of trial accounts may fill.
const DEFAULT_TRIAL_STORE_PERCENT: u8 = 20;

/// Parses all files and checks them together.
///
/// # Errors
///
/// Returns every fault of every file, sorted, if there is at least one.
pub fn collect(files: &[SourceFile]) -> Result<Configuration, Vec<Fault>> {
    collect_onto(files, &Configuration::default())
}

/// Parses and checks files that may refer to services of the configuration in force.
///
/// Only the service names of `in_force` are used; its declarations are not part of the result.
///
/// # Errors
///
/// Returns every fault of every file, sorted.
pub fn collect_onto(
    files: &[SourceFile],
    in_force: &Configuration,
) -> Result<Configuration, Vec<Fault>> {
    let in_force = in_force.services.keys().cloned().collect();
    let mut collector = Collector {
        in_force,
        ..Collector::default()
    };
    for file in files {
        collector.read(file);
    }
    collector.check_references();
    if collector.faults.is_empty() {
        return Ok(collector.cfg);
    }
    collector.faults.sort();
    Err(collector.faults)
}

/// Collects declarations and faults over all files.
#[derive(Debug, Default)]
struct Collector {
    cfg: Configuration,
    /// Services of the configuration in force; declarations may refer to them.
    in_force: BTreeSet<ServiceName>,
    /// File and line of each declaration, by its kind and name as faults show them.
    declared_at: BTreeMap<String, (String, usize)>,
    faults: Vec<Fault>,
}

impl Collector {
    fn read(&mut self, file: &SourceFile) {
        let doc = match Document::parse(file.text.as_str()) {
            Ok(doc) => doc,
            Err(e) => {
                let line = e.span().map_or(0, |span| file.line_of(span.start));
                let what = format!("isn't TOML: {}", e.message());
                self.fault(&file.name, line, "file", &what, "a TOML document");
                return;
            }
        };
        for (name, item) in doc.iter() {
            match (name, item) {
                ("service", Item::Table(table)) => self.read_service(file, table),
                ("client_account", Item::ArrayOfTables(tables)) => {
                    tables
                        .iter()
                        .for_each(|table| self.read_account(file, table));
                }
                _ => {
                    let line = item.span().map_or(0, |span| file.line_of(span.start));
                    let near = schema::nearest(name, schema::TOP_KEYS.iter().copied());
                    let what = format!("is unknown here, did you mean \"{near}\"?");
                    self.fault(
                        &file.name,
                        line,
                        name,
                        &what,
                        "[service], [[client_account]]",
                    );
                }
            }
        }
    }

    fn fault(&mut self, file: &str, line: usize, key: &str, what: &str, allowed: &str) {
        self.faults.push(Fault {
            file: file.into(),
            line,
            key: key.into(),
            what: what.into(),
            allowed: allowed.into(),
        });
    }

    /// Records where a name is declared; a duplicate is a fault that names the first declaration.
    fn record_name(&mut self, file: &SourceFile, table: &Table, what: &str, name: &str) {
        let line = table.span().map_or(0, |span| file.line_of(span.start));
        let key = format!("{what} \"{name}\"");
        if let Some((other, at)) = self.declared_at.get(&key) {
            let text = format!("is declared twice, first in {other}:{at}");
            self.fault(
                &file.name,
                line,
                &key,
                &text,
                "one declaration for each name",
            );
            return;
        }
        self.declared_at.insert(key, (file.name.clone(), line));
    }

    fn read_service(&mut self, file: &SourceFile, table: &Table) {
        let before = self.faults.len();
        schema::check_table(
            file,
            "service",
            table,
            schema::SERVICE_KEYS,
            &mut self.faults,
        );
        let line = table.span().map_or(0, |span| file.line_of(span.start));
        let kind = text(table, "kind");
        let needed: &[&str] = match kind {
            "model" => &["model", "weight_version"],
            "plain" => &["path_prefix"],
            _ => &[],
        };
        for key in needed.iter().filter(|key| text(table, key).is_empty()) {
            let allowed = format!("a value, since kind is \"{kind}\"");
            self.fault(
                &file.name,
                line,
                &format!("service.{key}"),
                "is missing",
                &allowed,
            );
        }
        self.record_name(file, table, "service", text(table, "name"));
        if self.faults.len() == before {
            let service = build_service(table);
            self.cfg.services.insert(service.name.clone(), service);
        }
    }

    fn read_account(&mut self, file: &SourceFile, table: &Table) {
        let before = self.faults.len();
        schema::check_table(
            file,
            "client_account",
            table,
            schema::ACCOUNT_KEYS,
            &mut self.faults,
        );
        self.record_name(file, table, "client_account", text(table, "name"));
        if self.faults.len() == before {
            let account = build_account(table);
            self.cfg.accounts.insert(account.name.clone(), account);
        }
    }

    /// Checks that every service referred to is declared, and that no two accounts share a key.
    fn check_references(&mut self) {
        let mut found = Vec::new();
        let known = |name: &ServiceName| {
            self.in_force.contains(name)
                || self
                    .declared_at
                    .contains_key(&format!("service \"{name}\""))
        };
        for service in self.cfg.services.values() {
            for store in service.stores.iter().filter(|name| !known(name)) {
                found.push((format!("service \"{}\"", service.name), store.clone()));
            }
        }
        for account in self.cfg.accounts.values() {
            for name in account.services.iter().filter(|name| !known(name)) {
                found.push((format!("client_account \"{}\"", account.name), name.clone()));
            }
        }
        for (declaration, missing) in found {
            let (file, line) = self
                .declared_at
                .get(&declaration)
                .cloned()
                .unwrap_or_default();
            let what = format!("names service \"{missing}\", which no file declares");
            self.fault(
                &file,
                line,
                &declaration,
                &what,
                "the name of a declared service",
            );
        }
        self.check_shared_keys();
    }

    fn check_shared_keys(&mut self) {
        let mut owners: BTreeMap<AccountKeyHash, ClientAccount> = BTreeMap::new();
        let mut shared = Vec::new();
        for account in self.cfg.accounts.values() {
            for hash in &account.key_hashes {
                if let Some(other) = owners.insert(*hash, account.name.clone()) {
                    shared.push((account.name.clone(), other));
                }
            }
        }
        for (name, other) in shared {
            let declaration = format!("client_account \"{name}\"");
            let (file, line) = self
                .declared_at
                .get(&declaration)
                .cloned()
                .unwrap_or_default();
            let what = format!("shares a key hash with client_account \"{other}\"");
            self.fault(
                &file,
                line,
                &declaration,
                &what,
                "a key for each client account",
            );
        }
    }
}

/// Returns the string of a key; empty if it is missing or has another type.
fn text<'a>(table: &'a Table, key: &str) -> &'a str {
    table.get(key).and_then(Item::as_str).unwrap_or("")
}

/// Returns the integer of a key, or the default if it is missing or out of range.
fn integer(table: &Table, key: &str, default: u32) -> u32 {
    let value = table.get(key).and_then(Item::as_integer);
    value.and_then(|n| u32::try_from(n).ok()).unwrap_or(default)
}

/// Returns the number of a key, or the default if it is missing or not a number.
fn weight(table: &Table, key: &str, default: f64) -> f64 {
    table.get(key).and_then(schema::number).unwrap_or(default)
}

/// Builds a value from each string of an array; empty if the key is missing or has another type.
fn list<T, F>(table: &Table, key: &str, build: F) -> Vec<T>
where
    F: Fn(&str) -> T,
{
    let texts = table.get(key).and_then(schema::texts).unwrap_or_default();
    texts.into_iter().map(build).collect()
}

fn build_service(table: &Table) -> ServiceDeclaration {
    let objective = Objective::default();
    ServiceDeclaration {
        name: text(table, "name").into(),
        kind: match text(table, "kind") {
            "model" => ServiceKind::Model,
            "plain" => ServiceKind::Plain,
            _ => ServiceKind::Store,
        },
        model: text(table, "model").into(),
        weight_version: text(table, "weight_version").into(),
        engine_fencing: table
            .get("engine_fencing")
            .and_then(Item::as_bool)
            .unwrap_or(false),
        path_prefix: text(table, "path_prefix").into(),
        not_repeatable: list(table, "not_repeatable", |t| CompactString::from(t)),
        objective: Objective {
            first_token: weight(table, "first_token_weight", objective.first_token),
            recompute: weight(table, "recompute_weight", objective.recompute),
            link: weight(table, "link_weight", objective.link),
        },
        stores: list(table, "stores", |t| ServiceName::from(t)),
        queue_limit: integer(table, "queue_limit", DEFAULT_QUEUE_LIMIT),
        trial_store_percent: integer(
            table,
            "trial_store_percent",
            u32::from(DEFAULT_TRIAL_STORE_PERCENT),
        ) as u8,
        island: match text(table, "island") {
            "refuse" => PartitionPolicy::Refuse,
            _ => PartitionPolicy::Serve,
        },
    }
}

fn build_account(table: &Table) -> AccountDeclaration {
    AccountDeclaration {
        name: text(table, "name").into(),
        tier: if text(table, "tier") == "paying" {
            Tier::Paying
        } else {
            Tier::Trial
        },
        key_hashes: list(table, "key_hashes", AccountKeyHash::parse)
            .into_iter()
            .flatten()
            .collect(),
        requests_per_second: integer(table, "requests_per_second", 1),
        services: list(table, "services", |t| ServiceName::from(t)),
    }
}
