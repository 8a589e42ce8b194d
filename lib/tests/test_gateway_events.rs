//! Splitting a stream of bytes that arrive in pieces of any size into complete events.

use proptest::prelude::*;
use test_case::test_case;
use wasabicrank_lib::protocol::EventSplitter;

struct Split {
    bytes: &'static str,
    ids: &'static [Option<u64>],
    is_complete: bool,
}

#[test_case(Split { bytes: "id: 1\ndata: a\n\nid: 2\ndata: b\n\n", ids: &[Some(1), Some(2)], is_complete: true } ; "two events")]
#[test_case(Split { bytes: "id: 1\r\ndata: a\r\n\r\n", ids: &[Some(1)], is_complete: true } ; "lines that end with CRLF")]
#[test_case(Split { bytes: "data: a\n\n", ids: &[None], is_complete: true } ; "an event without an id")]
#[test_case(Split { bytes: "x-weight-versions: 3\nid:4\n\n", ids: &[Some(4)], is_complete: true } ; "a line before the id")]
#[test_case(Split { bytes: "id: 1\ndata: a\n\nid: 2\nda", ids: &[Some(1)], is_complete: false } ; "an event that breaks off")]
#[test_case(Split { bytes: "id: 1\ndata: a\n", ids: &[], is_complete: false } ; "an event without its empty line")]
fn only_complete_events_are_returned(case: Split) {
    for step in 1..=case.bytes.len() {
        let mut splitter = EventSplitter::default();
        let mut ids = Vec::new();
        let mut bytes = Vec::new();
        for piece in case.bytes.as_bytes().chunks(step) {
            splitter.push(piece).unwrap();
            while let Some(event) = splitter.next_event() {
                ids.push(event.id);
                bytes.extend_from_slice(&event.bytes);
            }
        }
        assert_eq!((ids.as_slice(), splitter.is_empty()), (case.ids, case.is_complete));
        assert!(case.bytes.as_bytes().starts_with(&bytes));
    }
}

proptest! {
    #[test]
    fn no_byte_is_lost_or_added(text in "(id: [0-9]{1,3}\n(data: [a-z]{0,9}\n)?\n){0,8}", step in 1_usize..20) {
        let mut splitter = EventSplitter::default();
        let mut out = Vec::new();
        for piece in text.as_bytes().chunks(step) {
            splitter.push(piece).unwrap();
            while let Some(event) = splitter.next_event() {
                out.extend_from_slice(&event.bytes);
            }
        }
        prop_assert_eq!(out, text.as_bytes());
        prop_assert!(splitter.is_empty());
    }
}
