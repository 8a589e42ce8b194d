//! Wire format of configurations that peers send each other.

use std::borrow::Cow;

use serde::Deserialize;
use serde::Serialize;

use crate::coordination::ConfigBody;
use crate::coordination::ConfigPull;
use crate::coordination::ConfigUpdate;
use crate::coordination::LineEdit;

use super::WireError;
use super::limits::BoundedList;
use super::limits::MAX_CONFIG_BYTES;
use super::limits::MAX_EDITS;
use super::limits::MAX_LINES;
use super::limits::check_text;
use super::limits::convert_list;

#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct WireConfigPull {
    have: u64,
    have_hash: u64,
}

impl From<&ConfigPull> for WireConfigPull {
    fn from(pull: &ConfigPull) -> Self {
        WireConfigPull { have: pull.have, have_hash: pull.have_hash }
    }
}

impl From<WireConfigPull> for ConfigPull {
    fn from(wire: WireConfigPull) -> Self {
        ConfigPull { have: wire.have, have_hash: wire.have_hash }
    }
}

#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct WireConfigUpdate<'a> {
    version: u64,
    hash: u64,
    #[serde(borrow)]
    body: WireConfigBody<'a>,
}

impl<'a> From<&'a ConfigUpdate> for WireConfigUpdate<'a> {
    fn from(update: &'a ConfigUpdate) -> Self {
        WireConfigUpdate { version: update.version, hash: update.hash, body: (&update.body).into() }
    }
}

impl TryFrom<WireConfigUpdate<'_>> for ConfigUpdate {
    type Error = WireError;

    fn try_from(wire: WireConfigUpdate<'_>) -> Result<Self, WireError> {
        let body = wire.body.try_into()?;
        Ok(ConfigUpdate { version: wire.version, hash: wire.hash, body })
    }
}

#[derive(Debug, Serialize, Deserialize)]
enum WireConfigBody<'a> {
    Whole(&'a str),
    Delta {
        base: u64,
        #[serde(borrow)]
        edits: BoundedList<WireLineEdit<'a>, MAX_EDITS>,
    },
}

impl<'a> From<&'a ConfigBody> for WireConfigBody<'a> {
    fn from(body: &'a ConfigBody) -> Self {
        match body {
            ConfigBody::Whole(text) => WireConfigBody::Whole(text),
            ConfigBody::Delta { base, edits } => WireConfigBody::Delta {
                base: *base,
                edits: edits.iter().map(WireLineEdit::from).collect(),
            },
        }
    }
}

impl TryFrom<WireConfigBody<'_>> for ConfigBody {
    type Error = WireError;

    fn try_from(wire: WireConfigBody<'_>) -> Result<Self, WireError> {
        Ok(match wire {
            WireConfigBody::Whole(text) => {
                ConfigBody::Whole(check_text(text, MAX_CONFIG_BYTES)?.into())
            }
            WireConfigBody::Delta { base, edits } => {
                check_insert_size(&edits.0)?;
                ConfigBody::Delta { base, edits: convert_list(edits)? }
            }
        })
    }
}

/// An edit of lines. The inserted lines are sent as one string joined by line feeds, which takes
/// less memory than a string for each line.
#[derive(Debug, Serialize, Deserialize)]
struct WireLineEdit<'a> {
    at: u32,
    remove: u32,
    lines: u32,
    #[serde(borrow)]
    insert: Cow<'a, str>,
}

impl<'a> From<&'a LineEdit> for WireLineEdit<'a> {
    fn from(edit: &'a LineEdit) -> Self {
        // A count over `u32::MAX` cannot be sent; the receiver rejects the saturated value, because
        // it differs from the number of lines.
        let lines = u32::try_from(edit.insert.len()).unwrap_or(u32::MAX);
        let insert = Cow::Owned(edit.insert.join("\n"));
        WireLineEdit { at: edit.at, remove: edit.remove, lines, insert }
    }
}

impl TryFrom<WireLineEdit<'_>> for LineEdit {
    type Error = WireError;

    fn try_from(wire: WireLineEdit<'_>) -> Result<Self, WireError> {
        let insert: Vec<_> = match wire.lines {
            0 => Vec::new(),
            _ => wire.insert.split('\n').map(str::to_owned).collect(),
        };
        let count_matches = insert.len() == wire.lines as usize;
        let zero_is_empty = wire.lines > 0 || wire.insert.is_empty();
        if !count_matches || !zero_is_empty {
            return Err(WireError::Malformed);
        }
        Ok(LineEdit { at: wire.at, remove: wire.remove, insert })
    }
}

/// Checks that the edits together insert at most [`MAX_CONFIG_BYTES`] and [`MAX_LINES`].
fn check_insert_size(edits: &[WireLineEdit<'_>]) -> Result<(), WireError> {
    let found = edits.iter().map(|edit| edit.insert.len()).sum();
    if found > MAX_CONFIG_BYTES {
        return Err(WireError::TextTooLong { found, limit: MAX_CONFIG_BYTES });
    }
    let line_feeds: usize = edits.iter().map(|edit| edit.insert.matches('\n').count()).sum();
    if edits.len() + line_feeds > MAX_LINES { Err(WireError::Malformed) } else { Ok(()) }
}
