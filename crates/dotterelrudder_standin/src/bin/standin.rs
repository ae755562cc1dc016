//! `dotterelrudder-standin KIND FILE`: one stand-in of the given kind.

use std::process::ExitCode;

use dotterelrudder_standin::engine;
use dotterelrudder_standin::instance_list;
use dotterelrudder_standin::plain;
use dotterelrudder_standin::relay;
use dotterelrudder_standin::store;
use dotterelrudder_standin::weights;
use serde::de::DeserializeOwned;

const USAGE: &str = "Usage: dotterelrudder-standin engine|plain|store|weights|list|relay FILE";

fn read<S>(path: &str) -> Result<S, String>
where
    S: DeserializeOwned,
{
    let text = std::fs::read_to_string(path).map_err(|e| format!("{path}: {e}"))?;
    toml::from_str(&text).map_err(|e| format!("{path}: {e}"))
}

async fn run(kind: &str, path: &str) -> Result<(), String> {
    match kind {
        "engine" => engine::run(read(path)?).await,
        "plain" => plain::run(read(path)?).await,
        "store" => store::run(read(path)?).await,
        "weights" => weights::run(read(path)?).await,
        "relay" => relay::run(read(path)?).await,
        "list" => instance_list::run(read(path)?).await,
        other => Err(format!("kind \"{other}\" is unknown; {USAGE}")),
    }
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let [kind, path] = arguments.as_slice() else {
        eprintln!("{USAGE}");
        return ExitCode::from(64);
    };
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    let ended = match runtime {
        Ok(runtime) => runtime.block_on(run(kind, path)),
        Err(e) => Err(e.to_string()),
    };
    match ended {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("dotterelrudder-standin: {e}");
            ExitCode::from(71)
        }
    }
}
