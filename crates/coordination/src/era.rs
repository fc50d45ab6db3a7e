//! Revisions of a store that may be restored from an older copy.
//!
//! A restored store gives out revisions again, so a revision alone does not order two states. The
//! store counts its restorations, and an ordered revision holds that count, the era, above the
//! revision within the era.

#[cfg(test)]
mod tests;

/// Number of low bits of an ordered revision that hold the revision within an era: at a thousand
/// writes per second they last for eight years.
const REVISION_BITS: u32 = 38;
/// Highest era. An ordered revision has eight bits to spare, because the numbers of the lists of
/// VMs count several changes at one revision.
const MAX_ERA: u64 = (1 << (u64::BITS - 8 - REVISION_BITS)) - 1;

/// Returns the ordered revision of a revision in an era. Values that exceed the available bits are
/// reduced to the highest ones.
#[must_use]
pub fn ordered_revision(era: u64, revision: u64) -> u64 {
    let revision = revision.min((1 << REVISION_BITS) - 1);
    era.min(MAX_ERA) << REVISION_BITS | revision
}

/// Returns the era of an ordered revision.
#[must_use]
pub fn era_of(ordered: u64) -> u64 {
    ordered >> REVISION_BITS
}

/// Returns the revision of an ordered revision within its era.
#[must_use]
pub fn revision_within_era(ordered: u64) -> u64 {
    ordered & ((1 << REVISION_BITS) - 1)
}
