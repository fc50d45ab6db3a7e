//! Loopback addresses of the VMs, nodes and upstreams of a deployment.

use std::{
    net::{IpAddr, Ipv4Addr, SocketAddr},
    sync::Arc,
};

use wagtaillever_coordination::{
    Changes, DomainName, RegionName, ReleaseNote, RouteSpec, Sequence, ServiceSpec, UpstreamName,
    UpstreamSpec, VmEntry, VmList, VmName, VmState,
};

use crate::{deployment::Deployment, ports::PortBlock};

/// Second octet of the addresses of the first failure domain.
const FIRST_DOMAIN_OCTET: u8 = 10;
/// Third octet of the platform's address for a failure domain.
const PLATFORM_OCTET: u8 = 255;
/// Timeout of a call, in milliseconds.
pub(crate) const ROUTE_TIMEOUT_MS: u64 = 5_000;

/// Port offsets in the block of a run.
mod offset {
    pub(super) const CALLERS: u16 = 1;
    pub(super) const PEERS: u16 = 2;
    pub(super) const ADVERTISED: u16 = 3;
    pub(super) const ADMIN: u16 = 4;
    pub(super) const UPSTREAM: u16 = 5;
    pub(super) const PLATFORM: u16 = 6;
}

/// Addresses of everything in a deployment.
#[derive(Clone, Debug)]
pub(crate) struct Layout {
    /// VMs by index.
    pub(crate) vms: Vec<Placement>,
    /// Names of the failure domains.
    pub(crate) domains: Vec<DomainName>,
    /// Address of the platform for each failure domain.
    pub(crate) platform: Vec<SocketAddr>,
}

/// One VM with its node and its upstream.
#[derive(Clone, Debug)]
pub(crate) struct Placement {
    /// Name of the VM.
    pub(crate) vm: VmName,
    /// Index of the failure domain.
    pub(crate) domain: usize,
    /// Region of the failure domain.
    pub(crate) region: RegionName,
    /// Name of the upstream on the VM.
    pub(crate) upstream: UpstreamName,
    /// Index of the upstream's service.
    pub(crate) service: usize,
    /// Address of the VM.
    pub(crate) ip: IpAddr,
    /// Address at which the node serves callers.
    pub(crate) callers: SocketAddr,
    /// Address at which the node listens for other nodes.
    pub(crate) peers: SocketAddr,
    /// Address at which other nodes reach the node, either directly or through the proxy.
    pub(crate) advertised: SocketAddr,
    /// Address of the node's admin interface.
    pub(crate) admin: SocketAddr,
    /// Address at which the upstream listens.
    pub(crate) upstream_address: SocketAddr,
}

impl Layout {
    /// Assigns addresses for a deployment; if `is_proxied`, nodes reach each other through the
    /// proxy.
    pub(crate) fn new(deployment: &Deployment, ports: &PortBlock, is_proxied: bool) -> Self {
        let domains = deployment.domains.len();
        let mut vms: Vec<Placement> = Vec::new();
        for (service, shape) in deployment.services.iter().enumerate() {
            for number in 1..=shape.upstreams {
                let domain = vms.len() % domains;
                let domain_vms = vms.iter().filter(|vm| vm.domain == domain).count();
                let ip = vm_ip(domain, domain_vms);
                let at = |offset| SocketAddr::new(ip, ports.port(offset));
                let advertised = if is_proxied {
                    offset::ADVERTISED
                } else {
                    offset::PEERS
                };
                vms.push(Placement {
                    vm: format!("{}-{}", deployment.domains[domain], domain_vms + 1).into(),
                    domain,
                    region: deployment.region_of(domain),
                    upstream: format!("{}-{number}", shape.name).into(),
                    service,
                    ip,
                    callers: at(offset::CALLERS),
                    peers: at(offset::PEERS),
                    advertised: at(advertised),
                    admin: at(offset::ADMIN),
                    upstream_address: at(offset::UPSTREAM),
                });
            }
        }
        let platform = |domain| SocketAddr::new(platform_ip(domain), ports.port(offset::PLATFORM));
        Self {
            vms,
            domains: deployment.domains.clone(),
            platform: (0..domains).map(platform).collect(),
        }
    }

    /// Returns the name of a VM's failure domain.
    pub(crate) fn domain_of(&self, vm: &Placement) -> &DomainName {
        &self.domains[vm.domain]
    }

    /// Returns the indices of the VMs of a failure domain.
    pub(crate) fn vms_of(&self, domain: usize) -> Vec<usize> {
        let all = 0..self.vms.len();
        all.filter(|&at| self.vms[at].domain == domain).collect()
    }

    /// Returns the list of VMs as the platform publishes it.
    pub(crate) fn vm_list(&self, number: u64) -> VmList {
        let entry = |vm: &Placement| VmEntry {
            vm: vm.vm.clone(),
            domain: self.domain_of(vm).clone(),
            region: vm.region.clone(),
            address: vm.advertised,
            state: VmState::Live,
            upstreams: Vec::new(),
        };
        let vms = self.vms.iter().map(|vm| Arc::new(entry(vm))).collect();
        VmList { number, vms }
    }

    /// Returns the specification of the upstream on a VM.
    pub(crate) fn upstream(&self, deployment: &Deployment, vm: &Placement) -> UpstreamSpec {
        let shape = &deployment.services[vm.service];
        UpstreamSpec {
            name: vm.upstream.clone(),
            service: shape.name.clone(),
            vm: vm.vm.clone(),
            domain: self.domain_of(vm).clone(),
            address: vm.upstream_address,
            slots: shape.slots,
            connections: shape.connections,
            start: None,
        }
    }

    /// Returns a release note that adds all services, routes and upstreams.
    pub(crate) fn first_note(&self, deployment: &Deployment, sequence: Sequence) -> ReleaseNote {
        let services = deployment.services.iter();
        let routes = deployment.services.iter().map(|shape| {
            let name = format!("{}-route", shape.name).into();
            let service = shape.name.clone();
            RouteSpec {
                methods: shape.methods.clone(),
                ..RouteSpec::for_service(name, shape.path.clone(), service, ROUTE_TIMEOUT_MS)
            }
        });
        let upstreams = self.vms.iter().map(|vm| self.upstream(deployment, vm));
        ReleaseNote {
            note: sequence,
            summary: Some(format!("first note of {}", deployment.name)),
            services: additions(services.map(|shape| ServiceSpec::with_name(shape.name.clone()))),
            routes: additions(routes),
            upstreams: additions(upstreams),
            ..ReleaseNote::default()
        }
    }
}

fn additions<S, N>(items: impl Iterator<Item = S>) -> Changes<S, N> {
    Changes {
        add: items.map(Arc::new).collect(),
        ..Changes::default()
    }
}

fn vm_ip(domain: usize, number: usize) -> IpAddr {
    let third = octet(number);
    assert!(
        third < PLATFORM_OCTET,
        "more than {PLATFORM_OCTET} VMs in a failure domain"
    );
    Ipv4Addr::new(127, FIRST_DOMAIN_OCTET + octet(domain), third, 1).into()
}

fn platform_ip(domain: usize) -> IpAddr {
    Ipv4Addr::new(127, FIRST_DOMAIN_OCTET + octet(domain), PLATFORM_OCTET, 1).into()
}

fn octet(number: usize) -> u8 {
    u8::try_from(number).expect("deployment exceeds the loopback address range")
}
