//! `wasabicrank status`: shows entry hosts, targets, configuration, leases and suspected peers.

use std::collections::BTreeMap;
use std::fmt::Write;
use std::net::SocketAddr;
use std::time::Duration;

use argh::FromArgs;
use serde::Serialize;
use wasabicrank_lib::protocol::PeerStateJson;
use wasabicrank_lib::protocol::StatusJson;
use wasabicrank_lib::protocol::TargetJson;

use super::fetch::Answers;
use super::fetch::Unreachable;
use crate::output::Exit;
use crate::output::print;
use crate::output::print_stderr;

/// Show each entry host with its configuration, what it leads and whom it suspects, and the targets
/// with their load. Hosts that do not answer are named on standard error.
#[derive(FromArgs)]
#[argh(
    subcommand,
    name = "status",
    example = "{command_name} 10.0.1.5:7003 10.0.2.5:7003 10.0.3.5:7003",
    example = "{command_name} 10.0.1.5:7003 --json",
    error_code(0, "all hosts answered"),
    error_code(1, "a host did not answer"),
    error_code(2, "wrong use of the command line")
)]
pub(crate) struct Status {
    /// the operators' addresses of the entry hosts, IP:PORT
    #[argh(positional, arg_name = "address")]
    addrs: Vec<SocketAddr>,
    /// print JSON
    #[argh(switch)]
    json: bool,
}

/// The JSON output with the status of several hosts.
#[derive(Serialize)]
struct Report {
    hosts: Vec<StatusJson>,
    unreachable: Vec<Unreachable>,
}

impl Status {
    /// Fetches and prints the status of all hosts.
    pub(crate) fn run(self) -> Exit {
        if self.addrs.is_empty() {
            print_stderr("`wasabicrank status` needs the operators' address of an entry host.");
            return Exit::UsageError;
        }
        let answers = match Answers::<StatusJson>::fetch(&self.addrs, "/status") {
            Ok(answers) => answers,
            Err(error) => {
                print_stderr(&format!("the entry hosts cannot be asked: {error}"));
                return Exit::Failure;
            }
        };
        answers.report_unreachable();
        let complete = answers.unreachable.is_empty();
        let printed = if self.json {
            print_json(Report { hosts: answers.received, unreachable: answers.unreachable })
        } else {
            print(&describe(&answers.received))
        };
        if complete { printed } else { Exit::Failure }
    }
}

fn print_json(report: Report) -> Exit {
    match serde_json::to_string(&report) {
        Ok(json) => print(&(json + "\n")),
        Err(error) => {
            print_stderr(&format!("the status cannot be written as JSON: {error}"));
            Exit::Failure
        }
    }
}

/// Returns tables of hosts and targets, followed by the problems that the hosts report.
fn describe(hosts: &[StatusJson]) -> String {
    let mut text = host_table(hosts).to_string();
    let targets = target_table(hosts);
    if targets.rows.len() > 1 {
        text += &format!("\n{targets}");
    }
    let problems: Vec<_> = hosts.iter().flat_map(problems).collect();
    if !problems.is_empty() {
        text += &format!("\n{}\n", problems.join("\n"));
    }
    text
}

fn host_table(hosts: &[StatusJson]) -> Table {
    let mut table = Table::new(&[
        "ENTRY HOST",
        "ZONE",
        "STATE",
        "UP",
        "CONFIG",
        "HASH",
        "IN FORCE",
        "LIST",
        "OPEN",
        "LEADS",
    ]);
    for host in hosts {
        table.rows.push(vec![
            host.host.clone(),
            host.zone.clone(),
            state(host).to_owned(),
            format_duration(host.uptime_ms),
            host.config.version.to_string(),
            host.config.hash.chars().take(8).collect(),
            format_duration(host.config.age_ms),
            host.list_version.to_string(),
            host.open_requests.to_string(),
            format!("{} shards", host.shards.len()),
        ]);
    }
    table
}

fn state(host: &StatusJson) -> &'static str {
    match (host.stopping, host.ready) {
        (true, _) => "stopping",
        (false, true) => "ready",
        (false, false) => "not ready",
    }
}

