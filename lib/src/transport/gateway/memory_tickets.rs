//! Sets engines' memory aside for a prompt that one engine cannot hold, and gives it back.
//!
//! Memory is held for a short time and renewed while the answer comes, or may still come. When this
//! process or the server that writes the answer dies, or an order is carried out seconds late, the
//! memory is free again soon, whoever notices.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use futures_util::future::join_all;
use slog::info;
use tokio::task::JoinHandle;
use tokio::time::sleep;
use tokio::time::timeout;

use super::context::GatewayContext;
use super::dialect::Order;
use super::dialect::OrderOutcome;
use super::telemetry::LineKind;
use super::upstream::Upstream;
use crate::coordination::Dispatch;
use crate::coordination::MemoryTicket;
use crate::coordination::SendResult;
use crate::state::Moment;
use crate::state::Server;
use crate::state::TicketRenewal;

/// How long memory is held without a renewal. Servers carry out an order that they did not answer two
/// seconds later at the earliest, when a hold that short is over.
const HOLD: Duration = Duration::from_millis(2_000);
/// How often a hold is renewed.
const RENEWAL: Duration = Duration::from_millis(700);
/// When a renewal is sent again that was not answered.
const RENEWAL_RETRY: Duration = Duration::from_millis(50);
/// How long an engine may take to answer an order.
const ORDER_TIME: Duration = Duration::from_millis(250);
/// How often giving memory back is tried; after that the hold runs out by itself.
const RELEASE_TRIES: u32 = 3;

/// All the memory that is set aside for one send. Dropping it gives the memory back.
pub(crate) struct HeldMemory {
    /// Dropped with it, by which each is given back.
    _tickets: Vec<HeldTicket>,
    renewal: Rc<Cell<TicketRenewal>>,
}

impl HeldMemory {
    /// Notes that a part of the answer came.
    pub(crate) fn hear_answer(&self, now: Moment) {
        let mut renewal = self.renewal.get();
        renewal.record_progress(now);
        self.renewal.set(renewal);
    }
}

/// Memory that is set aside at one server.
struct HeldTicket {
    ctx: Rc<GatewayContext>,
    server: Server,
    ticket: MemoryTicket,
    renewal: JoinHandle<()>,
}

impl Drop for HeldTicket {
    fn drop(&mut self) {
        self.renewal.abort();
        let release = release(self.ctx.clone(), self.server.clone(), self.ticket.clone());
        tokio::task::spawn_local(release);
    }
}

/// Sets aside all the memory that `dispatch` needs beside that of its first server; nothing where it
/// needs none.
pub(crate) async fn reserve_memory(
    ctx: &Rc<GatewayContext>,
    dispatch: &Dispatch,
) -> Result<Option<HeldMemory>, SendResult> {
    if dispatch.helpers.iter().all(|helper| helper.ticket.is_none()) {
        return Ok(None);
    }
    let renewal = Rc::new(Cell::new(TicketRenewal::begin(ctx.now(), dispatch.expected_delay)));
    let wanted = dispatch.helpers.iter().filter_map(|helper| {
        let ticket = helper.ticket.as_ref()?;
        Some(reserve(ctx, &helper.server, ticket, &renewal))
    });
    let held: Option<Vec<HeldTicket>> = join_all(wanted).await.into_iter().collect();
    let tickets = held.ok_or(SendResult::NoMemory)?;
    Ok(Some(HeldMemory { _tickets: tickets, renewal }))
}

async fn reserve(
    ctx: &Rc<GatewayContext>,
    server: &Server,
    ticket: &MemoryTicket,
    renewal: &Rc<Cell<TicketRenewal>>,
) -> Option<HeldTicket> {
    let outcome = order(server, ctx, ctx.dialect.reserve_order(server, ticket, HOLD)).await;
    let now = ctx.now();
    if let Some(log) = ctx.telemetry.line(now, LineKind::Failure) {
        info!(log, "memory ordered"; "server" => &*server.id.id, "ticket" => &ticket.name,
            "tokens" => ticket.tokens, "outcome" => ?outcome);
    }
    if outcome == Some(OrderOutcome::Done) {
        let renewal = renew(ctx.clone(), server.clone(), ticket.clone(), renewal.clone());
        return Some(HeldTicket {
            ctx: ctx.clone(),
            server: server.clone(),
            ticket: ticket.clone(),
            renewal: tokio::task::spawn_local(renewal),
        });
    }
    ctx.gateway.borrow_mut().record_no_memory(now, &server.id);
    if outcome.is_none() {
        // The order may have been carried out, or will be.
        tokio::task::spawn_local(release(ctx.clone(), server.clone(), ticket.clone()));
    }
    None
}

/// Renews a hold as long as its answer may still come; after that the hold runs out.
async fn renew(
    ctx: Rc<GatewayContext>,
    server: Server,
    ticket: MemoryTicket,
    renewal: Rc<Cell<TicketRenewal>>,
) {
    let mut pause = RENEWAL;
    loop {
        sleep(pause).await;
        let is_due = renewal.get().is_due(ctx.now());
        let is_renewed = is_due && {
            let renewed = ctx.dialect.reserve_order(&server, &ticket, HOLD);
            order(&server, &ctx, renewed).await == Some(OrderOutcome::Done)
        };
        let line = if is_renewed { None } else { ctx.telemetry.line(ctx.now(), LineKind::Failure) };
        if let Some(log) = line {
            info!(log, "memory not renewed"; "server" => &*server.id.id, "ticket" => &ticket.name,
                "answer_expected" => is_due);
        }
        if !is_due {
            return;
        }
        pause = if is_renewed { RENEWAL } else { RENEWAL_RETRY };
    }
}

async fn release(ctx: Rc<GatewayContext>, server: Server, ticket: MemoryTicket) {
    for _ in 0..RELEASE_TRIES {
        let answer = order(&server, &ctx, ctx.dialect.release_order(&server, &ticket)).await;
        if answer.is_some() {
            return;
        }
    }
    if let Some(log) = ctx.telemetry.line(ctx.now(), LineKind::Failure) {
        info!(log, "memory left to run out"; "server" => &*server.id.id,
            "ticket" => &ticket.name);
    }
}

/// Sends an order; nothing if no answer came, after which it may still be carried out.
async fn order(server: &Server, ctx: &GatewayContext, order: Order) -> Option<OrderOutcome> {
    let exchange = async {
        let mut upstream = Upstream::connect(server.address).await.ok()?;
        let response = upstream.send(order).await.ok()?;
        Some(ctx.dialect.order_outcome(&response.into_parts().0))
    };
    timeout(ORDER_TIME, exchange).await.ok().flatten()
}
