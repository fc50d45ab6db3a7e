//! One node as a child process.

use std::{
    fs::File,
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    time::Instant,
};

use nix::{
    sys::signal::{Signal, kill},
    unistd::Pid,
};
use snafu::ResultExt;

use crate::{
    error::{BenchError, IoSnafu},
    fleet::Usage,
};

/// Name of the daemon's binary, which stands beside the bench's.
const DAEMON: &str = "wagtailleverd";

/// One node as a child process; its end kills and reaps it.
pub(crate) struct NodeProcess {
    child: Child,
    started: Instant,
    is_paused: bool,
}

impl NodeProcess {
    /// Starts a node with its output in a log file, after what is there.
    ///
    /// # Errors
    ///
    /// Returns an error when the daemon can't be started.
    pub(crate) fn spawn(settings: &Path, log: &Path) -> Result<Self, BenchError> {
        let file = File::options().create(true).append(true).open(log);
        let file = file.with_context(|_| IoSnafu {
            what: log.display().to_string(),
        })?;
        let binary = daemon()?;
        let errors = file.try_clone().context(IoSnafu { what: "log file" })?;
        let child = Command::new(&binary)
            .arg("--settings")
            .arg(settings)
            .stdin(Stdio::null())
            .stdout(file)
            .stderr(errors)
            .spawn();
        let child = child.with_context(|_| IoSnafu {
            what: binary.display().to_string(),
        })?;
        Ok(Self {
            child,
            started: Instant::now(),
            is_paused: false,
        })
    }

    /// Returns when the process was started.
    pub(crate) fn started(&self) -> Instant {
        self.started
    }

    /// Returns whether the process ended by itself.
    pub(crate) fn has_exited(&mut self) -> bool {
        !matches!(self.child.try_wait(), Ok(None))
    }

    /// Returns the exit code, if the process ended by itself and has one.
    pub(crate) fn exit_code(&mut self) -> Option<i32> {
        self.child.try_wait().ok().flatten()?.code()
    }

    /// Returns whether the process is paused.
    pub(crate) fn is_paused(&self) -> bool {
        self.is_paused
    }

    /// Pauses the process.
    pub(crate) fn pause(&mut self) {
        self.is_paused = true;
        self.signal(Signal::SIGSTOP);
    }

    /// Lets a paused process go on.
    pub(crate) fn resume(&mut self) {
        self.is_paused = false;
        self.signal(Signal::SIGCONT);
    }

    /// Asks the process for a graceful stop.
    pub(crate) fn terminate(&self) {
        self.signal(Signal::SIGTERM);
    }

    /// Returns what the process uses, if it still runs.
    pub(crate) fn usage(&self) -> Option<Usage> {
        Usage::of(self.child.id())
    }

    /// Sends a signal; the process is not reaped yet, so its id is still its own.
    fn signal(&self, signal: Signal) {
        if let Ok(id) = i32::try_from(self.child.id()) {
            let _ = kill(Pid::from_raw(id), signal);
        }
    }
}

impl Drop for NodeProcess {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn daemon() -> Result<PathBuf, BenchError> {
    let this = std::env::current_exe().context(IoSnafu {
        what: "path of this program",
    })?;
    let beside = this.with_file_name(DAEMON);
    if beside.exists() {
        return Ok(beside);
    }
    // Test programs stand one directory below.
    let above = this.parent().and_then(Path::parent);
    Ok(above.map_or(beside, |above| above.join(DAEMON)))
}
