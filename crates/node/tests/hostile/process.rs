//! Memory and open descriptors of a process, with what its sockets hold.

use std::{collections::HashSet, fs, net::SocketAddr};

/// State of a connection in `/proc/net/tcp` whose socket listens.
const LISTENING: &str = "0A";

/// What a process uses.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Usage {
    pub(crate) resident_kb: u64,
    /// Bytes that were received and not read, in connections that wait to be accepted too, and bytes
    /// that were written and did not reach the other side.
    pub(crate) socket_kb: u64,
    pub(crate) descriptors: usize,
}

impl Usage {
    /// Returns the use of a process that listens at an address, or `None` if it has ended.
    pub(crate) fn of(process: u32, listener: SocketAddr) -> Option<Self> {
        let status = fs::read_to_string(format!("/proc/{process}/status")).ok()?;
        // A process that has ended and was not waited for yet has no such line.
        let resident = status.lines().find_map(|it| it.strip_prefix("VmRSS:"))?;
        let resident = resident.trim().trim_end_matches(" kB").parse().ok()?;
        let descriptors = fs::read_dir(format!("/proc/{process}/fd")).ok()?;
        let links: Vec<_> = descriptors
            .map_while(Result::ok)
            .map(|entry| fs::read_link(entry.path()).unwrap_or_default())
            .collect();
        let sockets = links.iter().filter_map(|link| {
            let link = link.to_str()?.strip_prefix("socket:[")?;
            link.strip_suffix(']').map(str::to_string)
        });
        Some(Self {
            resident_kb: resident,
            socket_kb: queued_bytes(&sockets.collect(), listener).div_ceil(1 << 10),
            descriptors: links.len(),
        })
    }

    /// Returns the memory of the process and of its sockets.
    pub(crate) fn memory_kb(&self) -> u64 {
        self.resident_kb + self.socket_kb
    }

    /// Returns the larger of each value.
    pub(crate) fn max(self, other: Self) -> Self {
        let larger = if self.memory_kb() < other.memory_kb() {
            other
        } else {
            self
        };
        Self {
            descriptors: self.descriptors.max(other.descriptors),
            ..larger
        }
    }

    /// Returns whether neither memory nor descriptors exceed a bound.
    pub(crate) fn is_within(self, bound: Bound) -> bool {
        self.memory_kb() <= bound.memory_kb && self.descriptors <= bound.descriptors
    }
}

/// Bound on what a process uses.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Bound {
    /// Memory of the process and of its sockets.
    pub(crate) memory_kb: u64,
    pub(crate) descriptors: usize,
}

/// Returns the bytes in the queues of sockets, and of those at the address of a listener that belong to
/// no process: they wait to be accepted, or are closed and not sent whole.
fn queued_bytes(sockets: &HashSet<String>, listener: SocketAddr) -> u64 {
    let table = fs::read_to_string("/proc/net/tcp").unwrap_or_default();
    let local = hex_address(listener);
    let rows = table.lines().skip(1).filter_map(|row| {
        let fields: Vec<_> = row.split_whitespace().collect();
        let (address, state, inode) = (*fields.get(1)?, *fields.get(3)?, *fields.get(9)?);
        let is_own = sockets.contains(inode) || (inode == "0" && address == local);
        let (sent, received) = fields.get(4)?.split_once(':')?;
        let queued = |text| u64::from_str_radix(text, 16).ok();
        (is_own && state != LISTENING).then_some(queued(sent)? + queued(received)?)
    });
    rows.sum()
}

/// Returns an IPv4 address as in `/proc/net/tcp`: the bytes in the order of the machine.
fn hex_address(address: SocketAddr) -> String {
    let SocketAddr::V4(address) = address else {
        panic!("the tests use IPv4");
    };
    let ip = u32::from_ne_bytes(address.ip().octets());
    format!("{ip:08X}:{:04X}", address.port())
}
