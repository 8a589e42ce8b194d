//! The HTTP interface for operators: a page, status, time line, explanations and metrics.
//!
//! It only reads the state that the core thread publishes, and listens on a separate address.

use std::sync::Arc;

use rocket::Route;
use rocket::State;
use rocket::get;
use rocket::http::ContentType;
use rocket::http::Status;
use rocket::response::content::RawHtml;
use rocket::routes;

use super::core_thread::OperatorState;
use super::core_thread::lock;
use super::metrics::MetricCount;
use super::operator_origin::AllowedOrigin;
use super::operator_origin::SharedJson;
use super::page::PAGE;
use crate::protocol::CounterJson;
use crate::protocol::HostReply;
use crate::protocol::StatusJson;
use crate::protocol::TimeLineJson;
use crate::protocol::WhyJson;
use crate::protocol::explain;
use crate::state::EventFilter;
use crate::state::HybridTime;
use crate::state::RequestId;
use crate::state::TimeLinePage;

/// The maximum number of events in one response.
const MAX_EVENTS: usize = 10_000;
/// The media type of metrics.
const METRICS_TYPE: (&str, &str) = ("application", "openmetrics-text");

/// A JSON body, or the status and text of an error.
type JsonResult = Result<SharedJson, (Status, String)>;

/// Returns all routes for operators.
pub(crate) fn routes() -> Vec<Route> {
    routes![page, status, time_line, why, metrics]
}

#[get("/")]
fn page() -> RawHtml<&'static str> {
    RawHtml(PAGE)
}

#[get("/status")]
fn status(operator_state: &State<Arc<OperatorState>>, origin: AllowedOrigin) -> JsonResult {
    let status = lock(&operator_state.status).clone();
    let mut json = StatusJson::from(status.as_ref());
    json.counters = counters(operator_state);
    to_json(&json, origin)
}

/// Returns the newest events; `after` is in microseconds since the Unix epoch.
#[get("/timeline?<request>&<after>&<limit>")]
fn time_line(
    operator_state: &State<Arc<OperatorState>>,
    request: Option<&str>,
    after: Option<u64>,
    limit: Option<usize>,
    origin: AllowedOrigin,
) -> JsonResult {
    let filter = EventFilter {
        request: request.map(request_id).transpose()?,
        after: HybridTime(after.unwrap_or(0)),
        limit: limit.unwrap_or(MAX_EVENTS).clamp(1, MAX_EVENTS),
    };
    to_json(&TimeLineJson::from(read_page(operator_state, &filter)), origin)
}

/// Explains a request from this host's events only.
#[get("/why?<request>")]
fn why(
    operator_state: &State<Arc<OperatorState>>,
    request: &str,
    origin: AllowedOrigin,
) -> JsonResult {
    let request = request_id(request)?;
    let filter =
        EventFilter { request: Some(request), limit: MAX_EVENTS, ..EventFilter::default() };
    let explanation = explain(request, [HostReply::Page(read_page(operator_state, &filter))]);
    to_json(&WhyJson::from(explanation), origin)
}

#[get("/metrics")]
fn metrics(operator_state: &State<Arc<OperatorState>>) -> (ContentType, String) {
    let (top, sub) = METRICS_TYPE;
    let kind = ContentType::new(top, sub).with_params(("version", "1.0.0"));
    (kind, operator_state.metrics.text())
}

fn read_page(operator_state: &OperatorState, filter: &EventFilter) -> TimeLinePage {
    lock(&operator_state.time_line).page(filter)
}

fn counters(operator_state: &OperatorState) -> Vec<CounterJson> {
    let lost = lock(&operator_state.time_line).lost();
    let counts = operator_state.metrics.counts().into_iter();
    let mut counters: Vec<_> =
        counts.map(|MetricCount { name, count }| CounterJson { name, count }).collect();
    counters.push(CounterJson { name: "events_lost".to_owned(), count: lost });
    counters
}

fn request_id(text: &str) -> Result<RequestId, (Status, String)> {
    text.parse().map_err(|error| (Status::BadRequest, format!("{error}\n")))
}

fn to_json(value: &impl serde::Serialize, origin: AllowedOrigin) -> JsonResult {
    match serde_json::to_string(value) {
        Ok(body) => Ok(SharedJson { body, origin }),
        Err(error) => Err((Status::InternalServerError, format!("{error}\n"))),
    }
}
