//! How long the reservation of a send is renewed, by what was expected and what arrived.

use std::time::Duration;

use test_case::test_case;
use wasabicrank_lib::state::*;

const BOUNDS: MemoryBounds =
    MemoryBounds { unused: Duration::from_secs(9), release: Duration::from_secs(4) };

/// A send of which nothing arrives; the times are in milliseconds.
struct Silent {
    bounds: MemoryBounds,
    expected: u64,
    /// Until when the reservation is renewed without a question.
    renewed_until: u64,
}

// Guards against memory that stays reserved, unused, for as long as a wrong forecast says.
#[test_case(Silent { bounds: BOUNDS, expected: 300, renewed_until: 3_800 } ; "soon")]
#[test_case(Silent { bounds: BOUNDS, expected: 5_000, renewed_until: 4_500 } ; "late")]
#[test_case(Silent { bounds: BOUNDS, expected: 60_000, renewed_until: 4_500 } ; "never")]
#[test_case(Silent { bounds: MemoryBounds { unused: Duration::from_secs(6), ..BOUNDS }, expected: 5_000, renewed_until: 1_500 } ; "a short bound")]
#[test_case(Silent { bounds: MemoryBounds { unused: Duration::from_secs(3), ..BOUNDS }, expected: 5_000, renewed_until: 0 } ; "a bound below two holds")]
fn unused_memory_is_renewed_within_its_bound(case: Silent) {
    let expected = Duration::from_millis(case.expected);
    let renewal = TicketRenewal::begin(Moment(0), expected, case.bounds);
    let step = |millis: u64| renewal.step(Moment(millis * 1_000));
    if case.renewed_until > 0 {
        assert_eq!(step(case.renewed_until - 1), RenewalStep::Renew);
    }
    assert_eq!(step(case.renewed_until), RenewalStep::AskEngine);
}

/// A stream that goes silent after its first event.
struct Paused {
    release: Duration,
    renewed_for: Duration,
}

// Guards against memory that outlasts a server which died in the middle of its stream.
#[test_case(Paused { release: Duration::from_secs(4), renewed_for: Duration::from_millis(1_500) } ; "four seconds")]
#[test_case(Paused { release: Duration::from_secs(3), renewed_for: Duration::from_millis(500) } ; "three seconds")]
#[test_case(Paused { release: Duration::from_secs(1), renewed_for: Duration::ZERO } ; "less than a hold")]
fn memory_of_a_silent_stream_is_renewed_within_its_bound(case: Paused) {
    let bounds = MemoryBounds { release: case.release, ..BOUNDS };
    let mut renewal = TicketRenewal::begin(Moment(0), Duration::from_millis(100), bounds);
    let event = Moment(1_000_000);
    renewal.record_progress(event);
    assert_eq!(renewal.step(event + case.renewed_for), RenewalStep::AskEngine);
    if !case.renewed_for.is_zero() {
        let before = event + (case.renewed_for - Duration::from_millis(1));
        assert_eq!(renewal.step(before), RenewalStep::Renew);
    }
}
