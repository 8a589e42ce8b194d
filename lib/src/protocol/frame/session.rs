//! One connection between two entry hosts: challenge, hello, welcome, then numbered frames.
//!
//! The receiver sends a challenge with a nonce and its name, the sender answers with a hello that
//! is authenticated with the connection's key, and the receiver's welcome proves that it has the
//! fleet key too and is the host that it named. Frames are sent in one direction only, from sender
//! to receiver.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;
use subtle::ConstantTimeEq;

use crate::state::HostName;
use crate::state::Incarnation;
use crate::state::WallTime;

use super::FRAME_VERSION;
use super::FrameError;
use super::Header;
use super::TAG_BYTES;
use super::open;
use super::seal;

/// Length of a nonce.
pub const NONCE_BYTES: usize = 16;
/// Length of the fixed start of a challenge: version, nonce and the length of the name after it.
pub const CHALLENGE_BYTES: usize = 1 + NONCE_BYTES + 1;

const SESSION_CONTEXT: &[u8] = b"wasabicrank peer session 1";
const WELCOME_CONTEXT: &[u8] = b"wasabicrank peer welcome 1";

/// The secret key shared by all entry hosts of a fleet.
#[derive(Clone)]
pub struct FleetKey([u8; 32]);

impl FleetKey {
    /// Creates a key from its bytes.
    pub fn new(bytes: [u8; 32]) -> Self {
        FleetKey(bytes)
    }
}

impl fmt::Debug for FleetKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("FleetKey(..)")
    }
}

/// Random bytes that are used for one connection only.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Nonce(pub [u8; NONCE_BYTES]);

/// Which messages a connection carries. The kinds have separate connections, so that neither waits
/// for the other.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum LinkKind {
    /// Heartbeats, leases, configuration and observed target states.
    Control,
    /// Start requests, grants, forwarded calls and their answers.
    Work,
}

/// The process that opens a connection.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Sender {
    /// The sending entry host.
    pub host: HostName,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// When that incarnation started, by its wall clock.
    pub started: WallTime,
}

/// The first frame of a connection, after its tag was verified.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Hello {
    /// The process that opened the connection.
    pub sender: Sender,
    /// Which messages the connection carries.
    pub kind: LinkKind,
    /// The sender's nonce, which the welcome authenticates.
    pub nonce: Nonce,
}

#[derive(Debug, Serialize, Deserialize)]
struct WireHello {
    kind: LinkKind,
    started: u64,
    nonce: [u8; NONCE_BYTES],
}

/// A hasher keyed with the key of one connection.
#[derive(Clone)]
pub(super) struct SessionKey(blake3::Hasher);

impl SessionKey {
    fn derive(key: &FleetKey, nonce: Nonce, receiver: &HostName) -> Self {
        let mut hasher = blake3::Hasher::new_keyed(&key.0);
        hasher.update(SESSION_CONTEXT);
        hasher.update(&nonce.0);
        hasher.update(receiver.as_str().as_bytes());
        SessionKey(blake3::Hasher::new_keyed(hasher.finalize().as_bytes()))
    }

    pub(super) fn tag(&self, bytes: &[u8]) -> [u8; TAG_BYTES] {
        *self.0.clone().update(bytes).finalize().as_bytes()
    }

    /// Returns the welcome that answers a hello with `nonce`.
    fn welcome(&self, nonce: Nonce) -> [u8; TAG_BYTES] {
        let mut hasher = self.0.clone();
        hasher.update(WELCOME_CONTEXT);
        hasher.update(&nonce.0);
        *hasher.finalize().as_bytes()
    }
}

/// The decoded start of a receiver's challenge.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Challenge {
    /// The receiver's nonce.
    pub nonce: Nonce,
    /// The length of the receiver's name, which follows, in bytes.
    pub name_len: usize,
}

/// Encodes the challenge that `receiver` sends first.
pub fn encode_challenge(nonce: Nonce, receiver: &HostName) -> Result<Vec<u8>, FrameError> {
    let name = receiver.as_str().as_bytes();
    let len = u8::try_from(name.len()).map_err(|_| FrameError::Malformed)?;
    Ok([&[FRAME_VERSION], &nonce.0[..], &[len], name].concat())
}

