//! Starts that requests of lower rank leave to others while starts are spread evenly.

use std::time::{Duration, Instant};

use crate::admission::rank::Rank;

/// Time for which a rank counts as present after a request of it.
const PRESENCE: Duration = Duration::from_secs(1);
/// Starts of the burst that requests leave to those of a better rank.
const RESERVE: u32 = 1;

/// Best rank of which requests came recently.
///
/// A rate that is too low for all requests is used up by those that come first unless some of it is
/// kept for better ranks (trunk reservation). A queue alone does not help: it is empty whenever the
/// next urgent request has yet to come.
#[derive(Clone, Debug, Default)]
pub(super) struct Reservation {
    best: Option<(Rank, Instant)>,
}

impl Reservation {
    /// Records that a request came.
    pub(super) fn record(&mut self, rank: Rank, now: Instant) {
        let is_better = self.best(now).is_none_or(|best| rank <= best);
        if is_better {
            self.best = Some((rank, now));
        }
    }

    /// Returns how many starts of a burst a request leaves to others. One that is late takes only
    /// what nobody else needs.
    pub(super) fn reserve(&self, rank: Rank, burst: u32, now: Instant) -> u32 {
        if rank.is_late {
            return burst.saturating_sub(1);
        }
        let is_outranked = self.best(now).is_some_and(|best| best < rank);
        if is_outranked { RESERVE } else { 0 }
    }

    fn best(&self, now: Instant) -> Option<Rank> {
        let present = self
            .best
            .filter(|(_, at)| now.saturating_duration_since(*at) < PRESENCE);
        present.map(|(rank, _)| rank)
    }
}
