//! One odd entry of the instance list costs itself alone.

use dotterelrudder_daemon::instance_list::read_list;

fn entry(name: &str) -> String {
    format!(
        r#"{{"name":"{name}","role":"side","service":"s","address":"10.0.0.1:80","state":"live"}}"#
    )
}

#[test]
fn an_odd_entry_is_left_out() {
    let odd_entries: [Vec<u8>; 6] = [
        "[".repeat(100_000).into_bytes(),
        entry("b").replace(":80", ":80800").into_bytes(),
        entry("b").replace("\"side\"", "1e999").into_bytes(),
        entry("b").replace("\"name\"", "\"title\"").into_bytes(),
        b"{\"name\":\"\xff\"}".to_vec(),
        b"{\"name\":\"b".to_vec(),
    ];
    for odd in odd_entries {
        let mut body = format!(" [{}, ", entry("a")).into_bytes();
        body.extend_from_slice(&odd);
        body.extend_from_slice(format!(",{}]\n", entry("c")).as_bytes());
        let (rows, outcome) = read_list(&body);
        let names: Vec<&str> = rows.iter().map(|r| r.name.as_str()).collect();
        let told = String::from_utf8_lossy(&odd[..odd.len().min(80)]).into_owned();
        assert_eq!(names, ["a", "c"], "{told}");
        assert_eq!(outcome.unreadable, 1, "{told}");
        assert!(outcome.end.is_some(), "{told}");
    }
}

#[test]
fn a_list_that_breaks_off_is_no_list() {
    let whole = format!("[{},{}]", entry("a"), entry("b"));
    assert!(read_list(whole.as_bytes()).1.end.is_some());
    for cut in [0, 1, whole.len() / 2, whole.len() - 1] {
        let (_, outcome) = read_list(&whole.as_bytes()[..cut]);
        assert_eq!(outcome.end, None, "cut at {cut}");
    }
    assert!(read_list(b"[]").1.end.is_some());
    assert_eq!(read_list(b"{}").1.end, None);
}
