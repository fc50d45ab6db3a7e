//! Context that every service receives at its start.

use std::{
    sync::Arc,
    time::{SystemTime, UNIX_EPOCH},
};

use log::{info, warn};
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio_util::sync::CancellationToken;
use wagtaillever_coordination::Incarnation;

use crate::{
    body_budget::BodyBudget,
    kernel::{Registry, StopGate},
    logging,
    settings::Settings,
    timeline::Timeline,
    view::ViewCell,
};

/// Shared parts of the node, passed to each service at its start.
#[derive(Clone)]
pub(crate) struct Context {
    settings: Arc<Settings>,
    incarnation: Incarnation,
    registry: Registry,
    view: ViewCell,
    timeline: Timeline,
    gate: StopGate,
    body_budget: BodyBudget,
    cut: CancellationToken,
    shutdown: CancellationToken,
}

impl Context {
    /// Creates the context of a new process.
    pub(crate) fn new(settings: Arc<Settings>) -> Self {
        let incarnation = new_incarnation();
        let timeline = Timeline::new(settings.vm.clone(), incarnation);
        Self {
            view: ViewCell::default(),
            registry: Registry::default(),
            gate: StopGate::default(),
            body_budget: BodyBudget::new(settings.limits.bounds().body_bytes),
            cut: CancellationToken::new(),
            shutdown: CancellationToken::new(),
            settings,
            incarnation,
            timeline,
        }
    }

    /// Returns the settings.
    pub(crate) fn settings(&self) -> &Arc<Settings> {
        &self.settings
    }

    /// Returns the incarnation of this process.
    pub(crate) fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// Returns the registry of service handles.
    pub(crate) fn registry(&self) -> &Registry {
        &self.registry
    }

    /// Returns the cell with the node's current view.
    pub(crate) fn view(&self) -> &ViewCell {
        &self.view
    }

    /// Returns the timeline of the node's events.
    pub(crate) fn timeline(&self) -> &Timeline {
        &self.timeline
    }

    /// Returns the gate that decides which calls a stopping node still passes on.
    pub(crate) fn stop_gate(&self) -> &StopGate {
        &self.gate
    }

    /// Returns the budget for buffered bytes of bodies.
    pub(crate) fn body_budget(&self) -> &BodyBudget {
        &self.body_budget
    }

    /// Returns a token that is cancelled when a stop gives up the calls in flight.
    pub(crate) fn cut_token(&self) -> CancellationToken {
        self.cut.child_token()
    }

    /// Gives up the calls in flight.
    pub(crate) fn cut_calls(&self) {
        self.cut.cancel();
    }

    /// Returns a token that is cancelled after all services have stopped.
    pub(crate) fn shutdown_token(&self) -> CancellationToken {
        self.shutdown.child_token()
    }

    /// Cancels all remaining background tasks.
    pub(crate) fn cancel_tasks(&self) {
        self.shutdown.cancel();
    }

    /// Waits for the first SIGTERM or SIGINT and returns its name. From then on, SIGTERM is ignored, as
    /// supervisors may send it several times, and a second SIGINT ends the process immediately.
    ///
    /// The handlers are installed by the call itself, so signals that arrive before the first poll
    /// are not lost.
    pub(crate) fn stop_signal(&self) -> impl Future<Output = Option<&'static str>> + use<> {
        let terminate = signal(SignalKind::terminate());
        let interrupt = signal(SignalKind::interrupt());
        async move {
            let (Ok(mut terminate), Ok(mut interrupt)) = (terminate, interrupt) else {
                return None;
            };
            let first = next_signal(&mut terminate, &mut interrupt).await;
            let is_interrupted = first == StopSignal::Interrupt;
            actix_rt::spawn(watch_further_signals(terminate, interrupt, is_interrupted));
            Some(first.name())
        }
    }
}

/// Exit code when a second SIGINT ends the process.
const EXIT_INTERRUPTED: i32 = 3;

/// Signal that asks for a stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum StopSignal {
    Terminate,
    Interrupt,
}

impl StopSignal {
    fn name(self) -> &'static str {
        match self {
            Self::Terminate => "SIGTERM",
            Self::Interrupt => "SIGINT",
        }
    }
}

async fn next_signal(terminate: &mut Signal, interrupt: &mut Signal) -> StopSignal {
    tokio::select! {
        _ = terminate.recv() => StopSignal::Terminate,
        _ = interrupt.recv() => StopSignal::Interrupt,
    }
}

/// Ends the process at the second SIGINT and ignores all other signals.
async fn watch_further_signals(
    mut terminate: Signal,
    mut interrupt: Signal,
    mut is_interrupted: bool,
) {
    loop {
        let signal = next_signal(&mut terminate, &mut interrupt).await;
        if signal == StopSignal::Interrupt && is_interrupted {
            warn!("second SIGINT; ending the process immediately");
            logging::flush();
            std::process::exit(EXIT_INTERRUPTED);
        }
        is_interrupted |= signal == StopSignal::Interrupt;
        info!(signal = signal.name(); "the node is already stopping; the signal changes nothing");
    }
}

fn new_incarnation() -> Incarnation {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    let micros = now.map_or(0, |now| now.as_micros());
    Incarnation(u64::try_from(micros).unwrap_or(u64::MAX))
}
