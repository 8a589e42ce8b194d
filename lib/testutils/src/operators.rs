//! Reads an entry host's operator address and status, and waits for conditions.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use reqwest::Client;
use serde_json::Value;
use tokio::time::Instant;
use wasabicrank_lib::protocol::StatusJson;

/// Polling interval.
const LOOK: Duration = Duration::from_millis(20);

/// Timeout for a status request to an entry host.
const STATUS_TIMEOUT: Duration = Duration::from_secs(1);

/// Reads the operator address from an entry host's settings.
pub fn operator_addr(settings: &Value) -> io::Result<SocketAddr> {
    let ip = settings["ip"].as_str().and_then(|ip| ip.parse().ok());
    let port = settings["operator_port"].as_u64().and_then(|port| u16::try_from(port).ok());
    let addr = ip.zip(port).map(|(ip, port)| SocketAddr::new(ip, port));
    addr.ok_or_else(|| io::Error::other("the settings lack `ip` or `operator_port`"))
}

/// Reads an entry host's status; returns `None` if it does not respond in time or its response is
/// not a valid status.
pub async fn read_status(client: &Client, addr: SocketAddr) -> Option<StatusJson> {
    let url = format!("http://{addr}/status");
    let answer = client.get(url).timeout(STATUS_TIMEOUT).send().await.ok()?;
    answer.json().await.ok()
}

/// Polls until `holds` returns true; returns the time taken, or `None` on timeout.
pub async fn wait_until(limit: Duration, mut holds: impl AsyncFnMut() -> bool) -> Option<Duration> {
    let start = Instant::now();
    while !holds().await {
        if start.elapsed() >= limit {
            return None;
        }
        tokio::time::sleep(LOOK).await;
    }
    Some(start.elapsed())
}
