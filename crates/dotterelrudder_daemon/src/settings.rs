//! The settings of the daemons, one TOML file each.

use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;

use compact_str::CompactString;
use dotterelrudder_config::ServiceKind;
use dotterelrudder_types::DataCentre;
use dotterelrudder_types::InstanceName;
use dotterelrudder_types::ServiceName;
use serde::de::DeserializeOwned;
use serde::Deserialize;

/// A process with a fixed address.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PeerAddress {
    /// The process.
    pub name: InstanceName,
    /// Where it listens for other processes.
    pub address: SocketAddr,
}

/// What every daemon is told.
#[derive(Debug, Clone, Deserialize)]
pub struct CommonSettings {
    /// The instance's name, unique in the deployment.
    pub name: InstanceName,
    /// The data centre that it runs in.
    pub data_centre: DataCentre,
    /// Where it serves `/healthz`, `/readyz` and `/metrics`.
    pub admin: SocketAddr,
    /// A file that holds the deployment's secret.
    pub secret_file: PathBuf,
    /// The control instances.
    pub controls: Vec<PeerAddress>,
}

/// The settings of an entry.
#[derive(Debug, Clone, Deserialize)]
pub struct EntryFile {
    /// What every daemon is told.
    #[serde(flatten)]
    pub common: CommonSettings,
    /// Where callers connect.
    pub listen: SocketAddr,
    /// The platform's instance list.
    pub instance_list: CompactString,
    /// How runners are chosen.
    #[serde(default)]
    pub policy: CompactString,
    /// Milliseconds for the balancer to notice that the entry leaves.
    #[serde(default = "default_drain_grace_ms")]
    pub drain_grace_ms: u64,
}

fn default_drain_grace_ms() -> u64 {
    1_000
}

/// The settings of a side.
#[derive(Debug, Clone, Deserialize)]
pub struct SideFile {
    /// What every daemon is told.
    #[serde(flatten)]
    pub common: CommonSettings,
    /// Where other processes connect.
    pub listen: SocketAddr,
    /// The platform's instance list.
    pub instance_list: CompactString,
    /// The service that the backend server belongs to.
    pub service: ServiceName,
    /// What the backend server is.
    pub kind: ServiceKind,
    /// The backend server's address, as a URL without a path.
    pub backend: CompactString,
    /// Runs at once until the backend server reports its own number.
    #[serde(default = "default_slots")]
    pub slots: u32,
}

fn default_slots() -> u32 {
    16
}

/// The settings of a control instance.
#[derive(Debug, Clone, Deserialize)]
pub struct ControlFile {
    /// What every daemon is told; `controls` names all control instances, this one included.
    #[serde(flatten)]
    pub common: CommonSettings,
    /// Where other processes connect.
    pub listen: SocketAddr,
    /// Where operators connect.
    pub operators: SocketAddr,
    /// The hash of the operators' token, as `sha256:` and 64 hexadecimal digits.
    pub operator_token_hash: CompactString,
    /// The folder that holds the journal.
    pub data_folder: PathBuf,
    /// Whether an empty folder may found a new deployment, when no peer belongs to one.
    #[serde(default)]
    pub bootstrap: bool,
}

/// A settings file whose keys are known, so that a mistyped one can be named.
pub trait SettingsFile: DeserializeOwned {
    /// The keys that the file may hold.
    const KEYS: &'static [&'static str];
}

impl SettingsFile for EntryFile {
    const KEYS: &'static [&'static str] = &[
        "name",
        "data_centre",
        "admin",
        "secret_file",
        "controls",
        "listen",
        "instance_list",
        "policy",
        "drain_grace_ms",
    ];
}

impl SettingsFile for SideFile {
    const KEYS: &'static [&'static str] = &[
        "name",
        "data_centre",
        "admin",
        "secret_file",
        "controls",
        "listen",
        "instance_list",
        "service",
        "kind",
        "backend",
        "slots",
    ];
}

impl SettingsFile for ControlFile {
    const KEYS: &'static [&'static str] = &[
        "name",
        "data_centre",
        "admin",
        "secret_file",
        "controls",
        "listen",
        "operators",
        "operator_token_hash",
        "data_folder",
        "bootstrap",
    ];
}

/// Reads and checks a settings file.
///
/// # Errors
///
/// Returns what is wrong with which key of which file.
pub fn read_settings<S>(path: &Path) -> Result<S, String>
where
    S: SettingsFile,
{
    let file = path.display();
    let text = std::fs::read_to_string(path).map_err(|e| format!("{file}: {e}"))?;
    let table: toml::Table = toml::from_str(&text).map_err(|e| format!("{file}: {e}"))?;
    if let Some(key) = table.keys().find(|key| !S::KEYS.contains(&key.as_str())) {
        let closest = S::KEYS
            .iter()
            .min_by_key(|k| strsim::damerau_levenshtein(k, key));
        let closest = closest.copied().unwrap_or("");
        return Err(format!(
            "{file}: key \"{key}\" is unknown, did you mean \"{closest}\"?"
        ));
    }
    toml::from_str(&text).map_err(|e| match invalid_key::<S>(&table) {
        Some(key) => format!("{file}: key \"{key}\": {}", e.message()),
        None => format!("{file}: {e}"),
    })
}

/// Finds the key whose value is wrong: the one whose replacement by another value makes the file
/// readable. The parser itself doesn't tell keys of settings that several daemons share.
fn invalid_key<S>(table: &toml::Table) -> Option<String>
where
    S: SettingsFile,
{
    let address = || toml::Value::String("127.0.0.1:1".into());
    let sample_values = [
        address(),
        toml::Value::String("127.0.0.1".into()),
        toml::Value::String("name".into()),
        toml::Value::Integer(1),
        toml::Value::Integer(65_536),
        toml::Value::Boolean(true),
        toml::Value::Array(vec![address()]),
        toml::Value::Array(Vec::new()),
    ];
    let is_fixed_by_a_sample = |key: &&String| {
        sample_values.iter().any(|sample| {
            let mut repaired = table.clone();
            repaired.insert((*key).clone(), sample.clone());
            repaired.try_into::<S>().is_ok()
        })
    };
    table.keys().find(is_fixed_by_a_sample).cloned()
}

/// Reads the deployment's secret.
///
/// # Errors
///
/// Returns which file can't be read or is empty.
pub fn read_secret(path: &Path) -> Result<CompactString, String> {
    let file = path.display();
    let text = std::fs::read_to_string(path).map_err(|e| format!("secret_file {file}: {e}"))?;
    let secret = text.trim();
    if secret.is_empty() {
        return Err(format!("secret_file {file} is empty"));
    }
    Ok(secret.into())
}
