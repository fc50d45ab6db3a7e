//! Builds the reports of the admin interface from the node's view and peer status.

use std::collections::BTreeMap;

use wagtaillever_coordination::{
    DomainName, DomainReport, JoinWait, LaggardReport, NoteReport, NoteVerdict, RefusedReport,
    Sequence, SpreadReport, StatusReport, Summary, Verdict, VmName,
};

use crate::{kernel::Context, peers::PeersStatus, view::Phase, view::View};

/// Returns the status report of the node.
pub(crate) fn status_report(context: &Context, peers: &PeersStatus, digest: u64) -> StatusReport {
    let settings = context.settings();
    let view = context.view().load();
    StatusReport {
        vm: settings.vm.clone(),
        domain: settings.domain.clone(),
        region: settings.region.clone(),
        incarnation: context.incarnation(),
        phase: view.phase.as_str().into(),
        note: view.config.sequence,
        digest: format!("{digest:016x}"),
        age_ms: peers.platform_age_ms,
        highest: peers.highest.max(view.config.sequence),
        waiting: not_ready_reason(view.phase, peers).map(String::from),
        relay: peers.is_relay,
        peers: peers.neighbours.clone(),
        fleet: domain_reports(&view, peers, domain_report),
        refused: refused_reports(peers),
        orders: view.drains.iter().collect(),
    }
}

/// Returns the report on a release note.
pub(crate) fn note_report(
    view: &View,
    peers: &PeersStatus,
    note: Sequence,
    verdict: Option<Verdict>,
) -> NoteReport {
    let is_folded = note <= view.config.sequence;
    let (verdict, reason) = match verdict {
        Some(Verdict::Accepted) => (NoteVerdict::Accepted, None),
        Some(Verdict::Refused(reason)) => (NoteVerdict::Refused, Some(reason.to_string())),
        None if is_folded => (NoteVerdict::Folded, None),
        None => (NoteVerdict::Pending, None),
    };
    NoteReport {
        note,
        verdict,
        reason,
        fleet: domain_reports(view, peers, |nodes, summary| {
            spread_report(nodes, summary, note)
        }),
    }
}

/// Returns the reason why the node is not ready, or `None` if it accepts requests.
pub(crate) fn not_ready_reason(phase: Phase, peers: &PeersStatus) -> Option<&'static str> {
    match phase {
        Phase::Starting => Some("the services start"),
        Phase::Joining => Some(peers.waiting.map_or(JOINING_REASON, join_wait_reason)),
        Phase::Serving => None,
        Phase::Leaving | Phase::Stopping => Some("the node stops"),
    }
}

const JOINING_REASON: &str = "the node learns what is in force";

fn join_wait_reason(wait: JoinWait) -> &'static str {
    match wait {
        JoinWait::Behind => "a newer note is known than the one in force",
        JoinWait::Alone => "no other node answers",
        JoinWait::Parent => "a node nearer to the root of the tree is joining",
        JoinWait::Asking => "other nodes are being asked",
        JoinWait::NothingKnown => "the platform is silent and no other node knows a configuration",
        JoinWait::Settling => "what was learnt has not held for long enough",
    }
}

fn refused_reports(peers: &PeersStatus) -> Vec<RefusedReport> {
    let refused = peers.refused.iter().rev();
    let refused = refused.map(|(note, reason)| RefusedReport {
        note: *note,
        reason: reason.to_string(),
    });
    refused.collect()
}

/// Returns a report for each failure domain that is in the list of VMs or known from peers.
fn domain_reports<R>(
    view: &View,
    peers: &PeersStatus,
    report: impl Fn(u32, &Summary) -> R,
) -> BTreeMap<DomainName, R> {
    let mut listed: BTreeMap<DomainName, u32> = BTreeMap::new();
    for vm in &view.vms.vms {
        *listed.entry(vm.domain.clone()).or_default() += 1;
    }
    for domain in peers.fleet.domains.keys() {
        listed.entry(domain.clone()).or_default();
    }
    let empty = Summary::default();
    let reports = listed.into_iter().map(|(domain, nodes)| {
        let summary = peers.fleet.domains.get(&domain).unwrap_or(&empty);
        let nodes = nodes.max(summary.nodes);
        (domain, report(nodes, summary))
    });
    reports.collect()
}

fn domain_report(nodes: u32, summary: &Summary) -> DomainReport {
    DomainReport {
        nodes,
        heard: summary.nodes,
        notes: summary.versions.iter().copied().collect(),
        laggards: summary.laggards.iter().map(laggard_report).collect(),
    }
}

fn spread_report(nodes: u32, summary: &Summary, note: Sequence) -> SpreadReport {
    let laggards = summary.laggards.iter();
    SpreadReport {
        nodes,
        heard: summary.nodes,
        reached: summary.nodes_at_least(note),
        laggards: laggards
            .filter(|(_, sequence)| *sequence < note)
            .map(laggard_report)
            .collect(),
    }
}

fn laggard_report((vm, sequence): &(VmName, Sequence)) -> LaggardReport {
    LaggardReport {
        vm: vm.clone(),
        note: *sequence,
        reason: format!("it has note {sequence} in force"),
    }
}
