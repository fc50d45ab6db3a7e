//! What nodes have used up to a moment, and between two.

use std::time::{Duration, Instant};

use crate::fleet::Fleet;

/// What nodes have used up to a moment.
pub(crate) struct Reading {
    at: Instant,
    platform_bytes: u64,
    nodes: Vec<Option<NodeReading>>,
}

#[derive(Clone, Copy)]
struct NodeReading {
    at: Instant,
    started: Instant,
    cpu: Duration,
    rss: u64,
    control: Control,
}

/// Control bytes of one process, as it counts them itself.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct Control {
    received: u64,
    sent: u64,
}

/// Metric in which nodes count control bytes by direction.
const CONTROL_BYTES: &str = "control_bytes_total{";

/// What nodes have used between two moments.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct ResourceUsage {
    /// Time between the moments.
    pub(crate) span: Duration,
    /// Number of nodes.
    pub(crate) nodes: usize,
    /// Nodes that could be asked at the second moment.
    pub(crate) sampled: usize,
    /// Bytes between nodes, each counted once.
    pub(crate) peer_bytes: u64,
    /// Bytes between nodes and the platform, each counted once.
    pub(crate) platform_bytes: u64,
    /// Bytes a second of the node with the most, sent and received, over the whole time between
    /// the moments.
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
    /// Reads what the nodes of a fleet have used so far; a node that does not answer is left out.
    pub(crate) async fn of(fleet: &Fleet) -> Self {
        let vms: Vec<usize> = (0..fleet.layout().vms.len()).collect();
        let metrics = fleet.metrics(&vms).await;
        let node = |(&vm, metrics): (&usize, &Option<String>)| {
            let node = fleet.node(vm)?;
            let usage = node.usage()?;
            Some(NodeReading {
                at: Instant::now(),
                started: node.started(),
                cpu: usage.cpu,
                rss: usage.rss,
                control: Control::parse(metrics.as_ref()?),
            })
        };
        Self {
            at: Instant::now(),
            platform_bytes: fleet.platform().counts().bytes,
            nodes: vms.iter().zip(&metrics).map(node).collect(),
        }
    }

    /// Returns what was used since an earlier reading; of a node that was replaced,
    /// what its new process used since its start.
    pub(crate) fn since(&self, earlier: &Self) -> ResourceUsage {
        let span = self.at - earlier.at;
        let pairs = self.nodes.iter().zip(&earlier.nodes);
        let uses: Vec<NodeUse> = pairs
            .filter_map(|(now, then)| Some(now.as_ref()?.since(then.as_ref())))
            .collect();
        let count = uses.len().max(1);
        let cpu = uses.iter().fold(0.0, |sum, node| sum + node.cpu_percent);
        let both_ways = |node: &NodeUse| (node.control.received + node.control.sent) as f64;
        let busiest = uses.iter().map(both_ways).fold(0.0, f64::max);
        let rss: Vec<u64> = self.nodes.iter().flatten().map(|node| node.rss).collect();
        ResourceUsage {
            span,
            nodes: self.nodes.len(),
            sampled: uses.len(),
            peer_bytes: uses.iter().map(|node| node.control.received).sum(),
            platform_bytes: self.platform_bytes - earlier.platform_bytes,
            busiest_bytes_s: busiest / span.as_secs_f64(),
            cpu_percent: cpu / count as f64,
            cpu_percent_max: uses.iter().map(|node| node.cpu_percent).fold(0.0, f64::max),
            rss: rss.iter().sum::<u64>() / count as u64,
            rss_max: rss.iter().copied().max().unwrap_or(0),
        }
    }
}

struct NodeUse {
    cpu_percent: f64,
    control: Control,
}

impl NodeReading {
    fn since(&self, earlier: Option<&Self>) -> NodeUse {
        let same = earlier.filter(|then| then.started == self.started);
        let from = same.map_or(self.started, |then| then.at);
        let cpu = self.cpu - same.map_or(Duration::ZERO, |then| then.cpu);
        let before = same.map_or(Control::default(), |then| then.control);
        let seconds = (self.at - from).as_secs_f64().max(f64::MIN_POSITIVE);
        NodeUse {
            cpu_percent: cpu.as_secs_f64() / seconds * 100.0,
            control: Control {
                received: self.control.received - before.received,
                sent: self.control.sent - before.sent,
            },
        }
    }
}

impl Control {
    fn parse(metrics: &str) -> Self {
        let mut control = Self::default();
        let own = |line: &&str| line.starts_with(CONTROL_BYTES);
        for line in metrics.lines().filter(own) {
            let value = line.rsplit(' ').next().and_then(|text| text.parse().ok());
            let value: u64 = value.unwrap_or(0);
            if line.contains("direction=\"received\"") {
                control.received += value;
            } else if line.contains("direction=\"sent\"") {
                control.sent += value;
            }
        }
        control
    }
}

impl ResourceUsage {
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

#[cfg(test)]
mod tests;
