//! Tests of the command `measure`, run as a process.

use std::fs;
use std::process::Command;

#[test]
fn a_quick_measure_prints_tables_and_writes_every_file() {
    let dir = std::env::temp_dir().join(format!("wasabicrank-measure-{}", std::process::id()));
    let output = Command::new(env!("CARGO_BIN_EXE_wasabicrank"))
        .args(["measure", "--quick", "--out"])
        .arg(&dir)
        .output()
        .expect("the command runs");
    assert!(output.status.success(), "{}", String::from_utf8_lossy(&output.stderr));
    let text = String::from_utf8(output.stdout).expect("UTF-8");
    for word in ["wasabicrank", "round robin", "least outstanding", "no reserve", "zone lost"] {
        assert!(text.contains(word), "no `{word}` in:\n{text}");
    }
    let csv = fs::read_to_string(dir.join("measures.csv")).expect("measures.csv");
    // One heading line, then one line for each of eight loads, three routers and six lengths.
    assert_eq!(csv.lines().count(), 1 + 8 * 3 * 6);
    for chart in ["first-token.svg", "slowdown.svg"] {
        let svg = fs::read_to_string(dir.join(chart)).expect("a chart");
        assert!(svg.starts_with("<svg") && svg.trim_end().ends_with("</svg>"), "{chart}");
    }
    fs::remove_dir_all(&dir).expect("the directory goes");
}

#[test]
fn a_directory_that_cannot_be_made_ends_with_one() {
    let output = Command::new(env!("CARGO_BIN_EXE_wasabicrank"))
        .args(["measure", "--quick", "--out", "/dev/null/measures"])
        .output()
        .expect("the command runs");
    assert_eq!(output.status.code(), Some(1));
}
