//! Command line and run of the daemon.

use std::{path::PathBuf, process::ExitCode, sync::Arc, time::Duration};

use clap::Parser;
use log::{error, info, warn};
use tokio::signal::unix::{SignalKind, signal};

use crate::{
    admin::Admin,
    error::NodeError,
    ingress::Ingress,
    kernel::{Context, Kernel},
    lifecycle::{Lifecycle, Starting},
    logging,
    mutant::{self, Mutant},
    peers::{Peers, PeersHandle},
    settings::Settings,
    sidecar::Sidecar,
    source::Source,
    stall::StallWatch,
    transport::Transport,
};

/// Runs one node of wagtaillever.
///
/// SIGTERM or SIGINT asks for a graceful stop; a second one ends the process at once.
///
/// Exit codes: 0 after a graceful stop or a check that found no fault; 1 the
/// node could not start or failed; 2 the arguments or settings are refused;
/// 3 a second signal ended the process.
#[derive(Debug, Parser)]
#[command(name = "wagtailleverd", version)]
pub struct Arguments {
    /// Settings file.
    #[arg(long, value_name = "FILE")]
    settings: PathBuf,
    /// Checks the settings and ends.
    #[arg(long)]
    check: bool,
}

/// Exit code when the settings are refused.
const EXIT_SETTINGS: u8 = 2;
/// Exit code when the node can't start or fails.
const EXIT_FAILED: u8 = 1;

/// Runs the daemon and returns its exit code: 0 after a graceful stop, 2 for
/// settings that are refused, 1 for any other failure.
#[must_use]
pub fn run(arguments: Arguments) -> ExitCode {
    let settings = match Settings::load(&arguments.settings) {
        Ok(settings) => settings,
        Err(err) => {
            eprintln!("error: {err}");
            return ExitCode::from(EXIT_SETTINGS);
        }
    };
    if arguments.check {
        println!("{}: settings are valid", arguments.settings.display());
        return ExitCode::SUCCESS;
    }
    let ended = actix::System::new().block_on(run_node(Arc::new(settings), arguments.settings));
    if let Err(err) = &ended {
        error!("{err}");
        eprintln!("error: {err}");
    }
    logging::flush();
    match ended {
        Ok(()) => ExitCode::SUCCESS,
        Err(_) => ExitCode::from(EXIT_FAILED),
    }
}

async fn run_node(settings: Arc<Settings>, path: PathBuf) -> Result<(), NodeError> {
    let context = Context::new(settings);
    #[cfg(feature = "mutants")]
    crate::mutant::enable(&context.settings().mutants);
    logging::start(context.settings(), context.view().clone());
    let mut kernel = Kernel::new(context.clone());
    kernel
        .add(Admin::default())
        .add(StallWatch::default())
        .add(Transport::default())
        .add(Peers::default())
        .add(Source::default())
        .add(Sidecar::default())
        .add(Ingress::default());
    let lifecycle = Lifecycle::starting(&context);
    let stop = context.stop_requested();
    actix_rt::spawn(check_on_hangup(path, context.clone()));
    kernel.start().await?;
    live(&context, lifecycle, stop).await?;
    if mutant::is_enabled(Mutant::AbruptStop) {
        return Ok(());
    }
    kernel.stop().await;
    Ok(())
}

/// Checks the settings file at each SIGHUP. Its changes take effect at the next start; a file that
/// can't be used is told of before it is needed.
async fn check_on_hangup(path: PathBuf, context: Context) {
    let mut hangups = match signal(SignalKind::hangup()) {
        Ok(hangups) => hangups,
        Err(err) => {
            warn!("SIGHUP can't be handled: {err}");
            return;
        }
    };
    while hangups.recv().await.is_some() {
        match Settings::load(&path) {
            Ok(settings) if settings == **context.settings() => info!("settings are unchanged"),
            Ok(_) => info!("settings have changed; they take effect at the next start"),
            Err(err) => warn!("settings can't be used: {err}"),
        }
    }
}

/// Joins, serves and enters the stop when it is asked for.
async fn live(
    context: &Context,
    lifecycle: Lifecycle<Starting>,
    stop: impl Future<Output = ()>,
) -> Result<(), NodeError> {
    let peers: PeersHandle = context.registry().find("peers")?;
    let lifecycle = lifecycle.joining();
    tokio::pin!(stop);
    tokio::select! {
        () = &mut stop => {
            lifecycle.stopping();
            return Ok(());
        }
        _ = peers.joined() => {}
    }
    let lifecycle = lifecycle.serving();
    stop.await;
    let lifecycle = lifecycle.leaving();
    let notice = context.settings().limits.notice_ms;
    tokio::time::sleep(Duration::from_millis(notice)).await;
    lifecycle.stopping();
    Ok(())
}
