//! Non-blocking log writer.

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

/// Capacity of the queue in front of a slow reader; lines beyond it are dropped and counted.
const MAX_QUEUED_LINES: usize = 4_096;
/// Maximum number of further lines that are written with one system call.
const MAX_BATCH_LINES: usize = 64;

/// Maximum time that the process waits for queued lines before it exits.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(200);
/// Interval at which a flush checks the number of queued lines.
const FLUSH_POLL_INTERVAL: Duration = Duration::from_millis(2);

/// Number of lines that are queued and not yet written.
static QUEUED_LINES: AtomicUsize = AtomicUsize::new(0);

/// Queues lines for a thread that writes them to standard output.
pub(super) struct Pipe {
    lines: SyncSender<Vec<u8>>,
    dropped: Arc<AtomicU64>,
}

/// Waits until all queued lines are written, for [`FLUSH_TIMEOUT`] at most.
pub(crate) fn flush() {
    let deadline = Instant::now() + FLUSH_TIMEOUT;
    while QUEUED_LINES.load(Ordering::Acquire) > 0 && Instant::now() < deadline {
        thread::sleep(FLUSH_POLL_INTERVAL);
    }
}

impl Pipe {
    /// Starts the log thread.
    ///
    /// # Errors
    ///
    /// Returns an error if the thread can't be started.
    pub(super) fn start() -> io::Result<Self> {
        let (lines, receiver) = sync_channel(MAX_QUEUED_LINES);
        let dropped = Arc::new(AtomicU64::new(0));
        let thread_dropped = Arc::clone(&dropped);
        thread::Builder::new()
            .name("log".into())
            .spawn(move || write_queued_lines(&receiver, &thread_dropped))?;
        Ok(Self { lines, dropped })
    }
}

impl Write for Pipe {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        QUEUED_LINES.fetch_add(1, Ordering::Release);
        match self.lines.try_send(line.to_vec()) {
            Ok(()) => {}
            Err(TrySendError::Full(_) | TrySendError::Disconnected(_)) => {
                QUEUED_LINES.fetch_sub(1, Ordering::Release);
                self.dropped.fetch_add(1, Ordering::Relaxed);
            }
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Writes queued lines until the queue is closed or standard output fails.
fn write_queued_lines(lines: &Receiver<Vec<u8>>, dropped: &AtomicU64) {
    let mut out = io::stdout();
    while let Ok(mut batch) = lines.recv() {
        let mut batch_lines = 1;
        for line in lines.try_iter().take(MAX_BATCH_LINES) {
            batch.extend_from_slice(&line);
            batch_lines += 1;
        }
        let drop_count = dropped.swap(0, Ordering::Relaxed);
        if drop_count > 0 {
            metrics::counter!("log_lines_dropped_total").increment(drop_count);
            batch.extend_from_slice(format!("{drop_count} log lines were dropped\n").as_bytes());
        }
        let result = out.write_all(&batch).and_then(|()| out.flush());
        QUEUED_LINES.fetch_sub(batch_lines, Ordering::Release);
        if result.is_err() {
            return;
        }
    }
}
