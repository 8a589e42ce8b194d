//! Wire format of what entry hosts exchange on cold servers, at the end of a load datagram.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::coordination::ColdNews;
use crate::coordination::MAX_NEWS_COLD;
use crate::state::ColdNotice;

/// What follows the evacuated zones in a datagram, by hosts that know of cold servers.
#[derive(Debug, Default, Serialize, Deserialize)]
pub(crate) struct WireColdServers {
    servers: Vec<WireCold>,
}

#[derive(Debug, Serialize, Deserialize)]
struct WireCold {
    server: u32,
    /// Absent if the cold period begins with the first use.
    remaining_ms: Option<u32>,
    age_ms: u32,
    is_doubtful: bool,
}

fn millis(duration: Duration) -> u32 {
    u32::try_from(duration.as_millis()).unwrap_or(u32::MAX)
}

impl From<&ColdNews> for WireColdServers {
    fn from(news: &ColdNews) -> WireColdServers {
        let servers = news.servers.iter().map(|notice| WireCold {
            server: notice.server,
            // Rounded up, so that a cold period is never understated.
            remaining_ms: notice.remaining.map(|left| millis(left + Duration::from_micros(999))),
            age_ms: millis(notice.age),
            is_doubtful: notice.is_doubtful,
        });
        WireColdServers { servers: servers.collect() }
    }
}

impl From<WireColdServers> for ColdNews {
    fn from(wire: WireColdServers) -> ColdNews {
        let servers = wire.servers.into_iter().take(MAX_NEWS_COLD).map(|one| ColdNotice {
            server: one.server,
            remaining: one.remaining_ms.map(|left| Duration::from_millis(left.into())),
            age: Duration::from_millis(one.age_ms.into()),
            is_doubtful: one.is_doubtful,
        });
        ColdNews { servers: servers.collect(), fresh: 0 }
    }
}
