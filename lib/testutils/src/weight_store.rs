//! The weight store stand-in, from which engines load weights at a limited rate.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use rocket::Build;
use rocket::Rocket;
use rocket::State;
use rocket::get;
use rocket::http::Status;
use rocket::routes;

use crate::rate::RateWindow;
use crate::server::Entrance;
use crate::server::Server;
use crate::server::lock;

/// Window of the rate limit.
const RATE_SPAN: Duration = Duration::from_secs(60);

/// Counters of a weight store since it started.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct WeightCounts {
    /// Loads admitted by the rate limit, counted when they start.
    pub served: u64,
    /// Loads rejected by the rate limit.
    pub refused: u64,
    /// The peak number of admitted loads in one minute.
    pub peak: u32,
}

#[derive(Debug)]
struct Store {
    window: Mutex<RateWindow>,
    counts: Mutex<WeightCounts>,
    load_time: Duration,
}

/// A running weight store, stopped on drop.
#[derive(Debug)]
pub struct WeightStore {
    store: Arc<Store>,
    server: Server,
}

impl WeightStore {
    /// Starts a store that serves up to `rate` loads per minute, each taking `load_time`.
    pub async fn start(rate: u32, load_time: Duration) -> io::Result<WeightStore> {
        let window = Mutex::new(RateWindow::new(RATE_SPAN, Some(rate)));
        let store = Arc::new(Store { window, counts: Mutex::default(), load_time });
        let state = store.clone();
        let equip = |rocket: Rocket<Build>| rocket.manage(state).mount("/", routes![weights]);
        let server = Server::launch(equip, Entrance::Relay).await?;
        Ok(WeightStore { store, server })
    }

    /// Returns the address of its HTTP interface.
    pub fn addr(&self) -> SocketAddr {
        self.server.addr()
    }

    /// Returns the counters.
    pub fn counts(&self) -> WeightCounts {
        let mut counts = *lock(&self.store.counts);
        counts.peak = lock(&self.store.window).peak();
        counts
    }

    /// Returns the server, for injecting faults of its host and link.
    pub fn server(&self) -> &Server {
        &self.server
    }
}

#[get("/weights/<_model>/<_part>")]
async fn weights(store: &State<Arc<Store>>, _model: &str, _part: &str) -> Status {
    if !lock(&store.window).allow() {
        lock(&store.counts).refused += 1;
        return Status::TooManyRequests;
    }
    lock(&store.counts).served += 1;
    tokio::time::sleep(store.load_time).await;
    Status::Ok
}
