//! Node processes under test.

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

/// Longest wait for a condition.
const PATIENCE: Duration = Duration::from_secs(30);

/// Nodes of some failure domains and their platform.
pub(crate) struct Fleet {
    pub(crate) platform: Platform,
    folder: TempDir,
    list: VmList,
    nodes: Vec<Node>,
}

struct Node {
    settings: String,
    admin: SocketAddr,
    process: Option<Child>,
}

impl Fleet {
    /// Returns nodes that do not run yet and a platform that lists them.
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
                let [peers, admin, callers] = free_ports();
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
            folder: TempDir::new().unwrap(),
            list,
            nodes,
        }
    }

    pub(crate) fn start_all(&mut self) {
        for node in 0..self.nodes.len() {
            self.start(node);
        }
    }

    pub(crate) fn start(&mut self, number: usize) {
        let path = self.folder.path().join(format!("{number}.yaml"));
        let node = &mut self.nodes[number];
        std::fs::write(&path, &node.settings).unwrap();
        let mut command = Command::new(env!("CARGO_BIN_EXE_wagtailleverd"));
        node.process = Some(command.arg("--settings").arg(path).spawn().unwrap());
    }

    pub(crate) fn kill(&mut self, numbers: Vec<usize>) {
        for number in numbers {
            let mut process = self.nodes[number].process.take().unwrap();
            process.kill().unwrap();
            process.wait().unwrap();
        }
    }

    /// Returns the nodes that read the platform for a failure domain.
    pub(crate) fn relays(&self, domain: &str) -> Vec<usize> {
        let overlay = Overlay::new(&self.list);
        let relays = overlay.nodes(&domain.into()).iter().take(2);
        relays
            .map(|relay| self.list.vms.iter().position(|e| e.vm == relay.vm).unwrap())
            .collect()
    }

    /// Waits until the status of each running node meets a condition.
    pub(crate) async fn until_all(&self, check: impl Fn(&Value) -> bool) {
        for (number, node) in self.nodes.iter().enumerate() {
            if node.process.is_some() {
                self.until(number, &check).await;
            }
        }
    }

    /// Waits until the status of one node meets a condition.
    pub(crate) async fn until(&self, number: usize, check: impl Fn(&Value) -> bool) {
        let mut last = Value::Null;
        let wait = async {
            loop {
                last = self.get(number, "status").await;
                if check(&last) {
                    return;
                }
                actix_rt::time::sleep(Duration::from_millis(30)).await;
            }
        };
        let result = actix_rt::time::timeout(PATIENCE, wait).await;
        assert!(result.is_ok(), "node {number} stays at {last}");
    }

    pub(crate) async fn all<T>(&self, value: impl Fn(&Value) -> T) -> Vec<T> {
        let mut values = Vec::new();
        for number in 0..self.nodes.len() {
            values.push(value(&self.get(number, "status").await));
        }
        values
    }

    /// Returns whether a node took work before a sequence was in force on it.
    pub(crate) async fn ever_served_below(&self, number: usize, sequence: u64) -> bool {
        let events = self.get(number, "timeline").await;
        let mut note = 0;
        for event in events.as_array().unwrap() {
            note = note.max(event["note"].as_u64().unwrap_or(0));
            if event["phase"] == "serving" && note < sequence {
                return true;
            }
        }
        false
    }

    pub(crate) async fn order(&self, number: usize, order: &str) {
        let url = format!("http://{}/drains", self.nodes[number].admin);
        let request = awc::Client::default().post(url);
        let request = request.insert_header(("authorization", "Bearer secret"));
        let request = request.content_type("application/json");
        let answer = request.send_body(order.to_string()).await.unwrap();
        assert_eq!(answer.status(), 200);
    }

    async fn get(&self, number: usize, path: &str) -> Value {
        let url = format!("http://{}/{path}", self.nodes[number].admin);
        let Ok(mut answer) = awc::Client::default().get(url).send().await else {
            return Value::Null;
        };
        let body = answer.body().limit(8 << 20).await;
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

/// Ports of a node on its own loopback IP.
const PORTS: [u16; 3] = [20_001, 20_002, 20_003];

/// Returns addresses on a loopback IP that only this node uses. They are not probed: a probe's socket
/// lives on in a child that another test forks at that moment, until the child runs its program.
fn free_ports() -> [SocketAddr; 3] {
    static NODES: AtomicU32 = AtomicU32::new(1);
    let [.., high, low] = std::process::id().to_be_bytes();
    let node = NODES.fetch_add(1, Ordering::Relaxed).to_be_bytes()[3];
    let ip = Ipv4Addr::new(127, 64 + high % 64, low, node);
    PORTS.map(|port| SocketAddr::new(ip.into(), port))
}
