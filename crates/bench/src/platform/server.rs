//! HTTP server of the simulated platform.

use std::{
    net::{IpAddr, SocketAddr},
    time::Duration,
};

use actix_web::{
    App, HttpRequest, HttpResponse, HttpResponseBuilder, HttpServer,
    dev::ServerHandle,
    http::StatusCode,
    web::{Data, Path, Query},
};
use serde::Deserialize;
use snafu::ResultExt;
use tokio::time::{Instant, sleep, sleep_until};

use crate::{
    error::{BenchError, BindSnafu},
    platform::{
        faults::Outage,
        handle::PlatformHandle,
        store::{Gone, WatchAnswer},
    },
};

/// Number of server threads.
const WORKERS: usize = 2;
/// Period in which a waiting watch counts as one call.
const COUNT_PERIOD: Duration = Duration::from_secs(1);
/// Maximum time for which a watch waits.
const MAX_WAIT: Duration = Duration::from_secs(60);

/// Running server of a simulated platform; dropping it stops the server.
pub struct PlatformServer {
    handle: PlatformHandle,
    server: ServerHandle,
}

impl PlatformServer {
    /// Starts a server on all of the addresses.
    ///
    /// # Errors
    ///
    /// Returns an error when an address can't be bound.
    pub fn start(handle: PlatformHandle, addresses: &[SocketAddr]) -> Result<Self, BenchError> {
        let shared = handle.clone();
        let mut server = HttpServer::new(move || {
            App::new()
                .app_data(Data::new(shared.clone()))
                .service(read)
                .service(watch)
        })
        .workers(WORKERS)
        .h1_allow_half_closed(false)
        .disable_signals()
        .shutdown_timeout(0);
        for &address in addresses {
            server = server.bind(address).context(BindSnafu { address })?;
        }
        let server = server.run();
        let stop = server.handle();
        actix_rt::spawn(server);
        Ok(Self {
            handle,
            server: stop,
        })
    }

    /// Returns the handle of the simulated platform.
    #[must_use]
    pub fn handle(&self) -> &PlatformHandle {
        &self.handle
    }
}

impl Drop for PlatformServer {
    fn drop(&mut self) {
        drop(self.server.stop(false));
    }
}

#[actix_web::get("/v1/keys/{key:.*}")]
async fn read(
    request: HttpRequest,
    platform: Data<PlatformHandle>,
    key: Path<String>,
) -> HttpResponse {
    if let Err(refusal) = admit(&platform, local_ip(&request)).await {
        return refusal;
    }
    let (entry, revision) = platform.read(&key);
    let Some(entry) = entry else {
        return HttpResponse::NotFound()
            .insert_header(("x-store-revision", revision.to_string()))
            .finish();
    };
    HttpResponse::Ok()
        .insert_header(("x-revision", entry.revision.to_string()))
        .insert_header(("x-store-revision", revision.to_string()))
        .body(entry.value.to_string())
}

/// Query parameters of a watch.
#[derive(Debug, Deserialize)]
struct WatchQuery {
    after: u64,
    wait_ms: u64,
}

#[actix_web::get("/v1/watch")]
async fn watch(
    request: HttpRequest,
    platform: Data<PlatformHandle>,
    query: Query<WatchQuery>,
) -> HttpResponse {
    let local = local_ip(&request);
    if let Err(refusal) = admit(&platform, local).await {
        return refusal;
    }
    let wait = Duration::from_millis(query.wait_ms).min(MAX_WAIT);
    let peer = request.peer_addr().map(|peer| peer.ip());
    let _watcher = peer.map(|peer| platform.watcher(peer));
    let answer = next_events(&platform, local, query.after, wait).await;
    match answer {
        Ok(answer) => HttpResponse::Ok().json(answer),
        Err(refusal) => refusal,
    }
}

async fn next_events(
    platform: &PlatformHandle,
    local: IpAddr,
    after: u64,
    wait: Duration,
) -> Result<WatchAnswer, HttpResponse> {
    let mut changes = platform.changes();
    let end = Instant::now() + wait;
    let mut next_count = Instant::now() + COUNT_PERIOD;
    loop {
        changes.borrow_and_update();
        apply_outage(platform, local).await?;
        let answer = platform.since(after);
        let answer = answer.map_err(|Gone| HttpResponse::Gone().finish())?;
        if !answer.events.is_empty() || Instant::now() >= end {
            return Ok(answer);
        }
        tokio::select! {
            _ = changes.changed() => {}
            () = sleep_until(end) => {}
            () = sleep_until(next_count) => {
                next_count += COUNT_PERIOD;
                platform.count().map_err(rate_exceeded)?;
            }
        }
    }
}

/// Counts a call and applies the current faults to it.
async fn admit(platform: &PlatformHandle, local: IpAddr) -> Result<(), HttpResponse> {
    if !platform.is_cut(local) {
        platform.count().map_err(rate_exceeded)?;
    }
    apply_outage(platform, local).await?;
    let delay = Duration::from_millis(platform.faults().slow_ms);
    if !delay.is_zero() {
        sleep(delay).await;
    }
    Ok(())
}

/// Waits while the address is cut off or the service does not answer; returns an error response
/// while the service refuses calls.
async fn apply_outage(platform: &PlatformHandle, local: IpAddr) -> Result<(), HttpResponse> {
    let mut changes = platform.changes();
    loop {
        changes.borrow_and_update();
        let faults = platform.faults();
        match faults.outage {
            Some(Outage::Refuse) => return Err(HttpResponse::ServiceUnavailable().finish()),
            None if !faults.cut.contains(&local) => return Ok(()),
            Some(Outage::Silent) | None => {}
        }
        if changes.changed().await.is_err() {
            return Ok(());
        }
    }
}

fn rate_exceeded(after: Duration) -> HttpResponse {
    let seconds = after.as_millis().div_ceil(1000).max(1);
    HttpResponseBuilder::new(StatusCode::TOO_MANY_REQUESTS)
        .insert_header(("retry-after", seconds.to_string()))
        .finish()
}

fn local_ip(request: &HttpRequest) -> IpAddr {
    request.app_config().local_addr().ip()
}

#[cfg(test)]
mod tests;
