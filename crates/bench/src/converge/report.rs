//! Result of the experiment on notes.

use serde::Serialize;

use crate::{
    checks::{Checks, Violation},
    converge::{
        ConvergeOptions,
        notes::Published,
        times::{Times, quantile},
    },
    meter::Use,
    platform::Counts,
    subcommand::Verdict,
};

/// Longest time until an accepted note is in force, in milliseconds.
const IN_FORCE_MS: u64 = 8_000;
/// Control bytes of a node and note as a multiple of the note's size.
const NOTE_FACTOR: f64 = 1.5;
/// Bytes of heads that a node and note may cost besides.
const HEAD_BYTES: f64 = 512.0;
/// Bytes a second of an idle node, sent and received.
const IDLE_BYTES_S: f64 = 1_000.0;
/// Bytes a second of a node, sent and received.
const NODE_BYTES_S: f64 = 15_000.0;
/// Reads a second of all nodes together.
const PLATFORM_READS_S: usize = 2_000;
/// Share of a core of a node, in percent.
const CPU_PERCENT: f64 = 1.0;
/// Resident memory of a node, in megabytes.
const RSS_MB: f64 = 128.0;

/// What a run cost.
pub(super) struct Cost {
    /// In the quiet window.
    pub(super) idle: Use,
    /// From the first note until all had the last one.
    pub(super) notes: Use,
    /// What the platform counted, the start included.
    pub(super) platform: Counts,
}

/// What became of the notes and the nodes.
pub(super) struct Outcome {
    pub(super) start_ms: u64,
    pub(super) times: Times,
    pub(super) regressions: Vec<String>,
    pub(super) splits: Vec<u64>,
    pub(super) ended: usize,
}

/// Result of the experiment on notes.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct ConvergeReport {
    /// Number of nodes.
    pub(crate) nodes: usize,
    /// Number of failure domains.
    pub(crate) domains: usize,
    /// Number of services.
    pub(crate) services: usize,
    /// Number of notes.
    pub(crate) notes: u64,
    /// What was brought about.
    pub(crate) fault: String,
    /// What was measured in place of the system.
    pub(crate) baseline: String,
    /// Seed.
    pub(crate) seed: u64,
    /// Time from the start of all nodes until all served.
    pub(crate) start_ms: u64,
    /// Median time from publication until in force, of nodes that could be reached.
    pub(crate) p50_ms: u64,
    /// The same for 99 in 100.
    pub(crate) p99_ms: u64,
    /// The longest such time.
    pub(crate) max_ms: u64,
    /// Longest time from when a node could be reached again until in force.
    pub(crate) after_max_ms: u64,
    /// Mean size of a note.
    pub(crate) note_bytes: f64,
    /// Control bytes of a node and note above the idle cost, each byte counted once.
    pub(crate) bytes_per_node_note: f64,
    /// Bytes a second that an idle node sends and receives.
    pub(crate) idle_bytes_per_node_s: f64,
    /// Bytes a second that a node sends and receives while notes are published.
    pub(crate) bytes_per_node_s: f64,
    /// The same of the node with the most, over the time from the first note until all had
    /// the last one.
    pub(crate) busiest_bytes_s: f64,
    /// Most reads of the platform in any second, refused ones too.
    pub(crate) platform_peak_reads_s: usize,
    /// Reads that the platform refused.
    pub(crate) platform_refused: u64,
    /// Share of a core of a node while notes are published.
    pub(crate) cpu_percent_per_node: f64,
    /// The same of the node with the most.
    pub(crate) cpu_percent_max: f64,
    /// Resident memory of a node at the end.
    pub(crate) rss_mb_per_node: f64,
    /// The same of the largest node.
    pub(crate) rss_mb_max: f64,
    /// Times that a node went back.
    pub(crate) regressions: usize,
    /// Accepted notes not in force, counted by node and note.
    pub(crate) not_in_force: u64,
    /// Sequences at which configurations or verdicts differ.
    pub(crate) split_verdicts: usize,
    /// Nodes that ended by themselves.
    pub(crate) ended: usize,
    /// Bounds that were broken.
    pub(crate) broken: Vec<Violation>,
}

impl ConvergeReport {
    pub(super) fn new(
        options: &ConvergeOptions,
        published: &[Published],
        outcome: Outcome,
        cost: &Cost,
    ) -> Self {
        let direct = &outcome.times.direct;
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
            p50_ms: quantile(direct, 0.5),
            p99_ms: quantile(direct, 0.99),
            max_ms: quantile(direct, 1.0),
            after_max_ms: quantile(&outcome.times.after, 1.0),
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
            not_in_force: outcome.times.missing,
            split_verdicts: outcome.splits.len(),
            ended: outcome.ended,
            broken: Vec::new(),
        };
        report.broken = report.check(options, &outcome, cost).broken().to_vec();
        report
    }

    /// Returns whether all bounds hold.
    pub(crate) fn verdict(&self) -> Verdict {
        if self.broken.is_empty() {
            return Verdict::Held;
        }
        Verdict::Broken
    }

    fn check(&self, options: &ConvergeOptions, outcome: &Outcome, cost: &Cost) -> Checks {
        let mut checks = Checks::default();
        let has_times = !outcome.times.direct.is_empty() || !outcome.times.after.is_empty();
        checks.expect("notes-were-seen", has_times, "no time was measured".into());
        let slowest = self.max_ms.max(self.after_max_ms);
        let seen = format!("{slowest} ms");
        checks.expect("in-force-in-time", slowest <= IN_FORCE_MS, seen);
        if !options.fault.replaces_nodes() {
            let limit = NOTE_FACTOR * self.note_bytes + HEAD_BYTES;
            let seen = format!("{:.0} bytes, limit {limit:.0}", self.bytes_per_node_note);
            checks.expect("note-cost", self.bytes_per_node_note <= limit, seen);
        }
        let sampled = cost.idle.sampled.min(cost.notes.sampled);
        let seen = format!("{sampled} of {} nodes", self.nodes);
        checks.expect("all-sampled", sampled == self.nodes, seen);
        let counted = cost.notes.peer_bytes > 0;
        checks.expect("bytes-counted", counted, "no byte was counted".into());
        below(
            &mut checks,
            "idle-cost",
            self.idle_bytes_per_node_s,
            IDLE_BYTES_S,
        );
        below(
            &mut checks,
            "node-bytes",
            self.bytes_per_node_s,
            NODE_BYTES_S,
        );
        below(
            &mut checks,
            "node-cpu",
            self.cpu_percent_per_node,
            CPU_PERCENT,
        );
        below(&mut checks, "node-memory", self.rss_mb_max, RSS_MB);
        let reads = self.platform_peak_reads_s;
        let seen = format!("{reads} reads in a second");
        checks.expect("platform-rate", reads <= PLATFORM_READS_S, seen);
        let regressions = outcome.regressions.join("; ");
        checks.expect("never-back", self.regressions == 0, regressions);
        checks.expect_zero("all-in-force", self.not_in_force);
        let seen = format!("sequences {:?}", outcome.splits);
        checks.expect("one-verdict", outcome.splits.is_empty(), seen);
        checks.expect_zero("nodes-run", self.ended as u64);
        checks
    }
}

fn below(checks: &mut Checks, name: &'static str, value: f64, limit: f64) {
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
