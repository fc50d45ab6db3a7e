//! Calls of callers that have no complete answer yet.

use std::{collections::BTreeMap, mem, sync::Arc, time::Instant};

use log::{info, warn};
use parking_lot::Mutex;
use wagtaillever_coordination::UpstreamName;

use crate::logging::LineBudget;

/// Calls that have no complete answer yet, shared by the thread that serves callers and the one that
/// stops the node.
#[derive(Clone)]
pub(super) struct OpenCalls {
    table: Arc<Mutex<Table>>,
}

struct Table {
    last_number: u64,
    calls: BTreeMap<u64, CallState>,
    line_budget: LineBudget,
    /// Why calls end that are dropped.
    drop_cause: EndCause,
    /// Causes of all calls that ended without a complete answer.
    #[cfg(test)]
    unanswered: Vec<EndCause>,
}

struct CallState {
    call: Arc<str>,
    arrived: Instant,
    /// Upstream of the latest attempt.
    upstream: Option<UpstreamName>,
    stage: Stage,
}

/// How far a call has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    /// No attempt has been made yet.
    Received,
    /// An attempt was made.
    Sent,
    /// The head of the answer was passed on to the caller.
    Answering,
}

/// Why a call ended without a complete answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum EndCause {
    /// The caller closed its connection.
    CallerClosed,
    /// The answer broke off.
    AnswerBroken,
    /// An answer before it on its connection closed the connection.
    Abandoned,
    /// The framing of its body is invalid.
    Malformed,
    /// The node stopped.
    Stop,
}

impl EndCause {
    fn as_str(self) -> &'static str {
        match self {
            Self::CallerClosed => "caller-closed",
            Self::AnswerBroken => "answer-broken",
            Self::Abandoned => "abandoned",
            Self::Malformed => "malformed",
            Self::Stop => "stop",
        }
    }
}

impl Default for OpenCalls {
    fn default() -> Self {
        let table = Table {
            last_number: 0,
            calls: BTreeMap::new(),
            line_budget: LineBudget::new(Instant::now()),
            drop_cause: EndCause::CallerClosed,
            #[cfg(test)]
            unanswered: Vec::new(),
        };
        Self {
            table: Arc::new(Mutex::new(table)),
        }
    }
}

impl OpenCalls {
    /// Adds a call until the returned guard is finished or dropped.
    pub(super) fn open(&self, call: Arc<str>, arrived: Instant) -> OpenCall {
        let mut table = self.table.lock();
        table.last_number += 1;
        let number = table.last_number;
        let state = CallState {
            call,
            arrived,
            upstream: None,
            stage: Stage::Received,
        };
        table.calls.insert(number, state);
        drop(table);
        OpenCall {
            calls: self.clone(),
            number,
        }
    }

    /// Runs `drop_calls` and records a cause for the calls that it drops.
    pub(super) fn drop_as(&self, cause: EndCause, drop_calls: impl FnOnce()) {
        let usual = mem::replace(&mut self.table.lock().drop_cause, cause);
        drop_calls();
        self.table.lock().drop_cause = usual;
    }

    /// Returns the number of calls.
    pub(super) fn len(&self) -> usize {
        self.table.lock().calls.len()
    }

    /// Returns why calls ended without a complete answer.
    #[cfg(test)]
    pub(super) fn unanswered(&self) -> Vec<EndCause> {
        self.table.lock().unanswered.clone()
    }

    /// Records that the stop of the node cuts off all remaining calls.
    pub(super) fn record_cut(&self) {
        let mut table = self.table.lock();
        while let Some((_, state)) = table.calls.pop_first() {
            table.record_end(&state, EndCause::Stop);
        }
    }

    fn update(&self, number: u64, change: impl FnOnce(&mut CallState)) {
        if let Some(state) = self.table.lock().calls.get_mut(&number) {
            change(state);
        }
    }

    fn end(&self, number: u64, cause: Option<EndCause>) {
        let mut table = self.table.lock();
        let Some(state) = table.calls.remove(&number) else {
            return;
        };
        if let Some(cause) = cause {
            table.record_end(&state, cause);
        }
    }
}

impl Table {
    fn record_end(&mut self, state: &CallState, cause: EndCause) {
        #[cfg(test)]
        self.unanswered.push(cause);
        let end = cause.as_str();
        metrics::counter!("calls_unanswered_total", "cause" => end).increment(1);
        let Some(left_out) = self.line_budget.take(Instant::now()) else {
            return;
        };
        let call = &*state.call;
        let upstream = state.upstream.as_ref().map(UpstreamName::as_str);
        let took_ms = u64::try_from(state.arrived.elapsed().as_millis()).unwrap_or(u64::MAX);
        let text = "call ended without a complete answer";
        if cause == EndCause::Stop {
            warn!(call, upstream, stage:? = state.stage, cause = end, took_ms, left_out; "{text}");
        } else {
            info!(call, upstream, stage:? = state.stage, cause = end, took_ms, left_out; "{text}");
        }
    }
}

/// One open call. Dropping it records that the caller closed its connection, unless
/// [`OpenCalls::drop_as`] states another cause.
pub(super) struct OpenCall {
    calls: OpenCalls,
    number: u64,
}

impl OpenCall {
    /// Records an attempt at an upstream.
    pub(super) fn record_attempt(&self, upstream: &UpstreamName) {
        self.calls.update(self.number, |state| {
            state.upstream = Some(upstream.clone());
            state.stage = Stage::Sent;
        });
    }

    /// Records that the head of an answer is passed on to the caller.
    pub(super) fn record_answer(&self) {
        self.calls
            .update(self.number, |state| state.stage = Stage::Answering);
    }

    /// Records that the caller gets a complete answer.
    pub(super) fn finish(self) {
        self.calls.end(self.number, None);
    }

    /// Records that the answer broke off.
    pub(super) fn break_off(self) {
        self.calls.end(self.number, Some(EndCause::AnswerBroken));
    }
}

impl Drop for OpenCall {
    fn drop(&mut self) {
        let cause = self.calls.table.lock().drop_cause;
        self.calls.end(self.number, Some(cause));
    }
}
