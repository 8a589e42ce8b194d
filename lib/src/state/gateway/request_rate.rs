//! A rate of requests, as a server limits it.

/// A number of requests per second, in steps of a millionth.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct RequestRate(u64);

impl RequestRate {
    /// The highest rate; no fleet sends as much to one server.
    pub const MAX: RequestRate = RequestRate(1_000_000_000_000);

    /// Creates a rate in millionths of a request per second; higher ones than [`RequestRate::MAX`] are
    /// lowered to it.
    pub const fn from_micros(micros: u64) -> RequestRate {
        if micros > RequestRate::MAX.0 { RequestRate::MAX } else { RequestRate(micros) }
    }

    /// Returns the rate in millionths of a request per second.
    pub fn micros(self) -> u64 {
        self.0
    }

    /// Returns the rate in requests per second.
    ///
    /// ```
    /// use wasabicrank_lib::state::RequestRate;
    /// assert_eq!(RequestRate::from_micros(1_200_000).per_second(), 1.2);
    /// ```
    pub fn per_second(self) -> f64 {
        self.0 as f64 / 1e6
    }
}
