//! The wire form of configurations on their way between peers.

use serde::Deserialize;
use serde::Serialize;

use crate::coordination::ConfigBody;
use crate::coordination::ConfigPull;
use crate::coordination::ConfigUpdate;
use crate::coordination::LineEdit;

use super::WireError;
use super::limits::List;
use super::limits::MAX_CONFIG_BYTES;
use super::limits::MAX_EDITS;
use super::limits::bounded;
use super::limits::convert;

#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct WirePull {
    have: u64,
    have_hash: u64,
}

impl From<&ConfigPull> for WirePull {
    fn from(pull: &ConfigPull) -> Self {
        WirePull { have: pull.have, have_hash: pull.have_hash }
    }
}

impl From<WirePull> for ConfigPull {
    fn from(wire: WirePull) -> Self {
        ConfigPull { have: wire.have, have_hash: wire.have_hash }
    }
}

#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct WireConfig<'a> {
    version: u64,
    hash: u64,
    #[serde(borrow)]
    body: WireBody<'a>,
}

impl<'a> From<&'a ConfigUpdate> for WireConfig<'a> {
    fn from(update: &'a ConfigUpdate) -> Self {
        WireConfig { version: update.version, hash: update.hash, body: (&update.body).into() }
    }
}

impl TryFrom<WireConfig<'_>> for ConfigUpdate {
    type Error = WireError;

    fn try_from(wire: WireConfig<'_>) -> Result<Self, WireError> {
        let body = wire.body.try_into()?;
        Ok(ConfigUpdate { version: wire.version, hash: wire.hash, body })
    }
}

#[derive(Debug, Serialize, Deserialize)]
enum WireBody<'a> {
    Whole(&'a str),
    Delta {
        base: u64,
        #[serde(borrow)]
        edits: List<WireEdit<'a>, MAX_EDITS>,
    },
}

impl<'a> From<&'a ConfigBody> for WireBody<'a> {
    fn from(body: &'a ConfigBody) -> Self {
        match body {
            ConfigBody::Whole(text) => WireBody::Whole(text),
            ConfigBody::Delta { base, edits } => {
                WireBody::Delta { base: *base, edits: edits.iter().map(WireEdit::from).collect() }
            }
        }
    }
}

impl TryFrom<WireBody<'_>> for ConfigBody {
    type Error = WireError;

    fn try_from(wire: WireBody<'_>) -> Result<Self, WireError> {
        Ok(match wire {
            WireBody::Whole(text) => ConfigBody::Whole(bounded(text, MAX_CONFIG_BYTES)?.into()),
            WireBody::Delta { base, edits } => ConfigBody::Delta { base, edits: convert(edits)? },
        })
    }
}

#[derive(Debug, Serialize, Deserialize)]
struct WireEdit<'a> {
    at: u32,
    remove: u32,
    #[serde(borrow)]
    insert: List<&'a str, MAX_EDITS>,
}

impl<'a> From<&'a LineEdit> for WireEdit<'a> {
    fn from(edit: &'a LineEdit) -> Self {
        let insert = edit.insert.iter().map(String::as_str).collect();
        WireEdit { at: edit.at, remove: edit.remove, insert }
    }
}

impl TryFrom<WireEdit<'_>> for LineEdit {
    type Error = WireError;

    fn try_from(wire: WireEdit<'_>) -> Result<Self, WireError> {
        let insert: Result<Vec<_>, _> = wire
            .insert
            .0
            .into_iter()
            .map(|line| bounded(line, MAX_CONFIG_BYTES).map(str::to_owned))
            .collect();
        Ok(LineEdit { at: wire.at, remove: wire.remove, insert: insert? })
    }
}
