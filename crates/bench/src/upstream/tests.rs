use std::{net::SocketAddr, time::Duration};

use http::Request;
use http_body_util::{BodyExt, Full};

use super::*;
use crate::{http_client::HttpClient, pattern::Pattern};

struct Case {
    model: UpstreamModel,
    query: &'static str,
    calls: usize,
}

fn case(query: &'static str) -> Case {
    Case {
        model: UpstreamModel {
            service_ms: 5.0,
            down_ms: 50,
            ..UpstreamModel::default()
        },
        query,
        calls: 1,
    }
}

impl Case {
    fn calls(mut self, calls: usize) -> Self {
        self.calls = calls;
        self
    }

    async fn run(self) -> (Upstream, Vec<Result<Vec<u8>, String>>) {
        let upstream = Upstream::start(free_address(), self.model, 1)
            .await
            .unwrap();
        let address = upstream.address();
        let calls = (0..self.calls).map(|at| call(address, at, self.query));
        let responses = futures_util::future::join_all(calls).await;
        (upstream, responses)
    }
}

fn free_address() -> SocketAddr {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    listener.local_addr().unwrap()
}

async fn call(address: SocketAddr, at: usize, query: &str) -> Result<Vec<u8>, String> {
    let client = HttpClient::default();
    let request = Request::get(format!("/x?{query}"))
        .header("host", address.to_string())
        .header("x-request-id", at.to_string())
        .body(Full::default())
        .unwrap();
    let response = client
        .send(address, request)
        .await
        .map_err(|err| err.to_string())?;
    let body = response.into_body().collect().await;
    let body = body.map_err(|err| err.to_string())?;
    Ok(body.to_bytes().to_vec())
}

#[actix_rt::test]
async fn responds_with_the_body_of_the_request() {
    let (upstream, responses) = case("size=100000").calls(2).run().await;
    for (at, response) in responses.into_iter().enumerate() {
        let body = response.unwrap();
        assert_eq!(body.len(), 100_000);
        assert!(Pattern::of(&at.to_string()).matches(0, &body));
    }
    assert_eq!(upstream.state().counts().ran.len(), 2);
}

#[actix_rt::test]
async fn cut_response_fails_at_the_client() {
    let (_, responses) = case("size=100000&cut=50000").run().await;
    assert!(responses[0].is_err());
    let (_, responses) = case("size=100000&cut=50000&chunked=1").run().await;
    assert!(responses[0].is_err());
}

#[actix_rt::test]
async fn crash_breaks_running_requests_and_restarts_the_process() {
    let (upstream, responses) = case("crash=1").run().await;
    assert!(responses[0].is_err());
    assert_eq!(upstream.state().counts().crashed, 1);
    tokio::time::sleep(Duration::from_millis(500)).await;
    call(upstream.address(), 7, "").await.unwrap();
    assert_eq!(upstream.state().epoch(), 1);
}

#[actix_rt::test]
async fn cold_upstream_crashes_under_full_load() {
    let (upstream, responses) = case("ms=100").calls(12).run().await;
    assert!(responses.iter().any(Result::is_err));
    assert!(upstream.state().counts().overloads > 0);
}

#[test]
fn warm_up_reset_allows_a_grace_period_before_overload() {
    let state = UpstreamState::new(UpstreamModel::default(), 1);
    state.complete_warm_up();
    state.reset_warm_up();
    let executions = (0..12).map(|_| state.execute(&Arrival::default()));
    let executions: Vec<_> = executions.collect();
    assert!(
        executions
            .iter()
            .all(|execution| matches!(execution, Execution::Run(..)))
    );
    state.restart();
    let executions = (0..12).map(|_| state.execute(&Arrival::default()));
    let executions: Vec<_> = executions.collect();
    assert!(
        executions
            .iter()
            .any(|execution| matches!(execution, Execution::Overload))
    );
}

#[actix_rt::test]
async fn warm_upstream_runs_requests_in_all_slots() {
    let state = UpstreamState::new(UpstreamModel::default(), 1);
    state.complete_warm_up();
    let mut running = Vec::new();
    for at in 0..12 {
        let arrival = Arrival {
            request_id: at.to_string(),
            ..Arrival::default()
        };
        match state.execute(&arrival) {
            Execution::Run(run, _) => running.push(run),
            Execution::Shed | Execution::Overload => panic!("request {at} did not run"),
        }
    }
    assert_eq!(state.counts().over_limit, 0);
    assert_eq!(state.counts().peak, 12);
}
