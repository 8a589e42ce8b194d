//! Wire format of what entry hosts tell each other of crashes, at the end of a load datagram.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::coordination::AnswerNotice;
use crate::coordination::CrashNews;
use crate::coordination::CrashNotice;
use crate::coordination::MAX_NEWS_ANSWERS;
use crate::coordination::MAX_NEWS_PARTS;
use crate::coordination::MAX_NEWS_REPORTS;
use crate::state::CrashReport;
use crate::state::EventTime;
use crate::state::Moment;
use crate::state::PartId;
use crate::state::ServicePart;

/// What follows the size of the fleet in a datagram, by builds that isolate parts of prompts.
#[derive(Debug, Default, Serialize, Deserialize)]
pub(crate) struct WireCrashes {
    reports: Vec<WireReport>,
    answers: Vec<WireAnswer>,
}

#[derive(Debug, Serialize, Deserialize)]
struct WireReport {
    id: u64,
    service: u32,
    server: u32,
    customer: u32,
    age_ms: u32,
    has_begun: bool,
    parts: Vec<u64>,
}

#[derive(Debug, Serialize, Deserialize)]
struct WireAnswer {
    service: u32,
    part: u64,
    age_ms: u32,
}

fn millis(age: Duration) -> u32 {
    u32::try_from(age.as_millis()).unwrap_or(u32::MAX)
}

fn duration(age_ms: u32) -> Duration {
    Duration::from_millis(age_ms.into())
}

impl From<&CrashNews> for WireCrashes {
    fn from(news: &CrashNews) -> WireCrashes {
        let reports = news.reports.iter().map(|notice| WireReport {
            id: notice.report.id,
            service: notice.report.service,
            server: notice.report.server,
            customer: notice.report.customer,
            age_ms: millis(notice.age),
            has_begun: notice.report.has_begun,
            parts: notice.report.parts.iter().map(|part| part.0).collect(),
        });
        // Rounds up, so that an answer never seems newer than it is.
        let answers = news.answers.iter().map(|answer| WireAnswer {
            service: answer.part.service,
            part: answer.part.part.0,
            age_ms: millis(answer.age).saturating_add(1),
        });
        WireCrashes { reports: reports.collect(), answers: answers.collect() }
    }
}

impl From<WireCrashes> for CrashNews {
    fn from(wire: WireCrashes) -> CrashNews {
        let reports = wire.reports.into_iter().take(MAX_NEWS_REPORTS).map(|report| {
            let age = duration(report.age_ms);
            let parts = report.parts.into_iter().take(MAX_NEWS_PARTS).map(PartId).collect();
            let (id, service, server) = (report.id, report.service, report.server);
            let (customer, has_begun) = (report.customer, report.has_begun);
            // The receiver sets the time by its own clock.
            let at = EventTime::from(Moment(0));
            let report = CrashReport { id, service, server, customer, at, has_begun, parts };
            CrashNotice { report, age }
        });
        let answers = wire.answers.into_iter().take(MAX_NEWS_ANSWERS).map(|answer| AnswerNotice {
            part: ServicePart { service: answer.service, part: PartId(answer.part) },
            age: duration(answer.age_ms),
        });
        CrashNews { reports: reports.collect(), answers: answers.collect(), ..CrashNews::default() }
    }
}
