//! Forwards one direction of a connection according to the rules.

use std::{io, time::Duration};

use bytes::{Bytes, BytesMut};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::tcp::{OwnedReadHalf, OwnedWriteHalf},
    sync::mpsc,
    time::{Instant, sleep_until},
};

use crate::proxy::{Rule, SharedRules, counts::TrafficCounts, rules::Location};

/// Buffer capacity for one read.
const READ_BYTES: usize = 64 << 10;
/// Maximum number of chunks queued between reader and writer.
const QUEUE_CHUNKS: usize = 256;

/// Forwarder of one direction of a connection.
pub(super) struct Pump {
    pub(super) from: Location,
    pub(super) to: Location,
    pub(super) rules: SharedRules,
    pub(super) counts: TrafficCounts,
}

/// Reason why a direction ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum PumpEnd {
    /// The sender closed it.
    Closed,
    /// A rule or an error ended it.
    Cut,
}

struct Chunk {
    due: Instant,
    bytes: Bytes,
}

impl Pump {
    /// Forwards bytes until the direction ends.
    pub(super) async fn run(self, source: OwnedReadHalf, sink: OwnedWriteHalf) -> PumpEnd {
        let (sender, receiver) = mpsc::channel(QUEUE_CHUNKS);
        let reading = self.read(source, sender);
        let writing = self.write(receiver, sink);
        tokio::pin!(reading, writing);
        tokio::select! {
            end = &mut reading => match end {
                PumpEnd::Cut => PumpEnd::Cut,
                PumpEnd::Closed => end_of_write(writing.await),
            },
            result = &mut writing => match end_of_write(result) {
                PumpEnd::Cut => PumpEnd::Cut,
                PumpEnd::Closed => reading.await,
            },
        }
    }

    async fn read(&self, mut source: OwnedReadHalf, sender: mpsc::Sender<Chunk>) -> PumpEnd {
        let mut changes = self.rules.changes();
        let mut buffer = BytesMut::new();
        let mut total = 0_u64;
        loop {
            changes.borrow_and_update();
            let rule = self.rules.rule(self.from, self.to);
            match rule {
                Rule::Cut => return PumpEnd::Cut,
                Rule::CutAfter(limit) if total >= limit => return PumpEnd::Cut,
                Rule::HalfOpen => {
                    drop(sender);
                    return self.discard(source).await;
                }
                Rule::Hold => {
                    if changes.changed().await.is_err() {
                        return PumpEnd::Cut;
                    }
                    continue;
                }
                Rule::Pass | Rule::Delay(_) | Rule::CutAfter(_) => {}
            }
            buffer.reserve(READ_BYTES);
            let read = tokio::select! {
                biased;
                _ = changes.changed() => continue,
                read = source.read_buf(&mut buffer) => read,
            };
            let Ok(read) = read else {
                return PumpEnd::Cut;
            };
            if read == 0 {
                return self.close().await;
            }
            let mut bytes = buffer.split().freeze();
            if let Rule::CutAfter(limit) = rule {
                let left = limit.saturating_sub(total);
                bytes.truncate(usize::try_from(left).unwrap_or(usize::MAX));
            }
            total += bytes.len() as u64;
            let due = Instant::now() + delay(rule);
            if sender.send(Chunk { due, bytes }).await.is_err() {
                return PumpEnd::Cut;
            }
        }
    }

    /// Discards the sender's bytes and keeps its side of the connection open.
    async fn discard(&self, mut source: OwnedReadHalf) -> PumpEnd {
        let mut changes = self.rules.changes();
        let mut buffer = BytesMut::new();
        loop {
            changes.borrow_and_update();
            if self.rules.rule(self.from, self.to) != Rule::HalfOpen {
                return PumpEnd::Cut;
            }
            buffer.clear();
            buffer.reserve(READ_BYTES);
            let read = tokio::select! {
                biased;
                _ = changes.changed() => continue,
                read = source.read_buf(&mut buffer) => read,
            };
            if matches!(read, Ok(0) | Err(_)) {
                return PumpEnd::Cut;
            }
        }
    }

    /// Waits until the rules let the other side notice the close, and returns how to end.
    async fn close(&self) -> PumpEnd {
        let mut changes = self.rules.changes();
        loop {
            changes.borrow_and_update();
            if self.rules.rule(self.to, self.from) != Rule::HalfOpen {
                return PumpEnd::Closed;
            }
            if changes.changed().await.is_err() {
                return PumpEnd::Cut;
            }
        }
    }

    async fn write(
        &self,
        mut receiver: mpsc::Receiver<Chunk>,
        mut sink: OwnedWriteHalf,
    ) -> io::Result<()> {
        while let Some(chunk) = receiver.recv().await {
            if chunk.due > Instant::now() {
                sleep_until(chunk.due).await;
            }
            sink.write_all(&chunk.bytes).await?;
            let bytes = chunk.bytes.len();
            self.counts.count_bytes(self.from.vm, self.to.vm, bytes);
        }
        sink.shutdown().await
    }
}

fn delay(rule: Rule) -> Duration {
    match rule {
        Rule::Delay(micros) => Duration::from_micros(micros),
        _ => Duration::ZERO,
    }
}

fn end_of_write(result: io::Result<()>) -> PumpEnd {
    match result {
        Ok(()) => PumpEnd::Closed,
        Err(_) => PumpEnd::Cut,
    }
}
