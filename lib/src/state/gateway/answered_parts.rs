//! The parts of prompts under which answers were written lately.

use std::collections::HashMap;

use crate::state::Moment;
use crate::state::ServicePart;

/// The number of parts after which a generation is complete.
const GENERATION_LEN: usize = 2_048;

/// The newest answer under each of the parts that were answered last.
///
/// Parts are kept in two generations. A part that is answered again moves to the younger one, so that
/// many parts that are answered once do not displace those that are answered often.
#[derive(Debug, Default)]
pub struct AnsweredParts {
    younger: HashMap<ServicePart, Moment>,
    older: HashMap<ServicePart, Moment>,
}

impl AnsweredParts {
    /// Records an answer under `part` that began at `began`.
    pub fn insert(&mut self, part: ServicePart, began: Moment) {
        let newest = self.get(part).map_or(began, |known| known.max(began));
        if self.younger.len() >= GENERATION_LEN && !self.younger.contains_key(&part) {
            self.older = std::mem::take(&mut self.younger);
        }
        self.younger.insert(part, newest);
    }

    /// Returns when the newest known answer under `part` began.
    ///
    /// ```
    /// use wasabicrank_lib::state::{AnsweredParts, Moment, PartId, ServicePart};
    /// let part = ServicePart { service: 1, part: PartId(7) };
    /// let mut answered = AnsweredParts::default();
    /// answered.insert(part, Moment(5));
    /// assert_eq!(answered.get(part), Some(Moment(5)));
    /// ```
    pub fn get(&self, part: ServicePart) -> Option<Moment> {
        self.younger.get(&part).or_else(|| self.older.get(&part)).copied()
    }

    /// Returns the number of entries that are held.
    pub fn len(&self) -> usize {
        self.younger.len() + self.older.len()
    }

    /// Returns whether no part was answered.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}
