//! What the ingress derives from a view, until there is a newer one.

use std::{collections::HashSet, net::SocketAddr, rc::Rc, sync::Arc};

use wagtaillever_coordination::{
    Candidates, DrainList, RouteTable, VmEntry, VmList, VmName, VmState,
};

use crate::{
    invariant::must_hold,
    mutant::{self, Mutant},
    settings::Settings,
    view::View,
};

/// Connections that are opened ahead of need.
const MAX_WARM: usize = 128;

/// A view with the tables that are compiled from it.
pub(super) struct RoutingView {
    /// The view.
    pub(super) view: Arc<View>,
    /// Routes of the view.
    pub(super) routes: Rc<RouteTable>,
    /// Upstreams that may be given new work.
    pub(super) candidates: Candidates,
    /// Sidecars to which connections are kept open.
    pub(super) warm: Rc<Vec<SocketAddr>>,
}

impl RoutingView {
    /// Returns what follows from a view, seen from the node of the settings.
    pub(super) fn new(view: Arc<View>, settings: &Settings, last: Option<&Self>) -> Self {
        let candidates = candidates(&view);
        check(&candidates, &view);
        let unchanged = last.filter(|last| Arc::ptr_eq(&last.view.config, &view.config));
        let routes = unchanged.map(|last| Rc::clone(&last.routes));
        let routes = routes.unwrap_or_else(|| Rc::new(RouteTable::new(&view.config)));
        let warm = candidates.neighbours(&settings.vm, &settings.domain, MAX_WARM);
        let warm = Rc::new(warm);
        Self {
            view,
            routes,
            candidates,
            warm,
        }
    }
}

/// Checks that no candidate is drained or leaves.
fn check(candidates: &Candidates, view: &View) {
    let entries = view.vms.vms.iter();
    let leaving = entries.filter(|entry| entry.state == VmState::Leaving);
    let leaving: HashSet<&VmName> = leaving.map(|entry| &entry.vm).collect();
    for candidate in candidates.iter() {
        let upstream = &candidate.upstream;
        let is_drained = view.drains.is_drained(&upstream.vm, &upstream.domain);
        must_hold("work_for_drained", !is_drained);
        must_hold("work_for_leaving", !leaving.contains(&upstream.vm));
    }
}

fn candidates(view: &View) -> Candidates {
    if mutant::is_on(Mutant::IgnoreDrains) {
        return Candidates::new(&view.config, &view.vms, &DrainList::default());
    }
    if mutant::is_on(Mutant::IgnoreLeaving) {
        return Candidates::new(&view.config, &all_live(&view.vms), &view.drains);
    }
    Candidates::new(&view.config, &view.vms, &view.drains)
}

fn all_live(vms: &VmList) -> VmList {
    let mut vms = vms.clone();
    for entry in &mut vms.vms {
        *entry = Arc::new(VmEntry {
            state: VmState::Live,
            ..VmEntry::clone(entry)
        });
    }
    vms
}
