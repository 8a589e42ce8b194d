//! Sends health checks to servers that were lost and may be cold now.

use std::rc::Rc;
use std::time::Duration;

use tokio::time::sleep;
use tokio::time::timeout;

use super::context::GatewayContext;
use super::dialect::ColdStatement;
use super::upstream::Upstream;
use crate::coordination::HEALTH_CHECK_INTERVAL;
use crate::coordination::HealthCheck;

/// The timeout for a response. A later one would be of little use, since the next check is due soon.
const HEALTH_TIMEOUT: Duration = Duration::from_millis(400);
/// The shortest pause between two rounds of checks, so that losses at the same time cause one round.
const CHECK_PAUSE: Duration = Duration::from_millis(5);

/// Sends the health checks that are due, as long as the process runs.
pub(crate) async fn run_health_checks(ctx: Rc<GatewayContext>) {
    loop {
        let due = ctx.gateway.borrow_mut().take_health_checks(ctx.now());
        for check in due {
            tokio::task::spawn_local(send_check(ctx.clone(), check));
        }
        let changed = ctx.cold_changed.notified();
        if ctx.gateway.borrow().has_doubtful_servers(ctx.now()) {
            // On a timeout, further checks may be due.
            let _ = timeout(HEALTH_CHECK_INTERVAL, changed).await;
            sleep(CHECK_PAUSE).await;
        } else {
            changed.await;
        }
    }
}

async fn send_check(ctx: Rc<GatewayContext>, check: HealthCheck) {
    let outcome = match timeout(HEALTH_TIMEOUT, read_statement(&ctx, &check)).await {
        Ok(Some(ColdStatement::Left(left))) if left.is_zero() => "warm",
        Ok(Some(ColdStatement::Left(_))) => "cold",
        Ok(Some(ColdStatement::Absent)) => "absent",
        Ok(Some(ColdStatement::Foreign)) => "foreign",
        Ok(None) | Err(_) => "unanswered",
    };
    ctx.telemetry.count_health_check(outcome);
}

/// Returns what the server states; `None` if it does not answer.
async fn read_statement(ctx: &GatewayContext, check: &HealthCheck) -> Option<ColdStatement> {
    let server = &check.server;
    let request = ctx.dialect.health_request(server, &check.path)?;
    let mut upstream = Upstream::connect(server.address).await.ok()?;
    let sent = ctx.now();
    // The server's zone may have been evacuated meanwhile.
    if !ctx.gateway.borrow().may_check(sent, server) {
        return None;
    }
    let (head, _) = upstream.send(request).await.ok()?.into_parts();
    let statement = ctx.dialect.cold_statement(&head, &server.id);
    if statement != ColdStatement::Foreign {
        ctx.record_if_leaving(&server.id, &head);
    }
    if let ColdStatement::Left(left) = statement {
        ctx.gateway.borrow_mut().record_health(ctx.now(), sent, &server.id, left);
        ctx.report_cold_changes();
    }
    Some(statement)
}
