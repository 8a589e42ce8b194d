//! How a load is set up.

use std::net::SocketAddr;
use std::time::Duration;

use crate::load::LoadMix;
use wasabicrank_testutils::customers::Customer;
use wasabicrank_testutils::records::RunRecord;
use wasabicrank_testutils::service::ServiceRuns;

/// How a load is set up.
#[derive(Debug, Clone)]
pub struct LoadConfig {
    /// Where entry hosts take callers; a caller whose entry host goes comes back to the next.
    pub hosts: Vec<SocketAddr>,
    /// The customers that send.
    pub customers: Vec<Customer>,
    /// The model that is asked for.
    pub model: String,
    /// The path of the plain service.
    pub service_path: String,
    /// What the load is made of.
    pub mix: LoadMix,
    /// The requests a second, on the average.
    pub rate: f64,
    /// How long requests come.
    pub span: Duration,
    /// What the arrivals follow from.
    pub seed: u64,
    /// The time that a short prompt's request is given.
    pub deadline: Duration,
    /// The time that requests are given beside that for each prompt token.
    pub deadline_token: Duration,
    /// The most requests under way; more are counted as left out.
    pub most_running: usize,
    /// What ran on engines, to prove that refused requests did not.
    pub engine_runs: Option<RunRecord>,
    /// What ran on services, to prove that calls ran once at most.
    pub service_runs: Option<ServiceRuns>,
}

impl Default for LoadConfig {
    fn default() -> Self {
        LoadConfig {
            hosts: Vec::new(),
            customers: Vec::new(),
            model: "assist".to_owned(),
            service_path: "/enrolment".to_owned(),
            mix: LoadMix::default(),
            rate: 10.0,
            span: Duration::from_secs(10),
            seed: 1,
            deadline: Duration::from_secs(20),
            deadline_token: Duration::from_micros(200),
            most_running: 2_000,
            engine_runs: None,
            service_runs: None,
        }
    }
}
