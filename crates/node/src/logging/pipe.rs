//! Writer of the log that never blocks the process.

use std::{
    io::{self, Write},
    sync::{
        Arc,
        atomic::{AtomicU64, AtomicUsize, Ordering},
        mpsc::{Receiver, SyncSender, TrySendError, sync_channel},
    },
    thread,
    time::{Duration, Instant},
};

/// Lines that wait for a slow reader; further ones are left out and counted.
const MAX_WAITING: usize = 4_096;
/// Lines that are written with one system call.
const MAX_BATCH: usize = 64;

/// Longest time for which the end of the process waits for the last lines.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(200);
/// Pause between two looks at the lines that wait.
const FLUSH_PAUSE: Duration = Duration::from_millis(2);

/// Lines that were handed over and are not written yet.
static WAITING: AtomicUsize = AtomicUsize::new(0);

/// Hands lines to a thread that writes them to standard output.
pub(super) struct Pipe {
    lines: SyncSender<Vec<u8>>,
    dropped: Arc<AtomicU64>,
}

/// Waits until all lines are written, at most for a short time.
pub(crate) fn flush() {
    let end = Instant::now() + FLUSH_TIMEOUT;
    while WAITING.load(Ordering::Acquire) > 0 && Instant::now() < end {
        thread::sleep(FLUSH_PAUSE);
    }
}

impl Pipe {
    /// Starts the thread that writes.
    ///
    /// # Errors
    ///
    /// Returns an error when the thread can't be started.
    pub(super) fn start() -> io::Result<Self> {
        let (lines, receiver) = sync_channel(MAX_WAITING);
        let dropped = Arc::new(AtomicU64::new(0));
        let counted = Arc::clone(&dropped);
        thread::Builder::new()
            .name("log".into())
            .spawn(move || write_all(&receiver, &counted))?;
        Ok(Self { lines, dropped })
    }
}

impl Write for Pipe {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        WAITING.fetch_add(1, Ordering::Release);
        match self.lines.try_send(line.to_vec()) {
            Ok(()) => {}
            Err(TrySendError::Full(_) | TrySendError::Disconnected(_)) => {
                WAITING.fetch_sub(1, Ordering::Release);
                self.dropped.fetch_add(1, Ordering::Relaxed);
            }
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Writes lines until the process ends or nobody reads them.
fn write_all(lines: &Receiver<Vec<u8>>, dropped: &AtomicU64) {
    let mut out = io::stdout();
    while let Ok(mut batch) = lines.recv() {
        let mut taken = 1;
        for line in lines.try_iter().take(MAX_BATCH) {
            batch.extend_from_slice(&line);
            taken += 1;
        }
        let lost = dropped.swap(0, Ordering::Relaxed);
        if lost > 0 {
            metrics::counter!("log_lines_dropped_total").increment(lost);
            batch.extend_from_slice(format!("{lost} log lines were dropped\n").as_bytes());
        }
        let written = out.write_all(&batch).and_then(|()| out.flush());
        WAITING.fetch_sub(taken, Ordering::Release);
        if written.is_err() {
            return;
        }
    }
}
