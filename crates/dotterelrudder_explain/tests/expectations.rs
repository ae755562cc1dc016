//! Tables of measured times to first token by predicted time.

use dotterelrudder_explain::Expectations;

fn line(service: &str, attempts: &str) -> String {
    format!(
        r#"{{"msg":"request","ts":"2026-04-04T10:00:05Z","instance":"e","role":"entry","service":"{service}","attempts":"{attempts}","id":"r"}}"#
    )
}

/// Guards against times in the wrong service or row, and against counting attempts without a first
/// token or truncated lines.
#[test]
fn first_tokens_are_told_by_service_and_expected_time() {
    let mut lines = Vec::new();
    for n in 1..=100 {
        let began = format!("i-1 10.0.0.1:80 expected 20 ms (reads 1): began after {n} ms");
        lines.push(line("a", &began));
    }
    // Only the attempt that streamed a first token counts; an unstreamed response has none.
    let twice = "i-1 10.0.0.1:80 expected 700 ms: not run, status 503; \
                 i-2 10.0.0.2:80 expected 1500 ms: began after 1480 ms";
    lines.push(line("b", twice));
    lines.push(line(
        "c",
        "i-3 10.0.0.3:80 expected 20 ms: status 200 after 2 ms",
    ));
    lines.push("cut {\"msg\":".into());
    insta::assert_snapshot!(Expectations::read(lines).to_string());
}

/// Guards against a table for requests that were never offered to a runner.
#[test]
fn lines_without_first_tokens_tell_nothing() {
    assert!(Expectations::read([line("c", "")]).is_empty());
}
