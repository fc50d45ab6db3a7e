//! Deliberate faults of nodes, each with what brings it out and the check that must catch it.

use std::time::Duration;

use crate::chaos::{action::Action, invariant, run::Scenario, schedule::Step};

/// A deliberate fault and the check that must catch it.
#[derive(Clone, Debug)]
pub(crate) struct Mutation {
    /// Name of the check that must break.
    pub(crate) check: &'static str,
    /// What brings the fault out.
    pub(crate) scenario: Scenario,
}

/// Load that makes one upstream that lacks noticeable.
const HIGH_LOAD: f64 = 0.7;
/// Load of runs with large answers.
const CUT_LOAD: f64 = 0.05;
/// Length of answers that break off, of which the upstream has sent a part by then.
const CUT_BYTES: u64 = 100_000;
/// Load of the other runs.
const LOW_LOAD: f64 = 0.2;

/// Returns all deliberate faults.
pub(crate) fn mutations() -> Vec<Mutation> {
    use Action::{BadNote, DrainDomain, GoodNote, KillUpstream, LeaveVm, StopNode};
    let kills = [
        KillUpstream(0),
        KillUpstream(1),
        KillUpstream(2),
        KillUpstream(3),
    ];
    let kills = [kills, kills].concat();
    // With the examples' first deployment these are the upstreams that take keyed requests.
    let keyed = [5, 6, 7, 8].map(KillUpstream);
    let keyed = [keyed, keyed].concat();
    let stops = [StopNode(0), StopNode(1), StopNode(2)];
    vec![
        quiet("go_back", invariant::NODES_RUN, &[GoodNote, GoodNote]),
        quiet("misroute", invariant::ROUTED_TO_OWN_SERVICE, &[]),
        quiet("partial_note", invariant::WHOLE_NOTES, &[BadNote(0)]),
        loaded("no_ramp", invariant::COLD_UPSTREAM_SPARED, &kills),
        quiet(
            "ignore_drains",
            invariant::DRAINED_GETS_NO_WORK,
            &[DrainDomain(0)],
        ),
        quiet(
            "ignore_leaving",
            invariant::LEAVING_GETS_NO_WORK,
            &[LeaveVm(0), LeaveVm(1)],
        ),
        cut("short_answers", invariant::OWN_WHOLE_ANSWER),
        quiet("crossed_answers", invariant::OWN_WHOLE_ANSWER, &[]),
        loaded("false_did_not_run", invariant::REFUSAL_IS_TRUE, &kills),
        loaded("run_twice", invariant::AT_MOST_ONCE, &keyed),
        loaded("abrupt_stop", invariant::STOP_CUTS_NOTHING, &stops),
        quiet("drop_notes", invariant::IN_FORCE_EVERYWHERE, &[GoodNote]),
    ]
}

fn quiet(mutant: &'static str, check: &'static str, actions: &[Action]) -> Mutation {
    let scenario = Scenario {
        mutant,
        steps: steps(actions),
        load: LOW_LOAD,
        bytes: None,
        query: "",
    };
    Mutation { check, scenario }
}

fn loaded(mutant: &'static str, check: &'static str, actions: &[Action]) -> Mutation {
    let mut mutation = quiet(mutant, check, actions);
    mutation.scenario.load = HIGH_LOAD;
    mutation
}

fn cut(mutant: &'static str, check: &'static str) -> Mutation {
    let mut mutation = quiet(mutant, check, &[]);
    mutation.scenario.load = CUT_LOAD;
    mutation.scenario.bytes = Some(CUT_BYTES);
    mutation.scenario.query = "cut=80000";
    mutation
}

/// Time until the first action.
const FIRST: Duration = Duration::from_secs(2);
/// Time between two actions.
const GAP: Duration = Duration::from_millis(300);
/// Time that an action lasts.
const LENGTH: Duration = Duration::from_secs(6);

fn steps(actions: &[Action]) -> Vec<Step> {
    let at = |index: usize| FIRST + GAP * u32::try_from(index).unwrap_or(0);
    let steps = actions.iter().enumerate().map(|(index, &action)| Step {
        begin: at(index),
        end: at(index)
            + if action.is_instant() {
                Duration::ZERO
            } else {
                LENGTH
            },
        action,
    });
    steps.collect()
}
