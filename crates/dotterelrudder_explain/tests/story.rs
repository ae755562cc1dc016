//! Stories of requests from log lines that are complete, missing, truncated or of other programs.

use dotterelrudder_explain::Story;

const LINES: &[&str] = &[
    // From a log collector that prepends the time and the instance.
    r#"   0.0413 entry-1 {"msg":"request","level":"INFO","ts":"2026-04-04T10:00:05.250Z","instance":"entry-1","role":"entry","took_ms":250,"reason":"no answer within 200 ms","status":502,"attempts":"i-1 10.0.0.1:8080 expected 20 ms: not run, status 503; i-2 10.0.0.2:8080 expected 30 ms: no answer within 200 ms","confirmed_ms_ago":12,"version":4,"service":"engines","route":"long","id":"r1"}"#,
    r#"{"msg":"configuration in force","ts":"2026-04-04T10:00:01Z","instance":"entry-1","role":"entry","version":3}"#,
    r#"{"msg":"configuration in force","ts":"2026-04-04T10:00:02.5Z","instance":"entry-1","role":"entry","version":4}"#,
    // From another entry, about another request, and after the request: not part of the story.
    r#"{"msg":"configuration in force","ts":"2026-04-04T10:00:04Z","instance":"entry-2","role":"entry","version":9}"#,
    r#"{"msg":"request","ts":"2026-04-04T10:00:05Z","instance":"entry-1","role":"entry","took_ms":3,"status":200,"attempts":"","id":"r2"}"#,
    r#"{"msg":"configuration in force","ts":"2026-04-04T10:00:07Z","instance":"entry-1","role":"entry","version":5}"#,
    // The leader is the instance of the newest line with `leads` set.
    r#"{"msg":"standing in the log","ts":"2026-04-04T10:00:00.5Z","instance":"control-1","role":"control","leads":true,"term":1}"#,
    r#"{"msg":"standing in the log","ts":"2026-04-04T10:00:03Z","instance":"control-2","role":"control","leads":true,"term":2}"#,
    r#"{"msg":"standing in the log","ts":"2026-04-04T10:00:03.1Z","instance":"control-1","role":"control","leads":false,"term":2}"#,
    // A side that detects the failure of the request's runner later, and one of another runner.
    r#"{"msg":"runner doesn't answer","ts":"2026-04-04T10:00:06.001442Z","instance":"side-2","role":"side","runner":"10.0.0.2:8080"}"#,
    r#"{"msg":"runner doesn't answer","ts":"2026-04-04T10:00:05.1Z","instance":"side-3","role":"side","runner":"10.0.0.3:8080"}"#,
    // Truncated, from another program, and without the common fields.
    r#"{"msg":"request","level":"INFO","ts":"2026-04-04T10:00:05.2"#,
    "thread 'main' panicked at src/main.rs:1:1:",
    r#"{"message":"from something else"}"#,
    "",
];

/// Guards against a story with foreign or stale lines, and against one that depends on the order in
/// which the lines are read.
#[test]
fn a_story_is_told_in_order_of_time_whatever_the_order_of_lines() {
    let told = Story::read("r1", LINES).to_string();
    insta::assert_snapshot!(told);
    let backwards = Story::read("r1", LINES.iter().rev()).to_string();
    assert_eq!(told, backwards);
}

/// Guards against comparing times as text, which misorders times with and without fractions.
#[test]
fn lines_within_a_microsecond_keep_their_order() {
    let line = |ts: &str, n: u32| {
        format!(r#"{{"msg":"m{n}","ts":"2026-04-04T10:00:05{ts}Z","instance":"e","id":"r"}}"#)
    };
    let lines = [line(".000001001", 3), line("", 1), line(".000001", 2)];
    let told = Story::read("r", lines).to_string();
    let order: Vec<usize> = ["m1", "m2", "m3"]
        .iter()
        .filter_map(|m| told.find(m))
        .collect();
    assert!(order.len() == 3 && order.is_sorted(), "{told}");
}

/// Guards against a story without the lines of sides, which name the attempt only: the request
/// of an attempt is known from the entry's line.
#[test]
fn an_attempt_leads_to_the_line_of_its_side() {
    let lines = [
        r#"{"msg":"placed","ts":"2026-04-04T10:00:05Z","instance":"e","role":"entry","id":"7","attempt":"e.7.1"}"#,
        r#"{"msg":"run","ts":"2026-04-04T10:00:05.1Z","instance":"s","role":"side","run":3,"attempt":"e.7.1"}"#,
        r#"{"msg":"run","ts":"2026-04-04T10:00:05.1Z","instance":"s","role":"side","run":4,"attempt":"e.8.1"}"#,
    ];
    let told = Story::read("7", lines).to_string();
    assert!(told.contains("run=3") && !told.contains("run=4"), "{told}");
}

/// Guards against an empty story for a request that no line mentions.
#[test]
fn an_unknown_request_is_said_to_be_unknown() {
    let story = Story::read("r9", LINES);
    assert!(story.is_empty());
    assert!(story.to_string().contains("no line tells of it"));
}

/// Guards against a story that leaves out why a request was refused while capacity was short, or that
/// mentions a shortage where there was none.
#[test]
fn a_shortage_is_told_in_one_sentence() {
    let line = r#"{"msg":"request","ts":"2026-04-04T10:00:05Z","instance":"e","role":"entry","id":"r","status":503,"attempts":"","admission":"no_capacity_in_time","priority":2,"account":"school","work":33000,"expected_wait_ms":31000,"ahead":12,"waited_ms":0,"wait_limit_ms":12100,"retry_after_ms":33500}"#;
    let told = Story::read("r", [line]).to_string();
    let sentence = "capacity was short: no_capacity_in_time after 0 ms (expected 31000 ms behind 12 \
                    requests, of use for 12100 ms), priority 2, account \"school\", work 33000, told to \
                    return after 33500 ms";
    assert!(told.contains(sentence), "{told}");
    assert!(!told.contains("expected_wait_ms"), "{told}");
    assert!(!Story::read("r1", LINES)
        .to_string()
        .contains("capacity was short"));
}
