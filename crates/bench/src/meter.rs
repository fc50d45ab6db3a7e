//! What nodes have used up to a moment, and between two.

use std::time::{Duration, Instant};

use crate::{fleet::Fleet, proxy::Traffic};

/// What nodes have used up to a moment.
pub(crate) struct Reading {
    at: Instant,
    platform_bytes: u64,
    traffic: Vec<Traffic>,
    nodes: Vec<Option<NodeReading>>,
}

#[derive(Clone, Copy)]
struct NodeReading {
    started: Instant,
    cpu: Duration,
    rss: u64,
}

/// What nodes have used between two moments.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct Use {
    /// Time between the moments.
    pub(crate) span: Duration,
    /// Number of nodes.
    pub(crate) nodes: usize,
    /// Bytes between nodes, each counted once.
    pub(crate) peer_bytes: u64,
    /// Bytes between nodes and the platform, each counted once.
    pub(crate) platform_bytes: u64,
    /// Bytes a second of the node with the most, sent and received.
    pub(crate) busiest_bytes_s: f64,
    /// Mean share of a core of a node, in percent.
    pub(crate) cpu_percent: f64,
    /// Share of a core of the node with the most, in percent.
    pub(crate) cpu_percent_max: f64,
    /// Mean resident memory of a node at the second moment, in bytes.
    pub(crate) rss: u64,
    /// Resident memory of the largest node at the second moment, in bytes.
    pub(crate) rss_max: u64,
}

impl Reading {
    /// Reads what the nodes of a fleet have used so far.
    pub(crate) fn of(fleet: &Fleet) -> Self {
        let vms = 0..fleet.layout().vms.len();
        let node = |vm| {
            let node = fleet.node(vm)?;
            let usage = node.usage()?;
            Some(NodeReading {
                started: node.started(),
                cpu: usage.cpu,
                rss: usage.rss,
            })
        };
        let traffic = fleet.proxy().map(|proxy| proxy.counts().read());
        Self {
            at: Instant::now(),
            platform_bytes: fleet.platform().counts().bytes,
            traffic: traffic.unwrap_or_default(),
            nodes: vms.map(node).collect(),
        }
    }

    /// Returns what was used since an earlier reading; nodes that were replaced do not count.
    pub(crate) fn since(&self, earlier: &Self) -> Use {
        let span = self.at - earlier.at;
        let seconds = span.as_secs_f64();
        let traffic = || self.traffic.iter().zip(&earlier.traffic);
        let both_ways = |(now, then): (&Traffic, &Traffic)| {
            (now.received - then.received + now.sent - then.sent) as f64 / seconds
        };
        let nodes = || self.nodes.iter().zip(&earlier.nodes);
        let cpu: Vec<f64> = nodes()
            .filter_map(|(now, then)| Some((now.as_ref()?, then.as_ref()?)))
            .filter(|(now, then)| now.started == then.started)
            .map(|(now, then)| (now.cpu - then.cpu).as_secs_f64() / seconds * 100.0)
            .collect();
        let rss: Vec<u64> = self.nodes.iter().flatten().map(|node| node.rss).collect();
        Use {
            span,
            nodes: self.nodes.len(),
            peer_bytes: traffic()
                .map(|(now, then)| now.received - then.received)
                .sum(),
            platform_bytes: self.platform_bytes - earlier.platform_bytes,
            busiest_bytes_s: traffic().map(both_ways).fold(0.0, f64::max),
            cpu_percent: cpu.iter().fold(0.0, |sum, percent| sum + percent)
                / cpu.len().max(1) as f64,
            cpu_percent_max: cpu.iter().copied().fold(0.0, f64::max),
            rss: rss.iter().sum::<u64>() / rss.len().max(1) as u64,
            rss_max: rss.iter().copied().max().unwrap_or(0),
        }
    }
}

impl Use {
    /// Returns the bytes a second of a node, each byte counted once.
    pub(crate) fn bytes_per_node_s(&self) -> f64 {
        let bytes = (self.peer_bytes + self.platform_bytes) as f64;
        bytes / self.nodes.max(1) as f64 / self.span.as_secs_f64().max(f64::MIN_POSITIVE)
    }

    /// Returns the bytes a second that a node sends and receives.
    pub(crate) fn both_ways_per_node_s(&self) -> f64 {
        let bytes = (2 * self.peer_bytes + self.platform_bytes) as f64;
        bytes / self.nodes.max(1) as f64 / self.span.as_secs_f64().max(f64::MIN_POSITIVE)
    }
}
