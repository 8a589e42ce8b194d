//! Writes one log line for each event.

use slog::Logger;
use slog::debug;
use slog::info;
use slog::warn;

use crate::state::Event;

/// Logs `event`. Refused and moved requests are logged at level `info`, other events of requests at
/// `debug`.
pub(crate) fn write(log: &Logger, event: &Event) {
    match event {
        Event::PeerSuspected { peer } => {
            warn!(log, "peer is suspected of being dead"; "peer" => %peer);
        }
        Event::PeerAlive { peer } => info!(log, "peer is alive"; "peer" => %peer),
        Event::TargetChanged { target, state } => {
            info!(log, "target changed"; "target" => target, "state" => state);
        }
        Event::ConfigAccepted { version } => {
            info!(log, "configuration is in force"; "version" => version);
        }
        Event::ConfigRefused { version, errors } => {
            for error in errors {
                warn!(log, "configuration is refused"; "version" => version, "error" => error);
            }
        }
        Event::LeaseGained { shards } => {
            info!(log, "leases gained"; "shards" => format!("{shards:?}"));
        }
        Event::LeaseLost { shards } => {
            info!(log, "leases lost"; "shards" => format!("{shards:?}"));
        }
        Event::OrphanCancelled { attempt, engine } => {
            info!(log, "orphan cancelled"; "attempt" => %attempt, "engine" => %engine);
        }
        Event::OrderSent { engine, order, fence } => {
            info!(log, "order sent"; "engine" => %engine, "order" => order, "fence" => fence);
        }
        Event::StopBegan => info!(log, "planned stop began"),
        Event::StopEnded { cut } => info!(log, "planned stop ended"; "cut" => cut),
        Event::Refused { request, refusal } => {
            info!(log, "request refused"; "request" => %request,
                "outcome" => refusal.outcome.as_str(), "reason" => refusal.reason.as_str());
        }
        Event::Moved { attempt, engine, sent_tokens, cause } => {
            info!(log, "request moved"; "attempt" => %attempt, "engine" => %engine,
                "sent_tokens" => sent_tokens, "cause" => format!("{cause:?}"));
        }
        _ => debug!(log, "event"; "event" => format!("{event:?}")),
    }
}
