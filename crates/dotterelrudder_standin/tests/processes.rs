//! The deployment as real processes over real sockets, under kills, freezes, stops, lost and full
//! disks and silent connections. The verdict rests on counts alone, never on a time.

use std::path::Path;
use std::process::Command;

const ROOT: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/../..");

#[test]
fn faults_leave_no_wrong_answer_and_lose_no_change() {
    let built = Command::new(env!("CARGO"))
        .args(["build", "--workspace", "--bins", "--locked"])
        .current_dir(ROOT)
        .status()
        .expect("cargo runs");
    assert!(built.success(), "the programs build");
    let load = Path::new(env!("CARGO_BIN_EXE_dotterelrudder-load"));
    let folder = load.parent().expect("a folder of programs");
    let run = Command::new(format!("{ROOT}/tools/faults"))
        .arg(folder)
        .env("DOTTERELRUDDER_BASE_PORT", "18100")
        .output()
        .expect("the script runs");
    let log = String::from_utf8_lossy(&run.stderr);
    let line = String::from_utf8_lossy(&run.stdout);
    assert!(run.status.success(), "{log}\n{line}");
    assert!(line.contains("\"wrong_answers\":0"), "{line}");
    assert!(line.contains("\"ran_twice\":0"), "{line}");
    assert!(line.contains("\"foreign_reads\":0"), "{line}");
}
