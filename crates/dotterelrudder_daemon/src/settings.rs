//! The settings files of the daemons, in TOML, one per process.

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

/// The name and the fixed address of a control instance.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PeerAddress {
    /// Name of the instance, unique in the deployment.
    pub name: InstanceName,
    /// Address where the instance accepts connections from other processes.
    pub address: SocketAddr,
}

/// The settings that every daemon has.
#[derive(Debug, Clone, Deserialize)]
pub struct CommonSettings {
    /// Name of the instance, unique in the deployment.
    pub name: InstanceName,
    /// Data centre that the instance runs in.
    pub data_centre: DataCentre,
    /// Address of the admin server with `/healthz`, `/readyz` and `/metrics`.
    pub admin: SocketAddr,
    /// Path of the file with the secret that all processes of the deployment share.
    pub secret_file: PathBuf,
    /// All control instances of the deployment.
    pub controls: Vec<PeerAddress>,
}

/// The settings of an entry.
#[derive(Debug, Clone, Deserialize)]
pub struct EntryFile {
    /// The settings that every daemon has.
    #[serde(flatten)]
    pub common: CommonSettings,
    /// Address where callers connect, behind the platform's load balancer.
    pub listen: SocketAddr,
    /// URL of the platform's instance list.
    pub instance_list: CompactString,
    /// Policy of the runner selection, such as `expected_cost`; an empty text selects the default.
    #[serde(default)]
    pub policy: CompactString,
    /// How long a stopping entry goes on accepting connections, so that the load balancer can
    /// notice that it is not ready; in milliseconds.
    #[serde(default = "default_drain_grace_ms")]
    pub drain_grace_ms: u64,
}

fn default_drain_grace_ms() -> u64 {
    1_000
}

/// The settings of a side.
#[derive(Debug, Clone, Deserialize)]
pub struct SideFile {
    /// The settings that every daemon has.
    #[serde(flatten)]
    pub common: CommonSettings,
    /// Address where other processes connect.
    pub listen: SocketAddr,
    /// URL of the platform's instance list.
    pub instance_list: CompactString,
    /// Service that the backend server belongs to.
    pub service: ServiceName,
    /// Kind of the backend server: model, plain or store.
    pub kind: ServiceKind,
    /// URL of the backend server, without a path.
    pub backend: CompactString,
    /// Number of concurrent runs that is assumed until the backend server reports its own.
    #[serde(default = "default_slots")]
    pub slots: u32,
}

fn default_slots() -> u32 {
    16
}

/// The settings of a control instance.
#[derive(Debug, Clone, Deserialize)]
pub struct ControlFile {
    /// The settings of every daemon; `controls` lists all control instances, this one included.
    #[serde(flatten)]
    pub common: CommonSettings,
    /// Address where other processes connect.
    pub listen: SocketAddr,
    /// Address where operators connect.
    pub operators: SocketAddr,
    /// Hash of the operators' token: `sha256:` followed by 64 hexadecimal digits.
    pub operator_token_hash: CompactString,
    /// Path of the folder with the journal.
    pub data_folder: PathBuf,
    /// Whether an instance with an empty data folder may bootstrap a new deployment, provided that
    /// no other control instance belongs to one.
    #[serde(default)]
    pub bootstrap: bool,
}

/// A settings file with a list of its keys, so that an error can name a mistyped key and suggest
/// the closest known one.
pub trait SettingsFile: DeserializeOwned {
    /// All keys that the file may contain.
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
/// Returns a message that names the file, and the key with an unknown name or an invalid value.
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

/// Finds the key with the invalid value, by replacing each value with sample values until the file
/// can be read. The parser's error does not name the key when it is one of the settings that
/// several daemons share, which are flattened into each file.
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

/// Reads the deployment's secret, without surrounding white space.
///
/// # Errors
///
/// Returns a message that names the file when it cannot be read or is empty.
pub fn read_secret(path: &Path) -> Result<CompactString, String> {
    let file = path.display();
    let text = std::fs::read_to_string(path)
        .map_err(|e| format!("cannot read secret_file {file}: {e}"))?;
    let secret = text.trim();
    if secret.is_empty() {
        return Err(format!(
            "secret_file {file} is empty, expected the deployment's secret"
        ));
    }
    Ok(secret.into())
}
