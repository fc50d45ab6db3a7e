//! Result of the experiment.

use std::time::Duration;

use serde::Serialize;

use crate::{
    checks::{Checks, Violation},
    stops::{
        caller::{Exchange, ExchangeEnd},
        judge::{Losses, Stop},
        run::StopsOptions,
    },
    subcommand::Verdict,
};

/// No request that a stopping node has read ends without an answer.
const STOP_LOSES_NOTHING: &str = "stop-loses-nothing";
/// No other node closes a connection on a request that runs.
const NOTHING_LOST_ELSEWHERE: &str = "nothing-lost-elsewhere";
/// No answer states that the request may have run.
const NO_UNKNOWN_OUTCOME: &str = "no-unknown-outcome";
/// A request that was refused as not run did not run.
const REFUSAL_IS_TRUE: &str = "refusal-is-true";
/// Each node ends by itself within the grace period, with exit code 0.
const STOPS_IN_TIME: &str = "stops-in-time";
/// Number of losses that are listed.
const LISTED_LOSSES: usize = 12;

/// Result of the experiment.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct StopsReport {
    nodes: usize,
    seed: u64,
    is_disturbed: bool,
    stops: usize,
    /// Longest time from SIGTERM to the end of a process, in milliseconds.
    stop_ms: u64,
    requests: usize,
    answered: usize,
    refused: usize,
    unknown: u64,
    /// Requests that crossed the close of their connection.
    crossed: u64,
    timed_out: usize,
    lost: usize,
    /// Share of the answered requests that took longer than the notice period of a stop.
    long_share: f64,
    /// Longest time of an answer, in milliseconds.
    answer_ms: u64,
    pub(crate) broken: Vec<Violation>,
    #[serde(skip)]
    details: Vec<String>,
}

impl StopsReport {
    pub(super) fn new(
        options: &StopsOptions,
        exchanges: &[Exchange],
        stops: &[Stop],
        losses: &Losses,
    ) -> Self {
        let count = |end| exchanges.iter().filter(|it| it.end == end).count();
        let answered = count(ExchangeEnd::Answered);
        let times = exchanges
            .iter()
            .filter(|it| it.end == ExchangeEnd::Answered)
            .map(|it| it.ended - it.sent);
        let long = times.clone().filter(|time| *time > options.notice).count();
        let stop_time = |stop: &Stop| stop.ended - stop.asked;
        let lost = losses.by_stop.iter().chain(&losses.elsewhere);
        Self {
            nodes: options.nodes,
            seed: options.seed,
            is_disturbed: options.is_disturbed,
            stops: stops.len(),
            stop_ms: millis(stops.iter().map(stop_time).max().unwrap_or_default()),
            requests: exchanges.len(),
            answered,
            refused: count(ExchangeEnd::Refused),
            unknown: losses.unknown,
            crossed: losses.crossed,
            timed_out: count(ExchangeEnd::TimedOut),
            lost: losses.by_stop.len() + losses.elsewhere.len(),
            long_share: long as f64 / answered.max(1) as f64,
            answer_ms: millis(times.max().unwrap_or_default()),
            broken: checks(stops, losses).broken().to_vec(),
            details: lost
                .take(LISTED_LOSSES)
                .map(|it| format!("{it:?}"))
                .collect(),
        }
    }

    /// Prints the result and the losses.
    pub(crate) fn print(&self) {
        println!(
            "seed {}: {} nodes, {} stops of at most {} ms, {} requests, {} answered, {} refused, \
             {} unknown, {} crossed a close, {} timed out, {} lost; {:.4} of the answers took longer than the \
             notice, at most {} ms",
            self.seed,
            self.nodes,
            self.stops,
            self.stop_ms,
            self.requests,
            self.answered,
            self.refused,
            self.unknown,
            self.crossed,
            self.timed_out,
            self.lost,
            self.long_share,
            self.answer_ms,
        );
        for detail in &self.details {
            println!("  {detail}");
        }
        for violation in &self.broken {
            eprintln!(
                "BROKEN seed {} {}: {}",
                self.seed, violation.name, violation.seen
            );
        }
    }

    /// Returns `Passed` if nodes were stopped and no check failed.
    pub(crate) fn verdict(&self) -> Verdict {
        if self.broken.is_empty() && self.stops > 0 {
            return Verdict::Passed;
        }
        Verdict::Failed
    }
}

fn checks(stops: &[Stop], losses: &Losses) -> Checks {
    let mut checks = Checks::default();
    let late = stops.iter().filter(|stop| stop.code != Some(0));
    checks.expect_zero(STOP_LOSES_NOTHING, losses.by_stop.len() as u64);
    checks.expect_zero(NOTHING_LOST_ELSEWHERE, losses.elsewhere.len() as u64);
    checks.expect_zero(NO_UNKNOWN_OUTCOME, losses.unknown);
    checks.expect_zero(REFUSAL_IS_TRUE, losses.false_refusals);
    checks.expect_zero(STOPS_IN_TIME, late.count() as u64);
    checks
}

fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
