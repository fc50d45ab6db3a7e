//! Health checks that query how long an upstream stays cold, and what it states of itself.

use std::{
    rc::Rc,
    time::{Duration, Instant},
};

use awc::{Client, Connector};
use log::{debug, info};
use tokio::time::sleep;

use crate::sidecar::{
    statements::{Source, Statements},
    upstream::LocalUpstream,
};

/// Timeout of one health check. An upstream at capacity may never answer.
const CHECK_TIMEOUT: Duration = Duration::from_millis(400);
/// Delay after a health check without a usable answer. Each check costs the upstream work, and a
/// cold start takes several seconds.
const RETRY_DELAY: Duration = Duration::from_millis(400);
/// Number of health checks before giving up. They span about 16 s, within which a crashed server is
/// running again.
const MAX_CHECKS: u32 = 20;

/// Starts health checks that run until the upstream reports how long it stays cold, unless they
/// are already running.
pub(super) fn start_check(upstream: &Rc<LocalUpstream>) {
    let Some(path) = upstream.health_path() else {
        return;
    };
    if !upstream.begin_health_check() {
        return;
    }
    let upstream = Rc::clone(upstream);
    actix_rt::spawn(async move {
        for _ in 0..MAX_CHECKS {
            sleep(upstream.health_check_delay()).await;
            if let Some(cold) = remaining_cold_time(&upstream, &path).await {
                if upstream.is_cold() || !cold.is_zero() {
                    let name = upstream.spec().name.clone();
                    info!(upstream:% = name, cold_ms = cold.as_millis() as u64; "upstream reported its remaining cold time");
                }
                upstream.set_cold_for(cold);
                break;
            }
            if upstream.is_leaving() {
                break;
            }
            sleep(RETRY_DELAY).await;
        }
        upstream.end_health_check();
    });
}

/// Returns how long the upstream stays cold; `None` if it does not answer in time, is unhealthy, or
/// a different upstream answers.
async fn remaining_cold_time(upstream: &Rc<LocalUpstream>, path: &str) -> Option<Duration> {
    let spec = upstream.spec();
    let connector = Connector::new().timeout(CHECK_TIMEOUT);
    let client = Client::builder()
        .connector(connector)
        .timeout(CHECK_TIMEOUT);
    let url = format!("http://{}{path}", spec.address);
    metrics::counter!("upstream_health_checks_total").increment(1);
    let sent_at = Instant::now();
    upstream
        .admission()
        .borrow_mut()
        .record_health_check(sent_at);
    let answer = client.finish().get(url).force_close().send().await;
    let answer = match answer {
        Ok(answer) => answer,
        Err(err) => {
            debug!(upstream:% = spec.name; "upstream health check failed: {err}");
            return None;
        }
    };
    if answer.status().is_informational() {
        // Not a final answer; the library does not wait for the one that follows.
        return None;
    }
    let dialect = upstream.dialect();
    let answered_by = dialect
        .answered_by
        .and_then(|name| answer.headers().get(name));
    if answered_by.is_some_and(|name| name.as_bytes() != spec.name.as_str().as_bytes()) {
        return None;
    }
    let statement = Statements::read(answer.headers(), dialect);
    upstream.record_statement(statement, sent_at, Source::HealthCheck);
    if answer.status() != 200 {
        debug!(upstream:% = spec.name, status = answer.status().as_u16(); "upstream health check returned an error status");
        return None;
    }
    Some(statement.cold.unwrap_or_default())
}
