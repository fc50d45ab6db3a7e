//! Child process of a node.

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

/// File name of the daemon's binary, in the directory of the bench's binary.
const DAEMON_FILE_NAME: &str = "wagtailleverd";

/// Child process of a node, which is killed and reaped on drop.
pub(crate) struct NodeProcess {
    child: Child,
    started: Instant,
    is_paused: bool,
}

impl NodeProcess {
    /// Starts a node whose output is appended to a log file.
    ///
    /// # Errors
    ///
    /// Returns an error when the daemon can't be started.
    pub(crate) fn spawn(settings: &Path, log: &Path) -> Result<Self, BenchError> {
        let stdout = File::options().create(true).append(true).open(log);
        let stdout = stdout.with_context(|_| IoSnafu {
            what: log.display().to_string(),
        })?;
        let binary = daemon_path()?;
        let stderr = stdout.try_clone().context(IoSnafu { what: "log file" })?;
        let child = Command::new(&binary)
            .arg("--settings")
            .arg(settings)
            .stdin(Stdio::null())
            .stdout(stdout)
            .stderr(stderr)
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

    /// Returns the start time of the process.
    pub(crate) fn started(&self) -> Instant {
        self.started
    }

    /// Returns whether the process exited.
    pub(crate) fn has_exited(&mut self) -> bool {
        !matches!(self.child.try_wait(), Ok(None))
    }

    /// Returns the exit code, unless the process still runs or was ended by a signal.
    pub(crate) fn exit_code(&mut self) -> Option<i32> {
        self.child.try_wait().ok().flatten()?.code()
    }

    /// Returns whether the process is paused.
    pub(crate) fn is_paused(&self) -> bool {
        self.is_paused
    }

    /// Pauses the process with SIGSTOP.
    pub(crate) fn pause(&mut self) {
        self.is_paused = true;
        self.signal(Signal::SIGSTOP);
    }

    /// Resumes a paused process with SIGCONT.
    pub(crate) fn resume(&mut self) {
        self.is_paused = false;
        self.signal(Signal::SIGCONT);
    }

    /// Requests a graceful stop with SIGTERM.
    pub(crate) fn terminate(&self) {
        self.signal(Signal::SIGTERM);
    }

    /// Returns the resource usage of the process, if it still runs.
    pub(crate) fn usage(&self) -> Option<Usage> {
        Usage::of(self.child.id())
    }

    /// Sends a signal; the process is not reaped yet, so its id can't belong to another one.
    pub(crate) fn signal(&self, signal: Signal) {
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

fn daemon_path() -> Result<PathBuf, BenchError> {
    let current = std::env::current_exe().context(IoSnafu {
        what: "path of the current executable",
    })?;
    let sibling = current.with_file_name(DAEMON_FILE_NAME);
    if sibling.exists() {
        return Ok(sibling);
    }
    // Test binaries are one directory below.
    let parent = current.parent().and_then(Path::parent);
    Ok(parent.map_or(sibling, |parent| parent.join(DAEMON_FILE_NAME)))
}
