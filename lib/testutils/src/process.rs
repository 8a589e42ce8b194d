//! Runs entry hosts as child processes of a test.

use std::fmt;
use std::fs;
use std::io;
use std::io::BufRead;
use std::io::BufReader;
use std::io::Read;
use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::ExitStatus;
use std::process::Stdio;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread;
use std::thread::JoinHandle;
use std::time::Duration;

use serde_json::Value;
use tokio::time::Instant;

use crate::server::lock;

/// Polling interval for a process's state.
const LOOK: Duration = Duration::from_millis(10);

/// Timeout for one health check request.
const HEALTH_TIMEOUT: Duration = Duration::from_secs(1);

/// Timeout for all threads to stop after a stop signal.
const STOPPED_WITHIN: Duration = Duration::from_secs(5);

/// Number of log lines included in an error.
const TOLD_LINES: usize = 12;

/// A signal to a process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Signal {
    /// Requests a graceful shutdown.
    Term,
    /// Kills it immediately.
    Kill,
    /// Pauses it.
    Stop,
    /// Resumes it after a pause.
    Continue,
    /// Makes it reload its settings.
    Hangup,
}

impl Signal {
    fn name(self) -> &'static str {
        match self {
            Signal::Term => "TERM",
            Signal::Kill => "KILL",
            Signal::Stop => "STOP",
            Signal::Continue => "CONT",
            Signal::Hangup => "HUP",
        }
    }
}

/// Why a process did not become ready.
#[derive(Debug)]
pub enum ProcessError {
    /// It could not be started.
    Spawn(io::Error),
    /// It exited on its own; includes its last log lines.
    Ended(ExitStatus, Vec<String>),
    /// It did not become healthy in time; includes its last log lines.
    NotHealthy(Vec<String>),
}

impl fmt::Display for ProcessError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ProcessError::Spawn(error) => write!(f, "the process did not start: {error}"),
            ProcessError::Ended(status, log) => {
                write!(f, "the process ended with {status}:\n{}", log.join("\n"))
            }
            ProcessError::NotHealthy(log) => {
                write!(f, "the process did not become healthy:\n{}", log.join("\n"))
            }
        }
    }
}

impl std::error::Error for ProcessError {}

impl From<io::Error> for ProcessError {
    fn from(error: io::Error) -> ProcessError {
        ProcessError::Spawn(error)
    }
}

/// A child process that runs an entry host, killed on drop.
#[derive(Debug)]
pub struct Process {
    child: Mutex<Child>,
    id: u32,
    callers: SocketAddr,
    settings: PathBuf,
    log: Arc<Mutex<Vec<String>>>,
    readers: Mutex<Vec<JoinHandle<()>>>,
}

impl Process {
    /// Starts `binary serve` with `settings`, without waiting until it is healthy.
    pub fn spawn(binary: impl AsRef<Path>, settings: &Value) -> Result<Process, ProcessError> {
        Process::run(binary, "serve", settings, caller_addr(settings)?)
    }

    /// Starts `binary command` with `settings`, which must make it accept callers at `callers`.
    pub fn run(
        binary: impl AsRef<Path>,
        command: &str,
        settings: &Value,
        callers: SocketAddr,
    ) -> Result<Process, ProcessError> {
        let file = settings_file();
        fs::write(&file, settings.to_string())?;
        let mut child = Command::new(binary.as_ref())
            .arg(command)
            .arg("--settings")
            .arg(&file)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(Stdio::piped())
            .spawn()?;
        let log = Arc::default();
        let mut readers = Vec::new();
        if let Some(output) = child.stdout.take() {
            readers.push(collect_lines(output, Arc::clone(&log)));
        }
        if let Some(output) = child.stderr.take() {
            readers.push(collect_lines(output, Arc::clone(&log)));
        }
        let readers = Mutex::new(readers);
        let id = child.id();
        Ok(Process { child: Mutex::new(child), id, callers, settings: file, log, readers })
    }

    /// Returns its process identifier.
    pub fn id(&self) -> u32 {
        self.id
    }

    /// Returns the caller address.
    pub fn callers(&self) -> SocketAddr {
        self.callers
    }

    /// Replaces its settings file, which it reads on reload.
    pub fn rewrite_settings(&self, settings: &Value) -> io::Result<()> {
        fs::write(&self.settings, settings.to_string())
    }

