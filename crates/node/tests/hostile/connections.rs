//! More connections than the process may have.

use std::sync::LazyLock;

use crate::{crowd::Script, fleet::Fleet, trial::Trial};

/// Idle time of a connection in seconds, far above the length of a test.
const ENDLESS_S: u64 = 600;

fn trial(name: &'static str, script: &'static Script) -> Trial {
    Trial {
        fill: extend_idle_time,
        serves_beside: true,
        ..Trial::new(name, script)
    }
}

fn extend_idle_time(fleet: &Fleet) {
    fleet.put_config_with(8, |config| {
        config["limits"]["idle_timeout_s"] = ENDLESS_S.into();
        config["limits"]["header_timeout_s"] = ENDLESS_S.into();
    });
}

/// Connections that had sent nothing took all places, and new callers waited in the listen queue.
#[actix_rt::test]
async fn silent_connections() {
    static SCRIPT: LazyLock<Script> = LazyLock::new(|| Script::write_once(Vec::new()));
    trial("silent connections", &SCRIPT).run().await;
}

/// The same with heads that are not complete.
#[actix_rt::test]
async fn unfinished_heads() {
    static SCRIPT: LazyLock<Script> =
        LazyLock::new(|| Script::write_once(b"GET /orders/w0 HTTP/1.1\r\n".to_vec()));
    trial("unfinished heads", &SCRIPT).run().await;
}

/// Connections that were used once took all places for the whole time in which they may be used again.
#[actix_rt::test]
async fn connections_kept_after_one_request() {
    static SCRIPT: LazyLock<Script> = LazyLock::new(|| {
        Script::write_once(b"GET /nowhere HTTP/1.1\r\nHost: orders.example\r\n\r\n".to_vec())
    });
    trial("kept connections", &SCRIPT).run().await;
}
