//! Requests with headers that few callers send.

use crate::{
    caller::{Answer, Connection},
    fleet::Fleet,
};

/// Sends a request with further header lines and returns the answer.
async fn post_with(fleet: &Fleet, id: &str, headers: &str) -> Answer {
    let mut connection = Connection::open(fleet.vms[0].callers()).await.unwrap();
    let request = format!(
        "POST /orders/w0 HTTP/1.1\r\nHost: orders.example\r\nRequest-Id: {id}\r\n\
         {headers}Content-Length: 0\r\n\r\n"
    );
    connection.exchange(&request).await.unwrap()
}

/// Requests with a key of the application, which the platform does not name, were refused.
#[actix_rt::test]
async fn a_key_of_the_application_is_no_key_of_the_node() {
    let fleet = Fleet::start(&["orders"]).await;
    for key in ["order-7", "", "a.01939c5e-0000-7000-8000-000000000001"] {
        let header = format!("Idempotency-Key: {key}\r\n");
        for _ in 0..2 {
            let answer = post_with(&fleet, "keyed", &header).await;
            assert_eq!((answer.status, answer.body.as_str()), (200, "keyed"));
        }
    }
}

/// An ID of more than 128 bytes was replaced silently, and the upstream ran the request under another
/// one.
#[actix_rt::test]
async fn a_request_runs_under_its_own_id_or_is_refused() {
    let fleet = Fleet::start(&["orders"]).await;
    let long = "x".repeat(1_024);
    let answer = post_with(&fleet, &long, "").await;
    assert_eq!((answer.status, answer.body), (200, long.clone()));
    assert!(fleet.vms[0].upstream.has_run(&long));
    let runs = fleet.vms[0].upstream.runs();
    for id in [format!("{long}x"), "\u{e9}".into()] {
        assert_eq!(post_with(&fleet, &id, "").await.status, 400);
    }
    assert_eq!(fleet.vms[0].upstream.runs(), runs);
}
