//! Permits for requests to limited servers: asks arbiters for them, and answers other hosts.

use std::cell::Cell;
use std::cell::OnceCell;
use std::cell::RefCell;
use std::collections::HashMap;
use std::net::Ipv4Addr;
use std::rc::Rc;

use slog::warn;
use tokio::net::UdpSocket;
use tokio::sync::oneshot;
use tokio::time::timeout;

use super::context::GatewayContext;
use crate::coordination::PERMIT_TIMEOUT;
use crate::coordination::PermitAnswer;
use crate::coordination::PermitStep;
use crate::coordination::SendResult;
use crate::protocol::PermitMessage;
use crate::protocol::encode_permit;
use crate::state::Moment;
use crate::state::ServerId;

/// The questions that this host asks arbiters.
#[derive(Default)]
pub(crate) struct PermitClient {
    /// The socket of peers and their port.
    socket: OnceCell<(Rc<UdpSocket>, u16)>,
    waiting: RefCell<HashMap<u64, oneshot::Sender<PermitAnswer>>>,
    last: Cell<u64>,
}

impl PermitClient {
    /// Sets the socket by which peers are reached.
    pub(crate) fn set_socket(&self, socket: Rc<UdpSocket>, port: u16) {
        // The socket is opened once, at the start of the process.
        let _ = self.socket.set((socket, port));
    }

    fn send(&self, ctx: &GatewayContext, to: Ipv4Addr, message: PermitMessage) {
        let Some((socket, port)) = self.socket.get() else { return };
        match encode_permit(&message) {
            // A lost datagram costs one permit at most.
            Ok(datagram) => drop(socket.try_send_to(&datagram, (to, *port).into())),
            Err(error) => {
                warn!(ctx.telemetry.log(), "a permit cannot be encoded"; "error" => %error);
            }
        }
    }
}

/// A permit for one request; given back on drop unless it was used.
pub(crate) struct Permit {
    ctx: Rc<GatewayContext>,
    server: ServerId,
    /// The host that granted it.
    arbiter: Option<Ipv4Addr>,
    granted: Moment,
    is_used: Cell<bool>,
}

impl Permit {
    /// Records that the request is being sent.
    pub(crate) fn record_use(&self, is_used: bool) {
        self.is_used.set(is_used);
    }

    /// Returns whether it may still be used.
    pub(crate) fn is_valid(&self, now: Moment) -> bool {
        self.ctx.gateway.borrow().is_permit_valid(now, self.granted, &self.server)
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        if self.is_used.get() {
            return;
        }
        self.ctx.telemetry.count_permit("returned");
        let server = self.server.digest();
        match self.arbiter {
            Some(arbiter) => {
                self.ctx.permits.send(&self.ctx, arbiter, PermitMessage::Return { server });
            }
            None => self.ctx.gateway.borrow_mut().take_back_permit(self.ctx.now(), server),
        }
    }
}

/// Takes a permit for a request to `server`; `None` if the server is not limited.
pub(crate) async fn take_permit(
    ctx: &Rc<GatewayContext>,
    server: &ServerId,
) -> Result<Option<Permit>, SendResult> {
    // A permit counts from the question on, so that a late answer is not used late.
    let asked = ctx.now();
    let step = ctx.gateway.borrow_mut().request_permit(asked, server);
    let arbiter = match step {
        PermitStep::NotLimited => return Ok(None),
        PermitStep::Granted => None,
        PermitStep::Denied => {
            ctx.telemetry.count_permit("denied");
            return Err(SendResult::Limited);
        }
        PermitStep::Ask(arbiter) => {
            ask(ctx, server, arbiter).await?;
            Some(arbiter)
        }
    };
    ctx.telemetry.count_permit("granted");
    let is_used = Cell::new(false);
    Ok(Some(Permit { ctx: ctx.clone(), server: server.clone(), arbiter, granted: asked, is_used }))
}

async fn ask(ctx: &GatewayContext, server: &ServerId, arbiter: Ipv4Addr) -> Result<(), SendResult> {
    let question = ctx.permits.last.get() + 1;
    ctx.permits.last.set(question);
    let (sender, answer) = oneshot::channel();
    ctx.permits.waiting.borrow_mut().insert(question, sender);
    let _waiting = Waiting { client: &ctx.permits, question };
    ctx.permits.send(ctx, arbiter, PermitMessage::Ask { question, server: server.digest() });
    let answer = timeout(PERMIT_TIMEOUT, answer).await;
    let now = ctx.now();
    match answer {
        Ok(Ok(PermitAnswer::Granted)) => {
            ctx.gateway.borrow_mut().record_permit(server);
            Ok(())
        }
        Ok(Ok(PermitAnswer::Denied(wait))) => {
            ctx.gateway.borrow_mut().record_denial(now, server, wait);
            ctx.telemetry.count_permit("denied");
            Err(SendResult::Limited)
        }
        Ok(Err(_)) | Err(_) => {
            ctx.gateway.borrow_mut().record_unanswered(now, server, arbiter);
            ctx.telemetry.count_permit("unanswered");
            Err(SendResult::Limited)
        }
    }
}

/// Forgets a question when its answer has come or nobody waits for it any more.
struct Waiting<'a> {
    client: &'a PermitClient,
    question: u64,
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        self.client.waiting.borrow_mut().remove(&self.question);
    }
}

impl GatewayContext {
    /// Handles a message about permits from another host.
    pub(crate) fn handle_permit(&self, from: Ipv4Addr, message: PermitMessage) {
        let now = self.now();
        match message {
            PermitMessage::Ask { question, server } => {
                let answer = self.gateway.borrow_mut().grant(now, server);
                let reply = PermitMessage::Answer { question, server, answer };
                self.permits.send(self, from, reply);
            }
            PermitMessage::Answer { question, server, answer } => {
                let waiting = self.permits.waiting.borrow_mut().remove(&question);
                let is_taken = waiting.is_some_and(|sender| sender.send(answer).is_ok());
                if !is_taken && answer == PermitAnswer::Granted {
                    self.permits.send(self, from, PermitMessage::Return { server });
                }
            }
            PermitMessage::Return { server } => {
                self.gateway.borrow_mut().take_back_permit(now, server);
            }
            PermitMessage::Charge { server } => {
                self.gateway.borrow_mut().charge_permit(now, server);
            }
        }
    }

    /// Counts an order to `server` that is sent whatever its limit is, so that fewer requests get permits.
    pub(crate) fn charge_order(&self, server: &ServerId) {
        let now = self.now();
        if self.gateway.borrow().send_rate(now, server).is_none() {
            return;
        }
        self.telemetry.count_permit("charged");
        let arbiter = self.gateway.borrow().arbiter(now, server.digest());
        match arbiter {
            Some(arbiter) if !self.gateway.borrow().is_own_address(arbiter) => {
                self.permits.send(self, arbiter, PermitMessage::Charge { server: server.digest() });
            }
            _ => self.gateway.borrow_mut().charge_permit(now, server.digest()),
        }
    }
}
