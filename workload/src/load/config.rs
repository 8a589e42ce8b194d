//! The configuration of a load.

use std::net::SocketAddr;
use std::time::Duration;

use crate::load::LoadMix;
use wasabicrank_testutils::customers::Customer;
use wasabicrank_testutils::records::RunRecord;
use wasabicrank_testutils::service::ServiceRuns;

/// The configuration of a load.
#[derive(Debug, Clone)]
pub struct LoadConfig {
    /// The caller addresses of the entry hosts; a caller whose entry host goes away retries at the
    /// next.
    pub hosts: Vec<SocketAddr>,
    /// The customers that send requests.
    pub customers: Vec<Customer>,
    /// The requested model.
    pub model: String,
    /// The path of the plain service.
    pub service_path: String,
    /// The mix of requests.
    pub mix: LoadMix,
    /// The mean number of requests per second.
    pub rate: f64,
    /// The period during which requests arrive.
    pub span: Duration,
    /// The seed of the arrivals.
    pub seed: u64,
    /// The base timeout of a request, regardless of its prompt length.
    pub deadline: Duration,
    /// The additional timeout per prompt token.
    pub deadline_token: Duration,
    /// The maximum number of requests in progress; arrivals beyond it are skipped and counted.
    pub most_running: usize,
    /// The record of what ran on engines, to verify that refused requests did not run.
    pub engine_runs: Option<RunRecord>,
    /// The record of what ran on services, to verify that calls ran at most once.
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
