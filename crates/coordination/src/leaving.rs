//! Upstreams that stated in an answer that they are leaving.

#[cfg(test)]
mod tests;

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use crate::{config::Upstream, name::UpstreamName};

/// Upstreams that stated in an answer that they are leaving.
///
/// An upstream does not return from leaving: a later start of it is another process, which the
/// platform lists with another start time. An upstream that the platform does not list has no known
/// start time and is tried again after [`UNLISTED_TERM`].
#[derive(Clone, Debug, Default)]
pub struct LeavingUpstreams {
    entries: HashMap<UpstreamName, Entry>,
}

#[derive(Clone, Copy, Debug)]
struct Entry {
    /// Start time that the platform lists, in milliseconds since the Unix epoch.
    started: Option<u64>,
    stated_at: Instant,
}

/// Time after which an unlisted upstream is tried again. A planned stop takes a few seconds.
const UNLISTED_TERM: Duration = Duration::from_secs(15);
/// Maximum number of entries; the oldest is dropped for a new one. Several times the upstreams that
/// are replaced on an ordinary day at the target size.
const MAX_ENTRIES: usize = 1024;

impl LeavingUpstreams {
    /// Records that an upstream states that it is leaving; returns whether this was unknown.
    pub fn record(&mut self, upstream: &Upstream, now: Instant) -> bool {
        let is_new = !self.contains(upstream, now);
        if self.entries.len() >= MAX_ENTRIES && !self.entries.contains_key(&upstream.name) {
            self.drop_oldest();
        }
        let entry = Entry {
            started: start_time(upstream),
            stated_at: now,
        };
        self.entries.insert(upstream.name.clone(), entry);
        is_new
    }

    /// Returns whether the process of an upstream is leaving.
    #[must_use]
    pub fn contains(&self, upstream: &Upstream, now: Instant) -> bool {
        let Some(entry) = self.entries.get(&upstream.name) else {
            return false;
        };
        let age = now.saturating_duration_since(entry.stated_at);
        entry.started == start_time(upstream) && (entry.started.is_some() || age < UNLISTED_TERM)
    }

    fn drop_oldest(&mut self) {
        let oldest = self.entries.iter().min_by_key(|(_, entry)| entry.stated_at);
        if let Some(name) = oldest.map(|(name, _)| name.clone()) {
            self.entries.remove(&name);
        }
    }
}

fn start_time(upstream: &Upstream) -> Option<u64> {
    upstream.start.map(|start| start.started)
}
