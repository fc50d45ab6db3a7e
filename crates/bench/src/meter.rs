//! Resource usage of nodes, in total and between two readings.

use std::time::{Duration, Instant};

use crate::fleet::Fleet;

/// Resource usage of nodes up to a point in time.
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
    control: ControlBytes,
}

/// Control bytes of one process, from its metrics.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct ControlBytes {
    received: u64,
    sent: u64,
}

/// Start of the metric lines with the control bytes by direction.
const CONTROL_BYTES_METRIC: &str = "control_bytes_total{";

/// Resource usage of nodes between two readings.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct ResourceUsage {
    /// Time between the readings.
    pub(crate) span: Duration,
    /// Number of nodes.
    pub(crate) nodes: usize,
    /// Number of nodes that answered at the second reading.
    pub(crate) sampled: usize,
    /// Bytes sent between nodes, each counted once.
    pub(crate) peer_bytes: u64,
    /// Bytes sent between nodes and the platform, each counted once.
    pub(crate) platform_bytes: u64,
    /// Bytes per second that the busiest node sent and received, averaged over the time between
    /// the readings.
    pub(crate) busiest_bytes_s: f64,
    /// Mean CPU usage of a node, in percent of a core.
    pub(crate) cpu_percent: f64,
    /// Highest CPU usage of a node, in percent of a core.
    pub(crate) cpu_percent_max: f64,
    /// Mean resident memory of a node at the second reading, in bytes.
    pub(crate) rss: u64,
    /// Highest resident memory of a node at the second reading, in bytes.
    pub(crate) rss_max: u64,
}

impl Reading {
    /// Reads the resource usage of the nodes of a fleet; nodes that do not answer are left out.
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
                control: ControlBytes::parse(metrics.as_ref()?),
            })
        };
        Self {
            at: Instant::now(),
            platform_bytes: fleet.platform().counts().bytes,
            nodes: vms.iter().zip(&metrics).map(node).collect(),
        }
    }

    /// Returns the usage since an earlier reading; for a node whose process was replaced, the usage
    /// of the new process since its start.
    pub(crate) fn since(&self, earlier: &Self) -> ResourceUsage {
        let span = self.at - earlier.at;
        let pairs = self.nodes.iter().zip(&earlier.nodes);
        let usages: Vec<NodeUsage> = pairs
            .filter_map(|(now, then)| Some(now.as_ref()?.since(then.as_ref())))
            .collect();
        let count = usages.len().max(1);
        let cpu = usages.iter().fold(0.0, |sum, node| sum + node.cpu_percent);
        let total_bytes = |node: &NodeUsage| (node.control.received + node.control.sent) as f64;
        let busiest = usages.iter().map(total_bytes).fold(0.0, f64::max);
        let rss: Vec<u64> = self.nodes.iter().flatten().map(|node| node.rss).collect();
        ResourceUsage {
            span,
            nodes: self.nodes.len(),
            sampled: usages.len(),
            peer_bytes: usages.iter().map(|node| node.control.received).sum(),
            platform_bytes: self.platform_bytes - earlier.platform_bytes,
            busiest_bytes_s: busiest / span.as_secs_f64(),
            cpu_percent: cpu / count as f64,
            cpu_percent_max: usages
                .iter()
                .map(|node| node.cpu_percent)
                .fold(0.0, f64::max),
            rss: rss.iter().sum::<u64>() / count as u64,
            rss_max: rss.iter().copied().max().unwrap_or(0),
        }
    }
}

struct NodeUsage {
    cpu_percent: f64,
    control: ControlBytes,
}

impl NodeReading {
    fn since(&self, earlier: Option<&Self>) -> NodeUsage {
        let same_process = earlier.filter(|then| then.started == self.started);
        let from = same_process.map_or(self.started, |then| then.at);
        let cpu = self.cpu - same_process.map_or(Duration::ZERO, |then| then.cpu);
        let before = same_process.map_or(ControlBytes::default(), |then| then.control);
        let seconds = (self.at - from).as_secs_f64().max(f64::MIN_POSITIVE);
        NodeUsage {
            cpu_percent: cpu.as_secs_f64() / seconds * 100.0,
            control: ControlBytes {
                received: self.control.received - before.received,
                sent: self.control.sent - before.sent,
            },
        }
    }
}

impl ControlBytes {
    fn parse(metrics: &str) -> Self {
        let mut control = Self::default();
        let is_control = |line: &&str| line.starts_with(CONTROL_BYTES_METRIC);
        for line in metrics.lines().filter(is_control) {
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
    /// Returns the mean bytes per second of a node, with each byte counted once.
    pub(crate) fn bytes_per_node_s(&self) -> f64 {
        let bytes = (self.peer_bytes + self.platform_bytes) as f64;
        bytes / self.nodes.max(1) as f64 / self.span.as_secs_f64().max(f64::MIN_POSITIVE)
    }

    /// Returns the mean bytes per second that a node sends and receives.
    pub(crate) fn both_ways_per_node_s(&self) -> f64 {
        let bytes = (2 * self.peer_bytes + self.platform_bytes) as f64;
        bytes / self.nodes.max(1) as f64 / self.span.as_secs_f64().max(f64::MIN_POSITIVE)
    }
}

#[cfg(test)]
mod tests;
