//! Parsing of settings files: the accepted settings, and the one-line message of each error.

use std::net::SocketAddr;
use std::time::Duration;

use proptest::prelude::any;
use proptest::strategy::Strategy;
use proptest::test_runner::Config;
use proptest::test_runner::RngAlgorithm;
use proptest::test_runner::TestRng;
use proptest::test_runner::TestRunner;
use test_case::test_case;
use wasabicrank_lib::protocol::FIELDS;
use wasabicrank_lib::protocol::LogFormat;
use wasabicrank_lib::protocol::LogLevel;
use wasabicrank_lib::protocol::Settings;
use wasabicrank_lib::state::Tuning;

/// Settings with only the required fields.
const GOOD: &str = r#"{
  "host": "entry-1",
  "zone": "quimper",
  "ip": "127.0.0.1",
  "caller_port": 7101,
  "operator_port": 7102,
  "peer_port": 7103,
  "platform": "127.0.0.1:7000",
  "peer_key": "0f0f0f0f0f0f0f0f0f0f0f0f0f0f0f0f0f0f0f0f0f0f0f0f0f0f0f0f0f0f0f0f"
}"#;

/// A change to the valid settings, and the error message that it causes.
struct Case {
    from: &'static str,
    to: &'static str,
    message: &'static str,
}

#[test]
fn test_defaults() {
    let settings = Settings::parse("entry.json", GOOD).unwrap();
    assert_eq!(settings.tuning, Tuning::default());
    assert_eq!(settings.peer_addr(), "127.0.0.1:7103".parse::<SocketAddr>().unwrap());
    assert_eq!(settings.peer_key.0, [15; 32]);
    assert_eq!(settings.peers, []);
    assert_eq!((settings.log.level, settings.log.format), (LogLevel::Info, LogFormat::Json));
    assert_eq!(settings.bounds.body_bytes, 16 * 1024 * 1024);
    assert_eq!(settings.bounds.connections, 2_048);
    assert_eq!((settings.ring_size, settings.worker_threads), (8_192, 4));
    assert!(!format!("{settings:?}").contains("15, 15"), "the key must not be shown");
}

