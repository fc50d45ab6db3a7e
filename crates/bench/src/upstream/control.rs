//! Start, crash, restart and stop of a simulated upstream.

use std::{io, net::SocketAddr, time::Duration};

use actix_web::{
    App, HttpServer,
    dev::{Server, ServerHandle, Service},
    web::Data,
};
use snafu::ResultExt;
use tokio::{
    sync::{mpsc, oneshot},
    time::sleep,
};

use crate::{
    error::{BenchError, BindSnafu},
    upstream::{
        UpstreamModel, UpstreamState,
        serve::{Process, add_statements, configure, on_connect},
    },
};

/// Command to the control task of a simulated upstream.
pub(super) enum Command {
    /// Restart after a request crashed the process.
    Crash,
    /// Restart after the process crashed by overload.
    Overload,
    /// Kill the process and restart it after the given time, or never with `None`.
    Kill(Option<Duration>),
    /// Stop the process after its requests complete.
    Stop(oneshot::Sender<()>),
}

/// Handle of a running simulated upstream.
#[derive(Clone)]
pub(crate) struct Upstream {
    address: SocketAddr,
    state: UpstreamState,
    commands: mpsc::UnboundedSender<Command>,
}

impl Upstream {
    /// Starts a cold upstream.
    ///
    /// # Errors
    ///
    /// Returns an error when the address can't be bound.
    pub(crate) async fn start(
        address: SocketAddr,
        model: UpstreamModel,
        seed: u64,
    ) -> Result<Self, BenchError> {
        let state = UpstreamState::new(model, seed);
        let (commands, receiver) = mpsc::unbounded_channel();
        let upstream = Self {
            address,
            state,
            commands,
        };
        let handle = upstream.spawn_process()?;
        actix_rt::spawn(upstream.clone().control(handle, receiver));
        Ok(upstream)
    }

    /// Returns the address of the upstream.
    #[cfg(test)]
    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the state, which includes the counts.
    pub(crate) fn state(&self) -> &UpstreamState {
        &self.state
    }

    /// Kills the process and restarts it cold after `down`, or never with `None`.
    pub(crate) fn kill(&self, down: Option<Duration>) {
        let _ = self.commands.send(Command::Kill(down));
    }

    /// Stops the process after its requests complete.
    pub(crate) async fn stop(&self) {
        let (done, stopped) = oneshot::channel();
        if self.commands.send(Command::Stop(done)).is_ok() {
            let _ = stopped.await;
        }
    }

    async fn control(
        self,
        mut handle: ServerHandle,
        mut receiver: mpsc::UnboundedReceiver<Command>,
    ) {
        while let Some(command) = receiver.recv().await {
            let down = match command {
                Command::Crash => {
                    self.state.count_crash();
                    Some(self.down_time())
                }
                Command::Overload => Some(self.down_time()),
                Command::Kill(down) => down,
                Command::Stop(done) => {
                    handle.stop(true).await;
                    let _ = done.send(());
                    return;
                }
            };
            handle.stop(false).await;
            self.state.restart();
            let Some(down) = down else { return };
            sleep(down).await;
            while receiver.try_recv().is_ok_and(|command| !command.is_stop()) {}
            handle = match self.respawn_process().await {
                Some(handle) => handle,
                None => return,
            };
        }
    }

    async fn respawn_process(&self) -> Option<ServerHandle> {
        for _ in 0..BIND_ATTEMPTS {
            if let Ok(handle) = self.spawn_process() {
                return Some(handle);
            }
            sleep(BIND_DELAY).await;
        }
        None
    }

    fn down_time(&self) -> Duration {
        Duration::from_millis(self.state.model().down_ms)
    }

    fn spawn_process(&self) -> Result<ServerHandle, BenchError> {
        let process = Process {
            state: self.state.clone(),
            epoch: self.state.epoch(),
            commands: self.commands.clone(),
        };
        let server = serve(self.address, process).context(BindSnafu {
            address: self.address,
        })?;
        let handle = server.handle();
        actix_rt::spawn(server);
        Ok(handle)
    }
}

/// Number of attempts to bind the address again after a crash.
const BIND_ATTEMPTS: u32 = 50;
/// Delay between these attempts.
const BIND_DELAY: Duration = Duration::from_millis(20);
/// Maximum time for which a stop waits for requests, in seconds.
const STOP_TIMEOUT_S: u64 = 30;

impl Command {
    fn is_stop(&self) -> bool {
        matches!(self, Self::Stop(_))
    }
}

fn serve(address: SocketAddr, process: Process) -> io::Result<Server> {
    let shared = Data::new(process.clone());
    let app = move || {
        let state = shared.state.clone();
        App::new()
            .app_data(shared.clone())
            .wrap_fn(move |request, service| {
                let (state, answer) = (state.clone(), service.call(request));
                async move {
                    let mut answer = answer.await?;
                    add_statements(&state, answer.headers_mut());
                    Ok(answer)
                }
            })
            .configure(configure)
    };
    let server = HttpServer::new(app)
        .on_connect(move |io, data| on_connect(&process, io, data))
        .workers(1)
        .h1_allow_half_closed(false)
        .disable_signals()
        .shutdown_timeout(STOP_TIMEOUT_S)
        .bind(address)?;
    Ok(server.run())
}
