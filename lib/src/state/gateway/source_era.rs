//! Points in the history of the fleet source, which may be restored from an older copy.

/// Counts how often the source was restored from an older copy. Revisions of different eras cannot
/// be compared. An era of 0 means that none is stated.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SourceEra(pub u64);

/// A revision of the source together with its era; a later era comes after all revisions of an
/// earlier one.
///
/// ```
/// use wasabicrank_lib::state::{SourceEra, SourcePoint};
/// let before = SourcePoint { era: SourceEra(1), revision: 90 };
/// let after = SourcePoint { era: SourceEra(2), revision: 80 };
/// assert!(before < after);
/// ```
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SourcePoint {
    /// The era.
    pub era: SourceEra,
    /// The revision within the era.
    pub revision: u64,
}
