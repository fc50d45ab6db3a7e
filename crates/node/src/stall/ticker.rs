//! Shared handle of the detector of pauses.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use log::warn;
use parking_lot::{Mutex, MutexGuard};
use tokio_util::sync::CancellationToken;
use wagtaillever_coordination::StallDetector;

use crate::timeline::{EventKind, Timeline};

/// Pause between two ticks.
const TICK: Duration = Duration::from_millis(50);

/// Shared handle of the detector of pauses; safe to use from all threads.
#[derive(Clone)]
pub(crate) struct Stall {
    detector: Arc<Mutex<StallDetector>>,
    timeline: Timeline,
    is_enabled: bool,
}

impl Stall {
    /// Returns a handle that has seen no pause; one that is not enabled never sees any.
    pub(crate) fn new(timeline: Timeline, is_enabled: bool) -> Self {
        let detector = StallDetector::new(Instant::now());
        Self {
            detector: Arc::new(Mutex::new(detector)),
            timeline,
            is_enabled,
        }
    }

    /// Returns the number of pauses; a span in which it changes holds a pause.
    pub(crate) fn generation(&self) -> u64 {
        self.tick().stall_count()
    }

    /// Notes a message of another node or of the platform that was read now.
    pub(crate) fn heard(&self) {
        self.tick().record_message(Instant::now());
    }

    /// Returns whether the node must take no new work yet.
    pub(crate) fn is_quarantined(&self) -> bool {
        self.tick().is_quarantined(Instant::now())
    }

    /// Ticks until the token ends.
    pub(crate) async fn run(self, token: CancellationToken) {
        while !token.is_cancelled() {
            drop(self.tick());
            tokio::select! {
                () = token.cancelled() => {}
                () = tokio::time::sleep(TICK) => {}
            }
        }
    }

    /// Ticks first, because whatever runs first after a pause must know of it.
    fn tick(&self) -> MutexGuard<'_, StallDetector> {
        let mut detector = self.detector.lock();
        if self.is_enabled
            && let Some(paused) = detector.tick(Instant::now())
        {
            self.report(paused);
        }
        detector
    }

    fn report(&self, paused: Duration) {
        let paused_ms = u64::try_from(paused.as_millis()).unwrap_or(u64::MAX);
        warn!(paused_ms; "this process was paused");
        metrics::counter!("stalls_total").increment(1);
        self.timeline.record(EventKind::Stalled { paused_ms });
    }
}
