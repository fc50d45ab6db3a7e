//! Running nodes and simulated upstreams of a deployment.

use std::time::Duration;

use wagtaillever_coordination::{DrainAction, DrainOrder, DrainScope, Method};

use crate::{
    caller::{CallKind, Target, Workload},
    deployment::ServiceShape,
    error::BenchError,
    fleet::{Fleet, FleetOptions},
    upstream::{Counts, Upstream, UpstreamModel},
};

/// Running nodes and simulated upstreams of a deployment.
pub(crate) struct Testbed {
    pub(crate) fleet: Fleet,
    pub(crate) upstreams: Vec<Upstream>,
    orders: Vec<DrainOrder>,
}

/// Maximum time until all nodes serve.
const SERVE_TIMEOUT: Duration = Duration::from_secs(30);
/// Length of response bodies.
const ANSWER_BYTES: u64 = 512;
/// Maximum number of times that a request is sent.
const MAX_SENDS: u32 = 5;
/// Number of callers over which requests are distributed.
const CALLERS: u32 = 100;
/// Time limit of a request, including resends.
pub(crate) const CALL_DEADLINE: Duration = Duration::from_secs(3);

impl Testbed {
    /// Starts upstreams and nodes and waits until all nodes serve.
    ///
    /// # Errors
    ///
    /// Returns an error if a process can't be started or does not serve in time.
    pub(crate) async fn start(options: FleetOptions) -> Result<Self, BenchError> {
        let seed = options.seed;
        let mut fleet = Fleet::prepare(options)?;
        fleet.publish_base()?;
        let mut upstreams = Vec::new();
        for (index, vm) in fleet.layout().vms.iter().enumerate() {
            let model = model_of(&fleet, vm.service);
            let upstream = Upstream::start(vm.upstream_address, model, seed ^ index as u64);
            upstreams.push(upstream.await?);
        }
        fleet.start_all()?;
        let all = fleet.running();
        fleet.wait_serving(&all, SERVE_TIMEOUT).await?;
        Ok(Self {
            fleet,
            upstreams,
            orders: Vec::new(),
        })
    }

    /// Returns the nodes as targets of callers.
    pub(crate) fn targets(&self) -> Vec<Target> {
        let vms = self.fleet.layout().vms.iter();
        vms.map(|vm| Target {
            address: vm.callers,
            domain: self.fleet.layout().domain_of(vm).to_string(),
            service: None,
        })
        .collect()
    }

    /// Returns the upstreams as targets of callers that bypass the nodes.
    pub(crate) fn direct_targets(&self) -> Vec<Target> {
        let services = &self.fleet.deployment().services;
        let vms = self.fleet.layout().vms.iter();
        vms.map(|vm| Target {
            address: vm.upstream_address,
            domain: self.fleet.layout().domain_of(vm).to_string(),
            service: Some(services[vm.service].name.to_string()),
        })
        .collect()
    }

    /// Returns the total capacity of the upstreams in calls per second.
    pub(crate) fn capacity(&self) -> f64 {
        let models = self.upstreams.iter().map(|up| up.state().model());
        models.map(|model| model.capacity()).sum()
    }

    /// Returns a load of `rate` calls per second, distributed over the services by capacity.
    pub(crate) fn workload(&self, label: &str, rate: f64) -> Workload {
        let services = self.fleet.deployment().services.iter();
        let kinds = services.enumerate().map(|(index, shape)| CallKind {
            service: shape.name.to_string(),
            keyed: is_keyed(shape),
            path: shape.path.clone(),
            size: ANSWER_BYTES,
            query: String::new(),
            weight: self.capacity_of(index),
        });
        Workload {
            label: label.to_string(),
            kinds: kinds.collect(),
            rate,
            deadline: CALL_DEADLINE,
            max_sends: MAX_SENDS,
            callers: CALLERS,
        }
    }

    pub(crate) fn counts(&self) -> Vec<Counts> {
        let upstreams = self.upstreams.iter();
        upstreams.map(|up| up.state().counts()).collect()
    }

    /// Publishes a drain order for a failure domain on the platform, like an operator.
    pub(crate) fn publish_order(&mut self, domain: usize, action: DrainAction) {
        let scope = DrainScope::Domain(self.fleet.layout().domains[domain].clone());
        self.orders.push(DrainOrder {
            number: self.orders.len() as u64 + 1,
            scope,
            action,
        });
        let text = serde_json::to_string(&self.orders).unwrap_or_default();
        self.fleet.platform().publish("drains", &text);
    }

    /// Returns the number of invariant violations that running nodes reported.
    pub(crate) async fn broken_invariants(&self) -> u64 {
        self.metric("invariant_broken_total").await as u64
    }

    /// Returns the sum of a counter over all running nodes.
    pub(crate) async fn metric(&self, name: &str) -> f64 {
        let mut sum = 0.0;
        for vm in self.fleet.running() {
            let address = self.fleet.layout().vms[vm].admin;
            let text = self.fleet.admin().metrics(address).await;
            sum += metric_sum(&text.unwrap_or_default(), name);
        }
        sum
    }

    fn capacity_of(&self, service: usize) -> f64 {
        let vms = self.fleet.layout().vms.iter();
        let count = vms.filter(|vm| vm.service == service).count();
        model_of(&self.fleet, service).capacity() * count as f64
    }
}

/// Returns whether requests carry an idempotency key, as for a service that only accepts `POST`.
fn is_keyed(shape: &ServiceShape) -> bool {
    shape.methods == [Method::Post]
}

fn model_of(fleet: &Fleet, service: usize) -> UpstreamModel {
    let shape = &fleet.deployment().services[service];
    UpstreamModel {
        path: shape.path.clone(),
        slots: shape.slots,
        connections: shape.connections,
        connect_ms: shape.connect_ms,
        service_ms: shape.service_ms,
        ..UpstreamModel::default()
    }
}

/// Sums the samples of a metric in Prometheus text over all labels.
fn metric_sum(text: &str, name: &str) -> f64 {
    let samples = text.lines().filter_map(|line| {
        let rest = line.strip_prefix(name)?;
        let is_exact = rest.starts_with('{') || rest.starts_with(' ');
        is_exact
            .then(|| rest.rsplit(' ').next())??
            .parse::<f64>()
            .ok()
    });
    samples.sum()
}
