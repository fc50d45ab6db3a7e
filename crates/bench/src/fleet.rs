//! Nodes of a deployment as child processes on loopback, with their platform and proxy.

mod admin;
mod event;
mod node;
mod options;
mod settings;
mod usage;

pub(crate) use self::{
    admin::AdminClient,
    event::{Event, EventKind},
    node::NodeProcess,
    options::{FleetOptions, PLATFORM_CALLS_PER_S, StopLimits},
    usage::Usage,
};

use std::time::{Duration, Instant};

use futures_util::{StreamExt, stream};
use snafu::ResultExt;
use tempfile::TempDir;
use wagtaillever_coordination::{Config, ReleaseNote, Sequence, StatusReport};

use crate::{
    deployment::Deployment,
    error::{BenchError, IoSnafu, NoteSnafu, TimedOutSnafu},
    layout::Layout,
    platform::{PlatformHandle, PlatformServer},
    ports::PortBlock,
    proxy::{Endpoint, Proxy, Rule},
};

/// Maximum number of concurrent admin requests.
const MAX_ADMIN_REQUESTS: usize = 16;
/// Interval between two polls of the node statuses.
const POLL_INTERVAL: Duration = Duration::from_millis(200);
/// Target size of one part of the base, which leaves room below the size limit of a value.
const TARGET_PART_BYTES: usize = 900_000;

/// Nodes of a deployment with their platform and proxy, which all end when it is dropped.
pub(crate) struct Fleet {
    nodes: Vec<Option<NodeProcess>>,
    options: FleetOptions,
    layout: Layout,
    admin: AdminClient,
    platform: PlatformServer,
    proxy: Option<Proxy>,
    dir: TempDir,
    _ports: PortBlock,
}

impl Fleet {
    /// Starts platform and proxy and writes the settings files of the nodes.
    ///
    /// # Errors
    ///
    /// Returns an error when an address can't be bound or a file can't be written.
    pub(crate) fn prepare(options: FleetOptions) -> Result<Self, BenchError> {
        let ports = PortBlock::reserve()?;
        let layout = Layout::new(&options.deployment, &ports, options.proxied);
        let handle = PlatformHandle::new(options.platform_rate, options.seed);
        let platform = PlatformServer::start(handle, &layout.platform)?;
        let proxy = match options.proxied {
            true => Some(start_proxy(&layout, &options.deployment)?),
            false => None,
        };
        let dir = tempfile::Builder::new().prefix("wagtaillever-").tempdir();
        let dir = dir.context(IoSnafu {
            what: "temporary directory",
        })?;
        let fleet = Self {
            nodes: layout.vms.iter().map(|_| None).collect(),
            admin: AdminClient::default(),
            options,
            layout,
            platform,
            proxy,
            dir,
            _ports: ports,
        };
        for vm in 0..fleet.layout.vms.len() {
            fleet.write_settings(vm)?;
        }
        Ok(fleet)
    }

    /// Returns the base configuration of the deployment.
    ///
    /// # Errors
    ///
    /// Returns an error when the deployment's first note breaks a rule.
    pub(crate) fn base(&self) -> Result<Config, BenchError> {
        let note = self.layout.first_note(self.deployment(), Sequence(1));
        Config::default().apply(&note).context(NoteSnafu)
    }

    /// Publishes the base, the list of VMs and an empty list of drain orders.
    ///
    /// # Errors
    ///
    /// Returns an error when the deployment's first note breaks a rule.
    pub(crate) fn publish_base(&self) -> Result<(), BenchError> {
        let base = self.base()?;
        let platform = self.platform();
        platform.publish("vms", &json(&self.layout.vm_list(1)));
        platform.publish("drains", "[]");
        for (key, value) in base_values(&base) {
            platform.publish(&key, &value);
        }
        Ok(())
    }

    /// Publishes a release note under its sequence and returns its size in bytes.
    ///
    /// # Panics
    ///
    /// Does not panic: a note always serialises.
    pub(crate) fn publish_note(&self, note: &ReleaseNote) -> usize {
        let text = serde_yaml_ng::to_string(note).expect("release notes serialise");
        self.publish_text(note.note, &text);
        text.len()
    }

    /// Publishes a text, valid or not, as a release note.
    pub(crate) fn publish_text(&self, sequence: Sequence, text: &str) {
        self.platform().publish(&format!("notes/{sequence}"), text);
    }

