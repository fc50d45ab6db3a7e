//! API keys of organisations.

use std::{cell::RefCell, collections::BTreeMap, sync::Arc};

use wagtaillever_coordination::{Config, KeyDigest, Organisation, Sequence};

use super::{
    fake::{free_address, refuse, settings},
    *,
};
use crate::{
    ingress::Ingress, kernel::Context, quota::Quota, stall::StallWatch, view::ViewCell,
    wire::CallHead,
};

const KEY: &str = "key-of-acme";

/// Puts a configuration into force in which the organisation `acme` holds the keys.
fn set_keys(view: &ViewCell, keys: &[&str]) {
    let mut config = Config::clone(&view.load().config);
    let digests = keys.iter().map(|key| KeyDigest::of(key.as_bytes()));
    let acme = Organisation {
        name: "acme".into(),
        digests: digests.collect(),
        priority: Some(3),
        quota: None,
    };
    config.organisations = Some(BTreeMap::from([("acme".into(), Arc::new(acme))]));
    config.sequence = Sequence(config.sequence.0 + 1);
    view.set_config(Arc::new(config));
}

/// Returns the values of a forwarded header.
fn values(head: &CallHead, name: &str) -> Vec<String> {
    let same = head.headers.iter().filter(|(other, _)| other == name);
    same.map(|(_, value)| String::from_utf8_lossy(value).into_owned())
        .collect()
}

#[track_caller]
fn assert_forwarded(head: &CallHead, organisation: &[&str]) {
    assert_eq!(values(head, "x-organisation"), organisation);
    assert!(values(head, "authorization").is_empty());
    let mut shown = head
        .headers
        .iter()
        .map(|(_, value)| String::from_utf8_lossy(value));
    assert!(shown.all(|value| !value.contains(KEY)));
}

/// Guards against keys that reach an upstream, and against a caller that poses as an organisation.
#[actix_rt::test]
async fn a_known_key_is_replaced_by_its_organisation() {
    let fixture = Fixture::start(&TWO_UPSTREAMS[..1], |_| hello_sidecar()).await;
    set_keys(fixture.context.view(), &["other", KEY]);
    for scheme in ["Bearer", "bearer", "BEARER "] {
        let value = format!("{scheme} {KEY}");
        let headers = [
            ("Authorization", value.as_str()),
            ("X-Organisation", "forged"),
        ];
        fixture.post("/x", &headers).await.assert_status(200);
        let head = fixture.heads().pop().unwrap();
        assert_forwarded(&head, &["acme"]);
        assert_eq!(head.priority, 3, "that of the route is 0");
    }
}

/// Guards against requests without a known key that reach an upstream.
#[actix_rt::test]
async fn a_request_without_a_known_key_is_refused() {
    let fixture = Fixture::start(&TWO_UPSTREAMS[..1], |_| hello_sidecar()).await;
    set_keys(fixture.context.view(), &[KEY]);
    let bearer = format!("Bearer {KEY}");
    let joined = format!("Bearer{KEY}");
    let cut = format!("Bearer {}", &KEY[1..]);
    let cases: [(&[&str], &str); 9] = [
        (&[], "no-api-key"),
        (&[""], "no-api-key"),
        (&["Bearer"], "no-api-key"),
        (&["Bearer "], "no-api-key"),
        (&["Basic key-of-acme"], "no-api-key"),
        (&[&joined], "no-api-key"),
        (&[&bearer, &bearer], "no-api-key"),
        (&[&cut], "unknown-api-key"),
        (&["Bearer key-of-acme x"], "unknown-api-key"),
    ];
    for (values, reason) in cases {
        let headers: Vec<_> = values
            .iter()
            .map(|value| ("authorization", *value))
            .collect();
        let reply = fixture.post("/x", &headers).await;
        reply
            .assert_status(401)
            .assert_header("x-reason", reason)
            .assert_header("x-outcome", "did-not-run")
            .assert_header("www-authenticate", "bearer");
    }
    fixture.post("/nowhere", &[]).await.assert_status(404);
    assert!(fixture.heads().is_empty());
}

/// Sends a request whose first attempt ends in `end` while `keys` replace the keys in force.
async fn post_with_new_keys(
    before: &[&str],
    keys: &'static [&'static str],
    method: &str,
    end: fn(FakeCall) -> futures_util::future::LocalBoxFuture<'static, ()>,
) -> (RawResponse, Vec<CallHead>) {
    let view: Rc<RefCell<Option<ViewCell>>> = Rc::default();
    let make = |_: &str| {
        let view = Rc::clone(&view);
        FakeSidecar::new(move |call| match view.take() {
            Some(view) => {
                set_keys(&view, keys);
                end(call)
            }
            None => answer(call, b"hello"),
        })
    };
    let fixture = Fixture::start(TWO_UPSTREAMS, make).await;
    if !before.is_empty() {
        set_keys(fixture.context.view(), before);
    }
    *view.borrow_mut() = Some(fixture.context.view().clone());
    let bearer = format!("Bearer {KEY}");
    let headers = [
        ("authorization", bearer.as_str()),
        ("x-organisation", "forged"),
    ];
    let reply = fixture.send(method, "/x", &headers, b"").await;
    (reply, fixture.heads())
}

fn refuse_overloaded(call: FakeCall) -> futures_util::future::LocalBoxFuture<'static, ()> {
    refuse(call, Outcome::DidNotRun, RefusalReason::Overloaded)
}

/// Guards against a later attempt by a key that was withdrawn after the first one.
#[actix_rt::test]
async fn a_withdrawn_key_ends_a_call_before_its_next_attempt() {
    let (reply, heads) = post_with_new_keys(&[KEY], &["other"], "POST", refuse_overloaded).await;
    reply.assert_status(401);
    assert_eq!(heads.len(), 1);
    // The first attempt may have run, so a refusal would be false.
    let (reply, heads) = post_with_new_keys(&[KEY], &["other"], "GET", fake::reset_stream).await;
    reply
        .assert_status(502)
        .assert_header("x-outcome", "unknown");
    assert_eq!(heads.len(), 1);
}

/// Guards against a key that reaches an upstream by the second attempt, also when the first one was made
/// before there were organisations.
#[actix_rt::test]
async fn a_second_attempt_names_the_organisation_and_shows_no_key() {
    for before in [&[KEY][..], &[]] {
        let (reply, heads) = post_with_new_keys(before, &[KEY], "POST", refuse_overloaded).await;
        reply.assert_status(200);
        assert_eq!(heads.len(), 2);
        assert_forwarded(&heads[1], &["acme"]);
    }
}

/// Guards against callers that take a node without a configuration for one without their route or key.
#[actix_rt::test]
async fn a_node_without_a_configuration_is_not_ready() {
    let context = Context::new(settings(free_address(), 512));
    let mut stall = StallWatch::default();
    stall.start(&context).await.unwrap();
    Quota::default().start(&context).await.unwrap();
    context.view().set_phase(Phase::Serving);
    let mut ingress = Ingress::default();
    ingress.start(&context).await.unwrap();
    let address = ingress.server.as_ref().unwrap().addresses[0];
    let mut stream = TcpStream::connect(address).await.unwrap();
    let request = "GET /x HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n";
    stream.write_all(request.as_bytes()).await.unwrap();
    let reply = RawResponse::read(stream).await;
    reply.assert_status(503).assert_header("retry-after", "1");
}
