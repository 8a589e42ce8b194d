//! Orders to the engines of this entry host, derived from the rules in force.

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

/// Sends orders at the rate that the weight store allows.
#[derive(Debug)]
pub(super) struct OrderSender {
    pacer: OrderPacer,
}

impl OrderSender {
    /// Creates a sender for a weight store that allows `loads` a minute for the whole fleet.
    pub(super) fn new(now: Moment, loads: u32) -> OrderSender {
        OrderSender { pacer: OrderPacer::new(now, loads) }
    }
}

impl Node {
    /// Sends the next order that an engine needs, if there is one and the rate allows it.
    ///
    /// The fencing number of an order is the version of the rules in force. It is compared with the
    /// current version once more just before the order is sent, so that a host does not order by
    /// outdated rules.
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

    /// Handles the result of an order. The next poll of the engine shows what the order changed.
    pub(super) fn on_order_ended(&mut self, _now: Moment, report: OrderReport) {
        if report.result == OrderResult::Done {
            self.orders.pacer.forget(&report.order.engine);
        }
    }
}

fn count(number: usize) -> u32 {
    u32::try_from(number).unwrap_or(u32::MAX)
}

/// Returns a short description of an order for the time line.
fn describe(order: &Order) -> String {
    match &order.action {
        OrderAction::LoadModel { model, revision } => format!("load model {model} {revision}"),
        OrderAction::UnloadModel { model, revision } => format!("unload model {model} {revision}"),
        OrderAction::LoadAdapter { model, adapter } => format!("load adapter {model}/{adapter}"),
        OrderAction::SetRole { role } => format!("set role {role:?}"),
    }
}
