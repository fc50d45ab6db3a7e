//! Exports metrics in the Prometheus text format.

use std::{sync::OnceLock, time::Duration};

use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle};

/// Handle of the metrics recorder of this process.
#[derive(Clone)]
pub(crate) struct Exporter {
    handle: PrometheusHandle,
}

/// Upper bounds of the histogram buckets, in seconds.
const BUCKETS_S: [f64; 14] = [
    0.0001, 0.00025, 0.0005, 0.001, 0.002, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 1.0, 5.0, 30.0,
];
/// Interval between maintenance runs of the recorder.
const UPKEEP_INTERVAL: Duration = Duration::from_secs(5);

static HANDLE: OnceLock<PrometheusHandle> = OnceLock::new();

impl Exporter {
    /// Installs the global recorder on the first call and returns its handle.
    pub(crate) fn install() -> Self {
        let handle = HANDLE.get_or_init(install_recorder).clone();
        actix_rt::spawn(run_upkeep(handle.clone()));
        Self { handle }
    }

    /// Returns the metrics in the Prometheus text format.
    pub(crate) fn render(&self) -> String {
        self.handle.render()
    }
}

/// # Panics
///
/// Does not panic: the list of buckets is not empty.
fn install_recorder() -> PrometheusHandle {
    let builder = PrometheusBuilder::new()
        .set_buckets(&BUCKETS_S)
        .expect("the list of buckets is not empty");
    let recorder = builder.build_recorder();
    let handle = recorder.handle();
    if metrics::set_global_recorder(recorder).is_err() {
        log::warn!("metrics are not exported: another global recorder is already installed");
    }
    handle
}

async fn run_upkeep(handle: PrometheusHandle) {
    let mut ticks = tokio::time::interval(UPKEEP_INTERVAL);
    loop {
        ticks.tick().await;
        handle.run_upkeep();
    }
}
