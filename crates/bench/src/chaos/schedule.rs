//! Schedules drawn from a seed.

use std::{fmt, time::Duration};

use rand::{Rng, SeedableRng, rngs::SmallRng};

use crate::chaos::action::Action;

/// Time at the start without faults.
const LEAD_IN: Duration = Duration::from_secs(4);
/// Time at the end without faults.
const LEAD_OUT: Duration = Duration::from_secs(3);
/// Shortest and longest time between two steps, in milliseconds.
const GAP_MS: std::ops::Range<u64> = 100..1_800;
/// Shortest and longest time of a step, in milliseconds.
const LENGTH_MS: std::ops::Range<u64> = 1_000..9_000;
/// Chance that a step is followed at once by another one of the same kind.
const TWICE_CHANCE: f64 = 0.15;
/// Kinds of bad notes.
pub(crate) const BAD_KINDS: u8 = 6;

/// One step of a schedule.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Step {
    /// When it begins, since the start.
    pub(crate) begin: Duration,
    /// When it ends.
    pub(crate) end: Duration,
    /// What it brings about.
    pub(crate) action: Action,
}

impl fmt::Display for Step {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (begin, end) = (self.begin.as_millis(), self.end.as_millis());
        write!(f, "{begin:>7} ms to {end:>7} ms  {}", self.action)
    }
}

/// Sizes of what a schedule can hit.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Extent {
    /// Number of VMs.
    pub(crate) vms: usize,
    /// Number of failure domains.
    pub(crate) domains: usize,
}

/// Draws a schedule; the same seed gives the same one.
pub(crate) fn draw(seed: u64, length: Duration, extent: Extent) -> Vec<Step> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let last = length.saturating_sub(LEAD_OUT);
    let mut steps = Vec::new();
    let mut at = LEAD_IN;
    while at < last {
        let action = draw_action(&mut rng, extent);
        steps.push(step(&mut rng, at, last, action));
        if rng.random_bool(TWICE_CHANCE) {
            steps.push(step(&mut rng, at, last, action));
        }
        at += Duration::from_millis(rng.random_range(GAP_MS));
    }
    steps
}

fn step(rng: &mut SmallRng, begin: Duration, last: Duration, action: Action) -> Step {
    let length = Duration::from_millis(rng.random_range(LENGTH_MS));
    let end = match action.is_instant() {
        true => begin,
        false => (begin + length).min(last),
    };
    Step { begin, end, action }
}

fn draw_action(rng: &mut SmallRng, extent: Extent) -> Action {
    let vm = rng.random_range(0..extent.vms);
    let domain = rng.random_range(0..extent.domains);
    let flag = rng.random_bool(0.5);
    match rng.random_range(0..25) {
        0..=4 => Action::GoodNote,
        5..=6 => Action::BadNote(rng.random_range(0..BAD_KINDS)),
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
