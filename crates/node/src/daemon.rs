//! Command line and main function of the daemon.

use std::{io, path::PathBuf, process::ExitCode, sync::Arc};

use clap::Parser;
use log::{error, info, warn};
use tokio::{
    signal::unix::{Signal, SignalKind, signal},
    time::Instant,
};

use crate::{
    admin::Admin,
    error::NodeError,
    ingress::Ingress,
    kernel::{Context, Kernel},
    lifecycle::{Lifecycle, Starting},
    logging,
    mutant::{self, Mutant},
    peers::{Peers, PeersHandle},
    quota::Quota,
    settings::{SettingOverride, Settings},
    sidecar::Sidecar,
    source::Source,
    stall::StallWatch,
    transport::Transport,
};

/// Runs one node of wagtaillever.
///
/// SIGTERM or SIGINT starts a graceful stop. Further SIGTERMs change nothing; a second SIGINT ends the
/// process immediately.
///
/// Exit codes: 0 after a graceful stop or a successful check; 1 if the node
/// could not start or failed; 2 if the arguments or settings are invalid;
/// 3 if a second SIGINT ended the process.
#[derive(Debug, Parser)]
#[command(name = "wagtailleverd", version)]
pub struct Arguments {
    /// Settings file of the node.
    #[arg(long, value_name = "FILE")]
    settings: PathBuf,
    /// Setting that replaces the value in the file, such as `limits.grace_s=10`. An empty value
    /// changes nothing. The variable holds several of them, separated by spaces.
    #[arg(
        long = "set",
        value_name = "NAME=VALUE",
        env = "WAGTAILLEVER_SET",
        value_delimiter = ' '
    )]
    overrides: Vec<SettingOverride>,
    /// Checks the settings and exits.
    #[arg(long)]
    check: bool,
}

/// Exit code for invalid settings.
const EXIT_INVALID_SETTINGS: u8 = 2;
/// Exit code for a node that can't start or fails.
const EXIT_FAILED: u8 = 1;

/// Runs the daemon and returns its exit code: 0 after a graceful stop, 2 for
/// invalid settings, 1 for any other failure.
#[must_use]
pub fn run(arguments: Arguments) -> ExitCode {
    let system = actix::System::new();
    // Installed before anything else, because the default action of the signal ends the process.
    let hangups = system.block_on(async { signal(SignalKind::hangup()) });
    let settings = match Settings::load(&arguments.settings, &arguments.overrides) {
        Ok(settings) => settings,
        Err(err) => {
            eprintln!("error: {err}");
            return ExitCode::from(EXIT_INVALID_SETTINGS);
        }
    };
    if arguments.check {
        println!("{}: settings are valid", arguments.settings.display());
        return ExitCode::SUCCESS;
    }
    let result = system.block_on(run_node(Arc::new(settings), arguments, hangups));
    if let Err(err) = &result {
        error!("{err}");
        eprintln!("error: {err}");
    }
    logging::flush();
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(_) => ExitCode::from(EXIT_FAILED),
    }
}

async fn run_node(
    settings: Arc<Settings>,
    arguments: Arguments,
    hangups: io::Result<Signal>,
) -> Result<(), NodeError> {
    let context = Context::new(settings);
    #[cfg(feature = "mutants")]
    crate::mutant::enable(&context.settings().mutants);
    logging::start(context.settings(), context.view().clone());
    match hangups {
        Ok(hangups) => {
            actix_rt::spawn(check_settings_on_hangup(
                hangups,
                arguments,
                context.clone(),
            ));
        }
        Err(err) => warn!("can't install the SIGHUP handler: {err}"),
    }
    let mut kernel = Kernel::new(context.clone());
    kernel
        .add(Admin::default())
        .add(StallWatch::default())
        .add(Transport::default())
        .add(Peers::default())
        .add(Source::default())
        .add(Quota::default())
        .add(Sidecar::default())
        .add(Ingress::default());
    let lifecycle = Lifecycle::new(&context);
    let stop = context.stop_signal();
    kernel.start().await?;
    let stop_requested_at = run_until_stopped(&context, lifecycle, stop).await?;
    if mutant::is_enabled(Mutant::AbruptStop) {
        return Ok(());
    }
    kernel.stop(stop_requested_at).await;
    Ok(())
}

/// Checks the settings file on each SIGHUP. Changes take effect at the next start, so an invalid
/// file is reported before a restart needs it.
async fn check_settings_on_hangup(mut hangups: Signal, arguments: Arguments, context: Context) {
    while hangups.recv().await.is_some() {
        match Settings::load(&arguments.settings, &arguments.overrides) {
            Ok(settings) if settings == **context.settings() => info!("settings are unchanged"),
            Ok(_) => info!("settings have changed; the changes take effect at the next start"),
            Err(err) => warn!("settings are invalid: {err}"),
        }
    }
}

/// Joins and serves until a stop is requested, then waits for the notice period and enters the
/// stop. Returns the time at which the stop was requested.
async fn run_until_stopped(
    context: &Context,
    lifecycle: Lifecycle<Starting>,
    stop: impl Future<Output = Option<&'static str>>,
) -> Result<Instant, NodeError> {
    let peers: PeersHandle = context.registry().find("peers")?;
    let lifecycle = lifecycle.enter_joining();
    tokio::pin!(stop);
    tokio::select! {
        signal = &mut stop => {
            info!(signal; "stop requested before the node accepted calls");
            lifecycle.enter_stopping();
            return Ok(Instant::now());
        }
        _ = peers.wait_until_joined() => {}
    }
    let lifecycle = lifecycle.enter_serving();
    let signal = stop.await;
    let requested_at = Instant::now();
    let lifecycle = lifecycle.enter_leaving();
    let times = context.settings().limits.stop_times();
    info!(signal, times:?; "stop requested");
    tokio::time::sleep_until(requested_at + times.notice).await;
    lifecycle.enter_stopping();
    Ok(requested_at)
}
