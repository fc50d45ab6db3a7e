//! Upstreams of this VM, updated from the configuration and the platform's list of VMs.

use std::{
    cell::RefCell,
    collections::BTreeMap,
    net::SocketAddr,
    rc::Rc,
    sync::Arc,
    time::{Duration, Instant},
};

use wagtaillever_coordination::{
    Config, LeavingUpstreams, Service, Upstream, UpstreamName, VmEntry,
};

use crate::{
    settings::Settings,
    sidecar::{health, upstream::LocalUpstream},
    timeline::Timeline,
};

/// Time for which a withdrawn upstream still serves ingresses that apply an older configuration.
const WITHDRAWAL_GRACE: Duration = Duration::from_secs(5);

/// Upstreams of this VM by name.
pub(super) struct Upstreams {
    settings: Arc<Settings>,
    timeline: Timeline,
    /// Start time of this process.
    process_started: Instant,
    entries: RefCell<BTreeMap<UpstreamName, Entry>>,
    /// Kept apart from the entries, which end when the platform stops listing an upstream.
    leaving: Rc<RefCell<LeavingUpstreams>>,
}

struct Entry {
    upstream: Rc<LocalUpstream>,
    expires_at: Option<Instant>,
}

impl Upstreams {
    /// Returns a set without upstreams.
    pub(super) fn new(settings: Arc<Settings>, timeline: Timeline) -> Self {
        Self {
            settings,
            timeline,
            process_started: Instant::now(),
            entries: RefCell::default(),
            leaving: Rc::default(),
        }
    }

    /// Returns an upstream that is in force or was withdrawn by a recent note.
    ///
    /// An upstream that the platform has stopped listing is not returned: it may be about to stop,
    /// and other nodes already know that it is no longer listed.
    pub(super) fn get(&self, name: &str) -> Option<Rc<LocalUpstream>> {
        let entries = self.entries.borrow();
        let entry = entries.get(name)?;
        let is_listed = entry.upstream.spec().start.is_some();
        let is_withdrawn = entry.expires_at.is_some() && is_listed;
        (!is_withdrawn).then(|| Rc::clone(&entry.upstream))
    }

    /// Applies a configuration and the platform's entry of this VM.
    pub(super) fn update(&self, config: &Config, listed: Option<&VmEntry>, now: Instant) {
        let configured = config.upstreams.values();
        let configured = configured
            .filter(|spec| spec.vm == self.settings.vm)
            .cloned();
        let listed = listed.into_iter().flat_map(VmEntry::listed_upstreams);
        let specs: BTreeMap<_, _> = configured
            .chain(listed)
            .map(|spec| (spec.name.clone(), spec))
            .collect();
        let mut entries = self.entries.borrow_mut();
        for (name, entry) in entries.iter_mut() {
            if !specs.contains_key(name) {
                entry.expires_at.get_or_insert(now + WITHDRAWAL_GRACE);
            }
        }
        entries.retain(|_, entry| entry.expires_at.is_none_or(|expires_at| now < expires_at));
        for spec in specs.values() {
            let service = config.services.get(&spec.service);
            self.apply(&mut entries, spec, service);
        }
        update_superseded(&entries);
    }

    /// Adds or updates one upstream. A changed address or start replaces it by a cold one.
    fn apply(
        &self,
        entries: &mut BTreeMap<UpstreamName, Entry>,
        spec: &Arc<Upstream>,
        service: Option<&Arc<Service>>,
    ) {
        let mut replaced = None;
        if let Some(known) = entries.get_mut(&spec.name) {
            let old = known.upstream.spec();
            if old.address == spec.address && !is_restarted(&old, spec) {
                known.expires_at = None;
                known.upstream.reconfigure(spec, service);
                return;
            }
            replaced = Some(Rc::clone(&known.upstream));
        }
        let timeline = self.timeline.clone();
        let spec = Arc::clone(spec);
        let leaving = Rc::clone(&self.leaving);
        let upstream =
            LocalUpstream::new(spec, service.cloned(), &self.settings, timeline, leaving);
        let upstream = Rc::new(upstream);
        let at_address = |other: &&Rc<LocalUpstream>| {
            other.spec().address == upstream.spec().address && !other.is_superseded()
        };
        let others = entries.values().map(|entry| &entry.upstream);
        match replaced.iter().chain(others).find(at_address) {
            Some(earlier) => upstream.inherit_starts(earlier),
            None => {
                let mut admission = upstream.admission().borrow_mut();
                admission.assume_prior_starts(self.process_started);
            }
        }
        if let Some(earlier) = replaced {
            earlier.retire();
        }
        upstream.assume_cold();
        // The first answer tells what the upstream stated to an earlier process.
        health::start_check(&upstream);
        let entry = Entry {
            upstream,
            expires_at: None,
        };
        entries.insert(entry.upstream.spec().name.clone(), entry);
    }

    /// Returns all upstreams, including those in their withdrawal grace period.
    pub(super) fn all(&self) -> Vec<Rc<LocalUpstream>> {
        let entries = self.entries.borrow();
        let upstreams = entries.values().map(|entry| Rc::clone(&entry.upstream));
        upstreams.collect()
    }
}

/// Determines which upstreams have ended, because the platform lists a later start at their address.
fn update_superseded(entries: &BTreeMap<UpstreamName, Entry>) {
    let mut latest: BTreeMap<SocketAddr, u64> = BTreeMap::new();
    let listed = entries.values().filter(|entry| entry.expires_at.is_none());
    for spec in listed.map(|entry| entry.upstream.spec()) {
        let started = spec.start.map_or(0, |start| start.started);
        let known = latest.entry(spec.address).or_default();
        *known = started.max(*known);
    }
    for Entry { upstream, .. } in entries.values() {
        let spec = upstream.spec();
        let later = latest.get(&spec.address);
        let is_superseded = spec
            .start
            .is_some_and(|start| later.is_some_and(|later| *later > start.started));
        upstream.set_superseded(is_superseded);
    }
}

/// Returns whether the platform reports a different start of the upstream.
fn is_restarted(old: &Upstream, new: &Upstream) -> bool {
    let started = |spec: &Upstream| spec.start.map(|start| start.started);
    started(old) != started(new)
}
