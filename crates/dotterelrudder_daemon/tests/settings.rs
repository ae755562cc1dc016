//! Error messages of the daemons about invalid settings files.

use std::process::Command;

/// Checks a settings file with the given text; returns the exit code and the standard error.
fn check(program: &str, text: &str) -> (i32, String) {
    let name = format!("settings-{}-{}.toml", std::process::id(), text.len());
    let path = std::env::temp_dir().join(name);
    std::fs::write(&path, text).expect("the file is written");
    let output = Command::new(program)
        .args(["--check-settings", "--settings"])
        .arg(&path)
        .output()
        .expect("the program runs");
    std::fs::remove_file(&path).expect("the file is removed");
    let stderr = String::from_utf8_lossy(&output.stderr).into_owned();
    (
        output.status.code().expect("the program exits by itself"),
        stderr,
    )
}

/// A valid settings file of an entry.
const GOOD: &str = "name = \"e\"\ndata_centre = \"d\"\nadmin = \"127.0.0.1:1\"\n\
    secret_file = \"s\"\ncontrols = []\nlisten = \"127.0.0.1:2\"\ninstance_list = \"http://a\"\n";

#[test]
fn an_error_names_the_invalid_key() {
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
