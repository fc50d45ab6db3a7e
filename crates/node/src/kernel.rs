//! Micro-kernel: starts services in order, stops them in reverse order and
//! lets them find each other by name.

mod context;
mod registry;
mod service;
mod stop;
#[cfg(test)]
mod tests;

#[cfg(test)]
pub(crate) use self::tests::stop_deadline;
pub(crate) use self::{
    context::Context,
    registry::{Registry, RegistryError},
    service::{BindSnafu, Service, StartError},
    stop::stop_server,
};

use std::time::Duration;

use log::info;
use snafu::ResultExt;
use tokio::time::Instant;

use crate::error::{NodeError, StartSnafu};

/// The services of one node in the order of their start.
pub(crate) struct Kernel {
    context: Context,
    waiting: Vec<Box<dyn Service>>,
    running: Vec<Box<dyn Service>>,
}

impl Kernel {
    /// Returns a kernel without services.
    pub(crate) fn new(context: Context) -> Self {
        Self {
            context,
            waiting: Vec::new(),
            running: Vec::new(),
        }
    }

    /// Adds a service, which starts after those added before.
    pub(crate) fn add(&mut self, service: impl Service + 'static) -> &mut Self {
        self.waiting.push(Box::new(service));
        self
    }

    /// Starts all services in order.
    ///
    /// # Errors
    ///
    /// Returns the error of the first service that can't start; those that run are stopped.
    pub(crate) async fn start(&mut self) -> Result<(), NodeError> {
        for mut service in std::mem::take(&mut self.waiting) {
            let name = service.name();
            if let Err(err) = service.start(&self.context).await {
                self.stop().await;
                return Err(err).context(StartSnafu { service: name });
            }
            info!("service {name} started");
            self.running.push(service);
        }
        Ok(())
    }

    /// Stops all services in reverse order, all of them within the time of the settings.
    pub(crate) async fn stop(&mut self) {
        let limit = Duration::from_millis(self.context.settings().limits.stop_ms);
        let until = Instant::now() + limit;
        while let Some(mut service) = self.running.pop() {
            service.stop(until).await;
            info!("service {} stopped", service.name());
        }
        self.context.cancel();
    }
}
