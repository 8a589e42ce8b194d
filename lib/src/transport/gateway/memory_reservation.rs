//! Reserves memory at several engines for a prompt that does not fit one engine, and releases it.
//!
//! Reservations are short leases that are renewed while the response arrives or may still arrive, or
//! while the engine states that a request uses the memory. So the memory is soon free again when this
//! process or the responding server dies, or when an order is carried out seconds late, even if nobody
//! releases it.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use bytes::BytesMut;
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
use crate::state::MEMORY_HOLD;
use crate::state::Moment;
use crate::state::RenewalStep;
use crate::state::Server;
use crate::state::TicketRenewal;

/// How often a reservation is renewed.
const RENEWAL_INTERVAL: Duration = Duration::from_millis(700);
/// The delay before a failed renewal is sent again.
const RENEWAL_RETRY_DELAY: Duration = Duration::from_millis(50);
/// The timeout for an engine's response to an order.
const ORDER_TIMEOUT: Duration = Duration::from_millis(250);
/// The largest report of an engine that is read, in bytes.
const MAX_REPORT_BYTES: usize = 256 * 1024;
/// How many times a release is tried; after that the reservation expires by itself.
const MAX_RELEASE_ATTEMPTS: u32 = 3;

/// All memory that is reserved for one send; released on drop.
pub(crate) struct MemoryReservation {
    /// Each reservation is released when it is dropped.
    _tickets: Vec<ServerReservation>,
    renewal: Rc<Cell<TicketRenewal>>,
}

impl MemoryReservation {
    /// Records that a part of the response arrived.
    pub(crate) fn record_progress(&self, now: Moment) {
        let mut renewal = self.renewal.get();
        renewal.record_progress(now);
        self.renewal.set(renewal);
    }
}

/// Memory that is reserved at one server; released on drop.
struct ServerReservation {
    ctx: Rc<GatewayContext>,
    server: Server,
    ticket: MemoryTicket,
    renewal: JoinHandle<()>,
}

impl Drop for ServerReservation {
    fn drop(&mut self) {
        self.renewal.abort();
        let release = release(self.ctx.clone(), self.server.clone(), self.ticket.clone());
        tokio::task::spawn_local(release);
    }
}

/// Reserves all memory that `dispatch` needs at engines other than its first server; `None` if it needs
/// none there.
pub(crate) async fn reserve_memory(
    ctx: &Rc<GatewayContext>,
    dispatch: &Dispatch,
) -> Result<Option<MemoryReservation>, SendResult> {
    if dispatch.helpers.iter().all(|helper| helper.ticket.is_none()) {
        return Ok(None);
    }
    if ctx.gateway.borrow().has_evacuated_server(dispatch) {
        return Err(SendResult::Evacuated);
    }
    let bounds = ctx.gateway.borrow().memory_bounds();
    let renewal =
        Rc::new(Cell::new(TicketRenewal::begin(ctx.now(), dispatch.expected_delay, bounds)));
    let wanted = dispatch.helpers.iter().filter_map(|helper| {
        let ticket = helper.ticket.as_ref()?;
        Some(reserve(ctx, &helper.server, ticket, &renewal))
    });
    let held: Option<Vec<ServerReservation>> = join_all(wanted).await.into_iter().collect();
    let tickets = held.ok_or(SendResult::NoMemory)?;
    Ok(Some(MemoryReservation { _tickets: tickets, renewal }))
}

async fn reserve(
    ctx: &Rc<GatewayContext>,
    server: &Server,
    ticket: &MemoryTicket,
    renewal: &Rc<Cell<TicketRenewal>>,
) -> Option<ServerReservation> {
    let outcome =
        send_order(server, ctx, ctx.dialect.reserve_order(server, ticket, MEMORY_HOLD)).await;
    let now = ctx.now();
    if let Some(log) = ctx.telemetry.limited_log(now, LineKind::Failure) {
        info!(log, "memory ordered"; "server" => server.id.id(), "ticket" => &ticket.name,
            "tokens" => ticket.tokens, "outcome" => ?outcome);
    }
    if outcome == Some(OrderOutcome::Done) {
        let renewal = renew(ctx.clone(), server.clone(), ticket.clone(), renewal.clone());
        return Some(ServerReservation {
            ctx: ctx.clone(),
            server: server.clone(),
            ticket: ticket.clone(),
            renewal: tokio::task::spawn_local(renewal),
        });
    }
    ctx.gateway.borrow_mut().record_no_memory(now, &server.id);
    if outcome.is_none() {
        // The order may have been carried out or may still be.
        tokio::task::spawn_local(release(ctx.clone(), server.clone(), ticket.clone()));
    }
    None
}

