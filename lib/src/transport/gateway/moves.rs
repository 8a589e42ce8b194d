//! Requests that move to servers of another cell: queries hosts of other cells, answers their queries, and
//! notifies them of what becomes of the requests.

use std::cell::OnceCell;
use std::cell::RefCell;
use std::collections::HashMap;
use std::collections::HashSet;
use std::net::Ipv4Addr;
use std::rc::Rc;

use slog::info;
use slog::warn;
use tokio::net::UdpSocket;
use tokio::sync::oneshot;
use tokio::time::timeout;

use super::context::GatewayContext;
use super::exchange::Exchange;
use super::exchange::LONG_PREFILL;
use super::telemetry::LineKind;
use crate::coordination::Dispatch;
use crate::coordination::GuestAnswer;
use crate::coordination::GuestGrant;
use crate::coordination::GuestQuery;
use crate::coordination::MOVE_TIMEOUT;
use crate::coordination::MoveQuery;
use crate::protocol::MoveMessage;
use crate::protocol::encode_move;
use crate::state::GuestKey;

/// The queries that this host sent to other cells.
#[derive(Default)]
pub(crate) struct MoveClient {
    /// The socket of peers and their port.
    socket: OnceCell<(Rc<UdpSocket>, u16)>,
    waiting: RefCell<HashMap<GuestKey, oneshot::Sender<GuestAnswer>>>,
    /// The granted queries whose requests have not ended, by which a repeated answer is recognized.
    active: RefCell<HashSet<GuestKey>>,
}

impl MoveClient {
    /// Sets the socket by which peers are reached.
    pub(crate) fn set_socket(&self, socket: Rc<UdpSocket>, port: u16) {
        // The socket is opened once, at the start of the process.
        let _ = self.socket.set((socket, port));
    }

    fn send(&self, ctx: &GatewayContext, to: Ipv4Addr, message: &MoveMessage) {
        let Some((socket, port)) = self.socket.get() else { return };
        match encode_move(message) {
            // A lost query is not answered; after a lost notification, the work counts until its deadline.
            Ok(datagram) => drop(socket.try_send_to(&datagram, (to, *port).into())),
            Err(error) => {
                warn!(ctx.telemetry.log(), "a query cannot be encoded"; "error" => %error);
            }
        }
    }
}

/// Forgets a query when it was answered or nobody waits for the answer any more. Unless the answer has settled
/// it, the queried host is notified that it need not count the work.
struct OpenQuery<'a> {
    ctx: &'a GatewayContext,
    key: GuestKey,
    is_settled: bool,
}

impl Drop for OpenQuery<'_> {
    fn drop(&mut self) {
        self.ctx.moves.waiting.borrow_mut().remove(&self.key);
        if !self.is_settled {
            self.ctx.notify_guest_ended(&self.key);
        }
    }
}

impl Exchange {
    /// Queries a host of another cell; returns the dispatch to servers of that cell if it grants one.
    pub(crate) async fn query_cell(&self, move_query: &MoveQuery) -> Option<Dispatch> {
        let ctx = &self.ctx;
        let key = move_query.key;
        ctx.telemetry.count_move("asked");
        let (sender, answer) = oneshot::channel();
        ctx.moves.waiting.borrow_mut().insert(key, sender);
        let mut open = OpenQuery { ctx, key, is_settled: false };
        let request = move_query.query.clone();
        ctx.moves.send(ctx, key.host, &MoveMessage::Query { query: key.query, request });
        let answer = timeout(MOVE_TIMEOUT, answer).await;
        let now = ctx.now();
        match answer {
            Ok(Ok(GuestAnswer::Granted(grant))) => {
                let dispatch = self.accept_grant(move_query, &grant);
                open.is_settled = dispatch.is_some();
                dispatch
            }
            Ok(Ok(GuestAnswer::NoRoom(wait))) => {
                open.is_settled = true;
                ctx.gateway.borrow_mut().record_no_room(now, move_query, wait);
                ctx.telemetry.count_move("denied");
                None
            }
            Ok(Err(_)) | Err(_) => {
                let mut request = self.request.borrow_mut();
                let mut gateway = ctx.gateway.borrow_mut();
                gateway.record_query_unanswered(now, &mut request, move_query);
                ctx.telemetry.count_move("unanswered");
                None
            }
        }
    }

