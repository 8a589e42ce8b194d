//! The availability zones that the operator has evacuated: no request is sent to their servers.
//!
//! The source holds one item for each evacuated zone. What a host knows of them is a set of zones as
//! of a point in the source's history; hosts exchange it in their summaries, and the set of the later
//! point replaces the other one. So a host that the source rejects follows its peers, and an evacuation
//! that is withdrawn and announced again is never overtaken by an older state.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::Ipv4Addr;
use std::time::Duration;

use rand::Rng;

use super::Dispatch;
use super::Gateway;
use super::GatewayRefusal;
use super::RefusalReason;
use super::news_rounds::NewsRounds;
use crate::state::Moment;
use crate::state::Server;
use crate::state::ServiceName;
use crate::state::SourcePoint;
use crate::state::ZoneName;
use crate::state::short_digest;

/// How long each message to the hosts of the cell has the zones after a change; single messages may be
/// lost.
const FRESH_TIME: Duration = Duration::from_millis(1_500);
/// The most zones in one message. While more are evacuated, hosts learn of them from the source alone,
/// since a part of the set would end the other evacuations at its receiver.
pub(crate) const MAX_NEWS_ZONES: usize = 64;
/// The retry delay for callers of a service whose servers are all in evacuated zones, and the maximum
/// random time added to it. The operator decides when an evacuation ends.
const RETRY_AFTER: Duration = Duration::from_secs(2);
const RETRY_SPREAD: Duration = Duration::from_secs(1);

/// The evacuated zones, in a message.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ZoneNews {
    /// The point of the source as of which the zones were evacuated.
    pub point: SourcePoint,
    /// The digests of the zones' names.
    pub zones: Vec<u32>,
    /// Whether the sender learned of a change lately.
    pub is_fresh: bool,
}

/// Where a change was learned.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ZoneSource {
    /// The source of the configuration.
    Store,
    /// Another host.
    Peer(Ipv4Addr),
    /// The zone was missing from an older copy of the source for too long.
    Expiry,
}

/// A zone whose evacuation began or ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ZoneChange {
    /// The digest of the zone's name.
    pub zone: u32,
    pub is_evacuated: bool,
    /// The point of the source at which this was known.
    pub point: SourcePoint,
    pub source: ZoneSource,
}

/// A change of one zone that the source reported.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ZoneEvent {
    pub zone: ZoneName,
    pub is_evacuated: bool,
    /// The revision of the change.
    pub revision: u64,
}

/// What this host knows of evacuated zones.
#[derive(Debug, Default)]
pub(crate) struct Evacuations {
    /// The point as of which `listed` is known; `None` until the source or a peer has stated it.
    point: Option<SourcePoint>,
    listed: BTreeSet<u32>,
    /// Zones that are missing from an older copy of the source, with the time until which they count as
    /// evacuated: the operator writes again what the source lost.
    missing: BTreeMap<u32, Moment>,
    /// The names of zones that the source stated, for the log.
    names: BTreeMap<u32, ZoneName>,
    changed: Option<Moment>,
    changes: Vec<ZoneChange>,
    /// The zones that came back and whose servers were not yet looked at.
    restored: Vec<u32>,
    /// When hosts of other cells are sent the zones.
    pub(crate) rounds: NewsRounds,
}

impl Evacuations {
    fn contains(&self, zone: &ZoneName) -> bool {
        if self.listed.is_empty() && self.missing.is_empty() {
            return false;
        }
        let zone = zone_digest(zone);
        self.listed.contains(&zone) || self.missing.contains_key(&zone)
    }

