//! Real nodes of a deployment as child processes on loopback, with their platform and proxy.

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
    options::{FleetOptions, PLATFORM_RATE},
    usage::Usage,
};

use std::time::{Duration, Instant};

use futures_util::{StreamExt, stream};
use snafu::ResultExt;
use tempfile::TempDir;
use wagtaillever_coordination::{Config, ReleaseNote, Sequence, StatusReport};

use crate::{
    deployment::Deployment,
    error::{BenchError, IoSnafu, LateSnafu, NoteSnafu},
    layout::Layout,
    platform::{PlatformHandle, PlatformServer},
    ports::PortBlock,
    proxy::{Endpoint, Proxy, Rule},
};

/// Admin requests that are in flight at once.
const ADMIN_REQUESTS: usize = 16;
/// Pause between two rounds of questions to nodes.
const POLL_PAUSE: Duration = Duration::from_millis(200);
/// Part of the base's size limit that one part uses, in bytes.
const PART_BYTES: usize = 900_000;

/// Nodes of a deployment with their platform and proxy; its end ends them all.
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
    /// Sets up everything but the nodes: platform, proxy and settings files.
    ///
    /// # Errors
    ///
    /// Returns an error when an address can't be bound or a file can't be written.
    pub(crate) fn prepare(options: FleetOptions) -> Result<Self, BenchError> {
        let ports = PortBlock::take()?;
        let layout = Layout::new(&options.deployment, &ports, options.proxied);
        let handle = PlatformHandle::new(options.platform_rate, options.seed);
        let platform = PlatformServer::start(handle, &layout.platform)?;
        let proxy = match options.proxied {
            true => Some(start_proxy(&layout, &options.deployment)?),
            false => None,
        };
        let dir = tempfile::Builder::new().prefix("wagtaillever-").tempdir();
        let dir = dir.context(IoSnafu { what: "directory" })?;
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

    /// Returns the configuration that a fleet starts from.
    ///
    /// # Errors
    ///
    /// Returns an error when the deployment's first note breaks a rule.
    pub(crate) fn base(&self) -> Result<Config, BenchError> {
        let note = self.layout.first_note(self.deployment(), Sequence(1));
        Config::default().apply(&note).context(NoteSnafu)
    }

    /// Publishes the base, the list of VMs and no orders.
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
        let text = serde_yaml_ng::to_string(note).expect("a note serialises");
        self.publish_text(note.note, &text);
        text.len()
    }

    /// Publishes any text as a release note.
    pub(crate) fn publish_text(&self, sequence: Sequence, text: &str) {
        self.platform().publish(&format!("notes/{sequence}"), text);
    }

    /// Starts the node of a VM, which must have none.
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

    /// Starts the nodes of all VMs that have none.
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

    /// Kills the node of a VM; a replacement may be started.
    pub(crate) fn kill(&mut self, vm: usize) {
        self.nodes[vm] = None;
    }

    /// Returns the node of a VM, if it runs.
    pub(crate) fn node(&self, vm: usize) -> Option<&NodeProcess> {
        self.nodes[vm].as_ref()
    }

    /// Returns the node of a VM to be changed, if it runs.
    pub(crate) fn node_mut(&mut self, vm: usize) -> Option<&mut NodeProcess> {
        self.nodes[vm].as_mut()
    }

    /// Returns the positions of VMs whose node runs.
    pub(crate) fn running(&self) -> Vec<usize> {
        let all = 0..self.nodes.len();
        all.filter(|&vm| self.nodes[vm].is_some()).collect()
    }

    /// Returns the positions of VMs whose node ended by itself.
    pub(crate) fn exited(&mut self) -> Vec<usize> {
        let ended = |(vm, node): (usize, &mut Option<NodeProcess>)| {
            let has_exited = node.as_mut().is_some_and(NodeProcess::has_exited);
            has_exited.then_some(vm)
        };
        self.nodes
            .iter_mut()
            .enumerate()
            .filter_map(ended)
            .collect()
    }

    /// Returns where everything stands.
    pub(crate) fn layout(&self) -> &Layout {
        &self.layout
    }

    /// Returns the deployment.
    pub(crate) fn deployment(&self) -> &Deployment {
        &self.options.deployment
    }

    /// Returns the control over the platform.
    pub(crate) fn platform(&self) -> &PlatformHandle {
        self.platform.handle()
    }

    /// Returns the proxy between the nodes, if there is one.
    pub(crate) fn proxy(&self) -> Option<&Proxy> {
        self.proxy.as_ref()
    }

    /// Returns the client of the nodes' admin interfaces.
    pub(crate) fn admin(&self) -> &AdminClient {
        &self.admin
    }

    /// Returns the token that guards the nodes' admin interfaces.
    pub(crate) fn token(&self) -> &str {
        options::TOKEN
    }

    /// Asks the nodes of VMs for their status; `None` stands for no answer.
    pub(crate) async fn statuses(&self, vms: &[usize]) -> Vec<Option<StatusReport>> {
        self.ask(vms, |address| self.admin.status(address)).await
    }

    /// Asks the nodes of VMs for their events; an empty list may stand for no answer.
    pub(crate) async fn events(&self, vms: &[usize]) -> Vec<Vec<Event>> {
        let answers = self.ask(vms, |address| self.admin.timeline(address)).await;
        answers.into_iter().map(Option::unwrap_or_default).collect()
    }

    /// Asks the nodes of VMs for their metrics; `None` stands for no answer.
    pub(crate) async fn metrics(&self, vms: &[usize]) -> Vec<Option<String>> {
        self.ask(vms, |address| self.admin.metrics(address)).await
    }

    /// Waits until a condition holds for the status of all nodes of VMs.
    ///
    /// # Errors
    ///
    /// Returns an error that names the nodes for which it does not hold in time.
    pub(crate) async fn wait_for(
        &self,
        vms: &[usize],
        what: &str,
        limit: Duration,
        holds: impl Fn(&StatusReport) -> bool,
    ) -> Result<(), BenchError> {
        let end = Instant::now() + limit;
        let mut open = vms.to_vec();
        loop {
            let statuses = self.statuses(&open).await;
            let mut asked = statuses.iter();
            open.retain(|_| !asked.next().is_some_and(|s| s.as_ref().is_some_and(&holds)));
            if open.is_empty() {
                return Ok(());
            }
            if Instant::now() >= end {
                let names = open.iter().map(|&vm| self.layout.vms[vm].vm.as_str());
                let names: Vec<&str> = names.collect();
                let what = format!("{what} on {}", names.join(", "));
                return LateSnafu { what, limit }.fail();
            }
            tokio::time::sleep(POLL_PAUSE).await;
        }
    }

    /// Waits until the nodes of VMs serve.
    ///
    /// # Errors
    ///
    /// Returns an error that names the nodes that don't serve in time.
    pub(crate) async fn wait_serving(
        &self,
        vms: &[usize],
        limit: Duration,
    ) -> Result<(), BenchError> {
        let serves = |status: &StatusReport| status.phase == "serving";
        self.wait_for(vms, "serving", limit, serves).await
    }

    /// Keeps the directory with settings and logs and returns its path.
    pub(crate) fn keep_logs(&mut self) -> std::path::PathBuf {
        self.dir.disable_cleanup(true);
        self.dir.path().to_owned()
    }

    async fn ask<T, F>(
        &self,
        vms: &[usize],
        ask: impl Fn(std::net::SocketAddr) -> F,
    ) -> Vec<Option<T>>
    where
        F: Future<Output = Option<T>>,
    {
        let addresses = vms.iter().map(|&vm| self.layout.vms[vm].admin);
        let asked = stream::iter(addresses).map(ask);
        asked.buffered(ADMIN_REQUESTS).collect().await
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
        proxy.rules().change(|rules| rules.set_between(delay));
    }
    Ok(proxy)
}

