//! The table of errors: one row a kind, printed in the docs as it stands in the code.

use std::collections::BTreeSet;

use dotterelrudder_types::ErrorKind;

#[test]
fn every_kind_has_a_name_of_its_own_and_its_row_in_the_docs() {
    let path = concat!(env!("CARGO_MANIFEST_DIR"), "/../../docs/PROTOCOLS.md");
    let docs = std::fs::read_to_string(path).expect("the page is there");
    let mut codes = BTreeSet::new();
    for kind in ErrorKind::ALL {
        let row = kind.row();
        assert!(codes.insert(row.code), "{} stands twice", row.code);
        assert_eq!(ErrorKind::from_code(row.code), Some(kind));
        let after = row.retry_after_s.map_or("–".into(), |s| s.to_string());
        let (code, status, exit) = (row.code, row.status, row.exit_code);
        let outcome = row.outcome.as_str();
        let line = format!("| `{code}` | {status} | `{outcome}` | {after} | {exit} |");
        assert!(docs.contains(&line), "docs/PROTOCOLS.md lacks: {line}");
    }
}