    /// Keeps the names of `zones` for the log, and drops those of zones that are not evacuated.
    fn record_names<'a>(&mut self, zones: impl Iterator<Item = &'a ZoneName>) {
        let (listed, missing) = (&self.listed, &self.missing);
        self.names.retain(|zone, _| listed.contains(zone) || missing.contains_key(zone));
        self.names.extend(zones.map(|zone| (zone_digest(zone), zone.clone())));
    }

    /// Replaces the zones if `point` is later than that of the known ones.
    fn replace(
        &mut self,
        now: Moment,
        point: SourcePoint,
        zones: BTreeSet<u32>,
        hold: Duration,
        source: ZoneSource,
    ) {
        if self.point.is_some_and(|known| known >= point) {
            return;
        }
        let before: BTreeSet<u32> = self.all().collect();
        if self.point.is_some_and(|known| known.era < point.era) {
            let lost = before.difference(&zones).filter(|zone| !self.missing.contains_key(*zone));
            let lost: Vec<u32> = lost.copied().collect();
            self.missing.extend(lost.into_iter().map(|zone| (zone, now + hold)));
        }
        self.missing.retain(|zone, _| !zones.contains(zone));
        self.listed = zones;
        self.point = Some(point);
        self.record_changes(now, &before, source);
    }

    fn all(&self) -> impl Iterator<Item = u32> {
        self.listed.iter().chain(self.missing.keys()).copied()
    }

    fn record_changes(&mut self, now: Moment, before: &BTreeSet<u32>, source: ZoneSource) {
        let after: BTreeSet<u32> = self.all().collect();
        let point = self.point.unwrap_or_default();
        let changed = before.symmetric_difference(&after).map(|zone| ZoneChange {
            zone: *zone,
            is_evacuated: after.contains(zone),
            point,
            source,
        });
        let known = self.changes.len();
        self.changes.extend(changed);
        let restored = self.changes[known..].iter().filter(|change| !change.is_evacuated);
        self.restored.extend(restored.map(|change| change.zone));
        if self.changes.len() > known {
            self.changed = Some(now);
            self.rounds.begin(now);
        }
    }
}

pub(crate) fn zone_digest(zone: &ZoneName) -> u32 {
    short_digest(&[zone.as_str().as_bytes()])
}

impl Gateway {
    /// Returns whether evacuations must be followed, which the settings ask for.
    pub fn follows_evacuations(&self) -> bool {
        self.bounds.evacuate.is_some()
    }

    /// Applies the complete list of evacuated zones that the source had at `point`.
    pub fn apply_zones(&mut self, now: Moment, point: SourcePoint, zones: &[ZoneName]) {
        let Some(hold) = self.bounds.evacuate else { return };
        let known = &mut self.evacuations;
        known.record_names(zones.iter());
        let zones = zones.iter().map(zone_digest).collect();
        known.replace(now, point, zones, hold, ZoneSource::Store);
        self.review_restored_zones(now);
    }

    /// Applies the changes that the source reported, which has reported all others up to `point`. The
    /// list must have been applied before in the same era.
    pub fn apply_zone_events(&mut self, now: Moment, point: SourcePoint, events: &[ZoneEvent]) {
        let known = &mut self.evacuations;
        let Some(from) = known.point.filter(|from| from.era == point.era && *from < point) else {
            return;
        };
        let before: BTreeSet<u32> = known.all().collect();
        known.record_names(events.iter().map(|event| &event.zone));
        // A peer may have stated a part of the changes, and later ones.
        for event in events.iter().filter(|event| event.revision > from.revision) {
            let zone = zone_digest(&event.zone);
            known.missing.remove(&zone);
            match event.is_evacuated {
                true => known.listed.insert(zone),
                false => known.listed.remove(&zone),
            };
        }
        known.point = Some(point);
        known.record_changes(now, &before, ZoneSource::Store);
        self.review_restored_zones(now);
    }

    /// Ends the evacuations that were lost with the source's history and not written again in time.
    pub fn review_evacuations(&mut self, now: Moment) {
        let known = &mut self.evacuations;
        if known.missing.values().all(|until| now < *until) {
            return;
        }
        let before: BTreeSet<u32> = known.all().collect();
        known.missing.retain(|_, until| now < *until);
        known.record_changes(now, &before, ZoneSource::Expiry);
        self.review_restored_zones(now);
    }

    fn review_restored_zones(&mut self, now: Moment) {
        let restored = std::mem::take(&mut self.evacuations.restored);
        if !restored.is_empty() {
            self.record_restored_zones(now, &restored);
        }
    }

    /// Returns the changes since the last call.
    pub fn take_zone_changes(&mut self) -> Vec<ZoneChange> {
        std::mem::take(&mut self.evacuations.changes)
    }

