//! Settings files of the nodes.

use std::net::{IpAddr, SocketAddr};

use serde::Serialize;
use wagtaillever_coordination::{DomainName, RegionName, VmName};
use wagtaillever_node::Policies;

use crate::{
    fleet::options::{FleetOptions, StopLimits, TOKEN},
    layout::Layout,
};

/// Number of nodes per failure domain that other nodes list as seeds.
const SEEDS_PER_DOMAIN: usize = 2;

#[derive(Serialize)]
struct SettingsFile<'a> {
    vm: &'a VmName,
    domain: &'a DomainName,
    region: &'a RegionName,
    address: IpAddr,
    callers: SocketAddr,
    peers: SocketAddr,
    admin: SocketAddr,
    token: &'a str,
    platform: Vec<SocketAddr>,
    seeds: Vec<SocketAddr>,
    policies: &'a Policies,
    #[serde(skip_serializing_if = "<[_]>::is_empty")]
    mutants: &'a [&'static str],
    #[serde(skip_serializing_if = "Option::is_none")]
    limits: Option<StopLimits>,
    log: &'a str,
}

/// Returns the text of the settings file of a VM's node.
///
/// # Panics
///
/// Does not panic: the settings always serialise.
pub(super) fn text(layout: &Layout, vm: usize, options: &FleetOptions) -> String {
    let placement = &layout.vms[vm];
    let file = SettingsFile {
        vm: &placement.vm,
        domain: layout.domain_of(placement),
        region: &placement.region,
        address: placement.ip,
        callers: placement.callers,
        peers: placement.peers,
        admin: placement.admin,
        token: TOKEN,
        platform: vec![layout.platform[placement.domain]],
        seeds: seeds(layout, vm),
        policies: &options.policies,
        mutants: &options.mutants,
        limits: options.stop_limits,
        log: &options.log_filter,
    };
    serde_yaml_ng::to_string(&file).expect("settings serialise")
}

fn seeds(layout: &Layout, vm: usize) -> Vec<SocketAddr> {
    let domains = 0..layout.domains.len();
    let first_vms = |domain| layout.vms_of(domain).into_iter().take(SEEDS_PER_DOMAIN);
    let others = domains.flat_map(first_vms).filter(|&other| other != vm);
    others.map(|other| layout.vms[other].advertised).collect()
}
