//! Ping-based failure detection for sidecars, much faster than the timeouts of TCP.

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

/// Interval between pings while calls are in flight.
const BUSY_INTERVAL: Duration = Duration::from_millis(250);
/// Interval between pings while no call is in flight.
const IDLE_INTERVAL: Duration = Duration::from_secs(5);
/// Time without an answer to a ping after which a sidecar is suspected and gets no new calls.
const SUSPECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Further time after which the connection to a suspected sidecar is aborted.
const ABORT_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Timer overrun that indicates that this process itself was paused.
const MIN_OWN_PAUSE: Duration = Duration::from_millis(200);

/// Starts a task that pings the sidecar until the channel is closed.
pub(super) fn spawn(address: SocketAddr, channel: &Rc<Channel>, ping: PingPong) {
    let call_started = channel.call_started();
    actix_rt::spawn(watch(address, Rc::downgrade(channel), call_started, ping));
}

async fn watch(
    address: SocketAddr,
    channel: Weak<Channel>,
    call_started: Rc<Notify>,
    mut ping: PingPong,
) {
    loop {
        wait_for_next_ping(&channel, &call_started).await;
        if !is_open(&channel) {
            return;
        }
        if is_responsive(&mut ping).await {
            continue;
        }
        info!("sidecar at {address} does not answer pings; sending it no new calls");
        with_channel(&channel, Channel::mark_suspected);
        if timeout(ABORT_TIMEOUT, wait_for_pong(&mut ping))
            .await
            .is_ok()
        {
            continue;
        }
        info!("sidecar at {address} still does not answer pings; aborting its calls in flight");
        with_channel(&channel, |channel| channel.connection().abort());
        return;
    }
}

/// Sends a ping and returns whether it is answered within [`SUSPECT_TIMEOUT`]. If this
/// process was paused meanwhile, it waits for another [`SUSPECT_TIMEOUT`].
async fn is_responsive(ping: &mut PingPong) -> bool {
    let sent_at = Instant::now();
    match timeout(SUSPECT_TIMEOUT, ping.ping(Ping::opaque())).await {
        Ok(pong) => pong.is_ok(),
        Err(_) if sent_at.elapsed() > SUSPECT_TIMEOUT + MIN_OWN_PAUSE => {
            timeout(SUSPECT_TIMEOUT, wait_for_pong(ping)).await.is_ok()
        }
        Err(_) => false,
    }
}

async fn wait_for_pong(ping: &mut PingPong) {
    let _ = poll_fn(|cx| ping.poll_pong(cx)).await;
}

/// Waits until the next ping is due. Without calls in flight this takes up to [`IDLE_INTERVAL`],
/// unless a call starts.
async fn wait_for_next_ping(channel: &Weak<Channel>, call_started: &Notify) {
    if Weak::strong_count(channel) <= 1 {
        let notified = timeout(IDLE_INTERVAL, call_started.notified()).await;
        if notified.is_err() {
            return;
        }
    }
    sleep(BUSY_INTERVAL).await;
}

fn is_open(channel: &Weak<Channel>) -> bool {
    let channel = channel.upgrade();
    channel.is_some_and(|channel| !channel.connection().is_closed())
}

fn with_channel(channel: &Weak<Channel>, apply: impl FnOnce(&Channel)) {
    if let Some(channel) = channel.upgrade() {
        apply(&channel);
    }
}