#[test]
fn test_given_values() {
    let more =
        r#""zone": "brest", "lease_ms": 700, "stop_bound_s": 9, "peers": ["10.0.1.5:7103"],"#;
    let text = GOOD.replace(r#""zone": "quimper","#, more);
    let settings = Settings::parse("entry.json", &text).unwrap();
    assert_eq!(settings.tuning.lease, Duration::from_millis(700));
    assert_eq!(settings.tuning.stop_bound, Duration::from_secs(9));
    assert_eq!(settings.peers, ["10.0.1.5:7103".parse::<SocketAddr>().unwrap()]);
    assert_eq!(settings.zone.as_str(), "brest");
}

#[test_case(Case {
    from: r#""zone""#,
    to: r#""zoen""#,
    message: "entry.json:3:3: zoen: found an unknown field, expected perhaps `zone`",
}; "misspelt field")]
#[test_case(Case {
    from: r#""zone": "quimper""#,
    to: r#""region": "quimper""#,
    message: "entry.json:3:3: region: found an unknown field, \
              expected a field that `wasabicrank settings` lists",
}; "unknown field")]
#[test_case(Case {
    from: r#""zone": "quimper","#,
    to: "",
    message: "entry.json: zone: found nothing, \
              expected a name of 1 to 64 letters, digits, `-`, `_` or `.`",
}; "missing zone")]
#[test_case(Case {
    from: r#""zone": "quimper""#,
    to: r#""zone": null"#,
    message: "entry.json:3:3: zone: found null, \
              expected a name of 1 to 64 letters, digits, `-`, `_` or `.`",
}; "null zone")]
#[test_case(Case {
    from: r#""zone": "quimper","#,
    to: r#""zone": "quimper", "zone": "brest","#,
    message: "entry.json:3:22: zone: found the field a second time, expected each field once",
}; "field twice")]
#[test_case(Case {
    from: r#""ip": "127.0.0.1""#,
    to: r#""ip": "localhost""#,
    message: "entry.json:4:3: ip: found \"localhost\", \
              expected the IP number of one host, such as \"10.0.1.5\"",
}; "host name for ip")]
#[test_case(Case {
    from: r#""ip": "127.0.0.1""#,
    to: r#""ip": "0.0.0.0""#,
    message: "entry.json:4:3: ip: found \"0.0.0.0\", \
              expected the IP number of one host, such as \"10.0.1.5\"",
}; "ip of every interface")]
#[test_case(Case {
    from: "7101",
    to: r#""7101""#,
    message: "entry.json:5:3: caller_port: found \"7101\", \
              expected a whole number from 1 to 65535",
}; "port as text")]
#[test_case(Case {
    from: "7101",
    to: "70000",
    message: "entry.json:5:3: caller_port: found 70000, expected a whole number from 1 to 65535",
}; "port out of range")]
#[test_case(Case {
    from: "7101",
    to: "-1",
    message: "entry.json:5:3: caller_port: found -1, expected a whole number from 1 to 65535",
}; "negative port")]
#[test_case(Case {
    from: "7102",
    to: "7101",
    message: "entry.json:6:3: operator_port: found 7101, \
              expected a port other than that of `caller_port`",
}; "one port twice")]
#[test_case(Case {
    from: r#""zone": "quimper","#,
    to: r#""zone": "quimper", "heartbeat_ms": 5,"#,
    message: "entry.json:3:22: heartbeat_ms: found 5, \
              expected a whole number from 10 to 5000 (milliseconds)",
}; "span out of range")]
#[test_case(Case {
    from: r#""zone": "quimper","#,
    to: r#""zone": "quimper", "heartbeat_ms": 600,"#,
    message: "entry.json: suspect_ms: found 1500, \
              expected at least 1800, three times `heartbeat_ms`",
}; "suspicion before three heartbeats")]
#[test_case(Case {
    from: r#""zone": "quimper","#,
    to: r#""zone": "quimper", "orphan_margin_ms": 1000,"#,
    message: "entry.json:3:22: orphan_margin_ms: found 1000, \
              expected at least 1500, the value of `suspect_ms`",
}; "orphans before suspicion")]
#[test_case(Case {
    from: r#""zone": "quimper","#,
    to: r#""zone": "quimper", "log_level": "loud","#,
    message: "entry.json:3:22: log_level: found \"loud\", \
              expected one of \"critical\", \"error\", \"warning\", \"info\", \"debug\"",
}; "unknown word")]
#[test_case(Case {
    from: r#""0f0f0f"#,
    to: r#""xf0f0f"#,
    message: "entry.json:9:3: peer_key: found a text of 64 characters, \
              expected a text of 64 hex digits",
}; "bad key is not shown")]
#[test_case(Case {
    from: r#""peer_key""#,
    to: r#""peer_key_file": "/nowhere", "peer_key""#,
    message: "entry.json:9:32: peer_key: found both, expected either `peer_key` or `peer_key_file`",
}; "two keys")]
#[test_case(Case {
    from: r#""peer_key": "0f0f0f0f0f0f0f0f0f0f0f0f0f0f0f0f0f0f0f0f0f0f0f0f0f0f0f0f0f0f0f0f""#,
    to: r#""note": "no key""#,
    message: "entry.json: peer_key: found nothing, expected either `peer_key` or `peer_key_file`",
}; "no key")]
#[test_case(Case {
    from: "7103,",
    to: "7103",
    message: "entry.json:8:3: not a JSON object: expected `,` or `}`",
}; "missing comma")]
#[test_case(Case {
    from: "{",
    to: "7 {",
    message: "entry.json:1:1: not a JSON object: invalid type: integer `7`, \
              expected a JSON object with the settings",
}; "no object")]
fn test_refused(case: Case) {
    assert!(GOOD.contains(case.from));
    let text = GOOD.replacen(case.from, case.to, 1);
    let error = Settings::parse("entry.json", &text).expect_err("it must be refused");
    assert_eq!(error.to_string(), case.message);
    assert_eq!(error.to_string().lines().count(), 1);
}

#[test]
fn test_unreadable_file() {
    let error = Settings::read("/nowhere/entry.json").unwrap_err().to_string();
    assert!(error.starts_with("/nowhere/entry.json: cannot be read: "), "{error}");
}

#[test]
fn test_fields_say_what_they_are_for() {
    for field in FIELDS {
        assert!(field.meaning.ends_with('.'), "{}", field.name);
        let named = field.name.ends_with("_ms") || field.name.ends_with("_s");
        assert!(!named || !field.unit.is_empty(), "{}", field.name);
    }
}

/// Replaces random bytes of valid settings; parsing must return settings or a one-line error.
#[test]
fn test_mutated_settings_never_panic() {
    let seed = TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]);
    let mut runner = TestRunner::new_with_rng(Config::with_cases(2_000), seed);
    let edits = proptest::collection::vec((0..GOOD.len(), any::<u8>()), 1..6);
    let texts = edits.prop_map(|edits| {
        let mut bytes = GOOD.as_bytes().to_vec();
        for (at, byte) in edits {
            bytes[at] = byte;
        }
        String::from_utf8_lossy(&bytes).into_owned()
    });
    runner
        .run(&texts, |text| {
            if let Err(error) = Settings::parse("entry.json", &text) {
                proptest::prop_assert_eq!(error.to_string().lines().count(), 1);
            }
            Ok(())
        })
        .unwrap();
}
