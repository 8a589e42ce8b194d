//! Wire format of what entry hosts tell each other of evacuated zones, at the end of a load datagram.

use serde::Deserialize;
use serde::Serialize;

use crate::coordination::MAX_NEWS_ZONES;
use crate::coordination::ZoneNews;
use crate::state::SourceEra;
use crate::state::SourcePoint;

/// What follows the limits in a datagram, by hosts that follow evacuations.
#[derive(Debug, Default, Serialize, Deserialize)]
pub(crate) struct WireZones {
    /// The zones; absent if the sender does not know them or the receiver does.
    known: Option<WireKnown>,
}

#[derive(Debug, Serialize, Deserialize)]
struct WireKnown {
    era: u64,
    revision: u64,
    zones: Vec<u32>,
}

impl From<&Option<ZoneNews>> for WireZones {
    fn from(news: &Option<ZoneNews>) -> WireZones {
        let known = news.as_ref().map(|news| WireKnown {
            era: news.point.era.0,
            revision: news.point.revision,
            zones: news.zones.clone(),
        });
        WireZones { known }
    }
}

impl From<WireZones> for Option<ZoneNews> {
    fn from(wire: WireZones) -> Option<ZoneNews> {
        let known = wire.known.filter(|known| known.zones.len() <= MAX_NEWS_ZONES)?;
        let point = SourcePoint { era: SourceEra(known.era), revision: known.revision };
        Some(ZoneNews { point, zones: known.zones, is_fresh: false })
    }
}
