//! Notes that an experiment publishes.

use std::sync::Arc;

use rand::{Rng, rngs::SmallRng, seq::index};
use wagtaillever_coordination::{Changes, ReleaseNote, Sequence};

use crate::fleet::Fleet;

/// Upstreams that one note changes.
const CHANGED_UPSTREAMS: usize = 8;
/// Every so many notes one is bad.
const BAD_EVERY: u64 = 5;

/// A note that was published.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Published {
    /// Sequence of the note.
    pub(crate) note: u64,
    /// Wall time of its publication in milliseconds.
    pub(crate) at_ms: u64,
    /// Size in bytes.
    pub(crate) bytes: usize,
    /// Whether it breaks no rule.
    pub(crate) good: bool,
}

/// Returns whether the note of a sequence is to be a bad one.
pub(crate) fn is_bad(note: u64) -> bool {
    note.is_multiple_of(BAD_EVERY)
}

/// Returns a note that changes some upstreams, or that breaks a rule.
pub(crate) fn draw_note(fleet: &Fleet, note: u64, rng: &mut SmallRng) -> ReleaseNote {
    let layout = fleet.layout();
    let count = CHANGED_UPSTREAMS.min(layout.vms.len());
    let chosen = index::sample(rng, layout.vms.len(), count);
    let changed = chosen.iter().map(|vm| {
        let mut upstream = layout.upstream(fleet.deployment(), &layout.vms[vm]);
        upstream.slots = rng.random_range(8..=16);
        Arc::new(upstream)
    });
    let mut upstreams = Changes {
        change: changed.collect(),
        ..Changes::default()
    };
    if is_bad(note) {
        upstreams.withdraw.push("no-such-upstream".into());
    }
    ReleaseNote {
        note: Sequence(note),
        upstreams,
        ..ReleaseNote::default()
    }
}
