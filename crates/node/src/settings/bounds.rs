//! Bounds of a process that follow from the memory and the descriptors of its machine.

use super::Limits;

/// Bounds of what a process holds at the same time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct ProcessBounds {
    /// Bytes of bodies that are buffered at the ingress and at the sidecar.
    pub(crate) body_bytes: usize,
    /// Bytes of answers that are read ahead of their callers, and of requests that are read ahead of their calls.
    pub(crate) ahead_bytes: usize,
    /// Open connections of callers.
    pub(crate) caller_connections: usize,
    /// Connections of callers that hold unread data or unsent answers.
    pub(crate) stalled_callers: usize,
    /// Open connections of other nodes.
    pub(crate) peer_connections: usize,
    /// Open connections to each upstream.
    pub(crate) upstream_connections: usize,
}

/// Share of the memory for buffered bodies. 160 MB, the smallest machine of the platform, give the
/// default of `body_bytes`.
const BODY_SHARE: f64 = 0.2;
/// Share of the memory for what is read ahead.
const AHEAD_SHARE: f64 = 0.1;
/// Largest bound of what is read ahead, and the bound where the settings do not state the memory.
const MAX_AHEAD_BYTES: usize = 16 << 20;
/// Share of the memory for connections of callers. What remains is for connections between nodes,
/// the configuration, metrics and the allocator.
const CALLER_MEMORY_SHARE: f64 = 0.4;
/// Memory of a connection of a caller: its read and write buffers and the parts of a body that are on
/// their way.
const BYTES_PER_CALLER: f64 = 32_768.0;
/// Share of the memory for connections that hold unread data or unsent answers.
const STALLED_MEMORY_SHARE: f64 = 0.3;
/// Memory of such a connection: the buffers of its socket, which the kernel makes twice as large as asked,
/// and the buffers of its requests and its answer.
const BYTES_PER_STALLED_CALLER: f64 =
    2.0 * (CALLER_RECEIVE_BYTES as f64 + CALLER_SEND_BYTES as f64) + 49_152.0;
/// Receive buffer of a connection of a caller in bytes. It bounds what the kernel holds of requests that the
/// node does not read yet, and carries 1 MB/s over a round trip of 16 ms.
pub(crate) const CALLER_RECEIVE_BYTES: u32 = 16 << 10;
/// Send buffer of a connection of a caller in bytes. It bounds what the kernel holds of answers that the
/// caller does not take, and carries 2 MB/s over a round trip of 16 ms.
pub(crate) const CALLER_SEND_BYTES: u32 = 32 << 10;
/// Receive buffer of a connection to an upstream in bytes. It bounds what the kernel holds of an answer that
/// the caller does not take.
pub(crate) const UPSTREAM_RECEIVE_BYTES: u32 = 64 << 10;
const BYTES_PER_MEGABYTE: f64 = 1_048_576.0;

/// Descriptors that a process opens for files, its listeners, its threads and the store.
const RESERVED_FDS: u32 = 200;
/// Shares of the other descriptors. The rest is for connections to other nodes, which are as many as
/// the services need, and for the admin interface.
const CALLER_FD_SHARE: f64 = 0.5;
const PEER_FD_SHARE: f64 = 0.2;
const UPSTREAM_FD_SHARE: f64 = 0.15;

/// Bounds of connections where the settings state neither memory nor descriptors.
const DEFAULT_CALLER_CONNECTIONS: usize = 4_096;
const DEFAULT_PEER_CONNECTIONS: usize = 8_192;
/// Smallest bound of connections of each kind, with which a node still serves.
const MIN_CONNECTIONS: usize = 16;
/// Smallest bound of buffered bodies: that of eight calls.
const MIN_BODY_BYTES: usize = 512 << 10;

impl Limits {
    /// Returns the bounds of the process.
    pub(crate) fn bounds(&self) -> ProcessBounds {
        let memory = self
            .memory_mb
            .map(|megabytes| f64::from(megabytes) * BYTES_PER_MEGABYTE);
        let descriptors = self.max_fds.map(|fds| fds.saturating_sub(RESERVED_FDS));
        let connections = |share: f64| {
            let of_descriptors = |fds| whole(f64::from(fds) * share).max(MIN_CONNECTIONS);
            descriptors.map_or(usize::MAX, of_descriptors)
        };
        let body_bytes = memory.map_or(usize::MAX, |bytes| {
            whole(bytes * BODY_SHARE).max(MIN_BODY_BYTES)
        });
        let callers = memory.map_or(DEFAULT_CALLER_CONNECTIONS, |bytes| {
            whole(bytes * CALLER_MEMORY_SHARE / BYTES_PER_CALLER).max(MIN_CONNECTIONS)
        });
        let stalled = memory.map_or(DEFAULT_CALLER_CONNECTIONS, |bytes| {
            whole(bytes * STALLED_MEMORY_SHARE / BYTES_PER_STALLED_CALLER).max(MIN_CONNECTIONS)
        });
        let ahead_bytes = memory.map_or(MAX_AHEAD_BYTES, |bytes| whole(bytes * AHEAD_SHARE));
        ProcessBounds {
            ahead_bytes: ahead_bytes.min(MAX_AHEAD_BYTES),
            stalled_callers: stalled.min(DEFAULT_CALLER_CONNECTIONS),
            body_bytes: body_bytes.min(self.body_bytes),
            caller_connections: callers
                .min(connections(CALLER_FD_SHARE))
                .min(DEFAULT_CALLER_CONNECTIONS),
            peer_connections: connections(PEER_FD_SHARE).min(DEFAULT_PEER_CONNECTIONS),
            upstream_connections: connections(UPSTREAM_FD_SHARE),
        }
    }
}

#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
fn whole(value: f64) -> usize {
    value as usize
}
