//! Ping-based failure detection for sidecars, much faster than the timeouts of TCP.

use std::{
    cell::Cell,
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

/// Time without an answer to a ping after which all other sidecars are pinged too, because many VMs
/// may have failed together.
const ALARM_DELAY: Duration = Duration::from_millis(250);
/// Minimum time between two alarms of one node.
const MIN_ALARM_INTERVAL: Duration = Duration::from_secs(1);

/// Signal to ping all sidecars at once, raised when one of them does not answer.
#[derive(Default)]
pub(super) struct PingAlarm {
    raised: Notify,
    last_raised: Cell<Option<Instant>>,
}

impl PingAlarm {
    /// Raises the signal, at most once per [`MIN_ALARM_INTERVAL`].
    fn raise(&self) {
        let last = self.last_raised.get();
        if last.is_none_or(|at| at.elapsed() >= MIN_ALARM_INTERVAL) {
            self.last_raised.set(Some(Instant::now()));
            self.raised.notify_waiters();
        }
    }
}

/// Starts a task that pings the sidecar until the channel is closed.
pub(super) fn spawn(
    address: SocketAddr,
    channel: &Rc<Channel>,
    ping: PingPong,
    alarm: &Rc<PingAlarm>,
) {
    let call_started = channel.call_started();
    let channel = Rc::downgrade(channel);
    let alarm = Rc::clone(alarm);
    actix_rt::spawn(watch(address, channel, call_started, ping, alarm));
}

async fn watch(
    address: SocketAddr,
    channel: Weak<Channel>,
    call_started: Rc<Notify>,
    mut ping: PingPong,
    alarm: Rc<PingAlarm>,
) {
    loop {
        wait_for_next_ping(&channel, &call_started, &alarm).await;
        if !is_open(&channel) {
            return;
        }
        let sent_at = Instant::now();
        if is_responsive(&mut ping, &alarm).await {
            let round_trip = sent_at.elapsed();
            with_channel(&channel, |channel| channel.record_round_trip(round_trip));
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
/// process was paused meanwhile, it waits for another [`SUSPECT_TIMEOUT`]. Raises the alarm after
/// [`ALARM_DELAY`].
async fn is_responsive(ping: &mut PingPong, alarm: &PingAlarm) -> bool {
    let sent_at = Instant::now();
    if let Ok(pong) = timeout(ALARM_DELAY, ping.ping(Ping::opaque())).await {
        return pong.is_ok();
    }
    alarm.raise();
    let left = SUSPECT_TIMEOUT.saturating_sub(sent_at.elapsed());
    match timeout(left, wait_for_pong(ping)).await {
        Ok(()) => true,
        Err(_) if sent_at.elapsed() > SUSPECT_TIMEOUT + MIN_OWN_PAUSE => {
            timeout(SUSPECT_TIMEOUT, wait_for_pong(ping)).await.is_ok()
        }
        Err(_) => false,
    }
}

async fn wait_for_pong(ping: &mut PingPong) {
    let _ = poll_fn(|cx| ping.poll_pong(cx)).await;
}

/// Waits until the next ping is due: after [`BUSY_INTERVAL`] while calls are in flight, otherwise
/// when a call starts and at the latest after [`IDLE_INTERVAL`]. An alarm makes it due at once.
async fn wait_for_next_ping(channel: &Weak<Channel>, call_started: &Notify, alarm: &PingAlarm) {
    let raised = alarm.raised.notified();
    let is_busy = Weak::strong_count(channel) > 1;
    let due = async {
        if is_busy {
            sleep(BUSY_INTERVAL).await;
        } else {
            let _ = timeout(IDLE_INTERVAL, call_started.notified()).await;
        }
    };
    tokio::select! {
        () = due => {}
        () = raised => {}
    }
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
