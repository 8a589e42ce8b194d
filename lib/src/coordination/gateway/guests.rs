//! Requests of other cells that this host places at servers of its own: their admission, and their work in
//! the load table. See docs/design/cross-cell-load.md.

use std::time::Duration;

use rand::Rng;

use super::Gateway;
use super::GrantedHelper;
use super::GuestAnswer;
use super::GuestGrant;
use super::GuestQuery;
use super::StopPhase;
use crate::state::ChoiceOutcome;
use crate::state::EngineProfile;
use crate::state::GroupCandidate;
use crate::state::GroupChoice;
use crate::state::GroupQuery;
use crate::state::Guest;
use crate::state::GuestKey;
use crate::state::KnownGuest;
use crate::state::Moment;
use crate::state::PromptSize;
use crate::state::RESERVED_SLOTS;
use crate::state::SCARCE_LOAD_FACTOR;
use crate::state::Server;
use crate::state::ServerId;
use crate::state::ServiceName;
use crate::state::choose_group;
use crate::state::prefill_price;

/// The time from this host's answer to the arrival of the request at its server: two network latencies
/// between availability zones, and a connection.
const TRANSIT_TIME: Duration = Duration::from_millis(10);
/// How long there is no room while a request waits, and while the servers cannot serve any guest.
const QUEUE_WAIT: Duration = Duration::from_millis(200);
const LONG_WAIT: Duration = Duration::from_secs(1);

/// The servers for a guest request.
struct Room {
    first: Server,
    /// The helpers, each with the tokens that its memory holds.
    helpers: Vec<(Server, u64)>,
    first_event: Duration,
    /// The engines' figures and the size of the prompt; `None` for a plain service.
    prompt: Option<(EngineProfile, PromptSize)>,
}

impl Gateway {
    /// Answers the query of a host of another cell. If it is granted, the work counts at this host until
    /// its end is reported or the request's deadline has passed.
    pub fn answer_guest(&mut self, now: Moment, key: GuestKey, query: &GuestQuery) -> GuestAnswer {
        self.review_guests(now);
        match self.guests.get(&key) {
            KnownGuest::Granted(grant) => return GuestAnswer::Granted(grant.clone()),
            KnownGuest::Closed => return GuestAnswer::NoRoom(LONG_WAIT),
            KnownGuest::New => {}
        }
        match self.find_room(now, query) {
            Ok(room) => GuestAnswer::Granted(self.count_guest(now, key, query, room)),
            Err(wait) => GuestAnswer::NoRoom(wait),
        }
    }

    /// Records that the first event of a guest request has arrived.
    pub fn record_guest_event(&mut self, now: Moment, key: &GuestKey) {
        let Some(guest) = self.guests.counted(key) else { return };
        for server in &guest.servers {
            self.loads.finish_prefill(server, guest.send, now);
        }
    }

    /// Records that a guest request has ended, with any result, or was not sent; returns whether it was
    /// counted.
    pub fn end_guest(&mut self, now: Moment, key: GuestKey) -> bool {
        let ended = self.guests.end(now, key);
        ended.iter().for_each(|guest| self.remove_guest_work(now, guest));
        ended.is_some()
    }

    /// Ends the guest requests whose deadline has passed; returns their number.
    pub fn review_guests(&mut self, now: Moment) -> usize {
        let expired = self.guests.take_expired(now);
        expired.iter().for_each(|guest| self.remove_guest_work(now, guest));
        expired.len()
    }

    /// Returns the number of guest requests that this host counts.
    pub fn guest_count(&self) -> usize {
        self.guests.len()
    }

    /// Returns the number of free slots at the servers of a plain service.
    pub(crate) fn free_plain_slots(&self, now: Moment, service: &ServiceName) -> u32 {
        let mut servers = self.usable_servers(service);
        servers.retain(|server| !self.is_paused(now, &server.id));
        servers.iter().map(|server| self.free_slots(now, server)).sum()
    }

    fn free_slots(&self, now: Moment, server: &Server) -> u32 {
        let running = self.loads.load(&server.id, now).running_total();
        let slots = server.slots.max(1);
        slots.saturating_sub(running + self.withheld_slots(now, server, slots))
    }

    fn remove_guest_work(&mut self, now: Moment, guest: &Guest<GuestGrant>) {
        for server in &guest.servers {
            self.loads.remove_work(server, guest.send, now);
        }
    }

    /// Finds servers for a guest request that the requests of this cell do not need, or returns how long
    /// there is no room.
    fn find_room(&mut self, now: Moment, query: &GuestQuery) -> Result<Room, Duration> {
        let profile = self.guest_profile(now, query)?;
        if !self.queue.is_empty() || !self.peers.queued(now).is_zero() {
            return Err(QUEUE_WAIT);
        }
        let seed = self.random.random();
        match profile {
            Some((profile, size)) => self.find_engines(now, query, &profile, size, seed),
            None => self.find_plain_server(now, query, seed),
        }
    }

