//! The memory that hosts reserve at one server.

use std::collections::HashMap;
use std::sync::Mutex;

use serde_json::Value;
use serde_json::json;
use wasabicrank_testutils::server::lock;

use crate::evidence::Millis;

/// The platform's bound on how long memory may stay reserved that no request has used.
const UNUSED_LIMIT_MS: Millis = 9_000;
/// The same after its last request has ended.
const USED_LIMIT_MS: Millis = 4_000;

/// A reservation of memory.
#[derive(Debug, Clone, Copy)]
struct Ticket {
    since: Millis,
    until: Millis,
    /// The number of requests that use it now, and when the last one ended.
    users: u32,
    last_use: Option<Millis>,
}

impl Ticket {
    /// Returns whether it outlived its bound without a request that uses it.
    fn is_leaked(&self, now: Millis) -> bool {
        let bound = match self.last_use {
            Some(last) => last + USED_LIMIT_MS,
            None => self.since + UNUSED_LIMIT_MS,
        };
        self.until > now && self.users == 0 && now > bound
    }
}

/// The reservations at one server, by name.
#[derive(Debug, Default)]
pub(crate) struct Tickets(Mutex<HashMap<String, Ticket>>);

impl Tickets {
    /// Drops all reservations, as a crash of the process would.
    pub(crate) fn clear(&self) {
        lock(&self.0).clear();
    }

    /// Executes an order that arrived at `arrived`, from which its hold time counts.
    pub(crate) fn execute(&self, order: &Value, arrived: Millis, now: Millis) {
        let mut tickets = lock(&self.0);
        let id = order["id"].as_str().unwrap_or_default().to_owned();
        if order["operation"] == "release" {
            tickets.remove(&id);
            return;
        }
        let until = arrived + order["hold_ms"].as_u64().unwrap_or(0);
        tickets.retain(|_, ticket| ticket.until > now || ticket.users > 0);
        if until > now {
            let fresh = Ticket { since: now, until, users: 0, last_use: None };
            let ticket = tickets.entry(id).or_insert(fresh);
            ticket.until = ticket.until.max(until);
        }
    }

    pub(crate) fn is_held(&self, name: &str, now: Millis) -> bool {
        lock(&self.0).get(name).is_some_and(|ticket| ticket.until > now)
    }

    /// Counts a request that uses a reservation; returns how many use it now.
    pub(crate) fn begin_use(&self, name: &str) -> u32 {
        let mut tickets = lock(&self.0);
        let Some(ticket) = tickets.get_mut(name) else { return 0 };
        ticket.users += 1;
        ticket.users
    }

    pub(crate) fn end_use(&self, name: &str, now: Millis) {
        if let Some(ticket) = lock(&self.0).get_mut(name) {
            ticket.users = ticket.users.saturating_sub(1);
            ticket.last_use = Some(now);
        }
    }

    /// Lists the reservations as an engine reports them.
    pub(crate) fn report(&self, now: Millis) -> Vec<Value> {
        let tickets = lock(&self.0);
        let held = tickets.iter().filter(|(_, ticket)| ticket.until > now);
        let entry = |(name, ticket): (&String, &Ticket)| {
            let state = if ticket.users > 0 { "used" } else { "held" };
            json!({ "id": name, "state": state, "age_ms": now - ticket.since })
        };
        held.map(entry).collect()
    }

    /// Describes each reservation that outlived its bound without a request that uses it.
    pub(crate) fn leaked(&self, now: Millis) -> Vec<String> {
        let tickets = lock(&self.0);
        let leaked = tickets.values().filter(|ticket| ticket.is_leaked(now));
        leaked.map(|ticket| format!("{ticket:?} at {now} ms")).collect()
    }
}

/// Returns the part of a reservation's name that identifies the process that ordered it.
pub(crate) fn holder(name: &str) -> Option<String> {
    name.split_once('-').map(|(holder, _)| holder.to_owned())
}
