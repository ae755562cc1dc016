//! Fault tables: each file of `cases/` is a deployment with faults; its end is a snapshot, and the
//! invariants hold after every step.

mod harness;

use std::path::Path;

use harness::case::audit;
use harness::case::Case;

fn run_case(path: &Path) -> datatest_stable::Result<()> {
    let case: Case = toml::from_str(&std::fs::read_to_string(path)?)?;
    let (world, text) = case.run();
    let name = path
        .file_stem()
        .and_then(|s| s.to_str())
        .unwrap_or_default();
    let text = format!("{text}{}", audit(&world).join("\n"));
    insta::with_settings!({prepend_module_to_snapshot => false, omit_expression => true}, {
        insta::assert_snapshot!(name, text);
    });
    if !world.invariants.broken.is_empty() {
        return Err(world.invariants.broken.join("; ").into());
    }
    Ok(())
}

datatest_stable::harness! {
    { test = run_case, root = "tests/cases", pattern = r".*\.toml$" },
}
