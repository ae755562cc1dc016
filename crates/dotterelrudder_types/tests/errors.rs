//! Guards against a duplicate error code, and against a table of errors in docs/PROTOCOLS.md that
//! differs from [`ErrorKind::row`] after a change of the code.

use std::collections::BTreeSet;

use dotterelrudder_types::ErrorKind;

#[test]
fn every_kind_has_a_name_of_its_own_and_its_row_in_the_docs() {
    let path = concat!(env!("CARGO_MANIFEST_DIR"), "/../../docs/PROTOCOLS.md");
    let docs = std::fs::read_to_string(path).expect("docs/PROTOCOLS.md is readable");
    let mut codes = BTreeSet::new();
    for kind in ErrorKind::ALL {
        let row = kind.row();
        assert!(codes.insert(row.code), "duplicate error code {}", row.code);
        assert_eq!(ErrorKind::from_code(row.code), Some(kind));
        let after = row.retry_after_s.map_or("–".into(), |s| s.to_string());
        let (code, status, exit) = (row.code, row.status, row.exit_code);
        let outcome = row.outcome.as_str();
        let line = format!("| `{code}` | {status} | `{outcome}` | {after} | {exit} |");
        assert!(
            docs.contains(&line),
            "docs/PROTOCOLS.md is missing the row: {line}"
        );
    }
}
