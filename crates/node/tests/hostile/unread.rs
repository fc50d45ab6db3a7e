//! Requests that are sent ahead while their answers stay unread.

use std::sync::LazyLock;

use crate::{
    crowd::{Closed, Reading, Script},
    fleet::Machine,
    trial::Trial,
};

/// Callers whose unread requests alone exceed the memory of the machine, at a socket's default buffers.
const CALLERS: usize = 500;
/// Memory of the other tests, with descriptors for all callers.
const MACHINE: Machine = Machine {
    memory_mb: 64,
    max_fds: 1_300,
};

fn trial(name: &'static str, script: &'static Script) -> Trial {
    Trial {
        machine: MACHINE,
        max_descriptors: 1_300,
        callers: CALLERS,
        ..Trial::new(name, script)
    }
}

/// Received bytes that the node had not read filled the receive buffers of the kernel, which had no bound.
#[actix_rt::test]
async fn requests_ahead_with_small_answers() {
    static SCRIPT: LazyLock<Script> = LazyLock::new(|| Script {
        start: Vec::new(),
        repeated: b"GET /orders/w0 HTTP/1.1\r\nHost: orders.example\r\n\r\n".repeat(32),
        times: None,
        reading: Reading::Never,
        closed: Closed::Reopens,
    });
    trial("requests ahead", &SCRIPT).run().await;
}

/// Written bytes that callers did not take filled the send buffers of the kernel, which had no bound.
#[actix_rt::test]
async fn requests_ahead_with_large_answers() {
    static SCRIPT: LazyLock<Script> = LazyLock::new(|| Script {
        start: Vec::new(),
        repeated: b"GET /orders/b540000/w0 HTTP/1.1\r\nHost: orders.example\r\n\r\n".to_vec(),
        times: Some(50),
        reading: Reading::Never,
        closed: Closed::Reopens,
    });
    trial("large answers ahead", &SCRIPT).run().await;
}
