//! Nodes, their upstreams and the store of a test, on loopback addresses.

use std::{
    fs::{self, File},
    net::{IpAddr, Ipv4Addr, SocketAddr},
    path::Path,
    process::{Child, Command, ExitStatus, Stdio},
    sync::{
        Arc,
        atomic::{AtomicU32, Ordering},
    },
    time::Duration,
};

use actix_rt::time::timeout;
use nix::{
    sys::signal::{Signal, kill},
    unistd::Pid,
};
use serde_json::{Value, json};
use tempfile::TempDir;
use wagtaillever_coordination::{ShardOwners, VmEntry, VmList, VmState, quota_shard};

use crate::{caller::Connection, store::TestStore, upstream::TestUpstream};

const CALLERS_PORT: u16 = 8_629;
const PROBES_PORT: u16 = 8_625;
const UPSTREAM_PORT: u16 = 8_628;
const STORE_PORT: u16 = 8_627;

/// What a VM gives to its node.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Machine {
    /// Memory in megabytes, less than that of any VM of the platform.
    pub(crate) memory_mb: u64,
    /// Descriptors of a process, of which 200 are reserved for files as on the platform.
    pub(crate) max_fds: u64,
}

impl Default for Machine {
    fn default() -> Self {
        Self {
            memory_mb: 64,
            max_fds: 650,
        }
    }
}

/// Time in seconds after which the platform kills a stopping node of the large deployment.
pub(crate) const GRACE_S: u64 = 10;
/// Time within which nodes serve and follow changes, with headroom for a busy machine.
const SERVE_TIMEOUT: Duration = Duration::from_secs(20);
/// Service whose upstream runs one request at a time.
const SINGLE_SERVICE: &str = "single";
/// Service whose upstream the test registers.
pub(crate) const LATE_SERVICE: &str = "late";
/// Service whose upstream the test serves.
pub(crate) const RAW_SERVICE: &str = "raw";
/// Longest time in seconds that a request of the tests may take.
const ROUTE_TIMEOUT_S: u64 = 15;

/// Nodes with their upstreams and the store.
pub(crate) struct Fleet {
    pub(crate) store: TestStore,
    pub(crate) vms: Vec<Vm>,
    machine: Machine,
    store_address: SocketAddr,
    directory: TempDir,
}

/// VM with its node and its upstream.
pub(crate) struct Vm {
    pub(crate) upstream: TestUpstream,
    ip: Ipv4Addr,
    service: String,
    node: Option<Child>,
}

impl Vm {
    /// Returns the address at which the node serves callers.
    pub(crate) fn callers(&self) -> SocketAddr {
        self.at(CALLERS_PORT)
    }

    /// Returns the process ID of the node.
    pub(crate) fn process(&self) -> u32 {
        self.node.as_ref().unwrap().id()
    }

    /// Returns the service of the upstream.
    pub(crate) fn service(&self) -> &str {
        &self.service
    }

    /// Returns the address of the upstream.
    pub(crate) fn upstream_address(&self) -> SocketAddr {
        self.at(UPSTREAM_PORT)
    }

    /// Sends a signal to the node.
    pub(crate) fn signal(&self, signal: Signal) {
        let id = Pid::from_raw(self.process().try_into().unwrap());
        kill(id, signal).unwrap();
    }

    /// Waits until the node serves requests for a service.
    pub(crate) async fn wait_until_served(&self, service: &str) {
        let callers = self.callers();
        let served = async {
            while !is_served(callers, service).await {
                actix_rt::time::sleep(Duration::from_millis(50)).await;
            }
        };
        let is_served = timeout(SERVE_TIMEOUT, served).await.is_ok();
        assert!(is_served, "{service} is not served at {callers}");
    }

    /// Kills the node.
    pub(crate) fn kill(&mut self) {
        let node = self.node.as_mut().unwrap();
        node.kill().unwrap();
        node.wait().unwrap();
    }

    /// Returns whether the node has exited.
    pub(crate) fn has_exited(&mut self) -> bool {
        let node = self.node.as_mut().unwrap();
        node.try_wait().unwrap().is_some()
    }

    /// Waits until the node has exited.
    pub(crate) async fn wait(&mut self) -> ExitStatus {
        let node = self.node.as_mut().unwrap();
        loop {
            if let Some(status) = node.try_wait().unwrap() {
                return status;
            }
            actix_rt::time::sleep(Duration::from_millis(10)).await;
        }
    }

