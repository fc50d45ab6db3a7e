//! What the ingress derives from a view, until there is a newer one.

use std::{net::SocketAddr, rc::Rc, sync::Arc};

use wagtaillever_coordination::{Candidates, RouteTable};

use crate::{settings::Settings, view::View};

/// Connections that are opened ahead of need.
const MAX_WARM: usize = 128;

/// A view with the tables that are compiled from it.
pub(super) struct Beliefs {
    /// The view.
    pub(super) view: Arc<View>,
    /// Routes of the view.
    pub(super) routes: Rc<RouteTable>,
    /// Upstreams that may be given new work.
    pub(super) candidates: Candidates,
    /// Sidecars to which connections are kept open.
    pub(super) warm: Rc<Vec<SocketAddr>>,
}

impl Beliefs {
    /// Returns what follows from a view, seen from the node of the settings.
    pub(super) fn new(view: Arc<View>, settings: &Settings, last: Option<&Self>) -> Self {
        let candidates = Candidates::new(&view.config, &view.vms, &view.drains);
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
