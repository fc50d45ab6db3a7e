//! The upstreams of this VM, kept in step with the configuration.

use std::{
    cell::RefCell,
    collections::BTreeMap,
    rc::Rc,
    sync::Arc,
    time::{Duration, Instant},
};

use wagtaillever_coordination::{Config, Upstream, UpstreamName, VmName};

use crate::{
    settings::{Policies, Settings},
    sidecar::upstream::LocalUpstream,
    timeline::Timeline,
};

/// Time for which a withdrawn upstream still serves ingresses that are behind.
const LINGER: Duration = Duration::from_secs(5);

/// The upstreams of this VM by name.
pub(super) struct Upstreams {
    vm: VmName,
    policies: Policies,
    timeline: Timeline,
    entries: RefCell<BTreeMap<UpstreamName, Entry>>,
}

struct Entry {
    upstream: Rc<LocalUpstream>,
    gone_at: Option<Instant>,
}

impl Upstreams {
    /// Returns an empty set of upstreams of a VM.
    pub(super) fn new(settings: &Settings, timeline: Timeline) -> Self {
        Self {
            vm: settings.vm.clone(),
            policies: settings.policies.clone(),
            timeline,
            entries: RefCell::default(),
        }
    }

    /// Returns an upstream that is in force or was withdrawn a moment ago.
    pub(super) fn get(&self, name: &str) -> Option<Rc<LocalUpstream>> {
        let entries = self.entries.borrow();
        entries.get(name).map(|entry| Rc::clone(&entry.upstream))
    }

    /// Takes in a configuration.
    pub(super) fn update(&self, config: &Config, now: Instant) {
        let mut entries = self.entries.borrow_mut();
        for (name, entry) in entries.iter_mut() {
            if !self.is_here(config.upstreams.get(name)) {
                entry.gone_at.get_or_insert(now + LINGER);
            }
        }
        entries.retain(|_, entry| entry.gone_at.is_none_or(|gone_at| now < gone_at));
        for spec in config.upstreams.values() {
            if !self.is_here(Some(spec)) {
                continue;
            }
            self.take_in(&mut entries, spec);
        }
    }

    /// Takes in one upstream; a changed address is another upstream, which is cold.
    fn take_in(&self, entries: &mut BTreeMap<UpstreamName, Entry>, spec: &Arc<Upstream>) {
        if let Some(known) = entries.get_mut(&spec.name) {
            let old = known.upstream.spec();
            if old.address == spec.address {
                known.gone_at = None;
                if old != *spec {
                    known.upstream.reconfigure(spec);
                }
                return;
            }
        }
        let timeline = self.timeline.clone();
        let upstream = LocalUpstream::new(Arc::clone(spec), &self.policies, timeline);
        let entry = Entry {
            upstream: Rc::new(upstream),
            gone_at: None,
        };
        entries.insert(spec.name.clone(), entry);
    }

    /// Returns all upstreams that serve.
    pub(super) fn all(&self) -> Vec<Rc<LocalUpstream>> {
        let entries = self.entries.borrow();
        let upstreams = entries.values().map(|entry| Rc::clone(&entry.upstream));
        upstreams.collect()
    }

    fn is_here(&self, spec: Option<&Arc<Upstream>>) -> bool {
        spec.is_some_and(|spec| spec.vm == self.vm)
    }
}
