//! What an operator reads of an entry host, and waiting until a condition holds.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use reqwest::Client;
use serde_json::Value;
use tokio::time::Instant;
use wasabicrank_lib::protocol::StatusJson;

/// The time between two looks.
const LOOK: Duration = Duration::from_millis(20);

/// How long an entry host may take to show its status.
const STATUS_TIMEOUT: Duration = Duration::from_secs(1);

/// Reads from an entry host's settings where operators connect.
pub fn operator_addr(settings: &Value) -> io::Result<SocketAddr> {
    let ip = settings["ip"].as_str().and_then(|ip| ip.parse().ok());
    let port = settings["operator_port"].as_u64().and_then(|port| u16::try_from(port).ok());
    let addr = ip.zip(port).map(|(ip, port)| SocketAddr::new(ip, port));
    addr.ok_or_else(|| io::Error::other("the settings lack `ip` or `operator_port`"))
}

/// Reads the status that an entry host shows; `None` if it does not answer.
pub async fn read_status(client: &Client, addr: SocketAddr) -> Option<StatusJson> {
    let url = format!("http://{addr}/status");
    let answer = client.get(url).timeout(STATUS_TIMEOUT).send().await.ok()?;
    answer.json().await.ok()
}

/// Looks again and again until `holds` says so; returns how long that took, if it came in time.
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
