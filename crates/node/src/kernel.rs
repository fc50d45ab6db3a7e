//! Micro-kernel: starts the services in order, stops them in reverse order and
//! provides a registry in which they find each other by name.

mod context;
mod registry;
mod service;
mod stop;
#[cfg(test)]
mod tests;

#[cfg(test)]
pub(crate) use self::tests::stop_deadlines;
pub(crate) use self::{
    context::Context,
    registry::{Registry, RegistryError},
    service::{BindSnafu, Service, StartError},
    stop::{StopDeadlines, StopGate, stop_server},
};

use log::info;
use snafu::ResultExt;
use tokio::time::{Instant, sleep_until};

use crate::error::{NodeError, StartSnafu};

/// Services of one node in start order.
pub(crate) struct Kernel {
    context: Context,
    pending: Vec<Box<dyn Service>>,
    running: Vec<Box<dyn Service>>,
}

impl Kernel {
    /// Creates a kernel without services.
    pub(crate) fn new(context: Context) -> Self {
        Self {
            context,
            pending: Vec::new(),
            running: Vec::new(),
        }
    }

    /// Adds a service that starts after all services added earlier.
    pub(crate) fn add(&mut self, service: impl Service + 'static) -> &mut Self {
        self.pending.push(Box::new(service));
        self
    }

    /// Starts all services in order.
    ///
    /// # Errors
    ///
    /// Returns the error of the first service that can't start; running services are stopped.
    pub(crate) async fn start(&mut self) -> Result<(), NodeError> {
        for mut service in std::mem::take(&mut self.pending) {
            let name = service.name();
            if let Err(err) = service.start(&self.context).await {
                self.stop(Instant::now()).await;
                return Err(err).context(StartSnafu { service: name });
            }
            info!("service {name} started");
            self.running.push(service);
        }
        Ok(())
    }

    /// Stops all services in reverse order. They share the deadlines of a stop that was requested at
    /// `requested_at`.
    pub(crate) async fn stop(&mut self, requested_at: Instant) {
        let times = self.context.settings().limits.stop_times();
        let deadlines = StopDeadlines::new(requested_at, times);
        self.context.stop_gate().close(deadlines.calls);
        let context = self.context.clone();
        let cut = actix_rt::spawn(async move {
            sleep_until(deadlines.calls).await;
            context.cut_calls();
        });
        while let Some(mut service) = self.running.pop() {
            service.stop(deadlines).await;
            info!("service {} stopped", service.name());
        }
        cut.abort();
        let took_ms = requested_at.elapsed().as_millis() as u64;
        info!(took_ms; "all services stopped");
        self.context.cancel_tasks();
    }
}
