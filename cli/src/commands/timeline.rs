//! `wasabicrank timeline`: merges the events of several entry hosts in order of time.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use argh::FromArgs;
use serde::Serialize;
use wasabicrank_lib::protocol::StampedJson;
use wasabicrank_lib::protocol::TimeLineJson;
use wasabicrank_lib::protocol::event_sentence;
use wasabicrank_lib::protocol::time_of_day;
use wasabicrank_lib::state::HybridTime;
use wasabicrank_lib::state::RequestId;
use wasabicrank_lib::state::StampedEvent;
use wasabicrank_lib::state::TimeLinePage;
use wasabicrank_lib::state::merge_events;

use super::fetch::Answers;
use super::fetch::Unreachable;
use crate::output::Exit;
use crate::output::print;
use crate::output::print_stderr;

/// Show what happened at all entry hosts, oldest first. Events that a host no longer has and hosts
/// that do not answer are named on standard error.
#[derive(FromArgs)]
#[argh(
    subcommand,
    name = "timeline",
    example = "{command_name} 10.0.1.5:7003 10.0.2.5:7003 10.0.3.5:7003",
    example = "{command_name} 10.0.1.5:7003 --since 60",
    example = "{command_name} 10.0.1.5:7003 --request 00f3a29c41d07be5-17 --json",
    error_code(0, "all hosts answered"),
    error_code(1, "a host did not answer"),
    error_code(2, "wrong use of the command line")
)]
pub(crate) struct Timeline {
    /// the operators' addresses of the entry hosts, IP:PORT
    #[argh(positional, arg_name = "address")]
    addrs: Vec<SocketAddr>,
    /// only events of this request
    #[argh(option, arg_name = "id")]
    request: Option<RequestId>,
    /// only events of the last so many seconds
    #[argh(option, arg_name = "seconds")]
    since: Option<u64>,
    /// print JSON
    #[argh(switch)]
    json: bool,
}

/// The JSON output with the events of several hosts.
#[derive(Serialize)]
struct Report {
    events: Vec<StampedJson>,
    lost: Vec<LostEvents>,
    unreachable: Vec<Unreachable>,
}

/// The counts of events that a host has discarded or omitted from its answer.
#[derive(Serialize)]
struct LostEvents {
    host: String,
    lost: u64,
    lost_until_us: u64,
    left_out: u64,
}

impl Timeline {
    /// Fetches, merges and prints the events.
    pub(crate) fn run(self) -> Exit {
        if self.addrs.is_empty() {
            print_stderr("`wasabicrank timeline` needs the operators' address of an entry host.");
            return Exit::UsageError;
        }
        let answers = match Answers::<TimeLineJson>::fetch(&self.addrs, &self.path()) {
            Ok(answers) => answers,
            Err(error) => {
                print_stderr(&format!("the entry hosts cannot be asked: {error}"));
                return Exit::Failure;
            }
        };
        let lost = lost_events(&answers.received);
        let pages = answers.received.iter().cloned().map(TimeLinePage::try_from);
        let pages: Vec<_> = match pages.collect() {
            Ok(pages) => pages,
            Err(error) => {
                print_stderr(&format!("an entry host's answer cannot be read: {error}"));
                return Exit::Failure;
            }
        };
        answers.report_unreachable();
        let complete = answers.unreachable.is_empty();
        let events = merge_events(pages);
        let printed = if self.json {
            print_json(&events, lost, answers.unreachable)
        } else {
            lost.iter().for_each(LostEvents::report);
            print(&events.iter().map(event_line).collect::<String>())
        };
        if complete { printed } else { Exit::Failure }
    }

    fn path(&self) -> String {
        let mut path = format!("/timeline?after={}", self.since.map_or(0, unix_micros_ago));
        if let Some(request) = self.request {
            path += &format!("&request={request}");
        }
        path
    }
}

/// Returns the time `seconds` ago, in microseconds since the Unix epoch.
fn unix_micros_ago(seconds: u64) -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    let then = now.saturating_sub(Duration::from_secs(seconds));
    u64::try_from(then.as_micros()).unwrap_or(u64::MAX)
}

fn lost_events(pages: &[TimeLineJson]) -> Vec<LostEvents> {
    let incomplete = pages.iter().filter(|page| page.lost > 0 || page.left_out > 0);
    let lost = incomplete.map(|page| LostEvents {
        host: page.host.clone(),
        lost: page.lost,
        lost_until_us: page.lost_until_us,
        left_out: page.left_out,
    });
    lost.collect()
}

impl LostEvents {
    fn report(&self) {
        let until = time_of_day(HybridTime(self.lost_until_us));
        if self.lost > 0 {
            print_stderr(&format!(
                "{}: {} older events are lost, up to {until}",
                self.host, self.lost
            ));
        }
        if self.left_out > 0 {
            print_stderr(&format!("{}: {} older events are not shown", self.host, self.left_out));
        }
    }
}

fn event_line(stamped: &StampedEvent) -> String {
    let (at, host) = (time_of_day(stamped.at), &stamped.host);
    let sentence = event_sentence(&stamped.event);
    match stamped.event.request() {
        Some(request) => format!("{at}  {host}  {request}  {sentence}\n"),
        None => format!("{at}  {host}  -  {sentence}\n"),
    }
}

fn print_json(
    events: &[StampedEvent],
    lost: Vec<LostEvents>,
    unreachable: Vec<Unreachable>,
) -> Exit {
    let events = events.iter().map(StampedJson::from).collect();
    match serde_json::to_string(&Report { events, lost, unreachable }) {
        Ok(json) => print(&(json + "\n")),
        Err(error) => {
            print_stderr(&format!("the events cannot be written as JSON: {error}"));
            Exit::Failure
        }
    }
}
