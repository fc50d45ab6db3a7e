//! Heads over the limit, without end, and empty lines in their place.

use std::sync::LazyLock;

use crate::{
    crowd::{Closed, Reading, Script},
    trial::Trial,
};

/// Start of a head with a field whose value has a length.
fn head_with_field(bytes: usize) -> Vec<u8> {
    let value = "a".repeat(bytes);
    format!("GET /orders/w0 HTTP/1.1\r\nHost: orders.example\r\nX-Field: {value}\r\n").into()
}

/// Heads of 256 KiB, 16 times the limit, ended the process together with other requests.
#[actix_rt::test]
async fn heads_over_the_limit() {
    static SCRIPT: LazyLock<Script> = LazyLock::new(|| Script {
        start: head_with_field(256 << 10),
        repeated: b"\r\n".to_vec(),
        times: Some(1),
        reading: Reading::Never,
        closed: Closed::Leaves,
    });
    Trial::new("heads over the limit", &SCRIPT).run().await;
}

/// A head without end must not be collected until memory runs out.
#[actix_rt::test]
async fn endless_heads() {
    static SCRIPT: LazyLock<Script> = LazyLock::new(|| Script {
        start: head_with_field(16),
        repeated: b"X-More: more\r\n".repeat(64),
        times: None,
        reading: Reading::Never,
        closed: Closed::Leaves,
    });
    Trial::new("endless heads", &SCRIPT).run().await;
}

/// Empty lines before a request are skipped, so that their number was not limited.
#[actix_rt::test]
async fn endless_empty_lines() {
    static SCRIPT: LazyLock<Script> = LazyLock::new(|| Script {
        start: Vec::new(),
        repeated: b"\r\n".repeat(512),
        times: None,
        reading: Reading::Never,
        closed: Closed::Leaves,
    });
    Trial::new("endless empty lines", &SCRIPT).run().await;
}
