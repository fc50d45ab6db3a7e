//! Tests of upstreams listed by the platform.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use assert_matches::assert_matches;
use wagtaillever_coordination::{Config, ListedUpstream, Service, VmEntry, VmList, VmState};

use super::fixture::{Fixture, Reply, config_of, get, raw_upstream};
use crate::{
    peers::PeersHandle,
    view::Phase,
    wire::{Outcome, Refusal, RefusalReason},
};

/// Sidecar whose upstream `u` is in the platform's list.
pub(super) struct ListedFixture {
    pub(super) fixture: Fixture,
    address: SocketAddr,
    number: u64,
    started: u64,
    /// Name of the latest start of the upstream.
    pub(super) name: String,
    /// Earlier starts that are still listed under their own names.
    earlier: Vec<ListedUpstream>,
}

impl ListedFixture {
    async fn start(answer: &'static [u8]) -> Self {
        Self::with_service(answer, Service::with_name("s".into())).await
    }

    async fn with_service(answer: &'static [u8], service: Service) -> Self {
        Self::for_address(raw_upstream(answer).await, service).await
    }

    /// Starts a sidecar in front of the upstream of a service at an address.
    pub(super) async fn for_address(address: SocketAddr, service: Service) -> Self {
        Self::with_peers(address, service, None).await
    }

    /// Starts a sidecar in front of the upstream of a service while the platform answers no reader.
    pub(super) async fn with_silent_platform(address: SocketAddr, service: Service) -> Self {
        Self::with_peers(address, service, Some(PeersHandle::detached())).await
    }

    async fn with_peers(address: SocketAddr, service: Service, peers: Option<PeersHandle>) -> Self {
        let mut config = Config::clone(&config_of(1, 4, &[]));
        config.services.insert("s".into(), Arc::new(service));
        let config = Arc::new(config);
        let fixture = Fixture::with_peers("vm-1", "protocol: store\n", config, peers).await;
        let mut listed = Self {
            fixture,
            address,
            number: 0,
            started: 1,
            name: "u".into(),
            earlier: Vec::new(),
        };
        listed.set_listing(VmState::Live, true);
        listed
    }

    pub(super) fn set_listing(&mut self, state: VmState, is_listed: bool) {
        self.number += 1;
        let latest = is_listed.then(|| self.upstream());
        let entry = VmEntry {
            vm: "vm-1".into(),
            domain: "modica".into(),
            region: "sicily".into(),
            address: self.fixture.context.settings().peers,
            state,
            upstreams: self.earlier.iter().cloned().chain(latest).collect(),
        };
        let list = VmList {
            number: self.number,
            vms: vec![Arc::new(entry)],
        };
        self.fixture.context.view().set_vms(Arc::new(list));
    }

    /// Removes the VM from the list.
    fn unlist(&mut self) {
        self.number += 1;
        let list = VmList {
            number: self.number,
            vms: Vec::new(),
        };
        self.fixture.context.view().set_vms(Arc::new(list));
    }

    /// Lists a later start of the upstream.
    pub(super) fn restart_upstream(&mut self) {
        self.started += 1;
        self.set_listing(VmState::Live, true);
    }

    /// Lists a later start of the upstream under another name beside the earlier ones, whose registrations have
    /// not lapsed yet.
    pub(super) fn restart_under_other_name(&mut self) {
        self.earlier.push(self.upstream());
        self.started += 1;
        self.name = format!("u-{}", self.started);
        self.set_listing(VmState::Live, true);
    }

    fn upstream(&self) -> ListedUpstream {
        ListedUpstream {
            name: self.name.as_str().into(),
            service: "s".into(),
            address: self.address,
            slots: 4,
            started: self.started,
            cold_ms: 0,
        }
    }

    pub(super) async fn assert_refused(&self, expected: RefusalReason) {
        let reply = self.fixture.call(get(), b"").await;
        let Reply::Refused(Refusal {
            outcome,
            reason,
            is_arrived,
            ..
        }) = reply
        else {
            panic!("{reply:?}");
        };
        assert_eq!((outcome, reason), (Outcome::DidNotRun, expected));
        assert!(!is_arrived || expected == RefusalReason::Overloaded);
    }

    /// Makes three calls too short to be queued and returns which of them reached the upstream,
    /// which refuses all calls.
    async fn arrivals(&self) -> [bool; 3] {
        let mut arrived = [false; 3];
        for is_arrived in &mut arrived {
            let call = crate::wire::CallHead {
                left_ms: 100,
                ..get()
            };
            match self.fixture.call(call, b"").await {
                Reply::Refused(refusal) => *is_arrived = refusal.is_arrived,
                reply => panic!("{reply:?}"),
            }
        }
        arrived
    }

    pub(super) async fn assert_served(&self) {
        assert_matches!(self.fixture.call(get(), b"").await, Reply::Complete { .. });
    }
}

const HELLO: &[u8] = b"HTTP/1.1 200 OK\r\nrequest-id: 7\r\ncontent-length: 5\r\n\r\nhello";

