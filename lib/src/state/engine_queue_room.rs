//! The bound on prompt tokens that an engine has been given and has not read yet.

use super::engine_queue_order::LengthClass;
use super::engine_queue_policy::QueuePolicy;

/// What may still be released to the engine, by length class.
#[derive(Debug, Clone)]
pub(crate) struct Room {
    isolate: bool,
    short: Allowance,
    medium: Allowance,
    longs: u32,
}

/// Prompt tokens released and the bound on them.
#[derive(Debug, Clone)]
struct Allowance {
    used: u32,
    bound: u32,
}

impl Allowance {
    pub(crate) fn is_open(&self) -> bool {
        self.used < self.bound
    }
}

impl Room {
    pub(crate) fn new(policy: &QueuePolicy) -> Room {
        let short = Allowance { used: 0, bound: policy.short_released };
        let medium = Allowance { used: 0, bound: policy.medium_released };
        Room { isolate: policy.length_isolation, short, medium, longs: 0 }
    }

    pub(crate) fn count(&mut self, class: LengthClass, tokens: u32) {
        match class {
            LengthClass::Short => self.short.used = self.short.used.saturating_add(tokens),
            LengthClass::Medium => self.medium.used = self.medium.used.saturating_add(tokens),
            LengthClass::Long => self.longs += 1,
        }
    }

    /// Takes room for an ask; tells whether there was any.
    pub(crate) fn take(&mut self, class: LengthClass, tokens: u32) -> bool {
        let open = match class {
            _ if !self.isolate => self.is_idle(),
            LengthClass::Short => self.short.is_open(),
            LengthClass::Medium => self.medium.is_open(),
            LengthClass::Long => self.longs == 0,
        };
        if open {
            self.count(class, tokens);
        }
        open
    }

    /// Tells whether little enough is being read, over all classes, to release the next in line.
    pub(crate) fn is_idle(&self) -> bool {
        self.longs == 0 && self.short.is_open() && self.medium.is_open()
    }

    pub(crate) fn is_closed(&self) -> bool {
        !self.short.is_open() && !self.medium.is_open() && self.longs > 0
    }
}
