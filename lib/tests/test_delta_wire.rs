//! Configuration deltas round-trip through the wire format between entry hosts.

use test_case::test_case;
use wasabicrank_lib::coordination::ConfigBody;
use wasabicrank_lib::coordination::ConfigUpdate;
use wasabicrank_lib::coordination::PeerMessage;
use wasabicrank_lib::coordination::apply_edits;
use wasabicrank_lib::coordination::line_edits;
use wasabicrank_lib::protocol::decode_message;
use wasabicrank_lib::protocol::encode_message;

/// A configuration text and its next version.
struct Case {
    old: &'static str,
    new: &'static str,
}

#[test_case(Case { old: "a\nb\nc\n", new: "a\nx\nc\n" }; "a line changed")]
#[test_case(Case { old: "a\nb\n", new: "a\nb\nc\nd\n" }; "lines added at the end")]
#[test_case(Case { old: "a\nb\n", new: "a\nb" }; "final newline removed")]
#[test_case(Case { old: "a\nb", new: "a\nb\n" }; "final newline added")]
#[test_case(Case { old: "", new: "a\n" }; "from empty")]
#[test_case(Case { old: "a\n", new: "" }; "to empty")]
#[test_case(Case { old: "a\n\n\nb\n", new: "\n\na\n\nb\n\n" }; "blank lines")]
#[test_case(Case { old: "a\r\nb\n", new: "a\nb\r\n" }; "carriage returns")]
fn test_delta_round_trips(case: Case) {
    let edits = line_edits(case.old, case.new).expect("the change fits in a delta");
    let body = ConfigBody::Delta { base: 1, edits };
    let sent = PeerMessage::Config(Box::new(ConfigUpdate { version: 2, hash: 3, body }));
    let bytes = encode_message(&sent).expect("the message can be encoded");
    let received = decode_message(&bytes, 1_024).expect("the message can be decoded");
    assert_eq!(received, sent);
    let PeerMessage::Config(update) = received else { panic!("expected a configuration message") };
    let ConfigBody::Delta { edits, .. } = update.body else { panic!("expected a delta") };
    assert_eq!(apply_edits(case.old, &edits).as_deref(), Some(case.new));
}