/// Returns keys and values that publish a base, in parts when it is large.
fn base_values(base: &Config) -> Vec<(String, String)> {
    let whole = json(base);
    let parts = whole.len().div_ceil(PART_BYTES);
    if parts == 1 {
        return vec![("base".into(), whole)];
    }
    let name = |part: usize| format!("base/{part}");
    let mut values: Vec<_> = (0..parts)
        .map(|part| (name(part), json(&part_of(base, part, parts))))
        .collect();
    let names: Vec<String> = (0..parts).map(name).collect();
    let index = serde_json::json!({ "sequence": base.sequence, "parts": names });
    values.push(("base".into(), index.to_string()));
    values
}

fn part_of(base: &Config, part: usize, parts: usize) -> Config {
    let mut share = base.clone();
    let services: Vec<_> = base.services.keys().collect();
    let is_ours = |name: &_| {
        services
            .binary_search(&name)
            .is_ok_and(|at| at % parts == part)
    };
    share.services.retain(|name, _| is_ours(name));
    share.routes.retain(|_, route| is_ours(&route.service));
    share
        .upstreams
        .retain(|_, upstream| is_ours(&upstream.service));
    share
}

/// Returns a value of the platform as JSON.
///
/// # Panics
///
/// Does not panic: the values always serialise.
pub(crate) fn json<T: serde::Serialize>(value: &T) -> String {
    serde_json::to_string(value).expect("the value serialises")
}