    fn at(&self, port: u16) -> SocketAddr {
        SocketAddr::new(self.ip.into(), port)
    }
}

impl Fleet {
    /// Starts a VM for each service, with a route to `orders`, and waits until requests are served.
    pub(crate) async fn start(services: &[&str]) -> Self {
        Self::start_with(services, |_| {}).await
    }

    /// Does the same with further contents of the store.
    pub(crate) async fn start_with(services: &[&str], fill: impl FnOnce(&Self)) -> Self {
        Self::start_on(Machine::default(), services, fill).await
    }

    /// Does the same with nodes that get as much as a machine gives.
    pub(crate) async fn start_on(
        machine: Machine,
        services: &[&str],
        fill: impl FnOnce(&Self),
    ) -> Self {
        let mut addresses = unused_ips();
        let store_ip = addresses.next().unwrap();
        let vms = services.iter().enumerate().map(|(index, service)| Vm {
            upstream: TestUpstream::new(format!("i-{index}")),
            ip: addresses.next().unwrap(),
            service: (*service).into(),
            node: None,
        });
        let mut fleet = Self {
            store: TestStore::default(),
            vms: vms.collect(),
            machine,
            store_address: SocketAddr::new(IpAddr::V4(store_ip), STORE_PORT),
            directory: TempDir::new().unwrap(),
        };
        fleet.store.serve(fleet.store_address);
        fleet.put_config(7);
        for (index, vm) in fleet.vms.iter().enumerate() {
            if vm.service != RAW_SERVICE {
                vm.upstream.serve(vm.upstream_address());
            }
            if vm.service != LATE_SERVICE {
                fleet.register(index);
            }
        }
        fill(&fleet);
        for index in 0..fleet.vms.len() {
            fleet.start_node(index);
        }
        fleet.wait_until_served().await;
        fleet
    }

    /// Writes the registration of the upstream of a VM.
    pub(crate) fn register(&self, index: usize) {
        let entry = self.entry(&self.vms[index]).to_string();
        let key = format!("servers/{}", self.vms[index].upstream.name);
        self.store.put(&key, entry.as_bytes());
    }

    /// Writes a configuration with a route to each service.
    pub(crate) fn put_config(&self, version: u64) {
        self.put_config_with(version, |_| {});
    }

