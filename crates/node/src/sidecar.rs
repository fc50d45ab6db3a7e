//! Service that admits and forwards calls to the upstreams of this VM.

#[cfg(test)]
mod tests;

mod active_calls;
mod admit;
mod answer;
mod call;
mod connector;
mod decide;
mod delegate;
mod execute;
mod fence;
mod forward;
mod handler;
mod headers;
mod health;
mod keys;
mod probe;
mod refuse;
mod shared;
mod statements;
mod suspects;
mod upstream;
mod upstream_setup;
mod upstreams;

use std::{rc::Rc, time::Duration};

use futures_util::future::LocalBoxFuture;
use tokio::{
    sync::broadcast::{self, error::RecvError},
    time::{MissedTickBehavior, interval, sleep},
};
use wagtaillever_coordination::SoftReport;

use crate::{
    kernel::{Context, Service, StartError, StopDeadlines},
    peers::PeersHandle,
    sidecar::{fence::FenceHandler, handler::CallHandler, shared::Shared},
    source::RegistrationCheck,
};

/// Service that admits and forwards calls to the upstreams of this VM.
#[derive(Default)]
pub(crate) struct Sidecar {
    shared: Option<Rc<Shared>>,
}

/// Interval between removals of expired withdrawn upstreams.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);
/// Interval between rounds of confirmation requests to previous owners of idempotency keys.
const HANDOVER_INTERVAL: Duration = Duration::from_millis(200);
/// Interval between registration checks while the platform does not list the upstream: a third of
/// the time for which a VM must reach the platform to count as connected by the users'
/// documentation.
const REGISTRATION_CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// Interval between health checks while no reader of the platform gets answers. A cold upstream may
/// get the load of a warm one for that long.
const OUTAGE_CHECK_INTERVAL: Duration = Duration::from_millis(300);
/// Interval between checks for queued requests that are due and for crashes to report.
const TICK_INTERVAL: Duration = Duration::from_millis(50);

impl Service for Sidecar {
    fn name(&self) -> &'static str {
        "sidecar"
    }

    fn start<'a>(&'a mut self, context: &'a Context) -> LocalBoxFuture<'a, Result<(), StartError>> {
        Box::pin(async move {
            let shared = Rc::new(Shared::new(context.clone()));
            let handler = Rc::new(CallHandler::new(Rc::clone(&shared)));
            let fences = Rc::new(FenceHandler::new(Rc::clone(&shared)));
            context.registry().publish_handler("call", handler);
            context.registry().publish_handler("fence", fences);
            actix_rt::spawn(run_maintenance(Rc::clone(&shared)));
            actix_rt::spawn(cut_calls(Rc::clone(&shared)));
            if let Ok(peers) = context.registry().find::<PeersHandle>("peers") {
                actix_rt::spawn(receive_reports(Rc::clone(&shared), peers.reports()));
                actix_rt::spawn(poll_health(Rc::clone(&shared), peers));
            }
            if let Ok(check) = context
                .registry()
                .find::<RegistrationCheck>("registrations")
            {
                actix_rt::spawn(poll_registration(Rc::clone(&shared), check));
            }
            self.shared = Some(shared);
            Ok(())
        })
    }

    fn stop(&mut self, deadlines: StopDeadlines) -> LocalBoxFuture<'_, ()> {
        Box::pin(async move {
            let Some(shared) = self.shared.take() else {
                return;
            };
            shared.drain(deadlines.answers).await;
        })
    }
}

/// Applies view changes and runs the periodic work until the node stops.
async fn run_maintenance(shared: Rc<Shared>) {
    let token = shared.context().shutdown_token();
    let mut views = shared.context().view().watch();
    let mut sweep = interval(SWEEP_INTERVAL);
    let mut handover = interval(HANDOVER_INTERVAL);
    handover.set_missed_tick_behavior(MissedTickBehavior::Skip);
    let mut tick = interval(TICK_INTERVAL);
    tick.set_missed_tick_behavior(MissedTickBehavior::Skip);
    loop {
        tokio::select! {
            () = token.cancelled() => return,
            _ = views.changed() => shared.refresh(),
            _ = tick.tick() => shared.tick(),
            _ = handover.tick() => shared.advance_handover(),
            _ = sweep.tick() => shared.sweep(),
        }
    }
}

/// Ends the calls in flight when a stop gives them up.
async fn cut_calls(shared: Rc<Shared>) {
    let cut = shared.context().cut_token();
    tokio::select! {
        () = shared.context().shutdown_token().cancelled_owned() => {}
        () = cut.cancelled() => shared.cut_calls().await,
    }
}

/// Checks the registration of this VM's upstream while the platform does not list it.
async fn poll_registration(shared: Rc<Shared>, check: RegistrationCheck) {
    let token = shared.context().shutdown_token();
    let poll = async {
        loop {
            let name = shared.unlisted_upstream().await;
            let (answer, era) = check.query(&name).await;
            shared.apply_registration_answer(answer, era);
            tokio::select! {
                () = sleep(REGISTRATION_CHECK_INTERVAL) => {}
                () = shared.listing_change() => {}
            }
        }
    };
    tokio::select! {
        () = token.cancelled() => {}
        () = poll => {}
    }
}

/// Checks whether the upstreams of this VM are cold while no reader of the platform gets answers,
/// which normally tell it.
async fn poll_health(shared: Rc<Shared>, peers: PeersHandle) {
    let token = shared.context().shutdown_token();
    let timing = shared.context().settings().limits.timing();
    let poll = async {
        loop {
            sleep(OUTAGE_CHECK_INTERVAL).await;
            let age = peers.status().platform_age_ms.map(Duration::from_millis);
            if timing.is_outdated(age) {
                let upstreams = shared.upstreams().all();
                upstreams.iter().for_each(health::start_check);
            }
        }
    };
    tokio::select! {
        () = token.cancelled() => {}
        () = poll => {}
    }
}

/// Merges the reports of other nodes until the node stops.
async fn receive_reports(shared: Rc<Shared>, mut reports: broadcast::Receiver<SoftReport>) {
    let token = shared.context().shutdown_token();
    loop {
        let report = tokio::select! {
            () = token.cancelled() => return,
            report = reports.recv() => report,
        };
        match report {
            Ok(report) => shared.suspects().merge_report(&report),
            Err(RecvError::Lagged(_)) => {}
            Err(RecvError::Closed) => return,
        }
    }
}
