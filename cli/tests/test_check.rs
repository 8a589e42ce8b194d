//! Tests of the commands `check`, `settings` and `hash-token`, run as processes.

use std::io::Write;
use std::path::PathBuf;
use std::process::Command;
use std::process::Output;
use std::process::Stdio;

use test_case::test_case;

const BINARY: &str = env!("CARGO_BIN_EXE_wasabicrank");

/// A run of the binary and its expected results.
struct Case {
    arguments: &'static [&'static str],
    input: &'static str,
    code: i32,
    stdout: &'static [&'static str],
    stderr: &'static [&'static str],
}

const EMPTY: Case = Case { arguments: &[], input: "", code: 0, stdout: &[], stderr: &[] };

/// Returns the path of the folder with the example files.
fn examples() -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../examples")
}

/// Creates a temporary folder for one test.
fn temp_folder(name: &str) -> PathBuf {
    let name = format!("wasabicrank-check-{name}-{}", std::process::id());
    let folder = std::env::temp_dir().join(name);
    std::fs::create_dir_all(&folder).expect("a folder for the test");
    folder
}

/// Runs the binary in the folder with the example files.
fn run(arguments: &[&str], input: &str) -> Output {
    let mut child = Command::new(BINARY)
        .args(arguments)
        .current_dir(examples())
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the binary starts");
    // The write may fail, since a command that does not read its input may have exited already.
    let _ = child.stdin.take().expect("its input is a pipe").write_all(input.as_bytes());
    child.wait_with_output().expect("the binary ends")
}

#[test_case(Case { arguments: &["--version"], stdout: &["wasabicrank 0."], ..EMPTY }; "version")]
#[test_case(Case {
    arguments: &["--help"],
    stdout: &["Examples:", "Error codes:", "hash-token"],
    ..EMPTY
}; "help")]
#[test_case(Case {
    arguments: &["check", "--help"],
    stdout: &["Examples:", "wasabicrank check --rules cotisa.rules", "1 a file is wrong"],
    ..EMPTY
}; "help of check")]
#[test_case(Case {
    arguments: &["check", "--settings", "settings-cotisa.json", "--rules", "cotisa.rules"],
    stdout: &["settings-cotisa.json: good: entry-a1", "cotisa.rules: good: 10 customers"],
    ..EMPTY
}; "good files")]
#[test_case(Case { code: 2, stderr: &["no command is given"], ..EMPTY }; "no command")]
#[test_case(Case {
    arguments: &["chek"],
    code: 2,
    stderr: &["chek", "wasabicrank --help"],
    ..EMPTY
}; "unknown command")]
#[test_case(Case { arguments: &["check"], code: 2, stderr: &["--rules"], ..EMPTY }; "no file")]
#[test_case(Case {
    arguments: &["check", "--rules"],
    code: 2,
    stderr: &["--rules"],
    ..EMPTY
}; "no value")]
#[test_case(Case {
    arguments: &["check", "--rules", "nowhere.rules", "--settings", "settings-cotisa.json"],
    code: 1,
    stdout: &["settings-cotisa.json: good"],
    stderr: &["nowhere.rules: cannot be read: "],
    ..EMPTY
}; "no such rules")]
#[test_case(Case {
    arguments: &["check", "--settings", "cotisa.rules"],
    code: 1,
    stderr: &["cotisa.rules:1:1: not a JSON object: "],
    ..EMPTY
}; "rules for settings")]
#[test_case(Case {
    arguments: &["check", "--rules", "settings-cotisa.json"],
    code: 1,
    stderr: &["settings-cotisa.json:1:1: found `{`, expected one of `customer`"],
    ..EMPTY
}; "settings for rules")]
#[test_case(Case {
    arguments: &["hash-token"],
    input: "example-token-of-cliniques-rosemont\n",
    stdout: &["blake3:f4546588a25acc11abb685efd9c15f7819dcd8903dfb2f71cc2d160a81d8edcd"],
    ..EMPTY
}; "hash of a token")]
#[test_case(Case {
    arguments: &["hash-token"],
    input: "short\n",
    code: 1,
    stderr: &["expected one token of 16 to 512 printable ASCII characters"],
    ..EMPTY
}; "short token")]
#[test_case(Case {
    arguments: &["hash-token"],
    input: "two tokens in a row are wrong",
    code: 1,
    stderr: &["without blanks"],
    ..EMPTY
}; "blanks in a token")]
fn test_command(case: Case) {
    let output = run(case.arguments, case.input);
    let stdout = String::from_utf8(output.stdout).expect("its output is text");
    let stderr = String::from_utf8(output.stderr).expect("its errors are text");
    assert_eq!(output.status.code(), Some(case.code), "{stdout}{stderr}");
    assert_eq!(stdout.is_empty(), case.stdout.is_empty(), "{stdout}");
    assert_eq!(stderr.is_empty(), case.stderr.is_empty(), "{stderr}");
    for part in case.stdout {
        assert!(stdout.contains(part), "{part} is not in {stdout}");
    }
    for part in case.stderr {
        assert!(stderr.contains(part), "{part} is not in {stderr}");
    }
}

#[test]
fn test_examples_are_good() {
    for entry in examples().read_dir().unwrap() {
        let name = entry.unwrap().file_name().into_string().unwrap();
        let option = if name.ends_with(".json") { "--settings" } else { "--rules" };
        let output = run(&["check", option, &name], "");
        assert!(output.status.success(), "{name}: {}", String::from_utf8_lossy(&output.stderr));
    }
}

