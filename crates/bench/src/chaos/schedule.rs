//! Random schedules of actions.

use std::{fmt, time::Duration};

use rand::{Rng, SeedableRng, rngs::SmallRng};

use crate::chaos::action::Action;

/// Time at the start of a schedule without faults.
const FAULT_FREE_START: Duration = Duration::from_secs(4);
/// Time at the end of a schedule without faults.
const FAULT_FREE_END: Duration = Duration::from_secs(3);
/// Range of the time between two steps.
const STEP_INTERVAL_MS: std::ops::Range<u64> = 100..1_800;
/// Range of the duration of a step.
const STEP_DURATION_MS: std::ops::Range<u64> = 1_000..9_000;
/// Range of the time between two steps in which upstreams state something.
const STATEMENT_INTERVAL_MS: std::ops::Range<u64> = 1_000..5_000;
/// Range of a stated limit as a share of the capacity of the upstream, in percent.
const STATED_PERCENT: std::ops::Range<u8> = 0..15;
/// Distinguishes the seed of these steps from that of the others.
const STATEMENT_SEED: u64 = 0x57a7_e3e2;
/// Probability that an action is scheduled twice at the same time.
const REPEAT_PROBABILITY: f64 = 0.15;
/// Number of kinds of invalid notes.
pub(crate) const INVALID_NOTE_KINDS: u8 = 6;

/// One step of a schedule.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Step {
    /// Start, relative to the start of the schedule.
    pub(crate) begin: Duration,
    /// End, relative to the start of the schedule.
    pub(crate) end: Duration,
    pub(crate) action: Action,
}

impl fmt::Display for Step {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (begin, end) = (self.begin.as_millis(), self.end.as_millis());
        write!(f, "{begin:>7} ms to {end:>7} ms  {}", self.action)
    }
}

/// Numbers of VMs and failure domains that actions can select from.
#[derive(Clone, Copy, Debug)]
pub(crate) struct FleetSize {
    pub(crate) vms: usize,
    pub(crate) domains: usize,
}

/// Returns a random schedule, which depends on the arguments alone.
pub(crate) fn random_schedule(seed: u64, duration: Duration, size: FleetSize) -> Vec<Step> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let last = duration.saturating_sub(FAULT_FREE_END);
    let mut steps = Vec::new();
    let mut at = FAULT_FREE_START;
    while at < last {
        let action = random_action(&mut rng, size);
        steps.push(random_step(&mut rng, at, last, action));
        if rng.random_bool(REPEAT_PROBABILITY) {
            steps.push(random_step(&mut rng, at, last, action));
        }
        at += Duration::from_millis(rng.random_range(STEP_INTERVAL_MS));
    }
    steps.extend(statement_steps(seed, last, size));
    steps.sort_by_key(|step| step.begin);
    steps
}

/// Returns the steps in which upstreams state something of themselves. They have a generator of
/// their own, so that the other steps of a seed stay the same.
fn statement_steps(seed: u64, last: Duration, size: FleetSize) -> Vec<Step> {
    let mut rng = SmallRng::seed_from_u64(seed ^ STATEMENT_SEED);
    let mut steps = Vec::new();
    let mut at = FAULT_FREE_START;
    loop {
        at += Duration::from_millis(rng.random_range(STATEMENT_INTERVAL_MS));
        if at >= last {
            return steps;
        }
        let vm = rng.random_range(0..size.vms);
        let action = match rng.random_bool(0.6) {
            true => Action::LimitUpstream {
                vm,
                percent: rng.random_range(STATED_PERCENT),
            },
            false => Action::LeaveUpstream(vm),
        };
        steps.push(random_step(&mut rng, at, last, action));
    }
}

fn random_step(rng: &mut SmallRng, begin: Duration, last: Duration, action: Action) -> Step {
    let duration = Duration::from_millis(rng.random_range(STEP_DURATION_MS));
    let end = match action.is_instant() {
        true => begin,
        false => (begin + duration).min(last),
    };
    Step { begin, end, action }
}

fn random_action(rng: &mut SmallRng, size: FleetSize) -> Action {
    let vm = rng.random_range(0..size.vms);
    let domain = rng.random_range(0..size.domains);
    let flag = rng.random_bool(0.5);
    match rng.random_range(0..25) {
        0..=4 => Action::GoodNote,
        5..=6 => Action::BadNote(rng.random_range(0..INVALID_NOTE_KINDS)),
        7..=8 => Action::Churn(vm),
        9 => Action::LeaveVm(vm),
        10 => Action::DrainDomain(domain),
        11 => Action::DrainVm(vm),
        12..=13 => Action::KillNode(vm),
        14 => Action::Herd(domain),
        15 => Action::StopNode(vm),
        16 => Action::PauseNode(vm),
        17 => Action::Partition {
            domain,
            reset: flag,
        },
        18 => Action::OneWay(domain),
        19 => Action::CutPlatform(domain),
        20 => Action::Outage { silent: flag },
        21 => Action::Stale {
            percent: if flag { 100 } else { 60 },
        },
        22 => Action::Crossed,
        23 if flag => Action::KillUpstream(vm),
        23 => Action::ColdUpstream(vm),
        _ => Action::CrashRequest,
    }
}

#[cfg(test)]
mod tests;
