//! Looks whether an upstream is still there after a connection broke.

use std::{rc::Rc, time::Duration};

use tokio::{
    net::TcpStream,
    time::{sleep, timeout},
};

use crate::sidecar::upstream::LocalUpstream;

/// Pauses before each probe.
const PROBE_DELAYS: [Duration; 4] = [
    Duration::ZERO,
    Duration::from_millis(20),
    Duration::from_millis(80),
    Duration::from_millis(200),
];
/// Longest time of one probe.
const PROBE_TIMEOUT: Duration = Duration::from_millis(200);

/// Probes an upstream until it is known whether it is down.
///
/// A refused connection shows that the process is gone, which explains why the
/// connection broke.
pub(super) fn start(upstream: &Rc<LocalUpstream>) {
    if upstream.is_probed() {
        return;
    }
    let upstream = Rc::clone(upstream);
    actix_rt::spawn(async move {
        let _guard = upstream.begin_probe();
        for delay in PROBE_DELAYS {
            sleep(delay).await;
            if !upstream.is_crash_suspected() {
                return;
            }
            let probe = TcpStream::connect(upstream.spec().address);
            if let Ok(Err(_)) = timeout(PROBE_TIMEOUT, probe).await {
                upstream.record_restart();
                return;
            }
        }
    });
}
