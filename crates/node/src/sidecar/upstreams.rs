//! The upstreams of this VM, kept in step with the configuration.

use std::{
    cell::RefCell,
    collections::BTreeMap,
    rc::Rc,
    sync::Arc,
    time::{Duration, Instant},
};

use wagtaillever_coordination::{Config, Service, Upstream, UpstreamName, VmEntry};

use crate::{settings::Settings, sidecar::upstream::LocalUpstream, timeline::Timeline};

/// Time for which a withdrawn upstream still serves ingresses that are behind.
const LINGER: Duration = Duration::from_secs(5);

/// The upstreams of this VM by name.
pub(super) struct Upstreams {
    settings: Arc<Settings>,
    timeline: Timeline,
    /// When this process began.
    began: Instant,
    entries: RefCell<BTreeMap<UpstreamName, Entry>>,
}

struct Entry {
    upstream: Rc<LocalUpstream>,
    gone_at: Option<Instant>,
}

impl Upstreams {
    /// Returns an empty set of upstreams of a VM.
    pub(super) fn new(settings: Arc<Settings>, timeline: Timeline) -> Self {
        Self {
            settings,
            timeline,
            began: Instant::now(),
            entries: RefCell::default(),
        }
    }

    /// Returns an upstream that is in force or that a note withdrew a moment ago. One that the
    /// platform no longer lists gets nothing more: it may be about to end, and others know it.
    pub(super) fn get(&self, name: &str) -> Option<Rc<LocalUpstream>> {
        let entries = self.entries.borrow();
        let entry = entries.get(name)?;
        let is_listed = entry.upstream.spec().start.is_some();
        let is_gone = entry.gone_at.is_some() && is_listed;
        (!is_gone).then(|| Rc::clone(&entry.upstream))
    }

    /// Applies a configuration and the platform's entry of this VM.
    pub(super) fn update(&self, config: &Config, listed: Option<&VmEntry>, now: Instant) {
        let noted = config.upstreams.values();
        let noted = noted.filter(|spec| spec.vm == self.settings.vm).cloned();
        let listed = listed.into_iter().flat_map(VmEntry::listed_upstreams);
        let specs: BTreeMap<_, _> = noted
            .chain(listed)
            .map(|spec| (spec.name.clone(), spec))
            .collect();
        let mut entries = self.entries.borrow_mut();
        for (name, entry) in entries.iter_mut() {
            if !specs.contains_key(name) {
                entry.gone_at.get_or_insert(now + LINGER);
            }
        }
        entries.retain(|_, entry| entry.gone_at.is_none_or(|gone_at| now < gone_at));
        for spec in specs.values() {
            let service = config.services.get(&spec.service);
            self.apply(&mut entries, spec, service);
        }
    }

    /// Applies one upstream; one at another address or with another start is cold.
    fn apply(
        &self,
        entries: &mut BTreeMap<UpstreamName, Entry>,
        spec: &Arc<Upstream>,
        service: Option<&Arc<Service>>,
    ) {
        if let Some(known) = entries.get_mut(&spec.name) {
            let old = known.upstream.spec();
            if old.address == spec.address && !is_restarted(&old, spec) {
                known.gone_at = None;
                known.upstream.reconfigure(spec, service);
                return;
            }
        }
        let timeline = self.timeline.clone();
        let spec = Arc::clone(spec);
        let upstream = LocalUpstream::new(spec, service.cloned(), &self.settings, timeline);
        let upstream = Rc::new(upstream);
        upstream
            .admission()
            .borrow_mut()
            .assume_prior_starts(self.began);
        upstream.doubt();
        let entry = Entry {
            upstream,
            gone_at: None,
        };
        entries.insert(entry.upstream.spec().name.clone(), entry);
    }

    /// Returns all upstreams that serve.
    pub(super) fn all(&self) -> Vec<Rc<LocalUpstream>> {
        let entries = self.entries.borrow();
        let upstreams = entries.values().map(|entry| Rc::clone(&entry.upstream));
        upstreams.collect()
    }
}

/// Returns whether the platform tells of a start of the upstream that was not known before.
fn is_restarted(old: &Upstream, new: &Upstream) -> bool {
    let started = |spec: &Upstream| spec.start.map(|start| start.started);
    started(old) != started(new)
}
