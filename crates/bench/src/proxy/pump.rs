//! Passes one direction of a connection on, as the rules let it.

use std::{io, time::Duration};

use bytes::{Bytes, BytesMut};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::tcp::{OwnedReadHalf, OwnedWriteHalf},
    sync::mpsc,
    time::{Instant, sleep_until},
};

use crate::proxy::{Rule, SharedRules, counts::TrafficCounts, rules::Place};

/// Bytes that are read at once.
const READ_BYTES: usize = 64 << 10;
/// Reads that are in flight between the two ends.
const IN_FLIGHT: usize = 256;

/// One direction of a connection.
pub(super) struct Pump {
    pub(super) from: Place,
    pub(super) to: Place,
    pub(super) rules: SharedRules,
    pub(super) counts: TrafficCounts,
}

/// How a direction ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Ended {
    /// The sender ended it in the regular way.
    Regular,
    /// A rule or an error cut it.
    Cut,
}

struct Chunk {
    due: Instant,
    bytes: Bytes,
}

impl Pump {
    /// Passes bytes on until the direction ends.
    pub(super) async fn run(self, source: OwnedReadHalf, sink: OwnedWriteHalf) -> Ended {
        let (sender, receiver) = mpsc::channel(IN_FLIGHT);
        let reading = self.read(source, sender);
        let writing = self.write(receiver, sink);
        tokio::pin!(reading, writing);
        tokio::select! {
            ended = &mut reading => match ended {
                Ended::Cut => Ended::Cut,
                Ended::Regular => ended_by(writing.await),
            },
            result = &mut writing => match ended_by(result) {
                Ended::Cut => Ended::Cut,
                Ended::Regular => reading.await,
            },
        }
    }

    async fn read(&self, mut source: OwnedReadHalf, sender: mpsc::Sender<Chunk>) -> Ended {
        let mut changes = self.rules.changes();
        let mut buffer = BytesMut::new();
        let mut total = 0_u64;
        loop {
            changes.borrow_and_update();
            let rule = self.rules.rule(self.from, self.to);
            match rule {
                Rule::Cut => return Ended::Cut,
                Rule::CutAfter(limit) if total >= limit => return Ended::Cut,
                Rule::HalfOpen => {
                    drop(sender);
                    return self.swallow(source).await;
                }
                Rule::Hold => {
                    if changes.changed().await.is_err() {
                        return Ended::Cut;
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
                return Ended::Cut;
            };
            if read == 0 {
                return self.end().await;
            }
            let mut bytes = buffer.split().freeze();
            if let Rule::CutAfter(limit) = rule {
                let left = limit.saturating_sub(total);
                bytes.truncate(usize::try_from(left).unwrap_or(usize::MAX));
            }
            total += bytes.len() as u64;
            let due = Instant::now() + delay(rule);
            if sender.send(Chunk { due, bytes }).await.is_err() {
                return Ended::Cut;
            }
        }
    }

    /// Discards what a sender writes that must not notice the other side's end.
    async fn swallow(&self, mut source: OwnedReadHalf) -> Ended {
        let mut changes = self.rules.changes();
        let mut buffer = BytesMut::new();
        loop {
            changes.borrow_and_update();
            if self.rules.rule(self.from, self.to) != Rule::HalfOpen {
                return Ended::Cut;
            }
            buffer.clear();
            buffer.reserve(READ_BYTES);
            let read = tokio::select! {
                biased;
                _ = changes.changed() => continue,
                read = source.read_buf(&mut buffer) => read,
            };
            if matches!(read, Ok(0) | Err(_)) {
                return Ended::Cut;
            }
        }
    }

    /// Ends in the regular way, unless the other end must not notice it yet.
    async fn end(&self) -> Ended {
        let mut changes = self.rules.changes();
        loop {
            changes.borrow_and_update();
            if self.rules.rule(self.to, self.from) != Rule::HalfOpen {
                return Ended::Regular;
            }
            if changes.changed().await.is_err() {
                return Ended::Cut;
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

fn ended_by(result: io::Result<()>) -> Ended {
    match result {
        Ok(()) => Ended::Regular,
        Err(_) => Ended::Cut,
    }
}
