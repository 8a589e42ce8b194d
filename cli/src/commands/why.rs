//! `wasabicrank why`: explains in sentences why a request waited, moved to another target or was
//! refused.

use std::net::SocketAddr;

use argh::FromArgs;
use wasabicrank_lib::protocol::HostReply;
use wasabicrank_lib::protocol::TimeLineJson;
use wasabicrank_lib::protocol::explain;
use wasabicrank_lib::state::RequestId;
use wasabicrank_lib::state::TimeLinePage;

use super::fetch::Answers;
use super::fetch::Unreachable;
use crate::output::Exit;
use crate::output::print;
use crate::output::print_stderr;

/// Tell why a request waited, moved or was refused, from the events of all entry hosts. The request
/// id stands in every answer to a caller.
#[derive(FromArgs)]
#[argh(
    subcommand,
    name = "why",
    example = "{command_name} 10.0.1.5:7003 10.0.2.5:7003 00f3a29c41d07be5-17",
    error_code(0, "the request is explained"),
    error_code(1, "a host did not answer, or nothing is known of the request"),
    error_code(2, "wrong use of the command line")
)]
pub(crate) struct Why {
    /// the operators' addresses of the entry hosts, IP:PORT, and at the end the request id
    #[argh(positional, arg_name = "address... request")]
    words: Vec<String>,
}

/// The parsed positional arguments.
struct Query {
    addrs: Vec<SocketAddr>,
    request: RequestId,
}

impl Why {
    /// Fetches the events of the request from all hosts and prints an explanation of them.
    pub(crate) fn run(self) -> Exit {
        let query = match Query::parse(&self.words) {
            Ok(query) => query,
            Err(error) => {
                print_stderr(&error);
                return Exit::UsageError;
            }
        };
        let path = format!("/timeline?request={}", query.request);
        match Answers::<TimeLineJson>::fetch(&query.addrs, &path) {
            Ok(answers) => print_explanation(query.request, answers),
            Err(error) => {
                print_stderr(&format!("the entry hosts cannot be asked: {error}"));
                Exit::Failure
            }
        }
    }
}

impl Query {
    fn parse(words: &[String]) -> Result<Query, String> {
        let usage = "`wasabicrank why` needs addresses and a request: ADDRESS... REQUEST";
        let (request, addrs) = words.split_last().ok_or(usage)?;
        let request = request.parse().map_err(|error| format!("{error}"))?;
        if addrs.is_empty() {
            return Err(usage.to_owned());
        }
        let addrs = addrs.iter().map(|word| parse_addr(word)).collect::<Result<_, _>>()?;
        Ok(Query { addrs, request })
    }
}

fn parse_addr(word: &str) -> Result<SocketAddr, String> {
    word.parse().map_err(|_| format!("`{word}` is not an address: expected IP:PORT"))
}

fn print_explanation(request: RequestId, answers: Answers<TimeLineJson>) -> Exit {
    let mut replies = Vec::new();
    for page in answers.received {
        replies.push(match TimeLinePage::try_from(page) {
            Ok(page) => HostReply::Page(page),
            Err(error) => {
                HostReply::NoAnswer(format!("A host with an unreadable answer ({error})"))
            }
        });
    }
    let silent = |Unreachable { addr, error }| HostReply::NoAnswer(format!("{addr} ({error})"));
    replies.extend(answers.unreachable.into_iter().map(silent));
    let complete = replies.iter().all(|reply| matches!(reply, HostReply::Page(_)));
    let explanation = explain(request, replies);
    let printed = print(&explanation.to_string());
    if complete && explanation.found { printed } else { Exit::Failure }
}
