//! Routing tables that the ingress derives from a view and keeps until the view changes.

use std::{collections::HashSet, net::SocketAddr, rc::Rc, sync::Arc};

use wagtaillever_coordination::{
    Candidates, DrainList, KeyTable, RouteTable, VmEntry, VmList, VmName, VmState,
};

use crate::{
    invariant::check_invariant,
    mutant::{self, Mutant},
    settings::Settings,
    view::View,
};

/// Largest number of sidecars to which connections are kept open.
const MAX_PRECONNECTED: usize = 128;

/// A view and the routing tables derived from it.
pub(super) struct RoutingView {
    pub(super) view: Arc<View>,
    pub(super) routes: Rc<RouteTable>,
    /// Organisations by API key.
    pub(super) keys: Rc<KeyTable>,
    /// Upstreams that may get new calls.
    pub(super) candidates: Candidates,
    /// Sidecars to which connections are kept open.
    pub(super) preconnected: Rc<Vec<SocketAddr>>,
}

impl RoutingView {
    /// Derives the tables from a view for the node with these settings. Reuses the tables of
    /// the configuration in `previous` if the configuration is the same.
    pub(super) fn new(view: Arc<View>, settings: &Settings, previous: Option<&Self>) -> Self {
        let candidates = candidates(&view).ordered_for(&settings.vm, &settings.domain);
        check_candidates(&candidates, &view);
        let unchanged =
            previous.filter(|previous| Arc::ptr_eq(&previous.view.config, &view.config));
        let routes = unchanged.map(|previous| Rc::clone(&previous.routes));
        let routes = routes.unwrap_or_else(|| Rc::new(RouteTable::new(&view.config)));
        let keys = unchanged.map(|previous| Rc::clone(&previous.keys));
        let keys = keys.unwrap_or_else(|| Rc::new(KeyTable::new(&view.config)));
        let preconnected = candidates.neighbours(&settings.domain, MAX_PRECONNECTED);
        let preconnected = Rc::new(preconnected);
        Self {
            view,
            routes,
            keys,
            candidates,
            preconnected,
        }
    }
}

/// Checks the invariant that no candidate is drained or on a leaving VM.
fn check_candidates(candidates: &Candidates, view: &View) {
    let entries = view.vms.vms.iter();
    let leaving = entries.filter(|entry| entry.state == VmState::Leaving);
    let leaving: HashSet<&VmName> = leaving.map(|entry| &entry.vm).collect();
    for candidate in candidates.iter() {
        let upstream = &candidate.upstream;
        let is_drained = view.drains.is_drained(&upstream.vm, &upstream.domain);
        check_invariant("work_for_drained", !is_drained);
        check_invariant("work_for_leaving", !leaving.contains(&upstream.vm));
    }
}

fn candidates(view: &View) -> Candidates {
    if mutant::is_enabled(Mutant::IgnoreDrains) {
        return Candidates::new(&view.config, &view.vms, &DrainList::default());
    }
    if mutant::is_enabled(Mutant::IgnoreLeaving) {
        return Candidates::new(&view.config, &with_all_live(&view.vms), &view.drains);
    }
    Candidates::new(&view.config, &view.vms, &view.drains)
}

fn with_all_live(vms: &VmList) -> VmList {
    let mut vms = vms.clone();
    for entry in &mut vms.vms {
        *entry = Arc::new(VmEntry {
            state: VmState::Live,
            ..VmEntry::clone(entry)
        });
    }
    vms
}
