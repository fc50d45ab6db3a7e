//! Starts node processes and queries them through the admin interface.

use std::{
    net::{Ipv4Addr, SocketAddr},
    process::{Child, Command},
    sync::{
        Arc,
        atomic::{AtomicU32, Ordering},
    },
    time::Duration,
};

use serde_json::Value;
use tempfile::TempDir;
use wagtaillever_coordination::{Overlay, VmEntry, VmList};

use crate::platform::Platform;

/// Maximum wait for a condition.
const WAIT_TIMEOUT: Duration = Duration::from_secs(30);

/// Nodes of several failure domains and a fake platform.
pub(crate) struct Fleet {
    pub(crate) platform: Platform,
    directory: TempDir,
    list: VmList,
    nodes: Vec<Node>,
}

struct Node {
    settings: String,
    admin: SocketAddr,
    process: Option<Child>,
}

impl Fleet {
    /// Creates nodes, not started yet, and a platform with the list of their VMs.
    pub(crate) fn new(domains: &[(&str, usize)]) -> Self {
        let platform = Platform::default();
        let address = platform.start();
        let mut list = VmList {
            number: 1,
            vms: Vec::new(),
        };
        let mut nodes = Vec::new();
        for (domain, count) in domains {
            for number in 0..*count {
                let [peers, admin, callers] = unused_addresses();
                let vm = format!("{domain}-{number}");
                let settings = format!(
                    "vm: {vm}\ndomain: {domain}\nregion: test\naddress: 127.0.0.1\n\
                     callers: {callers}\npeers: {peers}\nadmin: {admin}\ntoken: secret\n\
                     platform: [\"{address}\"]\nlog: warn\n"
                );
                list.vms.push(Arc::new(VmEntry {
                    vm: vm.as_str().into(),
                    domain: (*domain).into(),
                    region: "test".into(),
                    address: peers,
                    state: Default::default(),
                    upstreams: Vec::new(),
                }));
                nodes.push(Node {
                    settings,
                    admin,
                    process: None,
                });
            }
        }
        platform.put("vms", &serde_json::to_string(&list).unwrap());
        Self {
            platform,
            directory: TempDir::new().unwrap(),
            list,
            nodes,
        }
    }

    pub(crate) fn start_all(&mut self) {
        for index in 0..self.nodes.len() {
            self.start(index);
        }
    }

    pub(crate) fn start(&mut self, index: usize) {
        let path = self.directory.path().join(format!("{index}.yaml"));
        let node = &mut self.nodes[index];
        std::fs::write(&path, &node.settings).unwrap();
        let mut command = Command::new(env!("CARGO_BIN_EXE_wagtailleverd"));
        node.process = Some(command.arg("--settings").arg(path).spawn().unwrap());
    }

    pub(crate) fn kill(&mut self, indexes: Vec<usize>) {
        for index in indexes {
            let mut process = self.nodes[index].process.take().unwrap();
            process.kill().unwrap();
            process.wait().unwrap();
        }
    }

    /// Returns the indexes of the nodes that read the platform on behalf of a failure domain.
    pub(crate) fn relays(&self, domain: &str) -> Vec<usize> {
        let overlay = Overlay::new(&self.list);
        let relays = overlay.nodes(&domain.into()).iter().take(2);
        relays
            .map(|relay| self.list.vms.iter().position(|e| e.vm == relay.vm).unwrap())
            .collect()
    }

    /// Waits until the status of each running node meets a condition.
    pub(crate) async fn wait_for_all(&self, condition: impl Fn(&Value) -> bool) {
        for (index, node) in self.nodes.iter().enumerate() {
            if node.process.is_some() {
                self.wait_for(index, &condition).await;
            }
        }
    }

    /// Waits until the status of one node meets a condition.
    pub(crate) async fn wait_for(&self, index: usize, condition: impl Fn(&Value) -> bool) {
        let mut last = Value::Null;
        let wait = async {
            loop {
                last = self.get(index, "status").await;
                if condition(&last) {
                    return;
                }
                actix_rt::time::sleep(Duration::from_millis(30)).await;
            }
        };
        let result = actix_rt::time::timeout(WAIT_TIMEOUT, wait).await;
        assert!(
            result.is_ok(),
            "node {index} did not meet the condition; last status: {last}"
        );
    }

    /// Returns a value from the status of each node.
    pub(crate) async fn status_values<T>(&self, value: impl Fn(&Value) -> T) -> Vec<T> {
        let mut values = Vec::new();
        for index in 0..self.nodes.len() {
            values.push(value(&self.get(index, "status").await));
        }
        values
    }

    /// Returns whether a node entered the serving phase before a sequence was in force on it.
    pub(crate) async fn has_served_below(&self, index: usize, sequence: u64) -> bool {
        let events = self.get(index, "timeline").await;
        let mut note = 0;
        for event in events.as_array().unwrap() {
            note = note.max(event["note"].as_u64().unwrap_or(0));
            if event["phase"] == "serving" && note < sequence {
                return true;
            }
        }
        false
    }

    pub(crate) async fn send_order(&self, index: usize, order: &str) {
        let url = format!("http://{}/drains", self.nodes[index].admin);
        let request = awc::Client::default().post(url);
        let request = request.insert_header(("authorization", "Bearer secret"));
        let request = request.content_type("application/json");
        let response = request.send_body(order.to_string()).await.unwrap();
        assert_eq!(response.status(), 200);
    }

    async fn get(&self, index: usize, path: &str) -> Value {
        let url = format!("http://{}/{path}", self.nodes[index].admin);
        let Ok(mut response) = awc::Client::default().get(url).send().await else {
            return Value::Null;
        };
        let body = response.body().limit(8 << 20).await;
        body.map_or(Value::Null, |body| {
            serde_json::from_slice(&body).unwrap_or(Value::Null)
        })
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        let running = self
            .nodes
            .iter_mut()
            .filter_map(|node| node.process.as_mut());
        for process in running {
            let _ = process.kill();
            let _ = process.wait();
        }
    }
}

/// Ports of each node; the loopback IPs differ.
const PORTS: [u16; 3] = [20_001, 20_002, 20_003];

/// Returns addresses on a loopback IP that only one node uses. The addresses are not probed by
/// binding them: a child process that another test forks at that moment would inherit the socket
/// and keep the address in use until it executes its program.
fn unused_addresses() -> [SocketAddr; 3] {
    static NEXT_NODE: AtomicU32 = AtomicU32::new(1);
    let [.., high, low] = std::process::id().to_be_bytes();
    let node = NEXT_NODE.fetch_add(1, Ordering::Relaxed).to_be_bytes()[3];
    let ip = Ipv4Addr::new(127, 64 + high % 64, low, node);
    PORTS.map(|port| SocketAddr::new(ip.into(), port))
}
