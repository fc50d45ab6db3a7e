use super::*;
use crate::{
    drain::{DrainAction, DrainOrder, DrainScope},
    note::UpstreamSpec,
};

#[derive(Default)]
struct Case {
    config: Config,
    vms: VmList,
    drains: DrainList,
}

impl Case {
    fn upstream(mut self, vm: &str, domain: &str) -> Self {
        let upstream = UpstreamSpec {
            name: format!("{vm}-s").as_str().into(),
            service: "s".into(),
            vm: vm.into(),
            domain: domain.into(),
            address: "127.0.0.1:1".parse().unwrap(),
            slots: 1,
            connections: 1,
            start: None,
        };
        let name = upstream.name.clone();
        self.config.upstreams.insert(name, Arc::new(upstream));
        self
    }

    fn vm(mut self, vm: &str, domain: &str, state: VmState) -> Self {
        let port = 1_000 + self.vms.vms.len();
        self.vms.vms.push(Arc::new(VmEntry {
            vm: vm.into(),
            domain: domain.into(),
            region: "r".into(),
            address: format!("127.0.0.1:{port}").parse().unwrap(),
            state,
            upstreams: Vec::new(),
        }));
        self
    }

    fn order(mut self, number: u64, scope: DrainScope, action: DrainAction) -> Self {
        self.drains.merge(&DrainOrder {
            number,
            scope,
            action,
        });
        self
    }

    fn assert_vms(&self, expected: &[&str]) {
        let candidates = Candidates::new(&self.config, &self.vms, &self.drains);
        let vms = candidates.for_service(&"s".into()).iter();
        let vms: Vec<&str> = vms.map(|c| c.upstream.vm.as_str()).collect();
        assert_eq!(vms, expected);
    }
}

fn three_upstreams() -> Case {
    Case::default()
        .upstream("a1", "a")
        .upstream("a2", "a")
        .upstream("b1", "b")
        .vm("a1", "a", VmState::Live)
        .vm("b1", "b", VmState::Live)
}

#[test]
fn excludes_unlisted_and_leaving_vms() {
    three_upstreams().assert_vms(&["a1", "b1"]);
    three_upstreams()
        .vm("a2", "a", VmState::Leaving)
        .assert_vms(&["a1", "b1"]);
    three_upstreams()
        .vm("a2", "a", VmState::Live)
        .assert_vms(&["a1", "a2", "b1"]);
}

#[test]
fn excludes_drained_vms_and_failure_domains_until_restored() {
    let domain = || DrainScope::Domain("a".into());
    let vm = || DrainScope::Vm("b1".into());
    three_upstreams()
        .order(1, domain(), DrainAction::Drain)
        .assert_vms(&["b1"]);
    three_upstreams()
        .order(1, vm(), DrainAction::Drain)
        .assert_vms(&["a1"]);
    three_upstreams()
        .order(1, domain(), DrainAction::Drain)
        .order(2, domain(), DrainAction::Restore)
        .assert_vms(&["a1", "b1"]);
}

#[test]
fn drain_order_applies_to_the_failure_domain_listed_by_the_platform() {
    let moved = Case::default()
        .upstream("a1", "a")
        .vm("a1", "c", VmState::Live);
    let order = DrainScope::Domain("c".into());
    moved.order(1, order, DrainAction::Drain).assert_vms(&[]);
}

#[test]
fn neighbours_are_distributed_evenly_over_other_failure_domains() {
    let mut case = Case::default();
    let vms: Vec<String> = (0..120).map(|i| format!("v{i}")).collect();
    let domain = |i: usize| ["a", "b", "c"][i % 3];
    for (i, vm) in vms.iter().enumerate() {
        case = case
            .upstream(vm, domain(i))
            .vm(vm, domain(i), VmState::Live);
    }
    let candidates = Candidates::new(&case.config, &case.vms, &case.drains);
    let mut incoming: HashMap<SocketAddr, usize> = HashMap::new();
    for (i, vm) in vms.iter().enumerate() {
        let own = DomainName::from(domain(i));
        let ordered = candidates.clone().ordered_for(&vm.as_str().into(), &own);
        let chosen = ordered.neighbours(&own, 60);
        assert_eq!(chosen.len(), 60);
        let is_own = |at: &SocketAddr| usize::from(at.port() - 1_000) % 3 == i % 3;
        assert!(
            chosen[..40].iter().all(is_own),
            "sidecars in the same failure domain come first"
        );
        for address in chosen {
            *incoming.entry(address).or_default() += 1;
        }
    }
    let most = incoming.values().max().copied().unwrap();
    assert!(
        most <= 80,
        "{most} connections to one sidecar, 60 on average"
    );
}
