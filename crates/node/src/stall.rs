//! Service that detects pauses of this process.

mod ticker;

pub(crate) use self::ticker::StallHandle;

use futures_util::future::LocalBoxFuture;

use crate::kernel::{Context, Service, StartError, StopDeadlines};

/// Service that detects pauses of this process; its handle is a [`StallHandle`].
#[derive(Default)]
pub(crate) struct StallWatch {}

impl Service for StallWatch {
    fn name(&self) -> &'static str {
        "stall"
    }

    fn start<'a>(&'a mut self, context: &'a Context) -> LocalBoxFuture<'a, Result<(), StartError>> {
        Box::pin(async move {
            let timeline = context.timeline().clone();
            let stall = StallHandle::new(timeline, context.settings().policies.stall);
            context.registry().publish(self.name(), stall.clone());
            actix_rt::spawn(stall.run(context.shutdown_token()));
            Ok(())
        })
    }

    fn stop(&mut self, _deadlines: StopDeadlines) -> LocalBoxFuture<'_, ()> {
        Box::pin(async move {})
    }
}