    /// Returns whether no request may be sent to the servers of `zone`.
    ///
    /// ```
    /// use std::time::Duration;
    /// use wasabicrank_lib::coordination::{Gateway, GatewayBounds};
    /// use wasabicrank_lib::state::{
    ///     MemoryBounds, Moment, RetryBounds, SourceEra, SourcePoint, ZoneName,
    /// };
    /// let limit = Duration::from_secs(5);
    /// let bounds = GatewayBounds {
    ///     zone: ZoneName::new("zone-a"),
    ///     revoke: limit,
    ///     config: limit,
    ///     drain: limit,
    ///     memory: MemoryBounds { unused: limit, release: limit },
    ///     budget: RetryBounds { ratio: 0.2, slack: 104.0, window: limit },
    ///     evacuate: Some(limit),
    ///     hedge_ratio: 0.0,
    ///     fair_customers: false,
    ///     engine_model: false,
    /// };
    /// let mut gateway = Gateway::new(bounds, 1);
    /// let point = SourcePoint { era: SourceEra(1), revision: 7 };
    /// gateway.apply_zones(Moment(0), point, &[ZoneName::new("zone-b")]);
    /// assert!(gateway.is_evacuated(&ZoneName::new("zone-b")));
    /// assert!(!gateway.is_evacuated(&ZoneName::new("zone-a")));
    /// ```
    pub fn is_evacuated(&self, zone: &ZoneName) -> bool {
        self.follows_evacuations() && self.evacuations.contains(zone)
    }

    /// Returns the number of evacuated zones.
    pub fn evacuated_count(&self) -> usize {
        if self.follows_evacuations() { self.evacuations.all().count() } else { 0 }
    }

    /// Returns the name of the zone with this digest, if the source or a listed server states it.
    pub fn zone_name(&self, digest: u32) -> Option<&ZoneName> {
        let mut zones = self.servers.iter().map(|server| &server.zone);
        let named = self.evacuations.names.get(&digest);
        named.or_else(|| zones.find(|zone| zone_digest(zone) == digest))
    }

    /// Returns whether evacuations are to be followed and none are known yet, so that requests might
    /// reach a zone that is evacuated.
    pub(crate) fn awaits_zones(&self) -> bool {
        self.follows_evacuations() && self.evacuations.point.is_none()
    }

    /// Returns whether a server of `dispatch` is in an evacuated zone.
    pub fn has_evacuated_server(&self, dispatch: &Dispatch) -> bool {
        dispatch.servers().any(|server| self.is_evacuated(&server.zone))
    }

    /// Removes the servers of evacuated zones.
    pub(crate) fn retain_open_zones(&self, servers: &mut Vec<&Server>) {
        servers.retain(|server| !self.is_evacuated(&server.zone));
    }

    /// Returns the refusal for a request to `service` that has no server, if that is because all zones
    /// with servers of it are evacuated.
    pub(crate) fn evacuation_refusal(&mut self, service: &ServiceName) -> Option<GatewayRefusal> {
        let servers = self.servers.of_service(service);
        if !servers.iter().any(|server| self.is_evacuated(&server.zone)) {
            return None;
        }
        let spread = RETRY_SPREAD.mul_f64(self.random.random_range(0.0..1.0));
        Some(GatewayRefusal::retry_after(RefusalReason::ZonesEvacuated, RETRY_AFTER + spread))
    }

    /// Returns what this host's message says of evacuated zones.
    pub(crate) fn zone_news(&self, now: Moment) -> Option<ZoneNews> {
        let known = &self.evacuations;
        let point = known.point.filter(|_| self.follows_evacuations())?;
        let is_fresh = known.changed.is_some_and(|at| now.since(at) <= FRESH_TIME);
        let zones: Vec<u32> = known.listed.iter().copied().collect();
        (zones.len() <= MAX_NEWS_ZONES).then_some(ZoneNews { point, zones, is_fresh })
    }

    /// Applies what the message of the host at `from` says of evacuated zones.
    pub(crate) fn apply_zone_news(&mut self, now: Moment, from: Ipv4Addr, news: ZoneNews) {
        let Some(hold) = self.bounds.evacuate else { return };
        let zones = news.zones.into_iter().collect();
        self.evacuations.replace(now, news.point, zones, hold, ZoneSource::Peer(from));
        self.review_restored_zones(now);
    }
}
