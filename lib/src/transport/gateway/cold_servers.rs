//! Reports cold servers in the log and to other hosts.

use slog::info;

use super::context::GatewayContext;
use crate::state::ColdChange;
use crate::state::ColdSource;

impl GatewayContext {
    /// Logs the changes of cold servers, lets queued requests be placed by them, and notifies other hosts.
    pub(crate) fn report_cold_changes(&self) {
        let changes = self.gateway.borrow_mut().take_cold_changes(self.now());
        for change in &changes {
            self.log_cold_change(change);
        }
        if !changes.is_empty() {
            self.capacity_freed.notify_waiters();
        }
        let has_news = self.gateway.borrow_mut().take_cold_news();
        if has_news {
            self.urgent_summary.notify_one();
        }
        if has_news || !changes.is_empty() {
            self.cold_changed.notify_one();
        }
    }

    fn log_cold_change(&self, change: &ColdChange) {
        let source = match change.source {
            ColdSource::Entry => "entry".to_owned(),
            ColdSource::Start => "start".to_owned(),
            ColdSource::Loss => "loss".to_owned(),
            ColdSource::Zone => "zone".to_owned(),
            ColdSource::Check => "check".to_owned(),
            ColdSource::Peer(address) => address.to_string(),
        };
        let gateway = self.gateway.borrow();
        let server = gateway.servers().with_digest(change.server);
        let (name, born) = server.map_or(("", 0), |server| (server.id.id(), server.id.born()));
        let remaining = change.remaining.map_or(-1, |left| left.as_millis() as i64);
        match change.is_cold {
            true => info!(self.telemetry.log(), "server cold"; "server" => name, "born" => born,
                "remaining_ms" => remaining, "source" => source),
            false => info!(self.telemetry.log(), "server warm"; "server" => name, "born" => born,
                "remaining_ms" => 0, "source" => source),
        }
    }
}
