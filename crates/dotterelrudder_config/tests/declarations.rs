//! Checks of declaration files: every fault is reported with file, line, key and allowed values.

use dotterelrudder_config::collect;
use dotterelrudder_config::ChangeSet;
use dotterelrudder_config::Configuration;
use dotterelrudder_config::SourceFile;
use proptest::prelude::*;
use proptest::test_runner::Config;
use proptest::test_runner::RngAlgorithm;
use proptest::test_runner::TestRng;
use proptest::test_runner::TestRunner;

fn file(name: &str, text: &str) -> SourceFile {
    SourceFile {
        name: name.into(),
        text: text.into(),
    }
}

const FAULTY: &str = r#"
[service]
name = "desk kurs"
kind = "modell"
weight_versoin = "v1"
queue_limit = 0
stores = ["nowhere"]

[[client_account]]
name = "school"
tier = "gold"
key_hashes = ["sha256:12"]
requests_per_second = "many"

[[client_acount]]
name = "x"
"#;

const ACCOUNT: &str = r#"
[[client_account]]
name = "a"
tier = "trial"
key_hashes = ["sha256:0000000000000000000000000000000000000000000000000000000000000000"]
requests_per_second = 5
services = ["s"]
"#;

/// Guards against faults that are reported one at a time or without their location: six files with
/// errors of syntax, schema, reference, duplication and shared keys are checked together.
#[test]
fn every_fault_of_every_file_is_told_at_once() {
    let files = [
        file("a.toml", FAULTY),
        file("b.toml", "[service]\nname = \"m\"\nkind = \"model\"\n"),
        file("c.toml", "[service\nname = 1"),
        file("d.toml", ACCOUNT),
        file("e.toml", &ACCOUNT.replace("\"a\"", "\"b\"")),
        file("f.toml", "[service]\nname = \"m\"\nkind = \"store\"\n"),
    ];
    let faults = collect(&files).expect_err("the files have faults");
    let lines: Vec<String> = faults.iter().map(ToString::to_string).collect();
    insta::assert_snapshot!(lines.join("\n"));
}

/// Guards against a change, or two merged changes, whose result differs from the target.
#[test]
fn a_change_leads_from_one_configuration_to_another() {
    let store = |name: &str| format!("[service]\nname = \"{name}\"\nkind = \"store\"\n");
    let from = collect(&[file("a", &store("a")), file("b", &store("b"))]).expect("valid");
    let to = collect(&[file("b", &store("b")), file("c", &store("c"))]).expect("valid");
    let change = ChangeSet::between(&from, &to);
    assert_eq!(
        change.describe(),
        ["put service \"c\"", "remove service \"a\""]
    );
    let mut cfg = from.clone();
    cfg.apply(&change, to.revision);
    assert_eq!(cfg, to);
    let mut merged = ChangeSet::between(&from, &Configuration::default());
    merged.merge(&ChangeSet::between(&Configuration::default(), &to));
    let mut cfg = from;
    cfg.apply(&merged, to.revision);
    assert_eq!(cfg, to);
}

/// Guards against panics of the parser and the checks: 10,000 random texts built from fragments of
/// declarations must each give a configuration or at least one fault.
#[test]
fn any_text_is_checked_without_harm() {
    let config = Config {
        cases: 10_000,
        failure_persistence: None,
        ..Config::default()
    };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[9; 32]);
    let mut runner = TestRunner::new_with_rng(config, rng);
    let text = r#"(\[service\]\n|\[\[client_account\]\]\n|name = |"[a-z]{0,3}"\n|kind = |[0-9\[\]="\n]{1,3}){0,12}"#;
    let run = runner.run(&text, |text| {
        let checked = collect(&[file("x.toml", &text)]);
        prop_assert!(checked.is_ok() || !checked.unwrap_err().is_empty());
        Ok(())
    });
    assert!(run.is_ok(), "{run:?}");
}

/// Guards against example deployments that no longer pass the checks.
#[test]
fn the_examples_are_valid() {
    for deployment in ["hvetekorn", "registro"] {
        let folder = format!("{}/../../examples/{deployment}", env!("CARGO_MANIFEST_DIR"));
        let files: Vec<SourceFile> = std::fs::read_dir(folder)
            .expect("examples")
            .map(|entry| entry.expect("readable").path().join("service.toml"))
            .map(|path| file("x", &std::fs::read_to_string(path).expect("readable")))
            .collect();
        assert!(files.len() >= 4);
        assert_eq!(
            collect(&files).map(|cfg| cfg.services.len()),
            Ok(files.len())
        );
    }
}
