//! The wire form of configurations on their way between peers.

use std::borrow::Cow;

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
use super::limits::MAX_LINES;
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
            WireBody::Delta { base, edits } => {
                check_size(&edits.0)?;
                ConfigBody::Delta { base, edits: convert(edits)? }
            }
        })
    }
}

/// Line edits; the inserted lines travel as one text, which takes less memory than many.
#[derive(Debug, Serialize, Deserialize)]
struct WireEdit<'a> {
    at: u32,
    remove: u32,
    lines: u32,
    #[serde(borrow)]
    insert: Cow<'a, str>,
}

impl<'a> From<&'a LineEdit> for WireEdit<'a> {
    fn from(edit: &'a LineEdit) -> Self {
        // A count that does not fit cannot be sent; the receiver refuses what stands for it.
        let lines = u32::try_from(edit.insert.len()).unwrap_or(u32::MAX);
        let insert = Cow::Owned(edit.insert.join("\n"));
        WireEdit { at: edit.at, remove: edit.remove, lines, insert }
    }
}

impl TryFrom<WireEdit<'_>> for LineEdit {
    type Error = WireError;

    fn try_from(wire: WireEdit<'_>) -> Result<Self, WireError> {
        let insert: Vec<_> = match wire.lines {
            0 => Vec::new(),
            _ => wire.insert.split('\n').map(str::to_owned).collect(),
        };
        let whole = insert.len() == wire.lines as usize;
        let empty = wire.lines > 0 || wire.insert.is_empty();
        if !whole || !empty {
            return Err(WireError::Malformed);
        }
        Ok(LineEdit { at: wire.at, remove: wire.remove, insert })
    }
}

/// Checks that the edits together insert no more than a whole configuration may have.
fn check_size(edits: &[WireEdit<'_>]) -> Result<(), WireError> {
    let found = edits.iter().map(|edit| edit.insert.len()).sum();
    if found > MAX_CONFIG_BYTES {
        return Err(WireError::TextTooLong { found, limit: MAX_CONFIG_BYTES });
    }
    let breaks: usize = edits.iter().map(|edit| edit.insert.matches('\n').count()).sum();
    if edits.len() + breaks > MAX_LINES { Err(WireError::Malformed) } else { Ok(()) }
}
