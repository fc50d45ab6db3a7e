//! Upstreams that state in their answers what they accept.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

use actix_web::{App, HttpRequest, HttpResponse, HttpServer, web};
use assert_matches::assert_matches;
use futures_util::future::join_all;
use tokio::time::sleep;
use wagtaillever_coordination::{Service, VmState};

use super::{
    fixture::{Fixture, Reply, get},
    listed::ListedFixture,
};
use crate::wire::{CallHead, RefusalReason};

/// Upstream that adds headers to its answers and records when requests arrive.
#[derive(Clone, Default)]
struct StatingUpstream {
    state: Arc<Mutex<State>>,
}

#[derive(Default)]
struct State {
    headers: Vec<(&'static str, &'static str)>,
    /// Further headers of the answers to health checks.
    health: Vec<(&'static str, &'static str)>,
    status: u16,
    /// Arrival of each request other than health checks.
    arrivals: Vec<Instant>,
    checks: Vec<Instant>,
}

/// Time that an answer takes.
const WORK_TIME: Duration = Duration::from_millis(5);

impl StatingUpstream {
    fn start(headers: &[(&'static str, &'static str)]) -> (Self, SocketAddr) {
        let upstream = Self::default();
        upstream.state(headers);
        let shared = upstream.clone();
        let server = HttpServer::new(move || {
            let upstream = shared.clone();
            let answer = move |request: HttpRequest| upstream.clone().answer(request);
            App::new().default_service(web::to(answer))
        });
        let server = server.workers(1).bind("127.0.0.1:0").unwrap();
        let address = server.addrs()[0];
        actix_rt::spawn(server.run());
        (upstream, address)
    }

    async fn answer(self, request: HttpRequest) -> HttpResponse {
        {
            let mut state = self.state.lock().unwrap();
            let state = &mut *state;
            let times = match request.path() {
                "/health" => &mut state.checks,
                _ => &mut state.arrivals,
            };
            times.push(Instant::now());
        }
        sleep(WORK_TIME).await;
        let state = self.state.lock().unwrap();
        let status = match state.status {
            0 => 200,
            status => status,
        };
        let mut answer = HttpResponse::build(status.try_into().unwrap());
        if let Some(id) = request.headers().get("request-id") {
            answer.insert_header(("request-id", id));
        }
        let health = state.health.iter().filter(|_| request.path() == "/health");
        for &header in state.headers.iter().chain(health) {
            answer.insert_header(header);
        }
        answer.body("hello")
    }

    /// Changes the headers of all answers from now on.
    fn state(&self, headers: &[(&'static str, &'static str)]) {
        self.state.lock().unwrap().headers = headers.to_vec();
    }

    /// Changes the further headers of the answers to health checks from now on.
    fn state_in_health(&self, headers: &[(&'static str, &'static str)]) {
        self.state.lock().unwrap().health = headers.to_vec();
    }

    fn fail(&self, status: u16) {
        self.state.lock().unwrap().status = status;
    }

    fn arrivals_from(&self, start: Instant) -> usize {
        let state = self.state.lock().unwrap();
        state.arrivals.iter().filter(|at| **at >= start).count()
    }

    fn checks_from(&self, start: Instant) -> usize {
        let state = self.state.lock().unwrap();
        state.checks.iter().filter(|at| **at >= start).count()
    }
}

/// Callers that send one call after the other.
const CALLERS: usize = 6;

async fn keep_calling(listed: &ListedFixture, time: Duration) {
    let end = Instant::now() + time;
    let caller = async || {
        while Instant::now() < end {
            let call = CallHead {
                left_ms: 400,
                ..get()
            };
            listed.fixture.call(call, b"").await;
            sleep(Duration::from_millis(10)).await;
        }
    };
    join_all((0..CALLERS).map(|_| caller())).await;
}

/// Checks that an upstream got no more than a rate since `start`, and a second's worth at once.
#[track_caller]
fn assert_within(upstream: &StatingUpstream, start: Instant, rate: f64) {
    let got = upstream.arrivals_from(start);
    let allowed = rate * start.elapsed().as_secs_f64() + rate.ceil();
    assert!(got as f64 <= allowed, "{got} requests, {allowed} allowed");
}

fn checked_service() -> Service {
    Service {
        health: Some("/health".into()),
        cold_per_second: Some(1_000),
        cold_ms: 60_000,
        ..Service::with_name("s".into())
    }
}

/// Guards against incident inc1: an upstream got twice the limit that it had stated.
#[actix_rt::test]
async fn an_upstream_gets_no_more_than_the_limit_it_states() {
    let (upstream, address) = StatingUpstream::start(&[("server-limit", "5")]);
    let listed = ListedFixture::for_address(address, checked_service()).await;
    listed.assert_served().await;
    let told = Instant::now();
    keep_calling(&listed, Duration::from_secs(4)).await;
    assert_within(&upstream, told, 5.0);
    let got = upstream.arrivals_from(told);
    assert!(got >= 5, "{got} requests in 4 s");
}

