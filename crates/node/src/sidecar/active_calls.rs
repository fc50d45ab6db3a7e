//! Calls that the sidecar serves, for the log of a stop.

use std::{collections::BTreeMap, time::Instant};

use log::warn;

/// Largest number of calls that are logged when a stop cuts them off.
const MAX_LOGGED_CALLS: usize = 250;

/// Calls that the sidecar serves.
#[derive(Default)]
pub(super) struct ActiveCalls {
    last_number: u64,
    calls: BTreeMap<u64, ActiveCall>,
}

struct ActiveCall {
    since: Instant,
    /// Call ID and upstream, once the head of the call was read.
    names: Option<(String, String)>,
}

impl ActiveCalls {
    /// Adds a call that begins now and returns its number.
    pub(super) fn begin(&mut self, now: Instant) -> u64 {
        self.last_number += 1;
        let call = ActiveCall {
            since: now,
            names: None,
        };
        self.calls.insert(self.last_number, call);
        self.last_number
    }

    /// Sets the ID and the upstream of a call.
    pub(super) fn name(&mut self, number: u64, call: &str, upstream: &str) {
        if let Some(active) = self.calls.get_mut(&number) {
            active.names = Some((call.to_owned(), upstream.to_owned()));
        }
    }

    /// Removes a call.
    pub(super) fn end(&mut self, number: u64) {
        self.calls.remove(&number);
    }

    /// Returns whether there are no calls.
    pub(super) fn is_empty(&self) -> bool {
        self.calls.is_empty()
    }

    /// Logs the remaining calls, which the stop of the node cuts off.
    pub(super) fn log_cut(&self, now: Instant) {
        metrics::counter!("sidecar_calls_cut_total").increment(self.calls.len() as u64);
        for active in self.calls.values().take(MAX_LOGGED_CALLS) {
            let took_ms = now.duration_since(active.since).as_millis() as u64;
            let names = active.names.as_ref();
            let call = names.map(|(call, _)| call.as_str());
            let upstream = names.map(|(_, upstream)| upstream.as_str());
            warn!(call, upstream, took_ms; "call cut off by the stop of the sidecar");
        }
    }
}
