//! Result of the convergence experiment.

use serde::Serialize;

use crate::{
    checks::{Checks, Violation},
    converge::{
        ConvergeOptions,
        delays::{Delays, quantile},
        notes::PublishedNote,
    },
    meter::ResourceUsage,
    platform::Counts,
    subcommand::Verdict,
};

/// Maximum time until an accepted note is in force.
const MAX_IN_FORCE_MS: u64 = 8_000;
/// Maximum control bytes per node and note as a multiple of the size of the note.
const MAX_NOTE_SIZE_RATIO: f64 = 1.5;
/// Header bytes per node and note allowed in addition.
const MAX_HEADER_BYTES: f64 = 512.0;
/// Maximum byte rate of an idle node, sent and received.
const MAX_IDLE_BYTES_PER_S: f64 = 1_000.0;
/// Maximum byte rate of a node while notes are published, sent and received.
const MAX_NODE_BYTES_PER_S: f64 = 15_000.0;
/// Maximum rate of platform reads of all nodes together.
const MAX_PLATFORM_READS_PER_S: usize = 2_000;
/// Maximum share of a core that a node uses.
const MAX_CPU_PERCENT: f64 = 1.0;
/// Maximum resident memory of a node.
const MAX_RSS_MB: f64 = 128.0;

/// Resource usage of a run.
pub(super) struct Cost {
    /// Usage in the idle window.
    pub(super) idle: ResourceUsage,
    /// Usage from the first note until all nodes have the last one.
    pub(super) notes: ResourceUsage,
    /// Counts of the platform, including the start of the nodes.
    pub(super) platform: Counts,
}

/// Observed behaviour of notes and nodes.
pub(super) struct Outcome {
    pub(super) start_ms: u64,
    pub(super) delays: Delays,
    pub(super) regressions: Vec<String>,
    pub(super) diverging_sequences: Vec<u64>,
    pub(super) exited: usize,
}

/// Result of the convergence experiment.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct ConvergeReport {
    pub(crate) nodes: usize,
    pub(crate) domains: usize,
    pub(crate) services: usize,
    /// Number of published notes.
    pub(crate) notes: u64,
    /// Injected fault.
    pub(crate) fault: String,
    /// Measured baseline; empty for the system itself.
    pub(crate) baseline: String,
    /// Seed of notes and faults.
    pub(crate) seed: u64,
    /// Time from the start of the nodes until all serve.
    pub(crate) start_ms: u64,
    /// Median time from publication until in force, on nodes that were reachable.
    pub(crate) p50_ms: u64,
    /// 99th percentile of the same time.
    pub(crate) p99_ms: u64,
    /// Maximum of the same time.
    pub(crate) max_ms: u64,
    /// Maximum time until in force from when a node was reachable again.
    pub(crate) after_max_ms: u64,
    /// Mean size of a note in bytes.
    pub(crate) note_bytes: f64,
    /// Control bytes per node and note above the idle rate, each byte counted once.
    pub(crate) bytes_per_node_note: f64,
    /// Bytes per second that an idle node sends and receives.
    pub(crate) idle_bytes_per_node_s: f64,
    /// Bytes per second that a node sends and receives while notes are published.
    pub(crate) bytes_per_node_s: f64,
    /// The same rate of the busiest node, from the first note until all nodes have the last one.
    pub(crate) busiest_bytes_s: f64,
    /// Peak number of reads of the platform in one second, including refused ones.
    pub(crate) platform_peak_reads_s: usize,
    /// Number of reads that the platform refused.
    pub(crate) platform_refused: u64,
    /// Mean share of a core that a node uses while notes are published.
    pub(crate) cpu_percent_per_node: f64,
    /// The same share of the node with the highest usage.
    pub(crate) cpu_percent_max: f64,
    /// Mean resident memory of a node at the end.
    pub(crate) rss_mb_per_node: f64,
    /// Resident memory of the largest node at the end.
    pub(crate) rss_mb_max: f64,
    /// Number of times that a node returned to an older sequence.
    pub(crate) regressions: usize,
    /// Number of pairs of node and accepted note for which the note was never in force.
    pub(crate) not_in_force: u64,
    /// Number of sequences at which configurations or verdicts of nodes differ.
    pub(crate) split_verdicts: usize,
    /// Number of nodes that exited by themselves.
    pub(crate) ended: usize,
    /// Failed checks.
    pub(crate) broken: Vec<Violation>,
}