/// Guards against a limit that outlives its statement, or is not followed when it changes.
#[actix_rt::test]
async fn a_stated_limit_is_followed_when_it_falls_rises_and_ends() {
    let (upstream, address) = StatingUpstream::start(&[("server-limit", "1000")]);
    let listed = ListedFixture::for_address(address, checked_service()).await;
    keep_calling(&listed, Duration::from_millis(500)).await;
    upstream.state(&[("server-limit", "2.5")]);
    listed.assert_served().await;
    let fell = Instant::now();
    keep_calling(&listed, Duration::from_secs(2)).await;
    assert_within(&upstream, fell, 2.5);
    for ended in [&[("server-limit", "1000")][..], &[]] {
        upstream.state(ended);
        keep_calling(&listed, Duration::from_secs(2)).await;
        let since = Instant::now();
        keep_calling(&listed, Duration::from_millis(500)).await;
        let got = upstream.arrivals_from(since);
        assert!(got > 8, "{got} requests in 0.5 s after the limit ended");
        upstream.state(&[("server-limit", "2.5")]);
        listed.assert_served().await;
    }
}

/// Guards against health checks in excess of a limit: the upstream takes them for requests.
#[actix_rt::test]
async fn health_checks_count_for_the_stated_limit() {
    let (upstream, address) = StatingUpstream::start(&[("server-limit", "0.5")]);
    upstream.fail(503);
    let listed = ListedFixture::for_address(address, checked_service()).await;
    let start = Instant::now();
    keep_calling(&listed, Duration::from_secs(4)).await;
    let got = upstream.checks_from(start) + upstream.arrivals_from(start);
    // One each two seconds, and a check and a call before the limit was known.
    assert!(got <= 5, "{got} requests in 4 s");
}

/// Guards against a burst from a node that was restarted beside an upstream with a limit.
#[actix_rt::test]
async fn a_new_process_waits_for_the_first_answer_before_it_sends_more() {
    let (upstream, address) = StatingUpstream::start(&[("server-limit", "1")]);
    let listed = ListedFixture::for_address(address, checked_service()).await;
    let start = Instant::now();
    keep_calling(&listed, Duration::from_millis(500)).await;
    let got = upstream.checks_from(start) + upstream.arrivals_from(start);
    assert!(got <= 2, "{got} requests before the limit could be known");
}

/// Guards against new work for an upstream that stated in an answer that it leaves.
#[actix_rt::test]
async fn an_upstream_that_states_it_is_leaving_gets_no_new_calls() {
    let (upstream, address) = StatingUpstream::start(&[]);
    let mut listed = ListedFixture::for_address(address, checked_service()).await;
    listed.assert_served().await;
    upstream.state(&[("server-leaving", "1")]);
    listed.assert_served().await;
    let told = Instant::now();
    listed.assert_refused(RefusalReason::Draining).await;
    // The platform may list the upstream again before it lists it as leaving.
    listed.set_listing(VmState::Live, false);
    listed.set_listing(VmState::Live, true);
    listed.assert_refused(RefusalReason::Draining).await;
    assert_eq!(upstream.arrivals_from(told), 0);
    // A later start of the upstream is another process.
    upstream.state(&[]);
    listed.restart_upstream();
    listed.assert_served().await;
}

/// Guards against new work for an upstream whose health checks alone tell that it leaves.
#[actix_rt::test]
async fn a_failed_health_check_tells_that_the_upstream_is_leaving() {
    let (upstream, address) = StatingUpstream::start(&[("server-leaving", "1")]);
    upstream.fail(503);
    let listed = ListedFixture::for_address(address, checked_service()).await;
    let start = Instant::now();
    while upstream.checks_from(start) == 0 {
        sleep(Duration::from_millis(5)).await;
    }
    sleep(Duration::from_millis(200)).await;
    listed.assert_refused(RefusalReason::Draining).await;
}

/// Guards against a cold upstream that is swamped although its answers tell the remaining time.
#[actix_rt::test]
async fn an_answer_that_states_a_cold_time_limits_the_next_calls() {
    let (upstream, address) = StatingUpstream::start(&[]);
    let service = Service {
        cold_per_second: Some(2),
        cold_ms: 0,
        ..Service::with_name("s".into())
    };
    let listed = ListedFixture::for_address(address, service).await;
    listed.assert_served().await;
    upstream.state(&[("cold-ms", "30000")]);
    listed.assert_served().await;
    let told = Instant::now();
    keep_calling(&listed, Duration::from_secs(2)).await;
    assert_within(&upstream, told, 2.0);
}

/// Guards against a cold upstream that is swamped because only the platform tells that it is cold, and
/// no reader gets answers.
#[actix_rt::test]
async fn an_upstream_that_turns_cold_is_limited_while_the_platform_is_silent() {
    let (upstream, address) = StatingUpstream::start(&[]);
    let service = Service {
        health: Some("/health".into()),
        cold_per_second: Some(5),
        cold_ms: 0,
        ..Service::with_name("s".into())
    };
    let start = Instant::now();
    let listed = ListedFixture::with_silent_platform(address, service).await;
    listed.assert_served().await;
    while upstream.checks_from(start) == 0 {
        sleep(Duration::from_millis(5)).await;
    }
    sleep(Duration::from_millis(100)).await;
    upstream.state_in_health(&[("cold-ms", "30000")]);
    sleep(Duration::from_secs(1)).await;
    let cold = Instant::now();
    keep_calling(&listed, Duration::from_secs(2)).await;
    assert_within(&upstream, cold, 5.0);
}

