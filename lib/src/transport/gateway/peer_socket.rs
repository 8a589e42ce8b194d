//! The UDP datagrams between entry hosts.

use std::io;
use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use slog::info;
use slog::warn;
use tokio::net::UdpSocket;
use tokio::time::Instant;
use tokio::time::sleep;
use tokio::time::sleep_until;
use tokio::time::timeout_at;

use super::context::GatewayContext;
use super::process::report_zone_changes;
use super::telemetry::LineKind;
use crate::coordination::ReceivedSummary;
use crate::coordination::SummaryScope;
use crate::protocol::MAX_DATAGRAM;
use crate::protocol::decode_move;
use crate::protocol::decode_permit;
use crate::protocol::decode_summary;
use crate::protocol::encode_summary;
use crate::protocol::is_move;
use crate::protocol::is_permit;

/// After this many datagrams that are no summary, nothing is received for a while: the system drops
/// what exceeds its buffer, and a flood takes neither the processor nor the log.
const MAX_BAD_DATAGRAMS: u32 = 32;
const BAD_DATAGRAM_PAUSE: Duration = Duration::from_millis(10);

/// Opens the socket for datagrams from and to peers.
pub(crate) async fn open(own: Ipv4Addr, port: u16) -> io::Result<Rc<UdpSocket>> {
    Ok(Rc::new(UdpSocket::bind((own, port)).await?))
}

/// Sends summaries to peers when the load changes, and at a regular interval.
pub(crate) async fn send_summaries(ctx: Rc<GatewayContext>, socket: Rc<UdpSocket>, port: u16) {
    let mut scope = SummaryScope::All;
    loop {
        let now = ctx.now();
        let targets = ctx.gateway.borrow_mut().summary_targets(now, scope);
        let summary = ctx.gateway.borrow_mut().peer_summary(now);
        for target in targets {
            match encode_summary(&summary.for_peer(target)) {
                Ok(datagram) => {
                    // An unreachable peer is expected; the next summary follows soon.
                    let _ = socket.try_send_to(&datagram, (target.address, port).into());
                }
                Err(error) => {
                    warn!(ctx.telemetry.log(), "a summary cannot be encoded"; "error" => %error);
                }
            }
        }
        let sent = Instant::now();
        let (shortest, longest) = ctx.gateway.borrow().summary_interval(now);
        let due = async {
            // On a timeout, the regular summary is due.
            let _ = timeout_at(sent + longest, ctx.load_changed.notified()).await;
            sleep_until(sent + shortest).await;
        };
        scope = tokio::select! {
            () = due => SummaryScope::Due,
            () = ctx.urgent_summary.notified() => SummaryScope::All,
        };
    }
}

/// Receives summaries from peers.
pub(crate) async fn receive_summaries(ctx: Rc<GatewayContext>, socket: Rc<UdpSocket>) {
    let mut buffer = vec![0; MAX_DATAGRAM];
    let mut bad = 0;
    loop {
        let (length, from) = match socket.recv_from(&mut buffer).await {
            Ok(received) => received,
            // The ICMP error of an unreachable peer is reported by the next receive.
            Err(_) => continue,
        };
        let SocketAddr::V4(from) = from else { continue };
        let now = ctx.now();
        let datagram = &buffer[..length];
        let decoded = if is_permit(datagram) {
            decode_permit(datagram).map(|message| {
                ctx.handle_permit(*from.ip(), message);
                None
            })
        } else if is_move(datagram) {
            decode_move(datagram).map(|message| {
                ctx.handle_move(*from.ip(), message);
                None
            })
        } else {
            decode_summary(datagram).map(Some)
        };
        match decoded {
            Ok(None) => {}
            Ok(Some(summary)) => {
                let incarnation = summary.incarnation;
                let received = ReceivedSummary { from: *from.ip(), summary };
                let outages = ctx.gateway.borrow().outages();
                let rewinds = ctx.gateway.borrow().source_rewinds();
                let is_new = ctx.gateway.borrow_mut().apply_summary(now, received);
                ctx.report_limit_changes();
                report_zone_changes(&ctx, &mut ctx.gateway.borrow_mut());
                ctx.report_cold_changes();
                let gateway = ctx.gateway.borrow();
                if gateway.misses_server_change(now)
                    || gateway.catalog_read_in(now).is_zero()
                    || gateway.outages() != outages
                {
                    ctx.schedule_changed.notify_waiters();
                }
                if gateway.source_rewinds() != rewinds {
                    ctx.notify_rewind();
                }
                if is_new {
                    info!(ctx.telemetry.log(), "peer heard"; "peer" => %IpAddr::V4(*from.ip()),
                        "incarnation" => incarnation);
                }
            }
            Err(error) => {
                bad += 1;
                if bad == 1
                    && let Some(log) = ctx.telemetry.limited_log(now, LineKind::Failure)
                {
                    warn!(log, "datagram dropped"; "peer" => %from, "error" => ?error);
                }
                if bad == MAX_BAD_DATAGRAMS {
                    bad = 0;
                    sleep(BAD_DATAGRAM_PAUSE).await;
                }
            }
        }
    }
}