#[actix_rt::test]
async fn a_listed_upstream_serves_until_it_is_no_longer_listed() {
    let mut listed = ListedFixture::start(HELLO).await;
    listed.assert_served().await;
    listed.set_listing(VmState::Live, false);
    listed.assert_refused(RefusalReason::NoUpstream).await;
}

#[actix_rt::test]
async fn a_vm_that_is_listed_as_leaving_refuses_new_calls() {
    let mut listed = ListedFixture::start(HELLO).await;
    listed.assert_served().await;
    listed.set_listing(VmState::Leaving, true);
    listed.assert_refused(RefusalReason::Draining).await;
}

/// Guards against new work for an upstream that left: a platform that is restored from an older copy
/// lists it again as it was before it said that it is leaving.
#[actix_rt::test]
async fn an_upstream_that_was_leaving_is_not_brought_back_by_a_restored_platform() {
    let mut listed = ListedFixture::start(HELLO).await;
    listed.assert_served().await;
    listed.set_listing(VmState::Leaving, true);
    listed.assert_refused(RefusalReason::Draining).await;
    listed.unlist();
    listed.assert_refused(RefusalReason::NoUpstream).await;
    listed.set_listing(VmState::Live, true);
    listed.assert_refused(RefusalReason::Draining).await;
    listed.restart_upstream();
    listed.assert_served().await;
}

#[actix_rt::test]
async fn an_unlisted_upstream_is_refused_until_the_platform_lists_it_again() {
    let mut listed = ListedFixture::start(HELLO).await;
    listed.assert_served().await;
    listed.set_listing(VmState::Unlisted, true);
    listed.assert_refused(RefusalReason::Draining).await;
    listed.set_listing(VmState::Live, true);
    listed.assert_served().await;
}

#[actix_rt::test]
async fn a_listed_upstream_serves_calls_routed_by_a_newer_configuration() {
    let listed = ListedFixture::start(HELLO).await;
    let newer = crate::wire::CallHead {
        sequence: 9,
        ..get()
    };
    assert_matches!(
        listed.fixture.call(newer, b"").await,
        Reply::Complete { .. }
    );
}

#[actix_rt::test]
async fn a_node_that_leaves_serves_until_it_stops() {
    let listed = ListedFixture::start(HELLO).await;
    listed.fixture.context.view().set_phase(Phase::Leaving);
    listed.assert_served().await;
    listed.fixture.context.view().set_phase(Phase::Stopping);
    listed.assert_refused(RefusalReason::Draining).await;
}

#[actix_rt::test]
async fn an_answer_to_another_request_is_not_forwarded() {
    const OTHER: &[u8] = b"HTTP/1.1 200 OK\r\nrequest-id: 8\r\ncontent-length: 5\r\n\r\nhello";
    let listed = ListedFixture::start(OTHER).await;
    let reply = listed.fixture.call(get(), b"").await;
    assert_matches!(
        reply,
        Reply::Refused(Refusal {
            outcome: Outcome::Unknown,
            reason: RefusalReason::BadAnswer,
            ..
        })
    );
}

#[actix_rt::test]
async fn a_refusal_by_the_upstream_means_the_request_arrived_but_did_not_run() {
    const FULL: &[u8] = b"HTTP/1.1 503 Full\r\nrequest-id: 7\r\nnot-executed: 1\r\n\
        content-length: 0\r\n\r\n";
    let listed = ListedFixture::start(FULL).await;
    let reply = listed.fixture.call(get(), b"").await;
    assert_matches!(
        reply,
        Reply::Refused(Refusal {
            outcome: Outcome::DidNotRun,
            is_arrived: true,
            ..
        })
    );
}

#[actix_rt::test]
async fn a_misdirected_request_did_not_run() {
    const OTHER: &[u8] = b"HTTP/1.1 421 Other\r\nrequest-id: 7\r\ncontent-length: 0\r\n\r\n";
    let listed = ListedFixture::start(OTHER).await;
    listed.assert_refused(RefusalReason::NoUpstream).await;
}

/// Guards against overload after a restart of the node: the upstream has just become cold and does
/// not answer health checks, while the platform still lists it as warm.
#[actix_rt::test]
async fn a_new_process_assumes_a_cold_upstream_until_it_reports_otherwise() {
    const FULL: &[u8] = b"HTTP/1.1 503 Full\r\nrequest-id: 7\r\nnot-executed: 1\r\n\
        content-length: 0\r\n\r\n";
    let service = Service {
        health: Some("/health".into()),
        cold_per_second: Some(1),
        cold_ms: 60_000,
        ..Service::with_name("s".into())
    };
    let listed = ListedFixture::with_service(FULL, service).await;
    // The previous process may have used up the cold rate of the current second.
    assert_eq!(listed.arrivals().await, [false; 3]);
    tokio::time::sleep(Duration::from_secs(1)).await;
    assert_eq!(listed.arrivals().await, [true, false, false]);
}
