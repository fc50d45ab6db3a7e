//! Timer of a connection.

use std::{
    future::Future,
    pin::Pin,
    task::{Context, Poll},
};

use tokio::time::{Instant, Sleep, sleep_until};

/// Timer that is set anew only if its time moves forward, so that a request changes no timer as a
/// rule.
pub(super) struct Timer {
    sleep: Pin<Box<Sleep>>,
    armed: Option<Instant>,
}

impl Timer {
    pub(super) fn new() -> Self {
        Self {
            sleep: Box::pin(sleep_until(Instant::now())),
            armed: None,
        }
    }

    /// Returns ready once the deadline has passed.
    pub(super) fn poll(&mut self, deadline: Instant, cx: &mut Context<'_>) -> Poll<()> {
        loop {
            if self.armed.is_none_or(|armed| armed > deadline) {
                self.sleep.as_mut().reset(deadline);
                self.armed = Some(deadline);
            }
            if self.sleep.as_mut().poll(cx).is_pending() {
                return Poll::Pending;
            }
            self.armed = None;
            if Instant::now() >= deadline {
                return Poll::Ready(());
            }
        }
    }
}
