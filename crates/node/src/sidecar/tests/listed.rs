//! Upstreams that the platform itself lists.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use assert_matches::assert_matches;
use wagtaillever_coordination::{Config, ListedUpstream, Service, VmEntry, VmList, VmState};

use super::fixture::{Fixture, Reply, config_of, get, raw_upstream};
use crate::{
    view::Phase,
    wire::{Outcome, Refusal, RefusalReason},
};

/// A sidecar whose upstream `u` stands in the platform's list.
struct Scene {
    fixture: Fixture,
    address: SocketAddr,
    number: u64,
}

impl Scene {
    async fn start(answer: &'static [u8]) -> Self {
        Self::with_service(answer, Service::with_name("s".into())).await
    }

    async fn with_service(answer: &'static [u8], service: Service) -> Self {
        let address = raw_upstream(answer).await;
        let mut config = Config::clone(&config_of(1, 4, &[]));
        config.services.insert("s".into(), Arc::new(service));
        let fixture = Fixture::node("vm-1", "protocol: store\n", Arc::new(config)).await;
        let mut scene = Self {
            fixture,
            address,
            number: 0,
        };
        scene.list(VmState::Live, true);
        scene
    }

    fn list(&mut self, state: VmState, is_there: bool) {
        self.number += 1;
        let upstream = ListedUpstream {
            name: "u".into(),
            service: "s".into(),
            address: self.address,
            slots: 4,
            started: 1,
            cold_ms: 0,
        };
        let entry = VmEntry {
            vm: "vm-1".into(),
            domain: "modica".into(),
            region: "sicily".into(),
            address: self.fixture.context.settings().peers,
            state,
            upstreams: is_there.then_some(upstream).into_iter().collect(),
        };
        let list = VmList {
            number: self.number,
            vms: vec![Arc::new(entry)],
        };
        self.fixture.context.view().set_vms(Arc::new(list));
    }

    async fn is_refused(&self, expected: RefusalReason) {
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

    /// Makes three calls that can't wait and returns which of them reached the upstream, which
    /// refuses them.
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

    async fn is_served(&self) {
        assert_matches!(self.fixture.call(get(), b"").await, Reply::Whole { .. });
    }
}

const HELLO: &[u8] = b"HTTP/1.1 200 OK\r\nrequest-id: 7\r\ncontent-length: 5\r\n\r\nhello";

#[actix_rt::test]
async fn a_listed_upstream_serves_until_it_is_gone() {
    let mut scene = Scene::start(HELLO).await;
    scene.is_served().await;
    scene.list(VmState::Live, false);
    scene.is_refused(RefusalReason::NoUpstream).await;
}

#[actix_rt::test]
async fn a_vm_that_is_listed_as_leaving_takes_no_new_work() {
    let mut scene = Scene::start(HELLO).await;
    scene.is_served().await;
    scene.list(VmState::Leaving, true);
    scene.is_refused(RefusalReason::Draining).await;
}

#[actix_rt::test]
async fn an_upstream_that_is_no_longer_listed_waits_for_the_answer_of_the_platform() {
    let mut scene = Scene::start(HELLO).await;
    scene.is_served().await;
    scene.list(VmState::Unlisted, true);
    scene.is_refused(RefusalReason::Draining).await;
    scene.list(VmState::Live, true);
    scene.is_served().await;
}

#[actix_rt::test]
async fn a_newer_configuration_elsewhere_does_not_keep_calls_from_a_listed_upstream() {
    let scene = Scene::start(HELLO).await;
    let newer = crate::wire::CallHead {
        sequence: 9,
        ..get()
    };
    assert_matches!(scene.fixture.call(newer, b"").await, Reply::Whole { .. });
}

#[actix_rt::test]
async fn a_node_that_leaves_serves_until_it_stops() {
    let scene = Scene::start(HELLO).await;
    scene.fixture.context.view().set_phase(Phase::Leaving);
    scene.is_served().await;
    scene.fixture.context.view().set_phase(Phase::Stopping);
    scene.is_refused(RefusalReason::Draining).await;
}

#[actix_rt::test]
async fn an_answer_to_another_request_is_not_passed_on() {
    const OTHER: &[u8] = b"HTTP/1.1 200 OK\r\nrequest-id: 8\r\ncontent-length: 5\r\n\r\nhello";
    let scene = Scene::start(OTHER).await;
    let reply = scene.fixture.call(get(), b"").await;
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
async fn a_refusal_of_the_upstream_proves_that_nothing_ran_and_counts_as_arrived() {
    const FULL: &[u8] = b"HTTP/1.1 503 Full\r\nrequest-id: 7\r\nnot-executed: 1\r\n\
        content-length: 0\r\n\r\n";
    let scene = Scene::start(FULL).await;
    let reply = scene.fixture.call(get(), b"").await;
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
async fn another_upstream_at_the_address_proves_that_nothing_ran() {
    const OTHER: &[u8] = b"HTTP/1.1 421 Other\r\nrequest-id: 7\r\ncontent-length: 0\r\n\r\n";
    let scene = Scene::start(OTHER).await;
    scene.is_refused(RefusalReason::NoUpstream).await;
}

/// Load pattern: a node starts beside an upstream that has just turned cold and does not answer on
/// its health, while the list still says that it is warm.
#[actix_rt::test]
async fn an_upstream_is_cold_to_a_fresh_node_until_it_tells_otherwise() {
    const FULL: &[u8] = b"HTTP/1.1 503 Full\r\nrequest-id: 7\r\nnot-executed: 1\r\n\
        content-length: 0\r\n\r\n";
    let service = Service {
        health: Some("/health".into()),
        cold_per_second: Some(1),
        cold_ms: 60_000,
        ..Service::with_name("s".into())
    };
    let scene = Scene::with_service(FULL, service).await;
    // The process before it may have used the rate of this second.
    assert_eq!(scene.arrivals().await, [false; 3]);
    tokio::time::sleep(Duration::from_secs(1)).await;
    assert_eq!(scene.arrivals().await, [true, false, false]);
}
