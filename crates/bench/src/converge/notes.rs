//! Notes that the convergence experiment publishes.

use std::sync::Arc;

use rand::{Rng, rngs::SmallRng, seq::index};
use wagtaillever_coordination::{Changes, ReleaseNote, Sequence};

use crate::fleet::Fleet;

/// Number of upstreams that one note changes.
const CHANGED_UPSTREAMS: usize = 8;
/// One in this many notes is invalid.
const INVALID_NOTE_INTERVAL: u64 = 5;

/// A note that was published.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct PublishedNote {
    /// Sequence of the note.
    pub(crate) note: u64,
    /// Wall time of the publication in milliseconds.
    pub(crate) at_ms: u64,
    /// Size in bytes.
    pub(crate) bytes: usize,
    /// Whether nodes must accept the note.
    pub(crate) is_valid: bool,
}

/// Returns whether the note with the given sequence is invalid on purpose.
pub(crate) fn is_invalid(note: u64) -> bool {
    note.is_multiple_of(INVALID_NOTE_INTERVAL)
}

/// Returns a note that changes random upstreams; an invalid note also withdraws an unknown
/// upstream.
pub(crate) fn random_note(fleet: &Fleet, note: u64, rng: &mut SmallRng) -> ReleaseNote {
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
    if is_invalid(note) {
        upstreams.withdraw.push("no-such-upstream".into());
    }
    ReleaseNote {
        note: Sequence(note),
        upstreams,
        ..ReleaseNote::default()
    }
}
