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
    /// Address of the configuration service; may be given several times.
    #[arg(long, required = true, value_name = "ADDRESS")]
    listen: Vec<SocketAddr>,
    /// Address of the control interface.
    #[arg(long, value_name = "ADDRESS")]
    control: SocketAddr,
    /// Calls that are admitted in a second.
    #[arg(long, default_value_t = 2000)]
    rate: usize,
    /// Seed of the faults.
    #[arg(long, default_value_t = 1)]
    seed: u64,
}

impl Platform {
    /// Serves until the process is interrupted.
    ///
    /// # Errors
    ///
    /// Returns an error when an address can't be bound.
    pub(crate) async fn run(self) -> Result<Verdict, BenchError> {
        let handle = PlatformHandle::new(self.rate, self.seed);
        let _server = PlatformServer::start(handle.clone(), &self.listen)?;
        let control = serve_control(handle, self.control)?;
        control.await.context(IoSnafu { what: "control" })?;
        Ok(Verdict::Passed)
    }
}