impl ConvergeReport {
    pub(super) fn new(
        options: &ConvergeOptions,
        published: &[PublishedNote],
        outcome: Outcome,
        cost: &Cost,
    ) -> Self {
        let direct_ms = &outcome.delays.direct_ms;
        let bytes: usize = published.iter().map(|note| note.bytes).sum();
        let mut report = Self {
            nodes: options.nodes,
            domains: options.domains,
            services: options.services,
            notes: options.notes,
            fault: crate::arguments::value_name(&options.fault),
            baseline: options
                .baseline
                .as_ref()
                .map(crate::arguments::value_name)
                .unwrap_or_default(),
            seed: options.seed,
            start_ms: outcome.start_ms,
            p50_ms: quantile(direct_ms, 0.5),
            p99_ms: quantile(direct_ms, 0.99),
            max_ms: quantile(direct_ms, 1.0),
            after_max_ms: quantile(&outcome.delays.recovery_ms, 1.0),
            note_bytes: bytes as f64 / published.len().max(1) as f64,
            bytes_per_node_note: bytes_per_node_note(cost, published.len()),
            idle_bytes_per_node_s: cost.idle.both_ways_per_node_s(),
            bytes_per_node_s: cost.notes.both_ways_per_node_s(),
            busiest_bytes_s: cost.notes.busiest_bytes_s,
            platform_peak_reads_s: cost.platform.peak,
            platform_refused: cost.platform.refused,
            cpu_percent_per_node: cost.notes.cpu_percent,
            cpu_percent_max: cost.notes.cpu_percent_max,
            rss_mb_per_node: megabytes(cost.notes.rss),
            rss_mb_max: megabytes(cost.notes.rss_max),
            regressions: outcome.regressions.len(),
            not_in_force: outcome.delays.missing,
            split_verdicts: outcome.diverging_sequences.len(),
            ended: outcome.exited,
            broken: Vec::new(),
        };
        report.broken = report.run_checks(options, &outcome, cost).broken().to_vec();
        report
    }

    /// Returns `Passed` if no check failed.
    pub(crate) fn verdict(&self) -> Verdict {
        if self.broken.is_empty() {
            return Verdict::Passed;
        }
        Verdict::Failed
    }

    fn run_checks(&self, options: &ConvergeOptions, outcome: &Outcome, cost: &Cost) -> Checks {
        let mut checks = Checks::default();
        let has_delays =
            !outcome.delays.direct_ms.is_empty() || !outcome.delays.recovery_ms.is_empty();
        checks.expect(
            "notes-were-seen",
            has_delays,
            "no delay was measured".into(),
        );
        let slowest_ms = self.max_ms.max(self.after_max_ms);
        let seen = format!("{slowest_ms} ms");
        checks.expect("in-force-in-time", slowest_ms <= MAX_IN_FORCE_MS, seen);
        if !options.fault.replaces_nodes() {
            let limit = MAX_NOTE_SIZE_RATIO * self.note_bytes + MAX_HEADER_BYTES;
            let seen = format!("{:.0} bytes, limit {limit:.0}", self.bytes_per_node_note);
            checks.expect("note-cost", self.bytes_per_node_note <= limit, seen);
        }
        let sampled = cost.idle.sampled.min(cost.notes.sampled);
        let seen = format!("{sampled} of {} nodes", self.nodes);
        checks.expect("all-sampled", sampled == self.nodes, seen);
        let has_bytes = cost.notes.peer_bytes > 0;
        checks.expect(
            "bytes-counted",
            has_bytes,
            "no control bytes were counted".into(),
        );
        expect_at_most(
            &mut checks,
            "idle-cost",
            self.idle_bytes_per_node_s,
            MAX_IDLE_BYTES_PER_S,
        );
        expect_at_most(
            &mut checks,
            "node-bytes",
            self.bytes_per_node_s,
            MAX_NODE_BYTES_PER_S,
        );
        expect_at_most(
            &mut checks,
            "node-cpu",
            self.cpu_percent_per_node,
            MAX_CPU_PERCENT,
        );
        expect_at_most(&mut checks, "node-memory", self.rss_mb_max, MAX_RSS_MB);
        let reads = self.platform_peak_reads_s;
        let seen = format!("peak of {reads} reads in one second");
        checks.expect("platform-rate", reads <= MAX_PLATFORM_READS_PER_S, seen);
        let regressions = outcome.regressions.join("; ");
        checks.expect("never-back", self.regressions == 0, regressions);
        checks.expect_zero("all-in-force", self.not_in_force);
        let seen = format!("diverging sequences {:?}", outcome.diverging_sequences);
        checks.expect("one-verdict", outcome.diverging_sequences.is_empty(), seen);
        checks.expect_zero("nodes-run", self.ended as u64);
        checks
    }
}

fn expect_at_most(checks: &mut Checks, name: &'static str, value: f64, limit: f64) {
    let seen = format!("{value:.2}, limit {limit}");
    checks.expect(name, value <= limit, seen);
}

fn bytes_per_node_note(cost: &Cost, notes: usize) -> f64 {
    let idle = cost.idle.bytes_per_node_s();
    let above = (cost.notes.bytes_per_node_s() - idle).max(0.0);
    above * cost.notes.span.as_secs_f64() / notes.max(1) as f64
}

fn megabytes(bytes: u64) -> f64 {
    bytes as f64 / 1e6
}
