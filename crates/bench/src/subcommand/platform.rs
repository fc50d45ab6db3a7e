//! Subcommand `platform`.

use std::net::SocketAddr;

use snafu::ResultExt;

use crate::{
    error::{BenchError, IoSnafu},
    platform::{PlatformHandle, PlatformServer, serve_control},
    subcommand::Verdict,
};

/// Arguments of `platform`.
#[derive(Debug, clap::Args)]
pub(crate) struct Platform {
    /// Listen address of the simulated platform; may be given several times.
    #[arg(long, required = true, value_name = "ADDRESS")]
    listen: Vec<SocketAddr>,
    /// Listen address of the control interface.
    #[arg(long, value_name = "ADDRESS")]
    control: SocketAddr,
    /// Maximum number of admitted calls per second.
    #[arg(long, default_value_t = 2000)]
    rate: usize,
    /// Seed of the injected faults.
    #[arg(long, default_value_t = 1)]
    seed: u64,
}

impl Platform {
    /// Serves until the process is interrupted by a signal.
    ///
    /// # Errors
    ///
    /// Returns an error if an address can't be bound.
    pub(crate) async fn run(self) -> Result<Verdict, BenchError> {
        let handle = PlatformHandle::new(self.rate, self.seed);
        let _server = PlatformServer::start(handle.clone(), &self.listen)?;
        let control = serve_control(handle, self.control)?;
        control.await.context(IoSnafu {
            what: "control interface",
        })?;
        Ok(Verdict::Passed)
    }
}
