//! Names and identifiers, each with its own type so that they cannot be confused.

use std::fmt;
use std::str::FromStr;
use std::sync::Arc;

macro_rules! name_type {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $name(Arc<str>);

        impl $name {
            /// Creates the name; clones share its text.
            pub fn new(name: impl Into<Arc<str>>) -> Self {
                Self(name.into())
            }

            /// Returns the name as a string slice.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }
    };
}

name_type!(
    /// The published name of an entry host.
    HostName
);
name_type!(
    /// The published name of an availability zone.
    ZoneName
);
name_type!(
    /// The published name of a model engine.
    EngineName
);
name_type!(
    /// The published name of a plain service.
    ServiceName
);
name_type!(
    /// The name of a customer in the rules.
    CustomerName
);
name_type!(
    /// The name by which callers request a model.
    ModelName
);

/// A random identifier of one run of one process.
///
/// A restarted process has a new incarnation, so it does not own anything that its earlier run
/// held.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Incarnation(pub u64);

impl fmt::Display for Incarnation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// Identifies one admitted or refused request across the fleet.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId {
    /// The incarnation of the entry host that the request reached first.
    pub origin: Incarnation,
    /// The sequence number of the request at that incarnation, from one.
    pub seq: u64,
}

impl fmt::Display for RequestId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}-{}", self.origin, self.seq)
    }
}

/// A string is not a valid request or attempt identifier.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ParseRequestIdError(String);

impl fmt::Display for ParseRequestIdError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "`{}` is not a request id: expected 16 hex digits, `-`, a number", self.0)
    }
}

impl std::error::Error for ParseRequestIdError {}

impl FromStr for RequestId {
    type Err = ParseRequestIdError;

    fn from_str(text: &str) -> Result<RequestId, ParseRequestIdError> {
        let invalid = || ParseRequestIdError(text.to_owned());
        let (origin, seq) = text.split_once('-').ok_or_else(invalid)?;
        if origin.len() != 16 {
            return Err(invalid());
        }
        let origin = u64::from_str_radix(origin, 16).map_err(|_| invalid())?;
        let seq = seq.parse().map_err(|_| invalid())?;
        Ok(RequestId { origin: Incarnation(origin), seq })
    }
}

/// Identifies one attempt to run a request on an engine; a later attempt has a higher number.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AttemptId {
    /// The request.
    pub request: RequestId,
    /// The number of the attempt, from one.
    pub number: u32,
}

impl fmt::Display for AttemptId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.request, self.number)
    }
}

impl FromStr for AttemptId {
    type Err = ParseRequestIdError;

    fn from_str(text: &str) -> Result<AttemptId, ParseRequestIdError> {
        let invalid = || ParseRequestIdError(text.to_owned());
        let (request, number) = text.rsplit_once('.').ok_or_else(invalid)?;
        let number = number.parse().map_err(|_| invalid())?;
        Ok(AttemptId { request: request.parse()?, number })
    }
}

/// A caller's idempotency key: a UUIDv7, which contains its creation time.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallKey(pub u128);

impl CallKey {
    /// Returns the time at which the caller created the key, by the caller's clock.
    pub fn created_at(self) -> super::time::WallTime {
        super::time::WallTime((self.0 >> 80) as u64)
    }
}

impl fmt::Display for CallKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", uuid::Uuid::from_u128(self.0).hyphenated())
    }
}