/// Decodes the start of a receiver's challenge.
///
/// ```
/// use wasabicrank_lib::protocol::*;
/// use wasabicrank_lib::state::HostName;
/// let nonce = Nonce([7; NONCE_BYTES]);
/// let challenge = encode_challenge(nonce, &HostName::new("entry-2")).unwrap();
/// let (start, name) = challenge.split_first_chunk::<CHALLENGE_BYTES>().unwrap();
/// assert_eq!(decode_challenge(start), Ok(Challenge { nonce, name_len: 7 }));
/// assert_eq!(name, b"entry-2");
/// ```
pub fn decode_challenge(start: &[u8; CHALLENGE_BYTES]) -> Result<Challenge, FrameError> {
    if start[0] != FRAME_VERSION {
        return Err(FrameError::UnknownVersion(start[0]));
    }
    let mut nonce = [0; NONCE_BYTES];
    nonce.copy_from_slice(&start[1..=NONCE_BYTES]);
    Ok(Challenge { nonce: Nonce(nonce), name_len: start[NONCE_BYTES + 1].into() })
}

/// The sending side of one connection.
pub struct FrameSender {
    key: SessionKey,
    sender: Sender,
    counter: u64,
}

impl FrameSender {
    /// Starts a connection to `receiver`, which sent `challenge`.
    pub fn new(key: &FleetKey, sender: Sender, receiver: &HostName, challenge: Nonce) -> Self {
        let key = SessionKey::derive(key, challenge, receiver);
        FrameSender { key, sender, counter: 0 }
    }

    /// Returns the first frame, which names the sender and the kind of messages.
    pub fn hello(&mut self, kind: LinkKind, nonce: Nonce) -> Result<Vec<u8>, FrameError> {
        let hello = WireHello { kind, started: self.sender.started.0, nonce: nonce.0 };
        let payload = postcard::to_stdvec(&hello).map_err(|_| FrameError::Malformed)?;
        self.seal(&payload)
    }

    /// Verifies the receiver's welcome to the hello with `nonce`.
    pub fn check_welcome(&self, nonce: Nonce, welcome: &[u8]) -> Result<(), FrameError> {
        let matches = bool::from(self.key.welcome(nonce).ct_eq(welcome));
        if matches { Ok(()) } else { Err(FrameError::BadTag) }
    }

    /// Returns the next frame, including its length prefix, with `payload`.
    pub fn seal(&mut self, payload: &[u8]) -> Result<Vec<u8>, FrameError> {
        self.counter += 1;
        let header = Header {
            version: FRAME_VERSION,
            sender: self.sender.host.as_str(),
            incarnation: self.sender.incarnation.0.to_le_bytes(),
            counter: self.counter,
        };
        seal(&self.key, &header, payload)
    }
}

/// The receiving side of one connection before the hello.
pub struct FrameListener {
    key: SessionKey,
}

impl FrameListener {
    /// Starts a connection on which `receiver` sent `challenge`.
    pub fn new(key: &FleetKey, receiver: &HostName, challenge: Nonce) -> Self {
        FrameListener { key: SessionKey::derive(key, challenge, receiver) }
    }

    /// Verifies and decodes the hello, given without its length prefix.
    pub fn accept(self, frame: &[u8]) -> Result<(Hello, FrameReceiver), FrameError> {
        let (header, payload) = open(&self.key, frame)?;
        let wire: WireHello = postcard::from_bytes(payload).map_err(|_| FrameError::Malformed)?;
        if header.sender.is_empty() {
            return Err(FrameError::Malformed);
        }
        let sender = Sender {
            host: HostName::new(header.sender),
            incarnation: Incarnation(u64::from_le_bytes(header.incarnation)),
            started: WallTime(wire.started),
        };
        let last_counter = header.counter;
        let receiver = FrameReceiver { key: self.key, sender: sender.clone(), last_counter };
        Ok((Hello { sender, kind: wire.kind, nonce: Nonce(wire.nonce) }, receiver))
    }
}

/// The receiving side of one connection after the hello.
pub struct FrameReceiver {
    key: SessionKey,
    sender: Sender,
    last_counter: u64,
}

impl FrameReceiver {
    /// Returns the welcome that answers `hello`.
    pub fn welcome(&self, hello: &Hello) -> [u8; TAG_BYTES] {
        self.key.welcome(hello.nonce)
    }

    /// Returns the process that opened the connection.
    pub fn sender(&self) -> &Sender {
        &self.sender
    }

    /// Verifies the next frame, given without its length prefix, and returns its payload.
    pub fn open<'a>(&mut self, frame: &'a [u8]) -> Result<&'a [u8], FrameError> {
        let (header, payload) = open(&self.key, frame)?;
        let same_incarnation = header.incarnation == self.sender.incarnation.0.to_le_bytes();
        if header.sender != self.sender.host.as_str() || !same_incarnation {
            return Err(FrameError::WrongSender);
        }
        if header.counter <= self.last_counter {
            return Err(FrameError::Replayed { found: header.counter, last: self.last_counter });
        }
        self.last_counter = header.counter;
        Ok(payload)
    }
}