    fn accept_grant(&self, move_query: &MoveQuery, grant: &GuestGrant) -> Option<Dispatch> {
        let ctx = &self.ctx;
        let now = ctx.now();
        let mut request = self.request.borrow_mut();
        let dispatch = ctx.gateway.borrow_mut().accept_grant(now, &mut request, move_query, grant);
        let Some(dispatch) = dispatch else {
            ctx.telemetry.count_move("unusable");
            return None;
        };
        ctx.moves.active.borrow_mut().insert(move_query.key);
        ctx.telemetry.count_move("granted");
        if let Some(log) = ctx.telemetry.limited_log(now, LineKind::Success) {
            info!(log, "request moved"; "request" => &request.id, "cell" => move_query.cell,
                "host" => %move_query.key.host, "server" => dispatch.server.id.id(),
                "helpers" => dispatch.helpers.len(),
                "expected_ms" => dispatch.expected_delay.as_millis() as u64,
                "age_ms" => now.since(self.arrived).as_millis() as u64);
        }
        Some(dispatch)
    }
}

impl GatewayContext {
    /// Handles a message about requests that move from another host.
    pub(crate) fn handle_move(&self, from: Ipv4Addr, message: MoveMessage) {
        match message {
            MoveMessage::Query { query, request } => {
                let key = GuestKey { host: from, query };
                let answer = self.answer_guest(key, &request);
                self.moves.send(self, from, &MoveMessage::Answer { query, answer });
            }
            MoveMessage::Answer { query, answer } => {
                let key = GuestKey { host: from, query };
                let waiting = self.moves.waiting.borrow_mut().remove(&key);
                let is_granted = matches!(answer, GuestAnswer::Granted(_));
                let is_taken = waiting.is_some_and(|sender| sender.send(answer).is_ok());
                if is_granted && !is_taken && !self.moves.active.borrow().contains(&key) {
                    self.notify_guest_ended(&key);
                }
            }
            MoveMessage::FirstEvent { query } => {
                let key = GuestKey { host: from, query };
                self.gateway.borrow_mut().record_guest_event(self.now(), &key);
                self.notify_load_change();
            }
            MoveMessage::Ended { query } => {
                let key = GuestKey { host: from, query };
                if self.gateway.borrow_mut().end_guest(self.now(), key) {
                    self.notify_load_change();
                }
            }
        }
    }

    fn answer_guest(&self, key: GuestKey, query: &GuestQuery) -> GuestAnswer {
        let now = self.now();
        let answer = self.gateway.borrow_mut().answer_guest(now, key, query);
        match &answer {
            GuestAnswer::Granted(grant) => {
                self.telemetry.count_guest("placed");
                self.load_changed.notify_one();
                if grant.first_event > LONG_PREFILL {
                    self.urgent_summary.notify_one();
                }
                self.log_guest(key, query, grant);
            }
            GuestAnswer::NoRoom(_) => self.telemetry.count_guest("no_room"),
        }
        answer
    }

    fn log_guest(&self, key: GuestKey, query: &GuestQuery, grant: &GuestGrant) {
        let Some(log) = self.telemetry.limited_log(self.now(), LineKind::Success) else { return };
        let gateway = self.gateway.borrow();
        let server = gateway.servers().with_digest(grant.server);
        info!(log, "guest placed"; "cell" => gateway.cell_of(key.host), "host" => %key.host,
            "query" => key.query, "server" => server.map_or("", |server| server.id.id()),
            "helpers" => grant.helpers.len(), "service" => query.service.as_str(),
            "prompt" => query.size.map_or(0, |size| size.prompt),
            "expected_ms" => grant.first_event.as_millis() as u64);
    }

    /// Notifies the host that counts the work of a send that the first event has arrived.
    pub(crate) fn notify_guest_event(&self, dispatch: &Dispatch) {
        let Some(key) = dispatch.guest else { return };
        self.moves.send(self, key.host, &MoveMessage::FirstEvent { query: key.query });
    }

    /// Notifies a queried host that a request has ended, or is not sent.
    pub(crate) fn notify_guest_ended(&self, key: &GuestKey) {
        self.moves.active.borrow_mut().remove(key);
        self.moves.send(self, key.host, &MoveMessage::Ended { query: key.query });
    }
}
