//! Mutants of the nodes, each with a scenario that exposes it and the check that must fail.

use std::time::Duration;

use crate::chaos::{action::Action, invariant, run::Scenario, schedule::Step};

/// A mutant of the nodes and the check that must detect it.
#[derive(Clone, Debug)]
pub(crate) struct Mutation {
    /// Name of the check that must fail.
    pub(crate) check: &'static str,
    /// Scenario that exposes the mutant.
    pub(crate) scenario: Scenario,
}

/// Load at which the loss of one upstream is noticeable.
const HIGH_LOAD: f64 = 0.7;
/// Load of runs with large answers.
const LARGE_ANSWER_LOAD: f64 = 0.05;
/// Length of truncated answers, large enough that the upstream has sent a part before the cut.
const LARGE_ANSWER_BYTES: u64 = 100_000;
/// Load of all other runs.
const LOW_LOAD: f64 = 0.2;

/// Returns all mutants with their scenarios.
pub(crate) fn mutations() -> Vec<Mutation> {
    use Action::{
        BadNote, DrainDomain, GoodNote, KillUpstream, LeaveUpstream, LeaveVm, LimitUpstream,
        StopNode,
    };
    let kills = [
        KillUpstream(0),
        KillUpstream(1),
        KillUpstream(2),
        KillUpstream(3),
    ];
    let kills = [kills, kills].concat();
    // In `examples/ragusa.yaml`, these upstreams serve requests with idempotency keys.
    let keyed = [5, 6, 7, 8].map(KillUpstream);
    let keyed = [keyed, keyed].concat();
    let limits = [0, 1, 2, 3].map(|vm| LimitUpstream { vm, percent: 5 });
    let leaves = [0, 1, 2, 3].map(LeaveUpstream);
    let stops = [StopNode(0), StopNode(1), StopNode(2)];
    vec![
        with_low_load("go_back", invariant::NODES_RUN, &[GoodNote, GoodNote]),
        with_low_load("misroute", invariant::ROUTED_TO_OWN_SERVICE, &[]),
        with_low_load("partial_note", invariant::WHOLE_NOTES, &[BadNote(0)]),
        with_high_load("no_ramp", invariant::COLD_UPSTREAM_SPARED, &kills),
        with_low_load(
            "ignore_drains",
            invariant::DRAINED_GETS_NO_WORK,
            &[DrainDomain(0)],
        ),
        with_low_load(
            "ignore_leaving",
            invariant::LEAVING_GETS_NO_WORK,
            &[LeaveVm(0), LeaveVm(1)],
        ),
        with_high_load("ignore_limits", invariant::STATED_LIMIT_KEPT, &limits),
        with_high_load("ignore_leaving", invariant::LEAVING_GETS_NO_WORK, &leaves),
        with_large_answers("short_answers", invariant::OWN_WHOLE_ANSWER),
        with_low_load("crossed_answers", invariant::OWN_WHOLE_ANSWER, &[]),
        with_high_load("false_did_not_run", invariant::REFUSAL_IS_TRUE, &kills),
        with_high_load("run_twice", invariant::AT_MOST_ONCE, &keyed),
        with_high_load("abrupt_stop", invariant::STOP_CUTS_NOTHING, &stops),
        with_low_load("drop_notes", invariant::IN_FORCE_EVERYWHERE, &[GoodNote]),
    ]
}

fn with_low_load(mutant: &'static str, check: &'static str, actions: &[Action]) -> Mutation {
    let scenario = Scenario {
        mutant,
        steps: steps(actions),
        load: LOW_LOAD,
        bytes: None,
        query: "",
    };
    Mutation { check, scenario }
}

fn with_high_load(mutant: &'static str, check: &'static str, actions: &[Action]) -> Mutation {
    let mut mutation = with_low_load(mutant, check, actions);
    mutation.scenario.load = HIGH_LOAD;
    mutation
}

fn with_large_answers(mutant: &'static str, check: &'static str) -> Mutation {
    let mut mutation = with_low_load(mutant, check, &[]);
    mutation.scenario.load = LARGE_ANSWER_LOAD;
    mutation.scenario.bytes = Some(LARGE_ANSWER_BYTES);
    mutation.scenario.query = "cut=80000";
    mutation
}

/// Delay until the first action.
const FIRST_ACTION_DELAY: Duration = Duration::from_secs(2);
/// Time between two actions.
const ACTION_INTERVAL: Duration = Duration::from_millis(300);
/// Duration of an action that is not instant.
const ACTION_DURATION: Duration = Duration::from_secs(6);

fn steps(actions: &[Action]) -> Vec<Step> {
    let begin_of =
        |index: usize| FIRST_ACTION_DELAY + ACTION_INTERVAL * u32::try_from(index).unwrap_or(0);
    let steps = actions.iter().enumerate().map(|(index, &action)| Step {
        begin: begin_of(index),
        end: begin_of(index)
            + if action.is_instant() {
                Duration::ZERO
            } else {
                ACTION_DURATION
            },
        action,
    });
    steps.collect()
}
