//! The plain service stand-in, which counts the runs of each call.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use rocket::Build;
use rocket::Data;
use rocket::Request;
use rocket::Response;
use rocket::Rocket;
use rocket::Route;
use rocket::data::ToByteUnit;
use rocket::http::ContentType;
use rocket::http::Method;
use rocket::http::Status;
use rocket::route::Handler;
use rocket::route::Outcome;
use serde_json::json;
use tokio::sync::watch;

use crate::records::RunRecord;
use crate::relay::Relay;
use crate::server::Entrance;
use crate::server::Server;
use crate::server::lock;
use crate::text::TextHash;

/// Maximum request body size, in mebibytes.
const BODY_LIMIT_MIB: u64 = 8;

/// The supported HTTP methods.
const METHODS: [Method; 5] =
    [Method::Get, Method::Post, Method::Put, Method::Patch, Method::Delete];

/// The fault injected into calls to a service.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum CallFault {
    /// No fault.
    #[default]
    None,
    /// Calls return 500 without running.
    FailBefore,
    /// Calls run and then return 500.
    FailAfter,
    /// All connections are closed before the call runs.
    DropBefore,
    /// The call runs, and then all connections are closed without an answer.
    DropAfter,
}

/// Run counts of a service; services that share it are counted together.
#[derive(Debug, Clone, Default)]
pub struct ServiceRuns {
    /// By idempotency key.
    pub by_key: RunRecord,
    /// By request identifier.
    pub by_request: RunRecord,
}

#[derive(Debug, Clone, Copy, Default)]
struct Switches {
    fault: CallFault,
    delay: Duration,
    leaving: bool,
}

#[derive(Debug)]
struct Core {
    runs: ServiceRuns,
    calls: AtomicU64,
    switches: Mutex<Switches>,
    frozen: watch::Sender<bool>,
    relay: Mutex<Option<Arc<Relay>>>,
}

/// A running service host, stopped on drop.
#[derive(Debug)]
pub struct Service {
    core: Arc<Core>,
    server: Server,
}

impl Service {
    /// Starts a service host on a free port of the loopback address, counting into `runs`.
    pub async fn start(runs: ServiceRuns) -> io::Result<Service> {
        let core = Arc::new(Core {
            runs,
            calls: AtomicU64::new(0),
            switches: Mutex::default(),
            frozen: watch::Sender::new(false),
            relay: Mutex::default(),
        });
        let call = |method| Route::new(method, "/<path..>", CallHandler(core.clone()));
        let build = |rocket: Rocket<Build>| rocket.mount("/", METHODS.map(call).to_vec());
        let server = Server::launch(build, Entrance::Relay).await?;
        *lock(&core.relay) = server.relay();
        Ok(Service { core, server })
    }

    /// Returns the address of its HTTP interface.
    pub fn addr(&self) -> SocketAddr {
        self.server.addr()
    }

    /// Returns the run counts.
    pub fn runs(&self) -> &ServiceRuns {
        &self.core.runs
    }

    /// Returns the number of calls that ran on this host.
    pub fn calls(&self) -> u64 {
        self.core.calls.load(Ordering::Relaxed)
    }

    /// Sets the fault injected into calls from now on.
    pub fn set_fault(&self, fault: CallFault) {
        lock(&self.core.switches).fault = fault;
    }

    /// Sets the delay between running a call and responding.
    pub fn set_delay(&self, delay: Duration) {
        lock(&self.core.switches).delay = delay;
    }

    /// Sets whether responses announce that the host is leaving.
    pub fn set_leaving(&self, leaving: bool) {
        lock(&self.core.switches).leaving = leaving;
    }

    /// Simulates a paused process: accepts connections but runs nothing and sends no response.
    pub fn freeze(&self) {
        self.server.set_frozen(true);
        self.core.frozen.send_replace(true);
    }

    /// Resumes a paused process.
    pub fn thaw(&self) {
        self.core.frozen.send_replace(false);
        self.server.set_frozen(false);
    }

    /// Simulates a process crash: closes and refuses connections.
    pub fn kill(&self) {
        self.server.refuse();
    }

    /// Simulates a restart on the same address.
    pub async fn revive(&self) -> io::Result<()> {
        self.server.accept().await
    }

    /// Returns the server, for injecting faults of its host and link.
    pub fn server(&self) -> &Server {
        &self.server
    }
}

impl Core {
    async fn wait_thawed(&self) {
        // The sender lives as long as `self`, so the wait ends only when the process is resumed.
        let _ = self.frozen.subscribe().wait_for(|frozen| !frozen).await;
    }

    fn drop_connections(&self) {
        if let Some(relay) = &*lock(&self.relay) {
            relay.drop_connections();
        }
    }
}

/// A call, as echoed in the response.
struct Call {
    method: Method,
    path: String,
    key: Option<String>,
    request: Option<String>,
    body_hash: u64,
}

impl Call {
    async fn read(request: &Request<'_>, data: Data<'_>) -> Option<Call> {
        let body = data.open(BODY_LIMIT_MIB.mebibytes()).into_string().await.ok()?;
        let mut hash = TextHash::default();
        hash.read(&body);
        let header = |name| request.headers().get_one(name).map(str::to_owned);
        Some(Call {
            method: request.method(),
            path: request.uri().to_string(),
            key: header("idempotency-key"),
            request: header("x-request-id"),
            body_hash: hash.value(),
        })
    }

    /// Counts one run and returns the response body.
    fn run(&self, runs: &ServiceRuns) -> String {
        if let Some(key) = &self.key {
            runs.by_key.add(key);
        }
        if let Some(request) = &self.request {
            runs.by_request.add(request);
        }
        json!({
            "method": self.method.as_str(),
            "path": self.path,
            "key": self.key,
            "request_id": self.request,
            "body_hash": format!("{:016x}", self.body_hash),
        })
        .to_string()
    }
}

/// Handles calls on all paths.
#[derive(Debug, Clone)]
struct CallHandler(Arc<Core>);

#[rocket::async_trait]
impl Handler for CallHandler {
    async fn handle<'r>(&self, request: &'r Request<'_>, data: Data<'r>) -> Outcome<'r> {
        let core = &self.0;
        let Some(call) = Call::read(request, data).await else {
            return Outcome::Error(Status::BadRequest);
        };
        core.wait_thawed().await;
        let switches = *lock(&core.switches);
        match switches.fault {
            CallFault::FailBefore => return answer(500, String::new(), switches),
            CallFault::DropBefore => {
                core.drop_connections();
                return answer(500, String::new(), switches);
            }
            CallFault::None | CallFault::FailAfter | CallFault::DropAfter => {}
        }
        core.calls.fetch_add(1, Ordering::Relaxed);
        let body = call.run(&core.runs);
        tokio::time::sleep(switches.delay).await;
        core.wait_thawed().await;
        match switches.fault {
            CallFault::FailAfter => return answer(500, String::new(), switches),
            CallFault::DropAfter => core.drop_connections(),
            CallFault::None | CallFault::FailBefore | CallFault::DropBefore => {}
        }
        answer(200, body, switches)
    }
}

fn answer<'r>(status: u16, body: String, switches: Switches) -> Outcome<'r> {
    let mut response = Response::build()
        .status(Status::new(status))
        .header(ContentType::JSON)
        .sized_body(body.len(), io::Cursor::new(body))
        .finalize();
    if switches.leaving {
        response.set_raw_header("x-leaving", "true");
    }
    Outcome::Success(response)
}