    /// Returns the figures of the engines and the prompt's size, or `None` for a plain service.
    fn guest_profile(
        &self,
        now: Moment,
        query: &GuestQuery,
    ) -> Result<Option<(EngineProfile, PromptSize)>, Duration> {
        let is_usable = self.freshness.is_usable(now)
            && !self.awaits_zones()
            && self.stop_phase(now) == StopPhase::Running;
        let catalog = self.catalog.as_ref().filter(|_| is_usable).ok_or(LONG_WAIT)?;
        let engine = catalog.service(&query.service).and_then(|service| service.engine);
        Ok(engine.zip(query.size))
    }

    /// Returns the servers that a guest request may be sent to.
    fn guest_servers(&self, now: Moment, query: &GuestQuery) -> Vec<&Server> {
        let mut servers = self.usable_servers(&query.service);
        servers.retain(|server| {
            !self.is_paused(now, &server.id)
                && !self.is_limited(now, server)
                && !self.is_degraded(&server.id, now)
                && !query.tried.contains(&server.id.digest())
        });
        servers
    }

    fn find_engines(
        &self,
        now: Moment,
        query: &GuestQuery,
        profile: &EngineProfile,
        size: PromptSize,
        seed: u64,
    ) -> Result<Room, Duration> {
        let mut servers = self.guest_servers(now, query);
        let load_factor = self.load_factor(now, servers.len());
        if load_factor >= SCARCE_LOAD_FACTOR {
            return Err(LONG_WAIT);
        }
        let has_free_slot = |server: &&Server| {
            let running = self.loads.load(&server.id, now).running_total();
            running + self.withheld_slots(now, server, profile.slots) + RESERVED_SLOTS
                < profile.slots
        };
        servers.retain(has_free_slot);
        let candidates = self.group_candidates(now, &servers, profile.slots);
        let backlog: Duration = candidates.iter().map(|one| one.load.backlog).sum();
        let mean_backlog = backlog / candidates.len().max(1) as u32;
        let objective_left = query.objective_left.saturating_sub(TRANSIT_TIME);
        let group_query = GroupQuery {
            size,
            gap_class: query.gap_class,
            objective_left,
            abandon_after: query.abandon_after,
            price: prefill_price(load_factor, mean_backlog.as_secs_f64()),
            jitter_seed: seed,
            uses_reserve: false,
            engine_model: self.bounds.engine_model,
        };
        let choice = timely_choice(profile, &group_query, &candidates)?;
        let helper =
            |one: &crate::state::HelperChoice| (servers[one.position].clone(), one.held_tokens);
        Ok(Room {
            first: servers[choice.first].clone(),
            helpers: choice.helpers.iter().map(helper).collect(),
            first_event: choice.first_event,
            prompt: Some((*profile, size)),
        })
    }

    fn find_plain_server(
        &self,
        now: Moment,
        query: &GuestQuery,
        seed: u64,
    ) -> Result<Room, Duration> {
        if self.free_plain_slots(now, &query.service) <= RESERVED_SLOTS {
            return Err(QUEUE_WAIT);
        }
        let mut servers = self.guest_servers(now, query);
        servers.retain(|server| self.free_slots(now, server) > 0);
        let first =
            self.choose_server(now, &query.service, &servers, seed, true).ok_or(QUEUE_WAIT)?;
        Ok(Room { first, helpers: Vec::new(), first_event: Duration::ZERO, prompt: None })
    }

    fn count_guest(
        &mut self,
        now: Moment,
        key: GuestKey,
        query: &GuestQuery,
        room: Room,
    ) -> GuestGrant {
        let send = self.new_send();
        match &room.prompt {
            Some((profile, size)) => self.add_group_work(
                now,
                send,
                profile,
                *size,
                query.gap_class,
                &room.first,
                &room.helpers,
            ),
            None => self.add_plain_work(now, send, query.gap_class, &room.first),
        }
        let helper = |(server, held): &(Server, u64)| GrantedHelper {
            server: server.id.digest(),
            held_tokens: *held,
        };
        let grant = GuestGrant {
            server: room.first.id.digest(),
            helpers: room.helpers.iter().map(helper).collect(),
            first_event: room.first_event,
        };
        let helpers = room.helpers.into_iter().map(|(server, _)| server.id);
        let servers: Vec<ServerId> = helpers.chain([room.first.id]).collect();
        let until = now + query.time_left;
        self.guests.insert(key, Guest { send, servers, until, answer: grant.clone() });
        grant
    }
}

/// Chooses engines whose first event is on time, or returns how long there is no room.
fn timely_choice(
    profile: &EngineProfile,
    query: &GroupQuery,
    candidates: &[GroupCandidate],
) -> Result<GroupChoice, Duration> {
    match choose_group(profile, query, candidates) {
        ChoiceOutcome::Send(choice) if choice.first_event <= query.objective_left => Ok(choice),
        ChoiceOutcome::Send(choice) => Err(choice.first_event - query.objective_left),
        ChoiceOutcome::Wait(wait) => Err(wait),
        ChoiceOutcome::TooLate(_) | ChoiceOutcome::NoEngine => Err(QUEUE_WAIT),
        // Other requests may still find room soon.
        ChoiceOutcome::TooCostly(_) | ChoiceOutcome::TooLarge => Err(Duration::ZERO),
    }
}
