//! The upstreams of this VM, kept in step with the configuration.

use std::{
    cell::RefCell,
    collections::BTreeMap,
    rc::Rc,
    sync::Arc,
    time::{Duration, Instant},
};

use wagtaillever_coordination::{Config, Upstream, UpstreamName, VmName};

use crate::sidecar::upstream::LocalUpstream;

/// Time for which a withdrawn upstream still serves ingresses that are behind.
const LINGER: Duration = Duration::from_secs(5);

/// The upstreams of this VM by name.
pub(super) struct Upstreams {
    vm: VmName,
    entries: RefCell<BTreeMap<UpstreamName, Entry>>,
}

struct Entry {
    upstream: Rc<LocalUpstream>,
    gone_at: Option<Instant>,
}

impl Upstreams {
    /// Returns an empty set of upstreams of a VM.
    pub(super) fn new(vm: VmName) -> Self {
        Self {
            vm,
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
            let known = entries.get(&spec.name);
            if known.is_some_and(|known| known.gone_at.is_none() && known.upstream.spec() == spec) {
                continue;
            }
            let upstream = Rc::new(LocalUpstream::new(Arc::clone(spec)));
            let entry = Entry {
                upstream,
                gone_at: None,
            };
            entries.insert(spec.name.clone(), entry);
        }
    }

    fn is_here(&self, spec: Option<&Arc<Upstream>>) -> bool {
        spec.is_some_and(|spec| spec.vm == self.vm)
    }
}
