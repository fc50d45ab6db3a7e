//! Drops connections on which the other side no longer answers.

use std::{
    net::SocketAddr,
    rc::{Rc, Weak},
    time::Duration,
};

use h2::{Ping, PingPong};
use log::info;
use tokio::time::{Instant, sleep, timeout};

use crate::transport::Connection;

/// Pause between pings while calls wait.
const BUSY_INTERVAL: Duration = Duration::from_millis(250);
/// Pause between pings while no call waits.
const IDLE_INTERVAL: Duration = Duration::from_secs(5);
/// Longest time that a pong may take.
const PONG_TIMEOUT: Duration = Duration::from_millis(750);
/// Overrun of a timer from which on this process itself must have been paused.
const OWN_PAUSE: Duration = Duration::from_millis(200);

/// Watches a connection until it ends.
pub(super) fn spawn(address: SocketAddr, connection: &Rc<Connection>) {
    let Some(ping) = connection.take_ping() else {
        return;
    };
    let connection = Rc::downgrade(connection);
    actix_rt::spawn(watch(address, connection, ping));
}

async fn watch(address: SocketAddr, connection: Weak<Connection>, mut ping: PingPong) {
    loop {
        sleep_interval(&connection).await;
        if !is_open(&connection) {
            return;
        }
        let asked = Instant::now();
        let answered = timeout(PONG_TIMEOUT, ping.ping(Ping::opaque())).await;
        if matches!(answered, Ok(Ok(_))) {
            continue;
        }
        if answered.is_err() && asked.elapsed() > PONG_TIMEOUT + OWN_PAUSE {
            let second = timeout(PONG_TIMEOUT, sleep_until_pong(&mut ping)).await;
            if second.is_ok() {
                continue;
            }
        }
        info!("sidecar at {address} no longer answers; its connection is dropped");
        if let Some(connection) = connection.upgrade() {
            connection.abort();
        }
        return;
    }
}

async fn sleep_until_pong(ping: &mut PingPong) {
    let _ = std::future::poll_fn(|cx| ping.poll_pong(cx)).await;
}

/// Waits for the next ping; a call that starts to wait shortens the pause.
async fn sleep_interval(connection: &Weak<Connection>) {
    let idle_since = Instant::now();
    loop {
        sleep(BUSY_INTERVAL).await;
        let is_busy = Weak::strong_count(connection) > 1;
        let is_over = idle_since.elapsed() >= IDLE_INTERVAL;
        if is_busy || is_over || !is_open(connection) {
            return;
        }
    }
}

fn is_open(connection: &Weak<Connection>) -> bool {
    connection.upgrade().is_some_and(|open| !open.is_closed())
}