    /// Starts the node of a VM, which must not have one.
    ///
    /// # Errors
    ///
    /// Returns an error when the process can't be started.
    pub(crate) fn start(&mut self, vm: usize) -> Result<(), BenchError> {
        let name = &self.layout.vms[vm].vm;
        let settings = self.dir.path().join(format!("{name}.yaml"));
        let log = self.dir.path().join(format!("{name}.log"));
        self.nodes[vm] = Some(NodeProcess::spawn(&settings, &log)?);
        Ok(())
    }

    /// Starts the nodes of all VMs without one.
    ///
    /// # Errors
    ///
    /// Returns an error when a process can't be started.
    pub(crate) fn start_all(&mut self) -> Result<(), BenchError> {
        for vm in 0..self.nodes.len() {
            if self.nodes[vm].is_none() {
                self.start(vm)?;
            }
        }
        Ok(())
    }

    /// Kills the node of a VM, after which a replacement can be started.
    pub(crate) fn kill(&mut self, vm: usize) {
        self.nodes[vm] = None;
    }

    /// Returns the node of a VM, unless it was killed or not started.
    pub(crate) fn node(&self, vm: usize) -> Option<&NodeProcess> {
        self.nodes[vm].as_ref()
    }

    /// Returns the node of a VM for changes, unless it was killed or not started.
    pub(crate) fn node_mut(&mut self, vm: usize) -> Option<&mut NodeProcess> {
        self.nodes[vm].as_mut()
    }

    /// Returns the indices of VMs with a node that was started and not killed.
    pub(crate) fn running(&self) -> Vec<usize> {
        let all = 0..self.nodes.len();
        all.filter(|&vm| self.nodes[vm].is_some()).collect()
    }

    /// Returns the indices of VMs whose node exited by itself.
    pub(crate) fn exited(&mut self) -> Vec<usize> {
        let exited_vm = |(vm, node): (usize, &mut Option<NodeProcess>)| {
            let has_exited = node.as_mut().is_some_and(NodeProcess::has_exited);
            has_exited.then_some(vm)
        };
        self.nodes
            .iter_mut()
            .enumerate()
            .filter_map(exited_vm)
            .collect()
    }

    /// Returns the addresses and placement of the deployment.
    pub(crate) fn layout(&self) -> &Layout {
        &self.layout
    }

    pub(crate) fn deployment(&self) -> &Deployment {
        &self.options.deployment
    }

    /// Returns the handle that controls the platform.
    pub(crate) fn platform(&self) -> &PlatformHandle {
        self.platform.handle()
    }

    /// Returns the proxy between the nodes, if the fleet uses one.
    pub(crate) fn proxy(&self) -> Option<&Proxy> {
        self.proxy.as_ref()
    }

    /// Returns the client of the nodes' admin interfaces.
    pub(crate) fn admin(&self) -> &AdminClient {
        &self.admin
    }

    /// Returns the bearer token of the nodes' admin interfaces.
    pub(crate) fn token(&self) -> &str {
        options::TOKEN
    }

    /// Queries the status of the nodes of VMs; `None` if a node does not answer.
    pub(crate) async fn statuses(&self, vms: &[usize]) -> Vec<Option<StatusReport>> {
        self.query(vms, |address| self.admin.status(address)).await
    }

    /// Queries the events of the nodes of VMs; an empty list if a node does not answer.
    pub(crate) async fn events(&self, vms: &[usize]) -> Vec<Vec<Event>> {
        let answers = self
            .query(vms, |address| self.admin.timeline(address))
            .await;
        answers.into_iter().map(Option::unwrap_or_default).collect()
    }

    /// Queries the metrics of the nodes of VMs; `None` if a node does not answer.
    pub(crate) async fn metrics(&self, vms: &[usize]) -> Vec<Option<String>> {
        self.query(vms, |address| self.admin.metrics(address)).await
    }

