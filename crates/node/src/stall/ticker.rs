//! Shared handle of the pause detector.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use log::warn;
use parking_lot::{Mutex, MutexGuard};
use tokio_util::sync::CancellationToken;
use wagtaillever_coordination::StallDetector;

use crate::timeline::{EventKind, Timeline};

/// Interval between ticks of the pause detector.
const TICK_INTERVAL: Duration = Duration::from_millis(50);

/// Shared handle of the pause detector, usable from all threads.
#[derive(Clone)]
pub(crate) struct StallHandle {
    detector: Arc<Mutex<StallDetector>>,
    timeline: Timeline,
    is_enabled: bool,
}

impl StallHandle {
    /// Creates a handle without a recorded pause; a disabled handle never records one.
    pub(crate) fn new(timeline: Timeline, is_enabled: bool) -> Self {
        let detector = StallDetector::new(Instant::now());
        Self {
            detector: Arc::new(Mutex::new(detector)),
            timeline,
            is_enabled,
        }
    }

    /// Returns the number of pauses; if it changes between two reads, the process was paused in
    /// between.
    pub(crate) fn stall_count(&self) -> u64 {
        self.tick().stall_count()
    }

    /// Records that a message of another node or of the platform was read now.
    pub(crate) fn record_contact(&self) {
        self.tick().record_message(Instant::now());
    }

    /// Returns whether the node must not accept new requests yet.
    pub(crate) fn is_quarantined(&self) -> bool {
        self.tick().is_quarantined(Instant::now())
    }

    /// Ticks until the token is cancelled.
    pub(crate) async fn run(self, token: CancellationToken) {
        while !token.is_cancelled() {
            drop(self.tick());
            tokio::select! {
                () = token.cancelled() => {}
                () = tokio::time::sleep(TICK_INTERVAL) => {}
            }
        }
    }

    /// Ticks before every use, so that the first code to run after a pause sees the pause.
    fn tick(&self) -> MutexGuard<'_, StallDetector> {
        let mut detector = self.detector.lock();
        if self.is_enabled
            && let Some(paused) = detector.tick(Instant::now())
        {
            self.record_pause(paused);
        }
        detector
    }

    fn record_pause(&self, paused: Duration) {
        let paused_ms = u64::try_from(paused.as_millis()).unwrap_or(u64::MAX);
        warn!(paused_ms; "this process was paused");
        metrics::counter!("stalls_total").increment(1);
        self.timeline.record(EventKind::Stalled { paused_ms });
    }
}