/// Guards against a cold upstream that is swamped when calls return to it: chaos seed 9101, where an
/// upstream crashed with seven requests in flight 15 s after it had stated that it is leaving.
#[actix_rt::test]
async fn an_upstream_that_left_starts_slowly_when_it_returns() {
    let (upstream, address) = StatingUpstream::start(&[]);
    let fixture = Fixture::with_settings(address, "policies: {adaptive: false}", 4).await;
    let limit = || {
        let shared = fixture.sidecar.shared.as_ref().unwrap();
        shared.refresh();
        let upstream = shared.upstreams().get("u").unwrap();
        upstream.admission().borrow().limit()
    };
    while limit() < 4 {
        let calls = (0..4).map(|_| fixture.call(get(), b""));
        join_all(calls).await;
    }
    upstream.state(&[("x-leaving", "1")]);
    let reply = fixture.call(get(), b"").await;
    assert_matches!(reply, Reply::Complete { status: 200, .. });
    assert_eq!(limit(), 1);
}

/// An upstream that restarted under its name got its cold rate once more within the same second, and
/// crashed.
#[actix_rt::test]
async fn an_upstream_that_restarts_under_its_name_gets_its_cold_rate_once() {
    const RATE: u32 = 8;
    let (upstream, address) = StatingUpstream::start(&[]);
    let service = Service {
        cold_per_second: Some(RATE),
        cold_ms: 60_000,
        ..Service::with_name("s".into())
    };
    let start = Instant::now();
    let mut listed = ListedFixture::for_address(address, service).await;
    for _ in 0..8 {
        keep_calling(&listed, Duration::from_millis(250)).await;
        listed.restart_upstream();
    }
    assert_within(&upstream, start, RATE.into());
    let is_used = upstream.arrivals_from(start) > RATE as usize;
    assert!(is_used, "the upstream gets requests after its restarts");
}

/// The same for the limit that the upstream states in its answers.
#[actix_rt::test]
async fn an_upstream_that_restarts_under_its_name_gets_its_stated_limit_once() {
    const LIMIT: f64 = 8.0;
    let (upstream, address) = StatingUpstream::start(&[("server-limit", "8")]);
    let service = Service::with_name("s".into());
    let mut listed = ListedFixture::for_address(address, service).await;
    listed.assert_served().await;
    let start = Instant::now();
    for _ in 0..8 {
        keep_calling(&listed, Duration::from_millis(250)).await;
        listed.restart_upstream();
    }
    assert_within(&upstream, start, LIMIT);
    assert!(upstream.arrivals_from(start) > LIMIT as usize);
}

/// An upstream that restarted under another name at its address got its cold rate once more within the same
/// second, and calls under its earlier name beside.
#[actix_rt::test]
async fn an_upstream_that_restarts_under_another_name_gets_its_cold_rate_once() {
    const RATE: u32 = 8;
    let (upstream, address) = StatingUpstream::start(&[]);
    let service = Service {
        cold_per_second: Some(RATE),
        cold_ms: 60_000,
        ..Service::with_name("s".into())
    };
    let start = Instant::now();
    let mut listed = ListedFixture::for_address(address, service).await;
    let mut names = vec![listed.name.clone()];
    for _ in 0..8 {
        let calls = names.iter().map(|name| call_repeatedly(&listed, name));
        join_all(calls).await;
        listed.restart_under_other_name();
        names.push(listed.name.clone());
    }
    assert_within(&upstream, start, RATE.into());
    let is_used = upstream.arrivals_from(start) > RATE as usize;
    assert!(is_used, "the upstream gets requests after its restarts");
}

/// Calls an upstream by a name for half a second.
async fn call_repeatedly(listed: &ListedFixture, name: &str) {
    let end = Instant::now() + Duration::from_millis(500);
    while Instant::now() < end {
        let call = CallHead {
            upstream: name.into(),
            left_ms: 400,
            ..get()
        };
        listed.fixture.call(call, b"").await;
        sleep(Duration::from_millis(10)).await;
    }
}

/// Guards against a limit of another upstream that has the address now.
#[actix_rt::test]
async fn a_misdirected_answer_states_nothing_of_the_upstream() {
    let (upstream, address) = StatingUpstream::start(&[("server-leaving", "1")]);
    upstream.fail(421);
    let listed = ListedFixture::for_address(address, Service::with_name("s".into())).await;
    listed.assert_refused(RefusalReason::NoUpstream).await;
    upstream.fail(200);
    upstream.state(&[]);
    sleep(Duration::from_millis(600)).await;
    let reply = listed.fixture.call(get(), b"").await;
    assert_matches!(reply, Reply::Complete { status: 200, .. });
}
