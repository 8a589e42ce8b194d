//! A host continues to answer requests while nothing reads its log from standard output.

use std::io::Read;
use std::io::Write;
use std::net::Ipv4Addr;
use std::net::SocketAddrV4;
use std::net::TcpStream;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::time::Duration;
use std::time::Instant;

use serde_json::json;
use wasabicrank_testutils::ports::free_port;

/// The number of requests. At about 200 bytes a line, their log lines exceed the capacity of the pipe
/// plus that of the log's ring buffer.
const REQUESTS: u32 = 4_000;
/// The time over which the requests are spread, since the number of log lines per second is limited.
const SEND_SPAN: Duration = Duration::from_secs(8);
/// The time limit of one answer on a busy machine; a host without a configuration answers immediately.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(1);

struct Host {
    child: Child,
    callers: SocketAddrV4,
    metrics: SocketAddrV4,
}

impl Drop for Host {
    fn drop(&mut self) {
        // Fails if the process has exited by itself, in which case the test reports that.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn address() -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::LOCALHOST, free_port())
}

/// Starts a host without a store, whose standard output is a pipe that is never read.
fn start() -> Host {
    let (callers, metrics) = (address(), address());
    let settings = json!({
        "host": "host-1", "zone": "zone-a", "callers": callers.to_string(),
        "health": address().to_string(), "peer_port": free_port(), "seeds": [],
        "metrics_port": metrics.port(), "store": address().to_string(), "memory_mb": 390,
        "descriptors": 2_000, "grace_s": 8.0, "revoke_ms": 5_000, "config_ms": 2_000,
        "drain_ms": 2_000, "unused_ms": 9_000, "release_ms": 4_000, "repeat_ratio": 0.2, "repeat_slack": 100, "repeat_window_s": 10,
    });
    let file = std::env::temp_dir().join(format!("wasabicrank-log-{}.json", std::process::id()));
    std::fs::write(&file, settings.to_string()).expect("the settings are written");
    let child = Command::new(env!("CARGO_BIN_EXE_wasabicrank"))
        .args(["host", "--settings"])
        .arg(&file)
        .stdout(Stdio::piped())
        .spawn()
        .expect("the host starts");
    Host { child, callers, metrics }
}

fn ask(address: SocketAddrV4, head: &str) -> Option<String> {
    let mut stream = TcpStream::connect(address).ok()?;
    stream.set_read_timeout(Some(ANSWER_TIMEOUT)).ok()?;
    stream.write_all(format!("{head}Host: x\r\nConnection: close\r\n\r\n").as_bytes()).ok()?;
    let mut text = String::new();
    stream.read_to_string(&mut text).ok()?;
    Some(text)
}

#[test]
fn test_a_log_that_nobody_reads_holds_no_request_up() {
    let host = start();
    let start_time = Instant::now();
    while ask(host.metrics, "GET /metrics HTTP/1.1\r\n").is_none() {
        assert!(start_time.elapsed() < Duration::from_secs(10), "the host is not up");
        std::thread::sleep(Duration::from_millis(20));
    }
    let start_time = Instant::now();
    for number in 0..REQUESTS {
        let due = SEND_SPAN * number / REQUESTS;
        std::thread::sleep(due.saturating_sub(start_time.elapsed()));
        let sent = Instant::now();
        let head = format!("GET /x/ HTTP/1.1\r\nX-Request-Id: request-number-{number}\r\n");
        let answer = ask(host.callers, &head).unwrap_or_default();
        assert!(answer.starts_with("HTTP/1.1 503"), "request {number}: {answer:?}");
        assert!(sent.elapsed() < ANSWER_TIMEOUT, "request {number} took {:?}", sent.elapsed());
    }
    let metrics = ask(host.metrics, "GET /metrics HTTP/1.1\r\n").unwrap_or_default();
    let dropped = metrics
        .lines()
        .find_map(|line| line.strip_prefix("wasabicrank_gateway_log_lines_dropped_total "))
        .and_then(|count| count.parse::<u64>().ok());
    assert!(dropped > Some(0), "{metrics}");
}