    /// Does the same with changes to the configuration.
    pub(crate) fn put_config_with(&self, version: u64, change: impl FnOnce(&mut Value)) {
        let services = ["orders", "other", SINGLE_SERVICE, LATE_SERVICE, RAW_SERVICE];
        let routes = services.map(|name| {
            json!({
                "name": format!("r-{name}"), "hostname": "orders.example",
                "prefix": format!("/{name}/"), "type": "unsafe", "timeout_s": ROUTE_TIMEOUT_S,
                "target_latency_s": 1, "priority": 1, "service": name, "attempts": 2,
            })
        });
        let services = services
            .map(|name| json!({"name": name, "health_check": "/health", "max_connections": 120}));
        let mut config = json!({
            "version": version,
            "routes": routes,
            "services": services,
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 1 << 20,
                       "header_timeout_s": 3, "idle_timeout_s": 15},
            "base_version": 0,
        });
        change(&mut config);
        self.store.put("op/config", config.to_string().as_bytes());
    }

    /// Returns the registration of the upstream of a VM.
    pub(crate) fn entry(&self, vm: &Vm) -> Value {
        let slots = if vm.service == SINGLE_SERVICE { 1 } else { 64 };
        json!({
            "service": vm.service, "address": vm.upstream_address(), "zone": "ragusa",
            "version": "v1", "max_concurrency": slots, "state": "ready", "cold_remaining_s": 0,
            "sequence": 4, "born": 1_700_000_000_000_u64,
        })
    }

    /// Starts the node of a VM with the settings of the deploy file.
    pub(crate) fn start_node(&mut self, index: usize) {
        let settings = self.directory.path().join(format!("{index}.yaml"));
        fs::write(&settings, self.settings(&self.vms[index])).unwrap();
        let log = self.directory.path().join(format!("{index}.log"));
        let log = File::options().create(true).append(true).open(log);
        let node = Command::new(env!("CARGO_BIN_EXE_wagtailleverd"))
            .arg("--settings")
            .arg(&settings)
            .arg(format!("--set=limits.memory_mb={}", self.machine.memory_mb))
            .arg(format!("--set=limits.max_fds={}", self.machine.max_fds))
            .stdin(Stdio::null())
            .stdout(log.unwrap())
            .spawn();
        self.vms[index].node = Some(node.unwrap());
    }

    /// Returns the log of a node.
    pub(crate) fn log(&self, index: usize) -> String {
        let log = self.directory.path().join(format!("{index}.log"));
        fs::read_to_string(log).unwrap()
    }

    /// Returns the index of the VM whose node counts the requests of a tenant.
    pub(crate) fn quota_owner(&self, tenant: &str) -> usize {
        let entries = self.vms.iter().map(|vm| {
            Arc::new(VmEntry {
                vm: vm.ip.to_string().into(),
                domain: "ragusa".into(),
                region: "sicily".into(),
                address: vm.callers(),
                state: VmState::Live,
                upstreams: Vec::new(),
            })
        });
        let list = VmList {
            number: 1,
            vms: entries.collect(),
        };
        let owners = ShardOwners::new(&list);
        let owner = owners.owner(quota_shard(&tenant.into())).unwrap();
        let mut vms = self.vms.iter();
        vms.position(|vm| vm.ip.to_string() == owner.as_str())
            .unwrap()
    }

    /// Returns how many log lines of all nodes contain a text.
    pub(crate) fn count_log_lines(&self, text: &str) -> usize {
        let logs = (0..self.vms.len()).map(|index| self.log(index));
        logs.map(|log| log.matches(text).count()).sum()
    }

    /// Waits until each node serves a request.
    pub(crate) async fn wait_until_served(&self) {
        let first = &self.vms[0].service;
        for vm in &self.vms {
            vm.wait_until_served(first).await;
        }
    }

    fn settings(&self, vm: &Vm) -> String {
        let template = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../deploy/node.yaml");
        let mut text = fs::read_to_string(template).unwrap();
        // All VMs of a test share one host.
        text = text.replace("127.0.0.1", &vm.ip.to_string());
        let fields = [
            ("ip", vm.ip.to_string()),
            ("zone", "ragusa".into()),
            ("region", "sicily".into()),
            ("service", vm.service.clone()),
            ("listen.outbound", vm.callers().to_string()),
            ("listen.ready", vm.at(PROBES_PORT).to_string()),
            ("provider.address", self.store_address.to_string()),
            ("zones|json", "{\"ragusa\":\"sicily\"}".into()),
            ("bounds.retry_budget_ratio", "0.2".into()),
            ("bounds.budget_min_retries", "630".into()),
            ("bounds.budget_window_s", "10".into()),
            ("limits.link_mbps", "200.0".into()),
            ("bounds.cold_overage", "1.5".into()),
            ("bounds.config_apply_s", "3".into()),
            ("bounds.drain_s", "3".into()),
            ("bounds.grace_s", GRACE_S.to_string()),
        ];
        for (field, value) in fields {
            text = text.replace(&format!("{{{{{field}}}}}"), &value);
        }
        text
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        if std::thread::panicking() {
            for index in 0..self.vms.len() {
                eprintln!("log of node {index}:\n{}", self.log(index));
            }
        }
        for node in self.vms.iter_mut().filter_map(|vm| vm.node.as_mut()) {
            let _ = node.kill();
            let _ = node.wait();
        }
    }
}

/// Returns whether a node serves a request for a service.
pub(crate) async fn is_served(node: SocketAddr, service: &str) -> bool {
    let Ok(mut connection) = Connection::open(node).await else {
        return false;
    };
    let path = format!("/{service}/w0");
    let answer = connection.post("ready", &path).await;
    answer.is_ok_and(|answer| answer.status == 200)
}

/// Waits until a condition holds.
pub(crate) async fn wait_until(what: &str, holds: impl Fn() -> bool) {
    let wait = async {
        while !holds() {
            actix_rt::time::sleep(Duration::from_millis(5)).await;
        }
    };
    let is_met = timeout(SERVE_TIMEOUT, wait).await.is_ok();
    assert!(is_met, "timed out waiting for {what}");
}

/// Returns loopback addresses that no other test of this process uses.
fn unused_ips() -> impl Iterator<Item = Ipv4Addr> {
    static NEXT_NET: AtomicU32 = AtomicU32::new(0);
    let [.., high, low] = std::process::id().to_be_bytes();
    let net = NEXT_NET.fetch_add(1, Ordering::Relaxed).to_be_bytes()[3];
    (1..255).map(move |host| Ipv4Addr::new(127, 192 + high % 60, low, net * 8 + host))
}
