//! Notices sidecars that no longer answer, long before TCP does.

use std::{
    future::poll_fn,
    net::SocketAddr,
    rc::{Rc, Weak},
    time::Duration,
};

use h2::{Ping, PingPong};
use log::info;
use tokio::{
    sync::Notify,
    time::{Instant, sleep, timeout},
};

use crate::ingress::channel::Channel;

/// Pause between pings while calls wait.
const BUSY_INTERVAL: Duration = Duration::from_millis(250);
/// Pause between pings while no call waits.
const IDLE_INTERVAL: Duration = Duration::from_secs(5);
/// Time after which a sidecar that does not answer gets no new calls.
const SUSPECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Further time after which its calls in flight are given up.
const ABORT_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Overrun of a timer from which on this process itself must have been paused.
const OWN_PAUSE: Duration = Duration::from_millis(200);

/// Watches a channel until it ends.
pub(super) fn spawn(address: SocketAddr, channel: &Rc<Channel>, ping: PingPong) {
    let begun = channel.begun();
    actix_rt::spawn(watch(address, Rc::downgrade(channel), begun, ping));
}

async fn watch(address: SocketAddr, channel: Weak<Channel>, begun: Rc<Notify>, mut ping: PingPong) {
    loop {
        sleep_interval(&channel, &begun).await;
        if !is_open(&channel) {
            return;
        }
        if is_answered(&mut ping).await {
            continue;
        }
        info!("sidecar at {address} does not answer; it gets no new calls");
        with(&channel, Channel::suspect);
        if timeout(ABORT_TIMEOUT, pong(&mut ping)).await.is_ok() {
            continue;
        }
        info!("sidecar at {address} does not answer; its calls are given up");
        with(&channel, |channel| channel.connection().abort());
        return;
    }
}

/// Sends a ping and waits for its answer; the time in which this process was paused itself
/// doesn't count.
async fn is_answered(ping: &mut PingPong) -> bool {
    let asked = Instant::now();
    match timeout(SUSPECT_TIMEOUT, ping.ping(Ping::opaque())).await {
        Ok(answered) => answered.is_ok(),
        Err(_) if asked.elapsed() > SUSPECT_TIMEOUT + OWN_PAUSE => {
            timeout(SUSPECT_TIMEOUT, pong(ping)).await.is_ok()
        }
        Err(_) => false,
    }
}

async fn pong(ping: &mut PingPong) {
    let _ = poll_fn(|cx| ping.poll_pong(cx)).await;
}

/// Waits for the next ping: soon while calls wait, seldom while none does.
async fn sleep_interval(channel: &Weak<Channel>, begun: &Notify) {
    if Weak::strong_count(channel) <= 1 {
        let begun = timeout(IDLE_INTERVAL, begun.notified()).await;
        if begun.is_err() {
            return;
        }
    }
    sleep(BUSY_INTERVAL).await;
}

fn is_open(channel: &Weak<Channel>) -> bool {
    let channel = channel.upgrade();
    channel.is_some_and(|channel| !channel.connection().is_closed())
}

fn with(channel: &Weak<Channel>, visit: impl FnOnce(&Channel)) {
    if let Some(channel) = channel.upgrade() {
        visit(&channel);
    }
}