/// Returns a table with one row per target; the load of a target comes from the host that dispatches
/// to it.
fn target_table(hosts: &[StatusJson]) -> Table {
    let mut table = Table::new(&[
        "TARGET",
        "ZONE",
        "ADDRESS",
        "LISTED",
        "AVOIDED BY",
        "DISPATCHER",
        "SHORT",
        "LONG",
        "REQUESTS",
        "HELD",
    ]);
    let mut targets: BTreeMap<(&str, &str), Vec<(&str, &TargetJson)>> = BTreeMap::new();
    for host in hosts {
        for target in &host.targets {
            let key = (target.name.as_str(), target.addr.as_str());
            targets.entry(key).or_default().push((&host.host, target));
        }
    }
    table.rows.extend(targets.values().map(|views| target_row(views)));
    table
}

/// Returns the host that avoids a target and, if known, for how long it has done so.
fn avoided_by(host: &str, target: &TargetJson) -> String {
    match target.since_ms {
        Some(since) => format!("{host} for {}", format_duration(since)),
        None => host.to_owned(),
    }
}

fn target_row(views: &[(&str, &TargetJson)]) -> Vec<String> {
    let first = views[0].1;
    let load = views.iter().find_map(|(_, target)| target.load.as_ref());
    let number = |value: Option<u32>| value.map_or("-".to_owned(), |value| value.to_string());
    let avoiding = views.iter().filter(|(_, target)| !target.takes_work);
    let avoiding: Vec<String> = avoiding.map(|(host, target)| avoided_by(host, target)).collect();
    let held = load.map(|load| format!("{}/{}", load.held_tokens, load.memory_tokens));
    vec![
        first.name.clone(),
        first.zone.clone(),
        first.addr.clone(),
        first.listed.clone(),
        if avoiding.is_empty() { "-".to_owned() } else { avoiding.join(",") },
        first.dispatcher.clone().unwrap_or_else(|| "-".to_owned()),
        number(load.map(|load| load.short_tokens)),
        number(load.map(|load| load.long_tokens)),
        number(load.map(|load| load.requests)),
        held.unwrap_or_else(|| "-".to_owned()),
    ]
}

/// Returns the problems that one host reports: peers that are not alive, and a refused configuration.
fn problems(host: &StatusJson) -> Vec<String> {
    let mut problems = Vec::new();
    for peer in host.peers.iter().filter(|peer| peer.state != PeerStateJson::Alive) {
        let (state, since) = (peer.state.as_str(), format_duration(peer.since_ms));
        problems.push(format!("{}: {} is {state} since {since} ago", host.host, peer.host));
    }
    if let Some(refused) = &host.config.refused {
        let version = refused.version;
        let lines = refused.errors.iter();
        problems.extend(lines.map(|error| format!("{}: refused {version}: {error}", host.host)));
    }
    problems
}

/// Formats a duration in ms, s, min or h, rounded down to a whole number of that unit.
fn format_duration(millis: u64) -> String {
    let seconds = Duration::from_millis(millis).as_secs();
    match seconds {
        0 => format!("{millis} ms"),
        1..120 => format!("{seconds} s"),
        120..7200 => format!("{} min", seconds / 60),
        _ => format!("{} h", seconds / 3600),
    }
}

/// A table with a heading row, printed in aligned columns.
struct Table {
    rows: Vec<Vec<String>>,
}

impl Table {
    fn new(heading: &[&str]) -> Table {
        Table { rows: vec![heading.iter().map(|cell| (*cell).to_owned()).collect()] }
    }

    fn widths(&self) -> Vec<usize> {
        let columns = self.rows[0].len();
        let width = |column: usize| self.rows.iter().map(|row| row[column].chars().count()).max();
        (0..columns).map(|column| width(column).unwrap_or(0)).collect()
    }
}

impl std::fmt::Display for Table {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let widths = self.widths();
        for row in &self.rows {
            let mut line = String::new();
            for (cell, width) in row.iter().zip(&widths) {
                write!(line, "{cell:<width$}  ")?;
            }
            writeln!(f, "{}", line.trim_end())?;
        }
        Ok(())
    }
}