/// Renews a reservation while the response may still arrive or the engine states that a request uses
/// it; after that it expires.
async fn renew(
    ctx: Rc<GatewayContext>,
    server: Server,
    ticket: MemoryTicket,
    renewal: Rc<Cell<TicketRenewal>>,
) {
    let mut pause = RENEWAL_INTERVAL;
    loop {
        sleep(pause).await;
        if ctx.is_paused(&server.id) {
            pause = RENEWAL_RETRY_DELAY;
            continue;
        }
        let is_due = match renewal.get().step(ctx.now()) {
            RenewalStep::Renew => true,
            RenewalStep::AskEngine => is_used(&server, &ctx, &ticket).await,
        };
        let is_renewed = is_due && {
            let renewed = ctx.dialect.reserve_order(&server, &ticket, MEMORY_HOLD);
            send_order(&server, &ctx, renewed).await == Some(OrderOutcome::Done)
        };
        let line =
            if is_renewed { None } else { ctx.telemetry.limited_log(ctx.now(), LineKind::Failure) };
        if let Some(log) = line {
            info!(log, "memory not renewed"; "server" => server.id.id(), "ticket" => &ticket.name,
                "answer_expected" => is_due);
        }
        if !is_due {
            return;
        }
        pause = if is_renewed { RENEWAL_INTERVAL } else { RENEWAL_RETRY_DELAY };
    }
}

/// Asks the engine whether a request uses the reservation; `false` if it does not answer in time.
async fn is_used(server: &Server, ctx: &GatewayContext, ticket: &MemoryTicket) -> bool {
    let exchange = async {
        let mut upstream = Upstream::connect(server.address).await.ok()?;
        ctx.charge_order(&server.id);
        let version = ctx.gateway.borrow().limit_version(&server.id);
        let response = upstream.send(ctx.dialect.report_request(server)).await.ok()?;
        let (head, mut body) = response.into_parts();
        ctx.record_if_leaving(&server.id, &head);
        let facts = ctx.dialect.response_facts(&head);
        if facts.request_id.is_some() {
            // The request for a report has no id.
            return None;
        }
        ctx.record_limit(&server.id, version, &facts);
        let mut report = BytesMut::new();
        while let Some(data) = body.next().await {
            report.extend_from_slice(&data.ok()?);
            if report.len() > MAX_REPORT_BYTES {
                return None;
            }
        }
        Some(head.status.is_success() && ctx.dialect.reports_use(&report, ticket))
    };
    timeout(ORDER_TIMEOUT, exchange).await.ok().flatten().unwrap_or(false)
}

async fn release(ctx: Rc<GatewayContext>, server: Server, ticket: MemoryTicket) {
    for _ in 0..MAX_RELEASE_ATTEMPTS {
        // The memory of a limited engine expires by itself, which costs no request.
        if ctx.is_paused(&server.id) || ctx.gateway.borrow().server_limit(&server.id).is_some() {
            break;
        }
        let outcome = send_order(&server, &ctx, ctx.dialect.release_order(&server, &ticket)).await;
        if outcome.is_some() {
            return;
        }
    }
    if let Some(log) = ctx.telemetry.limited_log(ctx.now(), LineKind::Failure) {
        info!(log, "memory left to run out"; "server" => server.id.id(),
            "ticket" => &ticket.name);
    }
}

/// Sends an order, unless the server is paused; `None` if no response arrived, in which case it may
/// still be carried out.
async fn send_order(server: &Server, ctx: &GatewayContext, order: Order) -> Option<OrderOutcome> {
    let exchange = async {
        let mut upstream = Upstream::connect(server.address).await.ok()?;
        if ctx.is_paused(&server.id) {
            return Some(OrderOutcome::Refused);
        }
        ctx.charge_order(&server.id);
        let version = ctx.gateway.borrow().limit_version(&server.id);
        let (head, _) = upstream.send(order).await.ok()?.into_parts();
        ctx.record_if_leaving(&server.id, &head);
        let facts = ctx.dialect.response_facts(&head);
        if facts.request_id.is_some() {
            // Orders have no id, so that this is a late response to a request.
            return None;
        }
        ctx.record_pause(&server.id, &facts);
        ctx.record_limit(&server.id, version, &facts);
        Some(ctx.dialect.order_outcome(&head))
    };
    timeout(ORDER_TIMEOUT, exchange).await.ok().flatten()
}
