//! A node under a crowd, and what must hold during and after it.

use std::time::Duration;

use actix_rt::time::sleep;
use tokio::{
    sync::{Mutex, MutexGuard},
    time::Instant,
};

use crate::{
    crowd::{Crowd, Script},
    fleet::Fleet,
    process::Usage,
};

/// Time for which a crowd stays.
const CROWD_TIME: Duration = Duration::from_secs(6);
/// Interval between two samples of memory and descriptors.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(50);
/// Time within which memory and descriptors come back down, far above what is needed.
const RETURN_TIMEOUT: Duration = Duration::from_secs(30);

/// Bound while the crowd is there: the memory of the VM by the settings, and the descriptors of the
/// crowd, of the connections to the upstream, and of the idle process.
const PEAK: Usage = Usage {
    resident_kb: 64 << 10,
    descriptors: 450,
};
/// Bound after the crowd has left.
const AFTER: Usage = Usage {
    resident_kb: 48 << 10,
    descriptors: 120,
};

/// Only one crowd runs at a time, so that no test slows down another one.
static TURN: Mutex<()> = Mutex::const_new(());

/// Runs a crowd against a node and checks that the node lives, stays within the bounds, comes back
/// down and then serves a request.
pub(crate) async fn run(name: &str, script: &'static Script) {
    let _turn: MutexGuard<'_, ()> = TURN.lock().await;
    let fleet = Fleet::start(&["orders"]).await;
    let process = fleet.vms[0].process();
    let idle = Usage::of(process).unwrap();
    let crowd = Crowd::start(fleet.vms[0].callers(), script);
    let mut peak = idle;
    let end = Instant::now() + CROWD_TIME;
    while Instant::now() < end {
        peak = peak.max(Usage::of(process).expect("the node lives"));
        sleep(SAMPLE_INTERVAL).await;
    }
    drop(crowd);
    let (after, took) = wait_until_within(process, AFTER).await;
    println!("{name}: idle {idle:?}, peak {peak:?}, after {after:?} in {took:?}");
    assert!(peak.is_within(PEAK), "{name}: {peak:?} exceeds {PEAK:?}");
    assert!(
        after.is_within(AFTER),
        "{name}: {after:?} stays above {AFTER:?}"
    );
    fleet.wait_until_served().await;
}

/// Waits until the use of a process is within a bound, and returns the last sample.
async fn wait_until_within(process: u32, bound: Usage) -> (Usage, Duration) {
    let start = Instant::now();
    loop {
        let usage = Usage::of(process).expect("the node lives");
        let took = start.elapsed();
        if usage.is_within(bound) || took > RETURN_TIMEOUT {
            return (usage, took);
        }
        sleep(SAMPLE_INTERVAL).await;
    }
}
