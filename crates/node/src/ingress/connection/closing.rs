//! The end of a connection.

use std::time::Duration;

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    time::timeout,
};

use crate::ingress::connection::{close_cause::CloseCause, table::TableEntry};

/// Time for which data of the caller is discarded after the last response.
const DISCARD_TIME: Duration = Duration::from_secs(1);
/// Bytes that are discarded at most, so that the body of a refused request is not read at length.
const MAX_DISCARDED_BYTES: usize = 1 << 20;
/// Bytes that are discarded at once.
const DISCARD_BUFFER_BYTES: usize = 4 << 10;

/// A connection without requests that is being closed.
///
/// Closing a socket whose received data was not read resets the connection, and the reset can destroy the
/// last response before the caller has read it. So the node ends its own direction first and discards what
/// the caller still sends.
pub(super) struct Closing {
    stream: TcpStream,
    cause: CloseCause,
    entry: TableEntry,
}

impl Closing {
    pub(super) fn new(stream: TcpStream, cause: CloseCause, entry: TableEntry) -> Self {
        Self {
            stream,
            cause,
            entry,
        }
    }

    /// Closes the connection, at once if others need its place.
    pub(super) async fn finish(mut self) {
        if self.cause.discards_output() {
            // Otherwise the kernel keeps unsent bytes until the caller takes them.
            let _ = self.stream.set_zero_linger();
        }
        if !self.cause.is_after_response() || self.stream.shutdown().await.is_err() {
            return;
        }
        let Self { stream, entry, .. } = &mut self;
        let discarded = timeout(DISCARD_TIME, discard(stream));
        tokio::select! {
            _ = discarded => {}
            () = entry.wait_for_eviction() => {}
        }
    }
}

async fn discard(stream: &mut TcpStream) {
    let mut buffer = vec![0; DISCARD_BUFFER_BYTES];
    let mut discarded = 0;
    while discarded < MAX_DISCARDED_BYTES {
        match stream.read(&mut buffer).await {
            Ok(0) | Err(_) => return,
            Ok(count) => discarded += count,
        }
    }
}
