//! A node under a crowd, and what must hold during and after it.

use std::{net::SocketAddr, time::Duration};

use actix_rt::time::sleep;
use tokio::{
    sync::{Mutex, MutexGuard},
    time::Instant,
};

use crate::{
    crowd::{CALLERS, Crowd, Script},
    fleet::{Fleet, Machine, Vm},
    process::{Bound, Usage},
};

/// Time for which a crowd stays.
const CROWD_TIME: Duration = Duration::from_secs(6);
/// Interval between two samples of memory and descriptors.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(50);
/// Time within which memory and descriptors come back down, far above what is needed.
const RETURN_TIMEOUT: Duration = Duration::from_secs(30);

/// Largest number of descriptors while a crowd of [`CALLERS`] is there: those of the crowd, of the connections
/// to the upstream, and of the idle process.
const CROWD_DESCRIPTORS: usize = 450;
/// Bound after the crowd has left.
const AFTER: Bound = Bound {
    memory_kb: 48 << 10,
    descriptors: 120,
};

/// Only one crowd runs at a time, so that no test slows down another one.
pub(crate) static TURN: Mutex<()> = Mutex::const_new(());

/// A crowd and the node that it meets.
pub(crate) struct Trial {
    pub(crate) name: &'static str,
    pub(crate) machine: Machine,
    /// Largest number of descriptors while the crowd is there.
    pub(crate) max_descriptors: usize,
    pub(crate) callers: usize,
    /// Address of the node to which the crowd connects.
    pub(crate) target: fn(&Vm) -> SocketAddr,
    pub(crate) script: &'static Script,
    /// Further contents of the store.
    pub(crate) fill: fn(&Fleet),
    /// Whether an ordinary request must be answered while the crowd is still there.
    pub(crate) serves_beside: bool,
}

impl Trial {
    /// Returns a crowd of [`CALLERS`] at the default machine.
    pub(crate) fn new(name: &'static str, script: &'static Script) -> Self {
        Self {
            name,
            machine: Machine::default(),
            max_descriptors: CROWD_DESCRIPTORS,
            callers: CALLERS,
            target: Vm::callers,
            script,
            fill: |_| {},
            serves_beside: false,
        }
    }

    /// Runs the crowd against a node and checks that the node lives, stays within the memory and the
    /// descriptors of its machine, comes back down and serves a request.
    pub(crate) async fn run(self) {
        let _turn: MutexGuard<'_, ()> = TURN.lock().await;
        let fleet = Fleet::start_on(self.machine, &["orders"], self.fill).await;
        let node = &fleet.vms[0];
        let usage = || Usage::of(node.process(), (self.target)(node)).expect("the node lives");
        let bound = Bound {
            memory_kb: self.machine.memory_mb << 10,
            descriptors: self.max_descriptors,
        };
        let idle = usage();
        let crowd = Crowd::start((self.target)(node), self.callers, self.script);
        let mut peak = idle;
        let end = Instant::now() + CROWD_TIME;
        while Instant::now() < end {
            peak = peak.max(usage());
            sleep(SAMPLE_INTERVAL).await;
        }
        if self.serves_beside {
            fleet.wait_until_served().await;
            peak = peak.max(usage());
        }
        drop(crowd);
        let (after, took) = wait_until_within(AFTER, usage).await;
        let name = self.name;
        println!("{name}: idle {idle:?}, peak {peak:?}, after {after:?} in {took:?}");
        assert!(peak.is_within(bound), "{name}: {peak:?} exceeds {bound:?}");
        assert!(
            after.is_within(AFTER),
            "{name}: {after:?} stays above {AFTER:?}"
        );
        fleet.wait_until_served().await;
    }
}

/// Waits until the use of a process is within a bound, and returns the last sample.
async fn wait_until_within(bound: Bound, usage: impl Fn() -> Usage) -> (Usage, Duration) {
    let start = Instant::now();
    loop {
        let usage = usage();
        let took = start.elapsed();
        if usage.is_within(bound) || took > RETURN_TIMEOUT {
            return (usage, took);
        }
        sleep(SAMPLE_INTERVAL).await;
    }
}
