//! Bytes and connections forwarded by the proxy.

use std::sync::{
    Arc,
    atomic::{AtomicU64, Ordering::Relaxed},
};

/// Bytes and connections of one VM, counted by the proxy.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Traffic {
    /// Bytes forwarded to the VM.
    pub(crate) received: u64,
    /// Bytes sent by the VM and forwarded to another one.
    pub(crate) sent: u64,
    /// Number of connections opened by the VM.
    pub(crate) opened: u64,
}

/// Shared counts of all VMs, by VM index.
#[derive(Clone)]
pub(crate) struct TrafficCounts {
    vms: Arc<Vec<TrafficCell>>,
}

#[derive(Default)]
struct TrafficCell {
    received: AtomicU64,
    sent: AtomicU64,
    opened: AtomicU64,
}

impl TrafficCounts {
    /// Returns counts of zero for `vms` VMs.
    pub(crate) fn new(vms: usize) -> Self {
        let vms = (0..vms).map(|_| TrafficCell::default()).collect();
        Self { vms: Arc::new(vms) }
    }

    /// Returns the counts of each VM.
    pub(crate) fn read(&self) -> Vec<Traffic> {
        let read = |cell: &TrafficCell| Traffic {
            received: cell.received.load(Relaxed),
            sent: cell.sent.load(Relaxed),
            opened: cell.opened.load(Relaxed),
        };
        self.vms.iter().map(read).collect()
    }

    pub(super) fn count_bytes(&self, from: usize, to: usize, bytes: usize) {
        self.vms[from].sent.fetch_add(bytes as u64, Relaxed);
        self.vms[to].received.fetch_add(bytes as u64, Relaxed);
    }

    pub(super) fn count_opened(&self, vm: usize) {
        self.vms[vm].opened.fetch_add(1, Relaxed);
    }
}