/// The hashes in the example rules are those of the tokens that their comments name.
#[test]
fn test_example_tokens() {
    for file in ["cotisa.rules", "astrebreizh.rules"] {
        let rules = std::fs::read_to_string(examples().join(file)).unwrap();
        let customers = rules.lines().filter_map(|line| line.strip_prefix("customer "));
        for mut words in customers.map(|line| line.split_whitespace()) {
            let name = words.next().unwrap();
            let output = run(&["hash-token"], &format!("example-token-of-{name}"));
            let hash = String::from_utf8(output.stdout).unwrap();
            assert_eq!(words.nth(1), Some(hash.trim()), "{name}");
        }
    }
}

/// Returns the indented block that follows `mark` in docs/operators.md.
fn page_block(mark: &str) -> String {
    let page = std::fs::read_to_string(examples().join("../docs/operators.md"))
        .expect("the operators' page is there");
    let (_, rest) = page.split_once(mark).expect("the page has the mark");
    let lines = rest.lines().skip_while(|line| !line.starts_with("    "));
    lines.map_while(|line| line.strip_prefix("    ")).map(|line| format!("{line}\n")).collect()
}

/// The errors in docs/operators.md are those that `check` prints for the invalid rules there.
#[test]
fn test_mistakes_on_the_operators_page() {
    let folder = temp_folder("page");
    std::fs::write(folder.join("mistakes.rules"), page_block("<!-- mistakes.rules -->")).unwrap();
    let check = ["check", "--rules", "mistakes.rules"];
    let output = Command::new(BINARY).args(check).current_dir(&folder).output().unwrap();
    assert_eq!(String::from_utf8(output.stderr).unwrap(), page_block("<!-- mistakes -->"));
    assert_eq!(output.status.code(), Some(1));
    std::fs::remove_dir_all(&folder).unwrap();
}

/// A change that makes valid settings invalid, and the error that `serve` then prints.
struct BadSettings {
    from: &'static str,
    to: &'static str,
    line: &'static str,
}

#[test_case("unknown", BadSettings {
    from: "\"zone\"",
    to: "\"zoen\"",
    line: "bad.json:4:3: zoen: found an unknown field, expected perhaps `zone`\n",
}; "unknown field")]
#[test_case("type", BadSettings {
    from: "7102",
    to: "\"7102\"",
    line: "bad.json:7:3: operator_port: found \"7102\", expected a whole number from 1 to 65535\n",
}; "wrong type")]
#[test_case("zone", BadSettings {
    from: "\"zone\": \"zone-a\",",
    to: "",
    line: "bad.json: zone: found nothing, \
           expected a name of 1 to 64 letters, digits, `-`, `_` or `.`\n",
}; "missing zone")]
#[test_case("ip", BadSettings {
    from: "\"10.20.1.11\"",
    to: "\"10.20.1\"",
    line: "bad.json:5:3: ip: found \"10.20.1\", \
           expected the IP number of one host, such as \"10.0.1.5\"\n",
}; "bad ip")]
fn test_bad_settings_end_serve(name: &str, case: BadSettings) {
    let good = std::fs::read_to_string(examples().join("settings-cotisa.json"));
    let good = good.expect("the example is there");
    assert!(good.contains(case.from));
    let folder = temp_folder(name);
    let bad = good.replacen(case.from, case.to, 1);
    std::fs::write(folder.join("bad.json"), bad).expect("settings are written");
    let serve = ["serve", "--settings", "bad.json"];
    let output = Command::new(BINARY).args(serve).current_dir(&folder).output();
    let output = output.expect("the binary runs");
    assert_eq!(String::from_utf8_lossy(&output.stderr), case.line);
    assert_eq!((output.status.code(), output.stdout.len()), (Some(2), 0));
    std::fs::remove_dir_all(&folder).expect("the folder can go");
}

/// The output of `settings --json` is a valid settings file once it names an existing key file.
#[test]
fn test_printed_settings_are_taken() {
    let folder = temp_folder("settings");
    let (settings, key) = (folder.join("entry.json"), folder.join("peer.key"));
    std::fs::write(&key, format!("{}\n", "5a".repeat(32))).unwrap();
    let printed = String::from_utf8(run(&["settings", "--json"], "").stdout).unwrap();
    std::fs::write(&settings, printed.replace("peer.key", key.to_str().unwrap())).unwrap();
    let checked = run(&["check", "--settings", settings.to_str().unwrap()], "");
    assert!(checked.status.success(), "{}", String::from_utf8_lossy(&checked.stderr));
    let annotated = String::from_utf8(run(&["settings"], "").stdout).unwrap();
    let fields = |text: &str| text.matches("\": ").count();
    assert_eq!(fields(&annotated), fields(&printed) + 1, "only `peer_key` has no sample");
    std::fs::remove_dir_all(&folder).unwrap();
}

#[test_case(&["settings"]; "settings")]
#[test_case(&["--help"]; "help")]
fn test_closed_pipe_is_no_failure(arguments: &[&str]) {
    let (reader, writer) = std::io::pipe().expect("a pipe opens");
    drop(reader);
    let output = Command::new(BINARY)
        .args(arguments)
        .stdin(Stdio::null())
        .stdout(writer)
        .stderr(Stdio::piped())
        .output()
        .expect("the binary runs");
    assert!(output.status.success());
    assert_eq!(String::from_utf8_lossy(&output.stderr), "");
}
