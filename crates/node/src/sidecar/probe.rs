//! Probes whether an upstream still accepts connections after one broke.

use std::{rc::Rc, time::Duration};

use tokio::{
    net::TcpStream,
    time::{sleep, timeout},
};

use crate::sidecar::upstream::LocalUpstream;

/// Delay before each probe.
const PROBE_DELAYS: [Duration; 4] = [
    Duration::ZERO,
    Duration::from_millis(20),
    Duration::from_millis(80),
    Duration::from_millis(200),
];
/// Timeout of one probe.
const PROBE_TIMEOUT: Duration = Duration::from_millis(200);

/// Starts probes of an upstream that run until the cause of the broken connection is known.
///
/// A refused connection shows that the process has ended, which explains the broken connection.
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
