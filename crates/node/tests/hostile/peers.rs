//! Connections at the address for other nodes.

use std::{net::SocketAddr, sync::LazyLock, time::Duration};

use actix_rt::time::sleep;

use crate::{
    crowd::{CALLERS, Closed, Crowd, Reading, Script},
    fleet::{Fleet, Vm},
    trial::{self, Trial},
};

/// Port for other nodes in the template of the deploy file.
const PORT: u16 = 7_600;
/// Time for which the crowd connects before another node starts.
const CROWD_TIME: Duration = Duration::from_secs(3);
/// Size of an HTTP/2 frame with a part of a header.
const FRAME_BYTES: usize = 16 << 10;

/// Returns the address at which a node serves other nodes.
fn address(vm: &Vm) -> SocketAddr {
    SocketAddr::new(vm.callers().ip(), PORT)
}

/// Returns an HTTP/2 frame of the first stream.
fn frame(kind: u8, payload: &[u8]) -> Vec<u8> {
    let [_, length @ ..] = u32::try_from(payload.len()).unwrap().to_be_bytes();
    let head = [kind, 0, 0, 0, 0, 1];
    [length.as_slice(), &head, payload].concat()
}

/// The header of a stream was collected up to 16 MB on each connection.
#[actix_rt::test]
async fn endless_headers_of_a_stream() {
    static SCRIPT: LazyLock<Script> = LazyLock::new(|| {
        // A settings frame without settings belongs to no stream.
        let settings = [0, 0, 0, 4, 0, 0, 0, 0, 0];
        // A field `a` whose value is longer than all that follows.
        let field = [0, 1, b'a', 0x7f, 0xff, 0xff, 0xff, 0x7f];
        let preface = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n";
        Script {
            start: [preface, settings.as_slice(), &frame(1, &field)].concat(),
            repeated: frame(9, &[b'b'; FRAME_BYTES]),
            times: None,
            reading: Reading::Never,
            closed: Closed::Reopens,
        }
    });
    let trial = Trial {
        target: address,
        ..Trial::new("endless headers of a stream", &SCRIPT)
    };
    trial.run().await;
}

/// Connections that had sent nothing took all places of other nodes, and a node that started reached nobody.
#[actix_rt::test]
async fn a_node_connects_beside_silent_connections() {
    static SCRIPT: LazyLock<Script> = LazyLock::new(|| Script::write_once(Vec::new()));
    let _turn = trial::TURN.lock().await;
    let mut fleet = Fleet::start(&["orders", "other"]).await;
    let crowd = Crowd::start(address(&fleet.vms[0]), CALLERS, &SCRIPT);
    sleep(CROWD_TIME).await;
    fleet.vms[1].kill();
    fleet.start_node(1);
    fleet.vms[1].wait_until_served("orders").await;
    drop(crowd);
    fleet.wait_until_served().await;
}
