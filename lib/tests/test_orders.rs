//! Orders: engines come to comply with the rules, repetition has no effect, and model loads stay
//! within the rate of the weight store.

use std::time::Duration;

use wasabicrank_lib::state::*;

fn rules(version: u64, revision: &str) -> Rules {
    let model = ModelName::new("m");
    let model_rule = ModelRule {
        revision: revision.to_owned(),
        max_prompt: 1_000_000,
        max_output: 1_000,
        deadline: Duration::from_secs(60),
        adapters: vec!["quebec".to_owned()],
    };
    let engine_rule = EngineRule {
        pattern: "e*".to_owned(),
        role: EngineRole::Long,
        models: vec![model.clone()],
    };
    Rules {
        version,
        models: [(model, model_rule)].into_iter().collect(),
        engines: vec![engine_rule],
        ..Rules::default()
    }
}

/// Executes an order, which has no further effect when it is executed again.
fn execute(report: &mut EngineReport, action: &OrderAction) {
    match action {
        OrderAction::LoadModel { model, revision } => {
            let same = |have: &LoadedModel| have.model == *model && have.revision == *revision;
            if !report.models.iter().any(same) {
                let (model, revision) = (model.clone(), revision.clone());
                report.models.push(LoadedModel { model, revision, adapters: Vec::new() });
            }
        }
        OrderAction::UnloadModel { model, revision } => {
            report.models.retain(|have| have.model != *model || have.revision != *revision);
        }
        OrderAction::LoadAdapter { model, adapter } => {
            for have in report.models.iter_mut().filter(|have| have.model == *model) {
                if !have.adapters.contains(adapter) {
                    have.adapters.push(adapter.clone());
                }
            }
        }
        OrderAction::SetRole { role } => report.role = *role,
    }
}

fn comply(rules: &Rules, report: &mut EngineReport) -> Vec<OrderAction> {
    let mut sent = Vec::new();
    while let Some(order) = next_order(rules, &EngineName::new("e1"), report) {
        assert_eq!(order.fence, rules.version);
        execute(report, &order.action);
        execute(report, &order.action);
        sent.push(order.action);
        assert!(sent.len() < 10, "orders do not end: {sent:?}");
    }
    sent
}

#[test]
fn an_engine_comes_to_comply_with_the_rules_and_keeps_serving() {
    let mut report = EngineReport::default();
    comply(&rules(1, "r1"), &mut report);
    let sent = comply(&rules(2, "r2"), &mut report);
    let loads = sent.iter().position(|action| matches!(action, OrderAction::LoadModel { .. }));
    let unloads = sent.iter().position(|action| matches!(action, OrderAction::UnloadModel { .. }));
    assert!(loads < unloads, "{sent:?}");
    assert_eq!(report.models.len(), 1);
    assert_eq!(report.models[0].revision, "r2");
    assert_eq!(report.models[0].adapters, ["quebec"]);
}

#[test]
fn a_leaving_or_unnamed_engine_gets_no_orders() {
    let rules = rules(1, "r1");
    let leaving = EngineReport { leaving: true, ..EngineReport::default() };
    assert_eq!(next_order(&rules, &EngineName::new("e1"), &leaving), None);
    assert_eq!(next_order(&rules, &EngineName::new("other"), &EngineReport::default()), None);
}

#[test]
fn an_order_of_an_older_configuration_is_not_current() {
    let order = next_order(&rules(1, "r1"), &EngineName::new("e1"), &EngineReport::default());
    let order = order.unwrap();
    assert!(order.is_current(1) && !order.is_current(2));
}

#[test]
fn dispatchers_together_stay_within_the_rate_of_the_weight_store() {
    let share = OrderShare { owned: 4, total: 16 };
    let mut pacers: Vec<OrderPacer> = (0..4).map(|_| OrderPacer::new(Moment(0), 6)).collect();
    let mut loads = Vec::new();
    for second in 0..600u64 {
        let now = Moment(second * 1_000_000);
        for (index, pacer) in pacers.iter_mut().enumerate() {
            for engine in 0..4 {
                // Engines that never complete an order get it again and again.
                let name = EngineName::new(format!("e{index}-{engine}"));
                let report = EngineReport { role: EngineRole::Long, ..EngineReport::default() };
                let Some(order) = next_order(&rules(1, "r1"), &name, &report) else { continue };
                if pacer.admit(now, order, share).is_some() {
                    loads.push(second);
                }
            }
        }
    }
    for start in 0..600u64 {
        let within = loads.iter().filter(|at| **at >= start && **at < start + 60).count();
        assert!(within <= 6 + 4, "{within} loads in the minute from {start}");
    }
    assert!(loads.len() <= 60 && loads.len() >= 50, "{} loads in ten minutes", loads.len());
}
