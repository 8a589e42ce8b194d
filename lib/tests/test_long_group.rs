//! Groups for prompts that exceed one engine's memory: reserved in one order, released completely.

use std::collections::BTreeSet;

use test_case::test_case;

use wasabicrank_lib::state::*;

fn request(seq: u64) -> RequestId {
    RequestId { origin: Incarnation(1), seq }
}

fn plan(name: &str) -> SegmentPlan {
    SegmentPlan { engine: EngineName::new(name), tokens: 300_032, output_tokens: 0 }
}

fn group(names: &[&str]) -> LongGroup {
    let plans = names.iter().map(|name| plan(name)).collect();
    LongGroup::new(request(1), 1, plans, Moment(60_000_000))
}

/// Grants all start requests and returns the actions that follow.
fn reserve(group: &mut LongGroup) -> Vec<GroupAction> {
    let mut actions = group.start();
    while let [GroupAction::RequestStart { attempt, .. }] = &actions[..] {
        let attempt = *attempt;
        actions = group.granted(attempt);
    }
    actions
}

fn attempt(number: u32) -> AttemptId {
    AttemptId { request: request(1), number }
}

#[test]
fn segments_are_read_in_the_order_of_the_prompt() {
    let mut group = group(&["e3", "e1", "e2"]);
    let mut actions = reserve(&mut group);
    for number in 1..=2 {
        let [GroupAction::Prefill { attempt: reading, start, earlier, .. }] = &actions[..] else {
            panic!("{actions:?}");
        };
        assert_eq!(*reading, attempt(number));
        assert_eq!(*start, (number - 1) * 300_032);
        assert_eq!(earlier.len() as u32, number - 1);
        actions = group.exported(attempt(number), format!("x{number}"));
    }
    let [GroupAction::Generate { earlier, .. }] = &actions[..] else { panic!("{actions:?}") };
    let engines: Vec<&str> = earlier.iter().map(|export| export.engine.as_str()).collect();
    assert_eq!(engines, ["e3", "e1"]);
    let actions = group.completed(attempt(3));
    assert_eq!(actions.len(), 4, "three deletes and the end: {actions:?}");
    assert!(group.is_ended());
}

/// How a group ends early.
struct EndCase {
    /// How many segments were exported before.
    exported: u32,
    end: fn(&mut LongGroup) -> Vec<GroupAction>,
    reason: Reason,
}

#[test_case(EndCase { exported: 0, end: |g| g.failed(&EngineName::new("e1")), reason: Reason::TargetFailed }; "an engine fails before any export")]
#[test_case(EndCase { exported: 2, end: |g| g.failed(&EngineName::new("e3")), reason: Reason::TargetFailed }; "an engine fails after its export")]
#[test_case(EndCase { exported: 1, end: |g| g.poll(Moment(60_000_000)), reason: Reason::DeadlinePassed }; "the deadline passes")]
#[test_case(EndCase { exported: 1, end: |g| g.caller_gone(), reason: Reason::CallerGone }; "the caller disconnects")]
fn an_early_end_releases_everything(case: EndCase) {
    let mut group = group(&["e3", "e1", "e2"]);
    reserve(&mut group);
    for number in 1..=case.exported {
        group.exported(attempt(number), String::new());
    }
    let actions = (case.end)(&mut group);
    let released = actions.iter().filter_map(|action| match action {
        GroupAction::Delete { attempt, .. } | GroupAction::Withdraw { attempt, .. } => {
            Some(*attempt)
        }
        _ => None,
    });
    let released: BTreeSet<AttemptId> = released.collect();
    assert_eq!(released, (1..=3).map(attempt).collect());
    let refusals = actions.iter().filter(
        |action| matches!(action, GroupAction::Refuse(refusal) if refusal.reason == case.reason),
    );
    assert_eq!(refusals.count(), 1);
    // Late inputs change nothing.
    assert!(group.granted(attempt(1)).is_empty());
    assert!(group.exported(attempt(1), String::new()).is_empty());
    assert!(group.poll(Moment(90_000_000)).is_empty());
}

#[test]
fn a_denial_releases_the_reserved_segments() {
    let mut group = group(&["e2", "e1"]);
    group.start();
    group.granted(attempt(2));
    let actions = group.denied(attempt(1), Reason::MemoryFull, None);
    assert!(
        matches!(
            &actions[..],
            [
                GroupAction::Refuse(Refusal {
                    outcome: Outcome::NotRun,
                    reason: Reason::MemoryFull,
                    ..
                }),
                GroupAction::Withdraw { .. },
            ]
        ),
        "{actions:?}"
    );
}

#[test]
fn two_groups_on_the_same_engines_do_not_wait_for_each_other() {
    let policy = QueuePolicy::default;
    let mut queues =
        ["e1", "e2"].map(|name| EngineQueue::new(EngineName::new(name), 400_000, policy()));
    let plans = || vec![plan("e2"), plan("e1")];
    let deadline = Moment(60_000_000);
    let mut groups = [1, 2].map(|seq| LongGroup::new(request(seq), 1, plans(), deadline));
    let mut pending: Vec<(usize, GroupAction)> = Vec::new();
    for (index, group) in groups.iter_mut().enumerate() {
        pending.extend(group.start().into_iter().map(|action| (index, action)));
    }
    let (mut reading, mut refused) = (0, 0);
    while let Some((index, action)) = pending.pop() {
        match action {
            GroupAction::RequestStart { attempt, plan } => {
                let queue = usize::from(plan.engine.as_str() == "e2");
                let actions = submit(&mut queues[queue], attempt, plan, &mut groups[index]);
                pending.extend(actions.into_iter().map(|action| (index, action)));
            }
            GroupAction::Withdraw { attempt, engine } => {
                queues[usize::from(engine.as_str() == "e2")].withdraw(Moment(0), attempt);
            }
            GroupAction::Prefill { .. } => reading += 1,
            GroupAction::Refuse(_) => refused += 1,
            other => panic!("{other:?}"),
        }
    }
    assert_eq!((reading, refused), (1, 1));
    assert_eq!(queues.map(|queue| queue.load().held), [300_032; 2]);
}

fn submit(
    queue: &mut EngineQueue,
    attempt: AttemptId,
    plan: SegmentPlan,
    group: &mut LongGroup,
) -> Vec<GroupAction> {
    let request = StartRequest {
        attempt,
        engine: plan.engine,
        customer: CustomerName::new("c"),
        weight: 1,
        priority: Priority::Normal,
        prompt_tokens: plan.tokens,
        output_tokens: plan.output_tokens,
        blocks: Vec::new(),
        waited: std::time::Duration::ZERO,
        left: std::time::Duration::from_secs(60),
        segment: true,
    };
    queue.submit(Moment(0), Incarnation(1), request);
    let verdicts = queue.poll(Moment(0));
    let actions = verdicts.into_iter().map(|verdict| match verdict {
        Verdict::Grant { .. } => group.granted(attempt),
        Verdict::Deny { deny, .. } => group.denied(attempt, deny.reason, deny.room_in),
    });
    actions.flatten().collect()
}
