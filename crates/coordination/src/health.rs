//! Health of one upstream as seen from one ingress, judged by calls alone.

#[cfg(test)]
mod tests;

use std::time::{Duration, Instant};

use rand::Rng;

/// Consecutive failures after which an upstream is ejected.
const MAX_FAILURES: u32 = 3;
/// Longest first ejection; it doubles with each further one.
const FIRST_EJECTION: Duration = Duration::from_millis(200);
/// Longest ejection.
const MAX_EJECTION: Duration = Duration::from_secs(5);
/// Time for which a probe is waited for before another one may be sent.
const PROBE_TIMEOUT: Duration = Duration::from_secs(3);

/// What a call shows of its upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Evidence {
    /// The upstream or its sidecar answered.
    Answered,
    /// The sidecar or the upstream can't be reached.
    Unreachable,
    /// The call broke or ran out of time.
    Failed,
}

/// Change of an upstream's health.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HealthChange {
    /// The upstream gets no work for the time given.
    Ejected(Duration),
    /// The upstream gets work again.
    Returned,
}

/// Whether an upstream may be given a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HealthStatus {
    /// The upstream gets its share.
    Healthy,
    /// The last calls failed; the upstream gets less.
    Suspect,
    /// The ejection is over; one call may probe the upstream.
    Due {
        /// Time since the ejection ended.
        since: Duration,
    },
    /// The upstream gets nothing.
    Ejected {
        /// Time until a call may probe it.
        left: Duration,
        /// Whether it can't be reached.
        is_unreachable: bool,
    },
}

/// Health of one upstream.
///
/// Each ejection and each return starts a new epoch. Evidence of a call that began in an earlier
/// epoch changes nothing: a call that was sent before an ejection and fails after the return
/// says nothing of the upstream that returned, and one that succeeds late doesn't return it.
#[derive(Clone, Debug, Default)]
pub struct Health {
    state: State,
    epoch: u64,
    ejections: u32,
}

#[derive(Clone, Copy, Debug)]
enum State {
    Admitted {
        failures: u32,
    },
    Ejected {
        until: Instant,
        is_unreachable: bool,
    },
    Probing {
        until: Instant,
        is_unreachable: bool,
    },
}

impl Default for State {
    fn default() -> Self {
        Self::Admitted { failures: 0 }
    }
}

impl Health {
    /// Returns the epoch, which a call notes when it begins.
    #[must_use]
    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    /// Returns whether the upstream may be given a call.
    #[must_use]
    pub fn status(&self, now: Instant) -> HealthStatus {
        match self.state {
            State::Admitted { failures: 0 } => HealthStatus::Healthy,
            State::Admitted { .. } => HealthStatus::Suspect,
            State::Ejected { until, .. } | State::Probing { until, .. } if now >= until => {
                HealthStatus::Due { since: now - until }
            }
            State::Ejected {
                until,
                is_unreachable,
            }
            | State::Probing {
                until,
                is_unreachable,
            } => HealthStatus::Ejected {
                left: until - now,
                is_unreachable,
            },
        }
    }

    /// Notes that a call probes the upstream; no other one does until it ends.
    pub fn begin_probe(&mut self, now: Instant) {
        if let State::Ejected { is_unreachable, .. } | State::Probing { is_unreachable, .. } =
            self.state
        {
            let until = now + PROBE_TIMEOUT;
            self.state = State::Probing {
                until,
                is_unreachable,
            };
        }
    }

    /// Notes that a probe ended without evidence, so that another one may follow at once.
    pub fn abandon_probe(&mut self, epoch: u64, now: Instant) {
        if let State::Probing { is_unreachable, .. } = self.state
            && epoch == self.epoch
        {
            let until = now;
            self.state = State::Ejected {
                until,
                is_unreachable,
            };
        }
    }

    /// Takes the evidence of a call that began in `epoch`.
    pub fn observe(
        &mut self,
        epoch: u64,
        evidence: Evidence,
        now: Instant,
        rng: &mut impl Rng,
    ) -> Option<HealthChange> {
        if epoch != self.epoch {
            return None;
        }
        match evidence {
            Evidence::Answered => self.succeed(),
            Evidence::Unreachable if self.is_shut_out(now) => None,
            Evidence::Unreachable => Some(self.eject(true, now, rng)),
            Evidence::Failed => self.fail(now, rng),
        }
    }

    /// Returns whether an ejection is under way, which further failures don't lengthen.
    fn is_shut_out(&self, now: Instant) -> bool {
        matches!(self.state, State::Ejected { until, .. } if now < until)
    }

    fn succeed(&mut self) -> Option<HealthChange> {
        let was_admitted = matches!(self.state, State::Admitted { .. });
        self.state = State::Admitted { failures: 0 };
        if was_admitted {
            self.ejections = 0;
            return None;
        }
        self.epoch += 1;
        Some(HealthChange::Returned)
    }

    fn fail(&mut self, now: Instant, rng: &mut impl Rng) -> Option<HealthChange> {
        match &mut self.state {
            State::Admitted { failures } if *failures + 1 < MAX_FAILURES => {
                *failures += 1;
                None
            }
            State::Admitted { .. } | State::Probing { .. } => Some(self.eject(false, now, rng)),
            State::Ejected { .. } => None,
        }
    }

    fn eject(&mut self, is_unreachable: bool, now: Instant, rng: &mut impl Rng) -> HealthChange {
        let longest = FIRST_EJECTION.saturating_mul(1 << self.ejections.min(10));
        let longest = longest.min(MAX_EJECTION);
        let span = longest.mul_f64(rng.random_range(0.5..=1.0));
        self.ejections += 1;
        self.epoch += 1;
        self.state = State::Ejected {
            until: now + span,
            is_unreachable,
        };
        HealthChange::Ejected(span)
    }
}
