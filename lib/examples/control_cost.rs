//! Measures the control cost of each entry host in a fleet of today's size, run as processes, idle
//! and under load.
//!
//! ```text
//! cargo build --release
//! cargo run --release -p wasabicrank-lib --example control_cost -- target/release/wasabicrank 60
//! ```

use std::error::Error;
use std::fs;
use std::time::Duration;
use std::time::Instant;

use serde_json::json;
use wasabicrank_testutils::customers::FleetRules;
use wasabicrank_testutils::customers::todays_customers;
use wasabicrank_testutils::fleet::Fleet;
use wasabicrank_testutils::fleet::FleetConfig;
use wasabicrank_workload::load::Load;
use wasabicrank_workload::load::LoadConfig;
use wasabicrank_workload::load::wait_for_calls;

/// The requests per second of the loaded minute, about 70% of the engines' prefill capacity.
const LOAD_RATE: f64 = 16.0;

/// The clock ticks per second, the unit of processor time.
const CLOCK_TICKS: f64 = 100.0;

/// The size of a memory page, in bytes.
const PAGE_BYTES: u64 = 4_096;

/// The default interval between heartbeats, in milliseconds.
const DEFAULT_BEAT: u64 = 200;

/// How long a new fleet may refuse calls.
const READY_WITHIN: Duration = Duration::from_secs(30);

/// The resources that one process has used since its start.
#[derive(Debug, Clone, Copy, Default)]
struct Usage {
    ticks: u64,
    resident: u64,
    sent: u64,
    received: u64,
}

async fn usage(pid: u32, operators: u64) -> Result<Usage, Box<dyn Error>> {
    let stat = fs::read_to_string(format!("/proc/{pid}/stat"))?;
    let after_name = stat.rsplit(')').next().unwrap_or_default();
    let fields: Vec<&str> = after_name.split_whitespace().collect();
    let ticks = fields[11].parse::<u64>()? + fields[12].parse::<u64>()?;
    let statm = fs::read_to_string(format!("/proc/{pid}/statm"))?;
    let resident = statm.split_whitespace().nth(1).unwrap_or("0").parse::<u64>()? * PAGE_BYTES;
    let url = format!("http://127.0.0.1:{operators}/metrics");
    let metrics = reqwest::get(url).await?.text().await?;
    let (sent, received) = (control_bytes(&metrics, "\"out\""), control_bytes(&metrics, "\"in\""));
    Ok(Usage { ticks, resident, sent, received })
}

/// Returns the bytes transferred over the control links in one direction.
fn control_bytes(metrics: &str, direction: &str) -> u64 {
    let lines = metrics.lines().filter(|line| {
        let line = line.replace(' ', "");
        line.contains("bytes_total") && line.contains("control") && line.contains(direction)
    });
    lines.filter_map(|line| line.rsplit(' ').next()?.parse::<f64>().ok()).sum::<f64>() as u64
}

async fn all(fleet: &Fleet) -> Result<Vec<Usage>, Box<dyn Error>> {
    let mut found = Vec::new();
    for host in &fleet.hosts {
        let pid = host.process.as_ref().map_or(0, |process| process.id());
        let port = host.settings["operator_port"].as_u64().unwrap_or(0);
        found.push(usage(pid, port).await?);
    }
    Ok(found)
}

fn print(name: &str, before: &[Usage], after: &[Usage], span: Duration) {
    let seconds = span.as_secs_f64();
    println!("{name}, {seconds:.0} s:");
    for (index, (before, after)) in before.iter().zip(after).enumerate() {
        let processor = (after.ticks - before.ticks) as f64 / CLOCK_TICKS / seconds * 100.0;
        let sent = (after.sent - before.sent) as f64 / seconds / 1e3;
        let received = (after.received - before.received) as f64 / seconds / 1e3;
        println!(
            "  entry-{}: {processor:.2}% of a core, {:.1} MB resident, control {sent:.2} KB/s sent, \
             {received:.2} KB/s received, {:.2} KB/s in all",
            index + 1,
            after.resident as f64 / 1e6,
            sent + received,
        );
    }
}

#[tokio::main]
async fn main() -> Result<(), Box<dyn Error>> {
    let mut words = std::env::args().skip(1);
    let binary = words.next().ok_or("expected the path of the release binary")?;
    let span = Duration::from_secs(words.next().map_or(Ok(60), |span| span.parse())?);
    let customers = todays_customers();
    let config = FleetConfig {
        binary: Some(binary.into()),
        rules: FleetRules::default().text(&customers),
        settings: json!({"log_level": "warning", "heartbeat_ms": words.next().map_or(Ok(DEFAULT_BEAT), |ms| ms.parse::<u64>())?}),
        ..FleetConfig::default()
    };
    let fleet = Fleet::start(config).await?;
    let hosts = fleet.callers();
    let path = "/enrolment/seats";
    wait_for_calls(&hosts, &customers[0].token, path, READY_WITHIN).await.ok_or("not ready")?;
    let (before, start) = (all(&fleet).await?, Instant::now());
    tokio::time::sleep(span).await;
    print("idle", &before, &all(&fleet).await?, start.elapsed());
    let load = LoadConfig { hosts, customers, rate: LOAD_RATE, span, ..LoadConfig::default() };
    let (before, start) = (all(&fleet).await?, Instant::now());
    let load = Load::start(load);
    tokio::time::sleep(span).await;
    print("under load", &before, &all(&fleet).await?, start.elapsed());
    let report = load.finish().await;
    println!(
        "sent {}, answered {}, broken {}",
        report.sent(),
        report.answered(),
        report.broken_count
    );
    Ok(())
}
