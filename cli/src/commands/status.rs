//! `wasabicrank status`: entry hosts, targets, configuration, leases and suspicions at a glance.

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
use crate::output::complain;
use crate::output::print;

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

/// The status of several hosts as JSON.
#[derive(Serialize)]
struct Report {
    hosts: Vec<StatusJson>,
    unreachable: Vec<Unreachable>,
}

impl Status {
    /// Fetches and prints the status of all hosts.
    pub(crate) fn run(self) -> Exit {
        if self.addrs.is_empty() {
            complain("`wasabicrank status` needs the operators' address of an entry host.");
            return Exit::WrongUse;
        }
        let answers = match Answers::<StatusJson>::fetch(&self.addrs, "/status") {
            Ok(answers) => answers,
            Err(error) => {
                complain(&format!("the entry hosts cannot be asked: {error}"));
                return Exit::Failure;
            }
        };
        answers.complain();
        let complete = answers.unreachable.is_empty();
        let printed = if self.json {
            print_json(Report { hosts: answers.given, unreachable: answers.unreachable })
        } else {
            print(&describe(&answers.given))
        };
        if complete { printed } else { Exit::Failure }
    }
}

fn print_json(report: Report) -> Exit {
    match serde_json::to_string(&report) {
        Ok(json) => print(&(json + "\n")),
        Err(error) => {
            complain(&format!("the status cannot be written as JSON: {error}"));
            Exit::Failure
        }
    }
}

/// Describes hosts and targets in tables, and below them what is out of order.
fn describe(hosts: &[StatusJson]) -> String {
    let mut text = host_table(hosts).to_string();
    let targets = target_table(hosts);
    if targets.rows.len() > 1 {
        text += &format!("\n{targets}");
    }
    let notes: Vec<_> = hosts.iter().flat_map(notes).collect();
    if !notes.is_empty() {
        text += &format!("\n{}\n", notes.join("\n"));
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
            span(host.uptime_ms),
            host.config.version.to_string(),
            host.config.hash.chars().take(8).collect(),
            span(host.config.age_ms),
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

/// Returns one row for each target; its load comes from the host that dispatches to it.
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

/// Returns which host avoids a target, and for how long.
fn avoided(host: &str, target: &TargetJson) -> String {
    match target.since_ms {
        Some(since) => format!("{host} for {}", span(since)),
        None => host.to_owned(),
    }
}

fn target_row(views: &[(&str, &TargetJson)]) -> Vec<String> {
    let any = views[0].1;
    let load = views.iter().find_map(|(_, target)| target.load.as_ref());
    let number = |figure: Option<u32>| figure.map_or("-".to_owned(), |figure| figure.to_string());
    let avoiding = views.iter().filter(|(_, target)| !target.takes_work);
    let avoiding: Vec<String> = avoiding.map(|(host, target)| avoided(host, target)).collect();
    let held = load.map(|load| format!("{}/{}", load.held_tokens, load.memory_tokens));
    vec![
        any.name.clone(),
        any.zone.clone(),
        any.addr.clone(),
        any.listed.clone(),
        if avoiding.is_empty() { "-".to_owned() } else { avoiding.join(",") },
        any.dispatcher.clone().unwrap_or_else(|| "-".to_owned()),
        number(load.map(|load| load.short_tokens)),
        number(load.map(|load| load.long_tokens)),
        number(load.map(|load| load.requests)),
        held.unwrap_or_else(|| "-".to_owned()),
    ]
}

/// Says what is out of order in one host's eyes.
fn notes(host: &StatusJson) -> Vec<String> {
    let mut notes = Vec::new();
    for peer in host.peers.iter().filter(|peer| peer.state != PeerStateJson::Alive) {
        let (state, since) = (peer.state.as_str(), span(peer.since_ms));
        notes.push(format!("{}: {} is {state} since {since} ago", host.host, peer.host));
    }
    if let Some(refused) = &host.config.refused {
        let version = refused.version;
        let lines = refused.errors.iter();
        notes.extend(lines.map(|error| format!("{}: refused {version}: {error}", host.host)));
    }
    notes
}

/// Returns a span in the largest unit that leaves a whole number.
fn span(millis: u64) -> String {
    let seconds = Duration::from_millis(millis).as_secs();
    match seconds {
        0 => format!("{millis} ms"),
        1..120 => format!("{seconds} s"),
        120..7200 => format!("{} min", seconds / 60),
        _ => format!("{} h", seconds / 3600),
    }
}

/// Rows of cells under a heading, in aligned columns.
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
