//! Orders to the engines of this entry host, worked out from the rules in force.

use super::Node;
use super::io::OrderReport;
use super::io::OrderResult;
use super::io::Output;
use crate::state::EngineName;
use crate::state::Event;
use crate::state::Moment;
use crate::state::Order;
use crate::state::OrderAction;
use crate::state::OrderPacer;
use crate::state::OrderShare;
use crate::state::next_order;

/// Gives orders at the pace of the weight store.
#[derive(Debug)]
pub(super) struct OrderSender {
    pacer: OrderPacer,
}

impl OrderSender {
    /// Makes a desk for a weight store that allows `loads` a minute over the fleet.
    pub(super) fn new(now: Moment, loads: u32) -> OrderSender {
        OrderSender { pacer: OrderPacer::new(now, loads) }
    }
}

impl Node {
    /// Gives the next order that an engine needs, if it needs one and may get it now.
    ///
    /// Nothing is ordered by a host that knows no newer rules than its peers: the fencing number is
    /// the version in force, and it is compared once more just before the order goes out.
    pub(super) fn send_next_order(&mut self, now: Moment, name: &EngineName) {
        let mine = count(self.dispatch.engines.len());
        let share = OrderShare { owned: mine, total: count(self.list.engines.len()) };
        let Some(dispatched) = self.dispatch.engines.get(name) else { return };
        let Some(report) = &dispatched.report else { return };
        let Some(order) = next_order(&self.rules, name, report) else { return };
        let addr = dispatched.addr;
        let Some(order) = self.orders.pacer.admit(now, order, share) else { return };
        if !order.is_current(self.config.version()) {
            return;
        }
        self.record(Event::OrderSent {
            engine: name.clone(),
            order: describe(&order),
            fence: order.fence,
        });
        self.emit(Output::SendOrder { addr, order });
    }

    /// Takes the end of an order; the next poll shows what it changed.
    pub(super) fn on_order_ended(&mut self, _now: Moment, report: OrderReport) {
        if report.result == OrderResult::Done {
            self.orders.pacer.forget(&report.order.engine);
        }
    }
}

fn count(number: usize) -> u32 {
    u32::try_from(number).unwrap_or(u32::MAX)
}

/// Returns an order in a few words, for the time line.
fn describe(order: &Order) -> String {
    match &order.action {
        OrderAction::LoadModel { model, revision } => format!("load model {model} {revision}"),
        OrderAction::UnloadModel { model, revision } => format!("unload model {model} {revision}"),
        OrderAction::LoadAdapter { model, adapter } => format!("load adapter {model}/{adapter}"),
        OrderAction::SetRole { role } => format!("set role {role:?}"),
    }
}
