//! Bodies that stop short of their end, and bodies far over the limit.

use std::sync::LazyLock;

use crate::{
    crowd::{Closed, Reading, Script},
    trial::Trial,
};

/// Declared length of a body far over the limit of 64 MiB.
const HUGE_BYTES: u64 = 10_000_000_000;

/// Head of a request with a body.
fn head(framing: &str) -> Vec<u8> {
    format!("POST /orders/w0 HTTP/1.1\r\nHost: orders.example\r\n{framing}\r\n\r\n").into()
}

/// One chunk of a body.
fn chunk(bytes: usize) -> Vec<u8> {
    format!("{bytes:x}\r\n{}\r\n", "b".repeat(bytes)).into()
}

/// Each body of 1 MB that never ended kept its read buffers and its flow-control windows.
#[actix_rt::test]
async fn large_chunks_without_the_last_one() {
    static SCRIPT: LazyLock<Script> = LazyLock::new(|| Script {
        start: head("Transfer-Encoding: chunked"),
        repeated: chunk(64 << 10),
        times: Some(16),
        reading: Reading::Never,
        closed: Closed::Leaves,
    });
    Trial::new("large chunks", &SCRIPT).run().await;
}

/// Each chunk of one byte kept its whole read buffer alive and cost a frame between the nodes.
#[actix_rt::test]
async fn chunks_of_one_byte_without_the_last_one() {
    static SCRIPT: LazyLock<Script> = LazyLock::new(|| Script {
        start: head("Transfer-Encoding: chunked"),
        repeated: chunk(1).repeat(64),
        times: Some(512),
        reading: Reading::Never,
        closed: Closed::Leaves,
    });
    Trial::new("chunks of one byte", &SCRIPT).run().await;
}

/// Bodies declared as 10 GB were passed through for as long as they lasted.
#[actix_rt::test]
async fn bodies_declared_far_over_the_limit() {
    static SCRIPT: LazyLock<Script> = LazyLock::new(|| Script {
        start: head(&format!("Content-Length: {HUGE_BYTES}")),
        repeated: vec![b'b'; 64 << 10],
        times: None,
        reading: Reading::Never,
        closed: Closed::Leaves,
    });
    Trial::new("declared bodies", &SCRIPT).run().await;
}

/// Bodies without a declared length had no limit.
#[actix_rt::test]
async fn bodies_sent_far_over_the_limit() {
    static SCRIPT: LazyLock<Script> = LazyLock::new(|| Script {
        start: head("Transfer-Encoding: chunked"),
        repeated: chunk(64 << 10),
        times: None,
        reading: Reading::Never,
        closed: Closed::Leaves,
    });
    Trial::new("endless bodies", &SCRIPT).run().await;
}
