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
        };
        let name = upstream.name.clone();
        self.config.upstreams.insert(name, Arc::new(upstream));
        self
    }

    fn vm(mut self, vm: &str, domain: &str, state: VmState) -> Self {
        self.vms.vms.push(Arc::new(VmEntry {
            vm: vm.into(),
            domain: domain.into(),
            region: "r".into(),
            address: "127.0.0.1:2".parse().unwrap(),
            state,
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

    fn gives(&self, expected: &[&str]) {
        let candidates = Candidates::new(&self.config, &self.vms, &self.drains);
        let vms = candidates.of(&"s".into()).iter();
        let vms: Vec<&str> = vms.map(|c| c.upstream.vm.as_str()).collect();
        assert_eq!(vms, expected);
    }
}

fn three() -> Case {
    Case::default()
        .upstream("a1", "a")
        .upstream("a2", "a")
        .upstream("b1", "b")
        .vm("a1", "a", VmState::Live)
        .vm("b1", "b", VmState::Live)
}

#[test]
fn a_vm_that_is_not_listed_or_leaves_gets_nothing() {
    three().gives(&["a1", "b1"]);
    three().vm("a2", "a", VmState::Leaving).gives(&["a1", "b1"]);
    three()
        .vm("a2", "a", VmState::Live)
        .gives(&["a1", "a2", "b1"]);
}

#[test]
fn drained_vms_and_failure_domains_get_nothing_until_they_are_restored() {
    let domain = || DrainScope::Domain("a".into());
    let vm = || DrainScope::Vm("b1".into());
    three()
        .order(1, domain(), DrainAction::Drain)
        .gives(&["b1"]);
    three().order(1, vm(), DrainAction::Drain).gives(&["a1"]);
    three()
        .order(1, domain(), DrainAction::Drain)
        .order(2, domain(), DrainAction::Restore)
        .gives(&["a1", "b1"]);
}

#[test]
fn the_platform_s_failure_domain_counts_as_well() {
    let moved = Case::default()
        .upstream("a1", "a")
        .vm("a1", "c", VmState::Live);
    let order = DrainScope::Domain("c".into());
    moved.order(1, order, DrainAction::Drain).gives(&[]);
}
