//! What every service is given at its start.

use std::{
    sync::Arc,
    time::{SystemTime, UNIX_EPOCH},
};

use tokio::signal::unix::{SignalKind, signal};
use tokio_util::sync::CancellationToken;
use wagtaillever_coordination::Incarnation;

use crate::{kernel::Registry, settings::Settings, timeline::Timeline, view::ViewCell};

/// Shared parts of the node, passed to each service at its start.
#[derive(Clone)]
pub(crate) struct Context {
    settings: Arc<Settings>,
    incarnation: Incarnation,
    registry: Registry,
    view: ViewCell,
    timeline: Timeline,
    token: CancellationToken,
}

impl Context {
    /// Returns the context of a fresh process.
    pub(crate) fn new(settings: Arc<Settings>) -> Self {
        let incarnation = fresh_incarnation();
        let timeline = Timeline::new(settings.vm.clone(), incarnation);
        Self {
            view: ViewCell::default(),
            registry: Registry::default(),
            token: CancellationToken::new(),
            settings,
            incarnation,
            timeline,
        }
    }

    /// Returns the settings.
    pub(crate) fn settings(&self) -> &Arc<Settings> {
        &self.settings
    }

    /// Returns the identity of this process.
    pub(crate) fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// Returns the handles of all services.
    pub(crate) fn registry(&self) -> &Registry {
        &self.registry
    }

    /// Returns what the node believes.
    pub(crate) fn view(&self) -> &ViewCell {
        &self.view
    }

    /// Returns the node's events.
    pub(crate) fn timeline(&self) -> &Timeline {
        &self.timeline
    }

    /// Returns a token that is cancelled when the node ends.
    pub(crate) fn shutdown_token(&self) -> CancellationToken {
        self.token.child_token()
    }

    /// Cancels all that still runs.
    pub(crate) fn cancel(&self) {
        self.token.cancel();
    }

    /// Waits for the first request to stop; a second one ends the process at once.
    ///
    /// Requests are noticed from the call on, before the result is first polled.
    pub(crate) fn stop_requested(&self) -> impl Future<Output = ()> + use<> {
        let terminate = signal(SignalKind::terminate());
        let interrupt = signal(SignalKind::interrupt());
        async move {
            let (Ok(mut terminate), Ok(mut interrupt)) = (terminate, interrupt) else {
                return;
            };
            tokio::select! {
                _ = terminate.recv() => {}
                _ = interrupt.recv() => {}
            }
            actix_rt::spawn(async move {
                tokio::select! {
                    _ = terminate.recv() => {}
                    _ = interrupt.recv() => {}
                }
                std::process::exit(EXIT_ENDED);
            });
        }
    }
}

/// Exit code when a second signal ends the process at once.
const EXIT_ENDED: i32 = 3;

fn fresh_incarnation() -> Incarnation {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    let micros = now.map_or(0, |now| now.as_micros());
    Incarnation(u64::try_from(micros).unwrap_or(u64::MAX))
}