    /// Waits until a condition holds for the status of the nodes of all given VMs.
    ///
    /// # Errors
    ///
    /// Returns an error that names the nodes for which it does not hold within the limit.
    pub(crate) async fn wait_for(
        &self,
        vms: &[usize],
        what: &str,
        limit: Duration,
        holds: impl Fn(&StatusReport) -> bool,
    ) -> Result<(), BenchError> {
        let deadline = Instant::now() + limit;
        let mut pending = vms.to_vec();
        loop {
            let statuses = self.statuses(&pending).await;
            let mut iter = statuses.iter();
            pending.retain(|_| !iter.next().is_some_and(|s| s.as_ref().is_some_and(&holds)));
            if pending.is_empty() {
                return Ok(());
            }
            if Instant::now() >= deadline {
                let names = pending.iter().map(|&vm| self.layout.vms[vm].vm.as_str());
                let names: Vec<&str> = names.collect();
                let what = format!("{what} on {}", names.join(", "));
                return TimedOutSnafu { what, limit }.fail();
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    /// Waits until the nodes of all given VMs serve.
    ///
    /// # Errors
    ///
    /// Returns an error that names the nodes that don't serve within the limit.
    pub(crate) async fn wait_serving(
        &self,
        vms: &[usize],
        limit: Duration,
    ) -> Result<(), BenchError> {
        let serves = |status: &StatusReport| status.phase == "serving";
        self.wait_for(vms, "serving", limit, serves).await
    }

    /// Keeps the directory with settings and logs after the end and returns its path.
    pub(crate) fn keep_logs(&mut self) -> std::path::PathBuf {
        self.dir.disable_cleanup(true);
        self.dir.path().to_owned()
    }

    async fn query<T, F>(
        &self,
        vms: &[usize],
        request: impl Fn(std::net::SocketAddr) -> F,
    ) -> Vec<Option<T>>
    where
        F: Future<Output = Option<T>>,
    {
        let addresses = vms.iter().map(|&vm| self.layout.vms[vm].admin);
        let requests = stream::iter(addresses).map(request);
        requests.buffered(MAX_ADMIN_REQUESTS).collect().await
    }

    fn write_settings(&self, vm: usize) -> Result<(), BenchError> {
        let text = settings::text(&self.layout, vm, &self.options);
        let name = &self.layout.vms[vm].vm;
        let path = self.dir.path().join(format!("{name}.yaml"));
        std::fs::write(&path, text).with_context(|_| IoSnafu {
            what: path.display().to_string(),
        })
    }
}

fn start_proxy(layout: &Layout, deployment: &Deployment) -> Result<Proxy, BenchError> {
    let endpoint = |vm: &crate::layout::Placement| Endpoint {
        domain: vm.domain,
        ip: vm.ip,
        advertised: vm.advertised,
        node: vm.peers,
    };
    let endpoints: Vec<Endpoint> = layout.vms.iter().map(endpoint).collect();
    let proxy = Proxy::start(&endpoints)?;
    let micros = (deployment.latency.domains_ms * 1000.0) as u64;
    if micros > 0 {
        let delay = Rule::Delay(micros);
        proxy.rules().change(|rules| rules.set_cross_domain(delay));
    }
    Ok(proxy)
}

/// Returns the platform keys and values of a base, split into parts if it is large.
fn base_values(base: &Config) -> Vec<(String, String)> {
    let text = json(base);
    let parts = text.len().div_ceil(TARGET_PART_BYTES);
    if parts == 1 {
        return vec![("base".into(), text)];
    }
    let key = |part: usize| format!("base/{part}");
    let mut values: Vec<_> = (0..parts)
        .map(|part| (key(part), json(&config_part(base, part, parts))))
        .collect();
    let keys: Vec<String> = (0..parts).map(key).collect();
    let index = serde_json::json!({ "sequence": base.sequence, "parts": keys });
    values.push(("base".into(), index.to_string()));
    values
}

fn config_part(base: &Config, part: usize, parts: usize) -> Config {
    let mut part_config = base.clone();
    let services: Vec<_> = base.services.keys().collect();
    let is_in_part = |name: &_| {
        services
            .binary_search(&name)
            .is_ok_and(|at| at % parts == part)
    };
    part_config.services.retain(|name, _| is_in_part(name));
    part_config
        .routes
        .retain(|_, route| is_in_part(&route.service));
    part_config
        .upstreams
        .retain(|_, upstream| is_in_part(&upstream.service));
    part_config
}

/// Returns a value as JSON text.
///
/// # Panics
///
/// Does not panic: the values always serialise.
pub(crate) fn json<T: serde::Serialize>(value: &T) -> String {
    serde_json::to_string(value).expect("values serialise")
}
