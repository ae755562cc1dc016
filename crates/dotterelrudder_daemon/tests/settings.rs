//! What is told of wrong settings files, by the programs themselves.

use std::process::Command;

fn check(program: &str, text: &str) -> (i32, String) {
    let name = format!("settings-{}-{}.toml", std::process::id(), text.len());
    let path = std::env::temp_dir().join(name);
    std::fs::write(&path, text).expect("the test's own value is well formed");
    let output = Command::new(program)
        .args(["--check-settings", "--settings"])
        .arg(&path)
        .output()
        .expect("the test's own value is well formed");
    std::fs::remove_file(&path).expect("the test's own value is well formed");
    let stderr = String::from_utf8_lossy(&output.stderr).into_owned();
    (
        output
            .status
            .code()
            .expect("the test's own value is well formed"),
        stderr,
    )
}

const GOOD: &str = "name = \"e\"\ndata_centre = \"d\"\nadmin = \"127.0.0.1:1\"\n\
    secret_file = \"s\"\ncontrols = []\nlisten = \"127.0.0.1:2\"\ninstance_list = \"http://a\"\n";

#[test]
fn a_wrong_value_is_told_with_its_key() {
    let program = env!("CARGO_BIN_EXE_dotterelrudder-entry");
    assert_eq!(check(program, GOOD).0, 0);
    let cases = [
        (
            "admin = \"127.0.0.1:1\"",
            "admin = \"nowhere\"",
            "key \"admin\"",
        ),
        (
            "listen = \"127.0.0.1:2\"",
            "listen = \"127.0.0.1\"",
            "key \"listen\"",
        ),
        ("controls = []", "controls = 3", "key \"controls\""),
        (
            "listen = ",
            "listne = ",
            "key \"listne\" is unknown, did you mean \"listen\"?",
        ),
    ];
    for (good, bad, expected) in cases {
        let (code, stderr) = check(program, &GOOD.replace(good, bad));
        assert_eq!(code, 78, "{stderr}");
        assert!(stderr.contains(expected), "{stderr}");
    }
}
