//! Wire format of what entry hosts tell each other of servers' limits, at the end of a load datagram.

use std::net::Ipv4Addr;

use serde::Deserialize;
use serde::Serialize;

use crate::coordination::Delegation;
use crate::coordination::LimitNews;
use crate::coordination::LimitNotice;
use crate::coordination::MAX_NEWS_LIMITS;
use crate::state::LimitVersion;
use crate::state::RequestRate;
use crate::state::ServerLimit;

/// What follows the reports on crashes in a datagram, by builds that keep limits.
#[derive(Debug, Default, Serialize, Deserialize)]
pub(crate) struct WireLimits {
    limits: Vec<WireLimit>,
    delegations: Vec<WireDelegation>,
}

#[derive(Debug, Serialize, Deserialize)]
struct WireLimit {
    server: u32,
    version: u32,
    /// In millionths of a request per second.
    rate: Option<u64>,
}

#[derive(Debug, Serialize, Deserialize)]
struct WireDelegation {
    arbiter: [u8; 4],
    server: u32,
}

impl From<&LimitNews> for WireLimits {
    fn from(news: &LimitNews) -> WireLimits {
        let limits = news.limits.iter().map(|notice| WireLimit {
            server: notice.server,
            version: notice.limit.version.0,
            rate: notice.limit.rate.map(RequestRate::micros),
        });
        let delegations = news.delegations.iter().map(|delegation| WireDelegation {
            arbiter: delegation.arbiter.octets(),
            server: delegation.server,
        });
        WireLimits { limits: limits.collect(), delegations: delegations.collect() }
    }
}

impl From<WireLimits> for LimitNews {
    fn from(wire: WireLimits) -> LimitNews {
        let limits = wire.limits.into_iter().take(MAX_NEWS_LIMITS).map(|one| LimitNotice {
            server: one.server,
            limit: ServerLimit {
                version: LimitVersion(one.version),
                rate: one.rate.map(RequestRate::from_micros),
            },
        });
        let delegations = wire.delegations.into_iter().take(MAX_NEWS_LIMITS);
        let delegations = delegations
            .map(|one| Delegation { arbiter: Ipv4Addr::from(one.arbiter), server: one.server });
        LimitNews { limits: limits.collect(), fresh: 0, delegations: delegations.collect() }
    }
}
