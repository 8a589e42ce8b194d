//! Which parts of prompts are isolated after crashes and answers.

use std::time::Duration;

use test_case::test_case;
use wasabicrank_lib::state::*;

const SERVICE: u32 = 7;
const CUSTOMER: u32 = 1;
const OTHER_CUSTOMER: u32 = 2;

fn at(millis: u64) -> Moment {
    Moment(millis * 1_000)
}

/// What one host sees, in order of time.
#[derive(Clone, Copy)]
enum Seen {
    /// Server `.1` crashed under a request with the parts `.2`, at a time in milliseconds.
    Crash(u64, u32, &'static [u64]),
    /// The same under a request of which an event had come.
    BegunCrash(u64, u32, &'static [u64]),
    /// The same under a request of another customer.
    OtherCrash(u64, u32, &'static [u64]),
    /// An answer under parts began.
    Answer(u64, &'static [u64]),
    /// Another host announced an answer that began at `.1`.
    Announced(u64, u64, u64),
}
use Seen::*;

impl Seen {
    fn time(self) -> u64 {
        match self {
            Crash(time, ..)
            | BegunCrash(time, ..)
            | OtherCrash(time, ..)
            | Answer(time, _)
            | Announced(time, ..) => time,
        }
    }
}

/// A host that gets all reports and answers without delay.
#[derive(Default)]
struct Host {
    evidence: CrashEvidence,
    changes: Vec<IsolationChange>,
    reports: u64,
}

impl Host {
    fn see(&mut self, seen: Seen) {
        let now = at(seen.time());
        let parts = |ids: &[u64]| ids.iter().map(|id| PartId(*id)).collect::<Vec<_>>();
        match seen {
            Crash(_, server, ids) => self.crash(now, server, CUSTOMER, false, parts(ids)),
            BegunCrash(_, server, ids) => self.crash(now, server, CUSTOMER, true, parts(ids)),
            OtherCrash(_, server, ids) => {
                self.crash(now, server, OTHER_CUSTOMER, false, parts(ids));
            }
            Answer(_, ids) => self.evidence.record_answer(SERVICE, &parts(ids), now),
            Announced(_, began, id) => {
                let part = ServicePart { service: SERVICE, part: PartId(id) };
                self.evidence.learn_answer(part, EventTime::from(at(began)));
            }
        }
        self.review(seen.time());
    }

    fn crash(
        &mut self,
        now: Moment,
        server: u32,
        customer: u32,
        has_begun: bool,
        parts: Vec<PartId>,
    ) {
        self.reports += 1;
        let (id, service, at) = (self.reports, SERVICE, EventTime::from(now));
        let report = CrashReport { id, service, server, customer, at, has_begun, parts };
        assert!(self.evidence.record_crash(now, report, true));
    }

    fn review(&mut self, millis: u64) {
        self.changes.extend(self.evidence.review(at(millis)));
    }

    fn is_refused(&self, id: u64, customer: u32) -> bool {
        self.evidence.isolation(SERVICE, &[PartId(id)], customer).is_some()
    }

    fn isolated(&self) -> Vec<u64> {
        self.evidence.isolated().keys().map(|part| part.part.0).collect()
    }
}

struct Story {
    seen: &'static [Seen],
    /// When the isolated parts are looked at, in milliseconds.
    until: u64,
    isolated: &'static [u64],
}

// Guards against parts that crash servers and are not refused, and sound ones that are.
#[test_case(Story { seen: &[Crash(0, 1, &[10, 99]), Crash(300, 2, &[11, 99]), Crash(600, 3, &[12, 99])], until: 1_200, isolated: &[] } ; "three crashes")]
#[test_case(Story { seen: &[Crash(0, 1, &[10, 99]), Crash(300, 2, &[11, 99]), Crash(600, 3, &[12, 99]), Crash(900, 4, &[13, 99])], until: 1_200, isolated: &[99] } ; "four crashes")]
#[test_case(Story { seen: &[Crash(0, 1, &[10, 99]), Crash(300, 2, &[11, 99]), Crash(600, 3, &[12, 99]), Crash(900, 4, &[13, 99])], until: 1_100, isolated: &[] } ; "four crashes, not settled")]
#[test_case(Story { seen: &[Crash(0, 1, &[99]), Crash(200, 2, &[99]), Crash(400, 3, &[99]), BegunCrash(600, 4, &[99])], until: 1_200, isolated: &[99] } ; "three crashes and one that had begun")]
#[test_case(Story { seen: &[BegunCrash(0, 1, &[99]), BegunCrash(200, 2, &[99]), BegunCrash(400, 3, &[99]), BegunCrash(600, 4, &[99]), BegunCrash(800, 5, &[99]), BegunCrash(1_000, 6, &[99])], until: 1_400, isolated: &[] } ; "six crashes that had begun")]
#[test_case(Story { seen: &[BegunCrash(0, 1, &[99]), BegunCrash(200, 2, &[99]), BegunCrash(400, 3, &[99]), BegunCrash(600, 4, &[99]), BegunCrash(800, 5, &[99]), BegunCrash(1_000, 6, &[99]), BegunCrash(1_200, 7, &[99])], until: 1_600, isolated: &[99] } ; "seven crashes that had begun")]
#[test_case(Story { seen: &[Crash(0, 1, &[10, 99]), Crash(300, 1, &[11, 99]), Crash(600, 1, &[12, 99]), Crash(900, 1, &[13, 99])], until: 1_200, isolated: &[] } ; "one crash, seen by four requests")]
#[test_case(Story { seen: &[Crash(0, 1, &[99]), Crash(4_000, 1, &[99]), Crash(8_000, 1, &[99]), Crash(12_000, 1, &[99])], until: 13_000, isolated: &[99] } ; "one server that crashes again")]
#[test_case(Story { seen: &[Crash(0, 1, &[99]), Crash(10, 2, &[99]), Crash(20, 3, &[99]), Crash(30, 4, &[99]), Crash(40, 5, &[99])], until: 900, isolated: &[] } ; "a power failure")]
#[test_case(Story { seen: &[Crash(0, 1, &[10, 99]), Crash(300, 2, &[10, 99]), Crash(600, 3, &[10, 99]), Crash(900, 4, &[10, 99]), Answer(1_000, &[10])], until: 1_200, isolated: &[99] } ; "the first part is answered elsewhere")]
#[test_case(Story { seen: &[Crash(0, 1, &[10, 99]), Crash(300, 2, &[10, 99]), Crash(600, 3, &[10, 99]), Crash(900, 4, &[10, 99])], until: 1_200, isolated: &[99] } ; "the first part is shared and was never answered")]
#[test_case(Story { seen: &[Crash(0, 1, &[99, 10]), Crash(300, 2, &[99, 11]), Crash(600, 3, &[99, 12]), Crash(900, 4, &[99, 13])], until: 1_200, isolated: &[99] } ; "the first part itself")]
#[test_case(Story { seen: &[Crash(0, 1, &[10]), Crash(300, 2, &[10]), Answer(400, &[10]), Crash(600, 3, &[10]), Crash(900, 4, &[10])], until: 1_200, isolated: &[] } ; "an answer between")]
#[test_case(Story { seen: &[Crash(0, 1, &[10]), Crash(300, 2, &[10]), Crash(600, 3, &[10]), Crash(900, 4, &[10]), Announced(950, 100, 10)], until: 1_200, isolated: &[] } ; "an answer that another host saw before the last crash")]
#[test_case(Story { seen: &[Answer(0, &[99]), Crash(200, 1, &[99]), Crash(400, 2, &[99]), Crash(600, 3, &[99]), Crash(800, 4, &[99])], until: 1_200, isolated: &[] } ; "four crashes of a part that was sound")]
#[test_case(Story { seen: &[Answer(0, &[99]), Crash(200, 1, &[99]), Crash(400, 2, &[99]), Crash(600, 3, &[99]), Crash(800, 4, &[99]), Crash(1_000, 5, &[99])], until: 1_300, isolated: &[99] } ; "a part that turns bad")]
#[test_case(Story { seen: &[Crash(0, 1, &[98]), Crash(200, 2, &[99]), Crash(400, 3, &[98]), Crash(600, 4, &[99]), Crash(800, 5, &[98]), Crash(1_000, 6, &[99]), Crash(1_200, 7, &[98]), Crash(1_400, 8, &[99])], until: 1_700, isolated: &[98, 99] } ; "two parts by turns")]
#[test_case(Story { seen: &[Crash(0, 1, &[98]), Crash(10, 1, &[99]), Crash(300, 2, &[98]), Crash(310, 2, &[99]), Crash(600, 3, &[98]), Crash(610, 3, &[99]), Crash(900, 4, &[98]), Crash(910, 4, &[99]), Crash(1_200, 5, &[99])], until: 1_600, isolated: &[99] } ; "a part that is at the same servers")]
#[test_case(Story { seen: &[Crash(0, 1, &[99]), Crash(300, 2, &[99]), Crash(600, 3, &[99]), Crash(900, 4, &[99]), Answer(1_200, &[99])], until: 1_300, isolated: &[] } ; "a part that was mended")]
fn parts_are_isolated_by_crashes_and_answers(case: Story) {
    let mut host = Host::default();
    case.seen.iter().for_each(|seen| host.see(*seen));
    host.review(case.until);
    assert_eq!(host.isolated(), case.isolated);
}

/// A part of which servers crash under the requests of one customer, or of two.
struct Customers {
    seen: [Seen; 4],
    is_refused_elsewhere: bool,
}

// Guards against a customer that has the requests of another one refused.
#[test_case(Customers { seen: [Crash(0, 1, &[99]), Crash(300, 2, &[99]), Crash(600, 3, &[99]), Crash(900, 4, &[99])], is_refused_elsewhere: false } ; "one customer")]
#[test_case(Customers { seen: [Crash(0, 1, &[99]), Crash(300, 2, &[99]), Crash(600, 3, &[99]), OtherCrash(900, 4, &[99])], is_refused_elsewhere: true } ; "two customers")]
fn one_customer_alone_is_refused_for_its_own_crashes(case: Customers) {
    let mut host = Host::default();
    case.seen.into_iter().for_each(|seen| host.see(seen));
    host.review(1_200);
    assert!(host.is_refused(99, CUSTOMER));
    let third = OTHER_CUSTOMER + 1;
    assert_eq!(host.is_refused(99, third), case.is_refused_elsewhere);
}

const CRASHES: [Seen; 4] = [
    Crash(0, 1, &[10, 99]),
    Crash(200, 2, &[11, 99]),
    Crash(400, 3, &[12, 99]),
    Crash(600, 4, &[13, 99]),
];

// Guards against a wrong isolation that never ends, and against many crashes once it has ended.
#[test]
fn an_isolation_lapses_and_one_crash_renews_it() {
    let mut host = Host::default();
    CRASHES.into_iter().for_each(|seen| host.see(seen));
    host.review(599_000);
    assert_eq!(host.isolated(), [99]);
    host.review(601_000);
    assert!(host.isolated().is_empty());
    let reason = match host.changes.last() {
        Some(IsolationChange::Cleared { reason, .. }) => *reason,
        other => panic!("not cleared: {other:?}"),
    };
    assert_eq!(reason, ClearReason::Lapsed);
    host.see(Crash(610_000, 5, &[14, 99]));
    assert_eq!(host.isolated(), [99]);
}

#[test]
fn a_trusted_part_is_never_isolated() {
    let mut host = Host::default();
    CRASHES.into_iter().for_each(|seen| host.see(seen));
    host.review(900);
    assert_eq!(host.isolated(), [99]);
    host.evidence.set_trusted([PartId(99)]);
    host.review(1_000);
    assert!(host.isolated().is_empty());
}

// Guards against callers that fill the memory, or push out what is known of other parts, with parts that
// they make up.
#[test]
fn made_up_parts_take_bounded_memory_and_push_out_nothing() {
    let mut host = Host::default();
    CRASHES.into_iter().for_each(|seen| host.see(seen));
    host.review(900);
    let mut answered = AnsweredParts::default();
    let popular = ServicePart { service: SERVICE, part: PartId(5) };
    for number in 0..20_000_u64 {
        let part = ServicePart { service: SERVICE, part: PartId(1_000_000 + number) };
        answered.insert(part, at(number));
        if number % 1_000 == 0 {
            answered.insert(popular, at(number));
        }
    }
    assert!(answered.len() <= 4_096, "{} parts", answered.len());
    assert_eq!(answered.get(popular), Some(at(19_000)));
    for number in 0..2_000_u64 {
        let (id, server) = (1_000 + number, 1_000 + number as u32);
        let at = EventTime::before(at(1_000 + number), Duration::ZERO);
        let parts = vec![PartId(1_000_000 + number)];
        let has_begun = false;
        let report =
            CrashReport { id, service: SERVICE, server, customer: 3, at, has_begun, parts };
        host.evidence.record_crash(Moment(1_000_000 + number * 1_000), report, false);
    }
    host.review(4_000);
    assert_eq!(host.isolated(), [99]);
}
