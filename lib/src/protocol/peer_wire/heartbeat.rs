//! Wire format of heartbeats and of observed target states.

use serde::Deserialize;
use serde::Serialize;

use crate::coordination::CustomerUsage;
use crate::coordination::EngineLoad;
use crate::coordination::Heartbeat;
use crate::coordination::TargetSeen;
use crate::state::CustomerName;
use crate::state::EngineName;
use crate::state::ModelName;
use crate::state::TargetState;

use super::WireError;
use super::limits::BoundedList;
use super::limits::MAX_ENTRIES;
use super::limits::MAX_MODELS;
use super::limits::MAX_SHARDS;
use super::limits::check_name;
use super::limits::convert_list;

/// Number of length levels in a heartbeat. Changing it requires a new message version.
const WIRE_LEVELS: usize = 5;

#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct WireHeartbeat<'a> {
    beat: u64,
    clock: u64,
    config: u64,
    config_hash: u64,
    list: u64,
    stopping: bool,
    #[serde(borrow)]
    engines: BoundedList<WireEngineLoad<'a>, MAX_ENTRIES>,
    usage: BoundedList<WireUsage<'a>, MAX_ENTRIES>,
    targets: BoundedList<WireTargetSeen<'a>, MAX_ENTRIES>,
    shards: BoundedList<u16, MAX_SHARDS>,
}

impl<'a> From<&'a Heartbeat> for WireHeartbeat<'a> {
    fn from(heartbeat: &'a Heartbeat) -> Self {
        WireHeartbeat {
            beat: heartbeat.beat,
            clock: heartbeat.clock,
            config: heartbeat.config,
            config_hash: heartbeat.config_hash,
            list: heartbeat.list,
            stopping: heartbeat.stopping,
            engines: heartbeat.engines.iter().map(WireEngineLoad::from).collect(),
            usage: heartbeat.usage.iter().map(WireUsage::from).collect(),
            targets: heartbeat.targets.iter().map(WireTargetSeen::from).collect(),
            shards: heartbeat.shards.iter().copied().collect(),
        }
    }
}

impl TryFrom<WireHeartbeat<'_>> for Heartbeat {
    type Error = WireError;

    fn try_from(wire: WireHeartbeat<'_>) -> Result<Self, WireError> {
        Ok(Heartbeat {
            beat: wire.beat,
            clock: wire.clock,
            config: wire.config,
            config_hash: wire.config_hash,
            list: wire.list,
            stopping: wire.stopping,
            engines: convert_list(wire.engines)?,
            usage: convert_list(wire.usage)?,
            targets: convert_list(wire.targets)?,
            shards: wire.shards.0,
        })
    }
}

#[derive(Debug, Serialize, Deserialize)]
struct WireEngineLoad<'a> {
    engine: &'a str,
    short_tokens: u32,
    long_tokens: u32,
    level_tokens: [u32; WIRE_LEVELS],
    requests: u32,
    held: u32,
    memory: u32,
    prefill_rate: u32,
    decode_rate: u32,
    healthy: bool,
    #[serde(borrow)]
    models: BoundedList<&'a str, MAX_MODELS>,
}

impl<'a> From<&'a EngineLoad> for WireEngineLoad<'a> {
    fn from(load: &'a EngineLoad) -> Self {
        WireEngineLoad {
            engine: load.engine.as_str(),
            short_tokens: load.short_tokens,
            long_tokens: load.long_tokens,
            level_tokens: load.level_tokens,
            requests: load.requests,
            held: load.held,
            memory: load.memory,
            prefill_rate: load.prefill_rate,
            decode_rate: load.decode_rate,
            healthy: load.healthy,
            models: load.models.iter().map(ModelName::as_str).collect(),
        }
    }
}

impl TryFrom<WireEngineLoad<'_>> for EngineLoad {
    type Error = WireError;

    fn try_from(wire: WireEngineLoad<'_>) -> Result<Self, WireError> {
        let models: Result<Vec<_>, _> =
            wire.models.0.into_iter().map(|model| check_name(model).map(ModelName::new)).collect();
        Ok(EngineLoad {
            engine: EngineName::new(check_name(wire.engine)?),
            short_tokens: wire.short_tokens,
            long_tokens: wire.long_tokens,
            level_tokens: wire.level_tokens,
            requests: wire.requests,
            held: wire.held,
            memory: wire.memory,
            prefill_rate: wire.prefill_rate,
            decode_rate: wire.decode_rate,
            healthy: wire.healthy,
            models: models?,
        })
    }
}

#[derive(Debug, Serialize, Deserialize)]
struct WireUsage<'a> {
    customer: &'a str,
    demand: u32,
    in_flight: u32,
}

impl<'a> From<&'a CustomerUsage> for WireUsage<'a> {
    fn from(usage: &'a CustomerUsage) -> Self {
        WireUsage {
            customer: usage.customer.as_str(),
            demand: usage.demand,
            in_flight: usage.in_flight,
        }
    }
}

impl TryFrom<WireUsage<'_>> for CustomerUsage {
    type Error = WireError;

    fn try_from(wire: WireUsage<'_>) -> Result<Self, WireError> {
        Ok(CustomerUsage {
            customer: CustomerName::new(check_name(wire.customer)?),
            demand: wire.demand,
            in_flight: wire.in_flight,
        })
    }
}

#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct WireTargetSeen<'a> {
    target: &'a str,
    state: Option<WireTargetState>,
    sighting: u64,
}

#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub(crate) enum WireTargetState {
    Live,
    Leaving,
}

impl From<TargetState> for WireTargetState {
    fn from(state: TargetState) -> Self {
        match state {
            TargetState::Live => WireTargetState::Live,
            TargetState::Leaving => WireTargetState::Leaving,
        }
    }
}

impl From<WireTargetState> for TargetState {
    fn from(wire: WireTargetState) -> Self {
        match wire {
            WireTargetState::Live => TargetState::Live,
            WireTargetState::Leaving => TargetState::Leaving,
        }
    }
}

impl<'a> From<&'a TargetSeen> for WireTargetSeen<'a> {
    fn from(seen: &'a TargetSeen) -> Self {
        WireTargetSeen {
            target: &seen.target,
            state: seen.state.map(WireTargetState::from),
            sighting: seen.sighting,
        }
    }
}

impl TryFrom<WireTargetSeen<'_>> for TargetSeen {
    type Error = WireError;

    fn try_from(wire: WireTargetSeen<'_>) -> Result<Self, WireError> {
        Ok(TargetSeen {
            target: check_name(wire.target)?.to_owned(),
            state: wire.state.map(TargetState::from),
            sighting: wire.sighting,
        })
    }
}