    /// Waits until it reports that it is healthy.
    pub async fn wait_healthy(&self, limit: Duration) -> Result<(), ProcessError> {
        let client = reqwest::Client::new();
        let url = format!("http://{}/health", self.callers);
        let end = Instant::now() + limit;
        while Instant::now() < end {
            if let Some(status) = self.exit_status() {
                self.read_to_end();
                return Err(ProcessError::Ended(status, self.last_lines()));
            }
            let answer = client.get(&url).timeout(HEALTH_TIMEOUT).send().await;
            if answer.is_ok_and(|answer| answer.status().is_success()) {
                return Ok(());
            }
            tokio::time::sleep(LOOK).await;
        }
        Err(ProcessError::NotHealthy(self.last_lines()))
    }

    /// Sends it a signal; after `Signal::Stop`, waits until every thread has stopped.
    pub fn signal(&self, signal: Signal) -> io::Result<()> {
        // Do not signal a process that has exited, because its ID may have been reused.
        if self.exit_status().is_some() {
            return Ok(());
        }
        let status = Command::new("kill")
            .args(["-s", signal.name(), &self.id.to_string()])
            .stderr(Stdio::null())
            .status()?;
        if !status.success() {
            return Err(io::Error::other("sending the signal with `kill` failed"));
        }
        match signal {
            Signal::Stop => self.wait_stopped(),
            Signal::Term | Signal::Kill | Signal::Continue | Signal::Hangup => Ok(()),
        }
    }

    /// Waits until every thread has stopped; the signal reaches the threads one after another.
    fn wait_stopped(&self) -> io::Result<()> {
        let end = std::time::Instant::now() + STOPPED_WITHIN;
        while !are_threads_stopped(self.id) {
            if std::time::Instant::now() >= end {
                return Err(io::Error::other("the process did not stop within the timeout"));
            }
            thread::sleep(Duration::from_millis(1));
        }
        Ok(())
    }

    /// Returns its exit status, if it has exited.
    pub fn exit_status(&self) -> Option<ExitStatus> {
        lock(&self.child).try_wait().ok().flatten()
    }

    /// Waits until it exits; returns `None` if it does not within `limit`.
    pub async fn wait_exit(&self, limit: Duration) -> Option<ExitStatus> {
        let end = Instant::now() + limit;
        loop {
            let status = self.exit_status();
            if status.is_some() || Instant::now() >= end {
                return status;
            }
            tokio::time::sleep(LOOK).await;
        }
    }

    /// Returns the log lines written so far.
    pub fn log(&self) -> Vec<String> {
        lock(&self.log).clone()
    }

    /// Waits until all output of an exited process has been read.
    fn read_to_end(&self) {
        for reader in lock(&self.readers).drain(..) {
            // If a reader panicked, lines are missing; a test that checks for them will fail.
            let _ = reader.join();
        }
    }

    fn last_lines(&self) -> Vec<String> {
        let log = lock(&self.log);
        log[log.len().saturating_sub(TOLD_LINES)..].to_vec()
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let child = self.child.get_mut().unwrap_or_else(std::sync::PoisonError::into_inner);
        let _ = child.kill();
        let _ = child.wait();
        let _ = fs::remove_file(&self.settings);
    }
}

/// Reads the caller address from an entry host's settings.
pub fn caller_addr(settings: &Value) -> io::Result<SocketAddr> {
    let ip = settings["ip"].as_str().and_then(|ip| ip.parse().ok());
    let port = settings["caller_port"].as_u64().and_then(|port| u16::try_from(port).ok());
    let addr = ip.zip(port).map(|(ip, port)| SocketAddr::new(ip, port));
    addr.ok_or_else(|| io::Error::other("the settings lack `ip` or `caller_port`"))
}

/// Returns whether all threads of a process are stopped; assumes so if `/proc` does not list
/// them.
fn are_threads_stopped(process: u32) -> bool {
    let Ok(threads) = fs::read_dir(format!("/proc/{process}/task")) else { return true };
    threads.filter_map(Result::ok).all(|thread| {
        let stat = fs::read_to_string(thread.path().join("stat")).unwrap_or_default();
        // The state follows the name, which is in parentheses and may contain any text.
        stat.rsplit_once(") ").is_some_and(|(_, rest)| rest.starts_with('T'))
    })
}

/// Returns a unique path for a settings file.
fn settings_file() -> PathBuf {
    static COUNT: AtomicU64 = AtomicU64::new(0);
    let count = COUNT.fetch_add(1, Ordering::Relaxed);
    std::env::temp_dir().join(format!("wasabicrank-{}-{count}.json", std::process::id()))
}

/// Collects the lines of `output` until it ends.
fn collect_lines(
    output: impl Read + Send + 'static,
    log: Arc<Mutex<Vec<String>>>,
) -> JoinHandle<()> {
    thread::spawn(move || {
        for line in BufReader::new(output).lines().map_while(Result::ok) {
            lock(&log).push(line);
        }
    })
}
