//! Decides which exchanges a planned stop lost.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use crate::{
    layout::ROUTE_TIMEOUT_MS,
    stops::caller::{CALL_TIMEOUT, Exchange, ExchangeEnd},
};

/// Time after a request was sent within which a connection may be closed although the process may
/// have read the request: `loss_slack_s` of the users' rules.
const LOSS_SLACK: Duration = Duration::from_millis(200);
/// Time after the signal until which requests may still be at work when the process ends, by the
/// users' rules.
const LATE_WORK_WINDOW: Duration = Duration::from_secs(3);
/// Time by which a node answers before the timeout of a route.
const REPLY_MARGIN: Duration = Duration::from_millis(50);
/// Time after the grace period that still counts as part of a stop, by the users' rules.
const STOP_TAIL: Duration = Duration::from_secs(1);

/// Planned stop of a node.
#[derive(Clone, Debug)]
pub(super) struct Stop {
    /// Index of the VM.
    pub(super) vm: usize,
    /// Time of the first SIGTERM.
    pub(super) asked: Instant,
    /// Time at which the process had exited or was killed.
    pub(super) ended: Instant,
    /// Exit code, unless the process was killed after the grace period.
    pub(super) code: Option<i32>,
}

/// What callers saw.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(super) struct Losses {
    /// Requests that a stopping node had read and did not answer.
    pub(super) by_stop: Vec<Loss>,
    /// Requests that ran and were not answered by a node that was not stopping.
    pub(super) elsewhere: Vec<Loss>,
    /// Requests whose outcome the node reported as unknown.
    pub(super) unknown: u64,
    /// Requests that ran although the node stated that they did not.
    pub(super) false_refusals: u64,
    /// Requests that crossed the close of their connection and did not run.
    pub(super) crossed: u64,
}

/// Request without an answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Loss {
    pub(super) id: String,
    /// Time from the SIGTERM until the whole request was sent, if a stop lost it.
    pub(super) sent_after: Option<Duration>,
    /// Time from sending the last byte of the request until its connection was closed.
    pub(super) open: Duration,
    /// Time that its upstream works on the request.
    pub(super) work: Duration,
    pub(super) has_run: bool,
}

/// Judges exchanges by the stops and by how often each request ran.
pub(super) fn judge(
    exchanges: &[Exchange],
    stops: &[Stop],
    runs: &HashMap<String, u32>,
    grace: Duration,
) -> Losses {
    let mut losses = Losses::default();
    for exchange in exchanges {
        let has_run = runs.contains_key(&exchange.id);
        match exchange.end {
            ExchangeEnd::Answered | ExchangeEnd::TimedOut | ExchangeEnd::Unsent => {}
            ExchangeEnd::Refused => losses.false_refusals += u64::from(has_run),
            ExchangeEnd::Unknown => losses.unknown += u64::from(!is_timed_out(exchange)),
            ExchangeEnd::Closed => {
                let stop = stops.iter().find(|stop| is_during(exchange, stop, grace));
                losses.add_closed(exchange, stop, has_run, grace);
            }
        }
    }
    losses
}

impl Losses {
    fn add_closed(
        &mut self,
        exchange: &Exchange,
        stop: Option<&Stop>,
        has_run: bool,
        grace: Duration,
    ) {
        let Some(whole) = exchange.whole else {
            return;
        };
        let open = exchange.ended.saturating_duration_since(whole);
        if !has_run && open <= LOSS_SLACK {
            self.crossed += 1;
            return;
        }
        let is_excused = |stop| is_excused(exchange, whole, stop, grace);
        if exchange.ended - exchange.sent >= CALL_TIMEOUT || stop.is_some_and(is_excused) {
            return;
        }
        let loss = Loss {
            id: exchange.id.clone(),
            sent_after: stop.map(|stop| whole.saturating_duration_since(stop.asked)),
            open,
            work: exchange.work,
            has_run,
        };
        match stop {
            Some(_) => self.by_stop.push(loss),
            None => self.elsewhere.push(loss),
        }
    }
}

/// Returns whether the timeout of the route was reached. Nodes answer a little before it.
fn is_timed_out(exchange: &Exchange) -> bool {
    let timeout = Duration::from_millis(ROUTE_TIMEOUT_MS);
    exchange.ended - exchange.sent >= timeout - REPLY_MARGIN
}

fn is_during(exchange: &Exchange, stop: &Stop, grace: Duration) -> bool {
    let end = stop.asked + grace + STOP_TAIL;
    exchange.vm == stop.vm && exchange.ended >= stop.asked && exchange.sent <= end
}

/// Returns whether the upstream was still at work in the last sixth of the grace period on a request
/// that was sent early.
fn is_excused(exchange: &Exchange, whole: Instant, stop: &Stop, grace: Duration) -> bool {
    let is_early = whole <= stop.asked + LATE_WORK_WINDOW;
    is_early && whole + exchange.work >= stop.asked + grace.mul_f64(5.0 / 6.0)
}
