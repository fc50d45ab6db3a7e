//! Passive health checking: the health of one upstream as observed by one ingress, derived only
//! from the outcomes of calls.

#[cfg(test)]
mod tests;

use std::time::{Duration, Instant};

use rand::Rng;

/// Consecutive failures after which an upstream is ejected.
const MAX_FAILURES: u32 = 3;
/// Upper bound of the first ejection; doubles with each further ejection.
const FIRST_EJECTION: Duration = Duration::from_millis(200);
/// Upper bound of any ejection.
const MAX_EJECTION: Duration = Duration::from_secs(5);
/// Time after which a probe without outcome no longer blocks the next one.
const PROBE_TIMEOUT: Duration = Duration::from_secs(3);

/// Outcome of a call as far as it concerns the health of the upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Evidence {
    /// The upstream or its sidecar answered.
    Answered,
    /// The sidecar or the upstream could not be reached.
    Unreachable,
    /// The connection broke or the call timed out.
    Failed,
}

/// Change of an upstream's health status.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HealthChange {
    /// The upstream gets no calls for the given time.
    Ejected(Duration),
    /// The upstream gets calls again.
    Returned,
}

/// Health status of an upstream, which determines whether it gets calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HealthStatus {
    /// The upstream gets its regular share of calls.
    Healthy,
    /// The last calls failed; the upstream gets a reduced share.
    Suspect,
    /// The ejection has ended; one call may probe the upstream.
    ProbeDue {
        /// Time since the ejection ended.
        overdue: Duration,
    },
    /// The upstream gets no calls.
    Ejected {
        /// Time until a call may probe the upstream.
        remaining: Duration,
        /// Whether the upstream was ejected because it could not be reached.
        is_unreachable: bool,
    },
}

/// Health of one upstream.
///
/// Each ejection and each return starts a new epoch, and evidence from calls that began in an
/// earlier epoch is ignored. A call sent before an ejection that fails after the return doesn't
/// eject the upstream again, and one that succeeds late doesn't end the ejection.
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
    /// Returns the current epoch, which a call records when it begins.
    #[must_use]
    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    /// Returns the health status at `now`.
    #[must_use]
    pub fn status(&self, now: Instant) -> HealthStatus {
        match self.state {
            State::Admitted { failures: 0 } => HealthStatus::Healthy,
            State::Admitted { .. } => HealthStatus::Suspect,
            State::Ejected { until, .. } | State::Probing { until, .. } if now >= until => {
                HealthStatus::ProbeDue {
                    overdue: now - until,
                }
            }
            State::Ejected {
                until,
                is_unreachable,
            }
            | State::Probing {
                until,
                is_unreachable,
            } => HealthStatus::Ejected {
                remaining: until - now,
                is_unreachable,
            },
        }
    }

    /// Starts a probe. No other call probes the upstream until the probe ends or times out.
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

    /// Ends a probe that gave no evidence, so that the next probe may start immediately.
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

    /// Updates the health from the evidence of a call that began in `epoch`.
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
            Evidence::Answered => self.record_success(),
            Evidence::Unreachable if self.is_ejected(now) => None,
            Evidence::Unreachable => Some(self.eject(true, now, rng)),
            Evidence::Failed => self.record_failure(now, rng),
        }
    }

    /// Returns whether an ejection is in progress; further failures don't extend it.
    fn is_ejected(&self, now: Instant) -> bool {
        matches!(self.state, State::Ejected { until, .. } if now < until)
    }

    fn record_success(&mut self) -> Option<HealthChange> {
        let was_admitted = matches!(self.state, State::Admitted { .. });
        self.state = State::Admitted { failures: 0 };
        if was_admitted {
            self.ejections = 0;
            return None;
        }
        self.epoch += 1;
        Some(HealthChange::Returned)
    }

    fn record_failure(&mut self, now: Instant, rng: &mut impl Rng) -> Option<HealthChange> {
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
        let max_duration = FIRST_EJECTION.saturating_mul(1 << self.ejections.min(10));
        let max_duration = max_duration.min(MAX_EJECTION);
        let duration = max_duration.mul_f64(rng.random_range(0.5..=1.0));
        self.ejections += 1;
        self.epoch += 1;
        self.state = State::Ejected {
            until: now + duration,
            is_unreachable,
        };
        HealthChange::Ejected(duration)
    }
}
