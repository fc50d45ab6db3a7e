//! Nodes as separate processes on loopback addresses, with the settings of the deploy file.

use std::{
    fs,
    net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener, TcpStream},
    path::PathBuf,
    process::{Child, Command, Stdio},
    sync::Mutex,
    thread,
    time::{Duration, Instant},
};

use crate::{http::Conn, store::Store};

const SIGKILL: i32 = 9;
pub const SIGTERM: i32 = 15;
pub const SIGCONT: i32 = 18;
pub const SIGSTOP: i32 = 19;

/// The command of the deploy file.
const NODE: &str = "target/release/wagtailleverd";
const TEMPLATE: &str = "deploy/node.yaml";

/// Process IDs of the nodes that run.
static PROCESSES: Mutex<Vec<i32>> = Mutex::new(Vec::new());

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
}

/// Ends the nodes and this process, as one that couldn't run, after a time.
pub fn end_after(time: Duration) {
    thread::spawn(move || {
        thread::sleep(time);
        for process in PROCESSES.lock().unwrap().iter() {
            unsafe { kill(*process, SIGKILL) };
        }
        eprintln!("the case took too long");
        std::process::exit(2);
    });
}

#[derive(Clone)]
pub struct Vm {
    pub ip: Ipv4Addr,
    pub zone: &'static str,
    pub service: String,
    /// ID of the server beside the node.
    pub server: String,
}

impl Vm {
    pub fn outbound(&self) -> SocketAddr {
        self.at(8629)
    }

    pub fn app(&self) -> SocketAddr {
        self.at(8628)
    }

    fn at(&self, port: u16) -> SocketAddr {
        SocketAddr::new(IpAddr::V4(self.ip), port)
    }
}

pub struct Fleet {
    pub store: Store,
    pub vms: Vec<Vm>,
    nodes: Vec<Option<Child>>,
    store_address: SocketAddr,
    folder: PathBuf,
    grace_s: f64,
}

impl Fleet {
    /// Takes free loopback addresses, one for each server, given by its service and zone, and serves the
    /// store.
    pub fn new(servers: &[(&str, &'static str)]) -> Self {
        let id = std::process::id();
        let nanos = std::time::SystemTime::now()
            .duration_since(std::time::UNIX_EPOCH)
            .map_or(0, |it| it.subsec_nanos());
        let folder = std::env::temp_dir().join(format!("wagtaillever-review-{id}"));
        fs::create_dir_all(&folder).expect("temporary folder");
        for attempt in 0..200_u32 {
            let mixed = id
                .wrapping_mul(2_654_435_761)
                .wrapping_add(nanos)
                .wrapping_add(attempt * 977);
            let [_, _, high, low] = mixed.to_be_bytes();
            let ip = |host: u8| Ipv4Addr::new(127, 64 + high % 128, low, host);
            let vms: Vec<Vm> = servers
                .iter()
                .enumerate()
                .map(|(index, (service, zone))| Vm {
                    ip: ip(10 + index as u8),
                    zone,
                    service: (*service).to_string(),
                    server: format!("i-{index:08x}"),
                })
                .collect();
            let store_address = SocketAddr::new(IpAddr::V4(ip(1)), 8627);
            let ports = [7600, 7602, 8625, 8628, 8629];
            let is_free = |address: SocketAddr| TcpListener::bind(address).is_ok();
            let is_free_vm = |vm: &Vm| ports.iter().all(|port| is_free(vm.at(*port)));
            if !is_free(store_address) || !vms.iter().all(is_free_vm) {
                continue;
            }
            let store = Store::default();
            if store.serve(store_address).is_err() {
                continue;
            }
            let nodes = vms.iter().map(|_| None).collect();
            let grace_s = 6.0;
            return Self {
                store,
                vms,
                nodes,
                store_address,
                folder,
                grace_s,
            };
        }
        panic!("no free addresses");
    }

    /// Writes the registration of the server of a VM.
    fn register(&self, index: usize) {
        let vm = &self.vms[index];
        let entry = format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\
             \"max_concurrency\":12,\"state\":\"ready\",\"cold_remaining_s\":0,\"sequence\":4,\
             \"born\":1700000000000}}",
            vm.service,
            vm.app(),
            vm.zone
        );
        self.store.put(&format!("servers/{}", vm.server), &entry);
    }

    /// Writes a configuration; each route is given by its type, service and time-out in seconds.
    pub fn configure(&self, version: u64, routes: &[(&str, &str, f64)]) {
        let mut services: Vec<&str> = self.vms.iter().map(|vm| vm.service.as_str()).collect();
        services.sort_unstable();
        services.dedup();
        let services: Vec<String> = services
            .iter()
            .map(|name| {
                format!("{{\"name\":\"{name}\",\"health_check\":\"/health\",\"max_connections\":120,\
                         \"protocol\":\"h1\",\"tls\":false,\"cold_start_s\":3.0,\"cold_per_s\":26.0}}")
            })
            .collect();
        let routes: Vec<String> = routes
            .iter()
            .map(|(kind, service, timeout_s)| {
                format!(
                    "{{\"name\":\"r-{kind}-{service}\",\"hostname\":\"mesh.example\",\
                     \"prefix\":\"/{kind}/{service}/\",\"type\":\"{kind}\",\"timeout_s\":{timeout_s},\
                     \"target_latency_s\":0.3,\"priority\":1,\"service\":\"{service}\",\"attempts\":2}}"
                )
            })
            .collect();
        let text = format!(
            "{{\"version\":{version},\"routes\":[{}],\"services\":[{}],\"limits\":\
             {{\"max_header_bytes\":16384,\"max_body_bytes\":67108864,\"header_timeout_s\":3,\
             \"idle_timeout_s\":15}},\"base_version\":{}}}",
            routes.join(","),
            services.join(","),
            version - 1
        );
        self.store.put("op/config", &text);
    }

    /// Registers all servers and starts all nodes.
    pub fn start(&mut self) {
        for index in 0..self.vms.len() {
            self.register(index);
        }
        for index in 0..self.vms.len() {
            self.start_node(index);
        }
    }

    fn start_node(&mut self, index: usize) {
        let vm = &self.vms[index];
        let ip = vm.ip.to_string();
        let mut text = fs::read_to_string(TEMPLATE).expect("template of the settings");
        // All VMs share one host.
        text = text.replace("127.0.0.1", &ip);
        let fields = [
            ("ip", ip),
            ("zone", vm.zone.to_string()),
            ("region", "sicilia-se".into()),
            ("service", vm.service.clone()),
            ("listen.outbound", vm.outbound().to_string()),
            ("listen.ready", vm.at(8625).to_string()),
            ("provider.address", self.store_address.to_string()),
            (
                "zones|json",
                "{\"ragusa\":\"sicilia-se\",\"modica\":\"sicilia-se\",\"vittoria\":\"sicilia-se\"}"
                    .into(),
            ),
            ("bounds.retry_budget_ratio", "0.2".into()),
            ("bounds.budget_min_retries", "60".into()),
            ("bounds.budget_window_s", "10".into()),
            ("bounds.config_apply_s", "2".into()),
            ("bounds.drain_s", "2".into()),
            ("bounds.grace_s", self.grace_s.to_string()),
            ("limits.link_mbps", "1000.0".into()),
            ("bounds.cold_overage", "1.5".into()),
        ];
        for (field, value) in fields {
            text = text.replace(&format!("{{{{{field}}}}}"), &value);
        }
        assert!(
            !text.contains("{{"),
            "a placeholder of the template is not filled in"
        );
        let settings = self.folder.join(format!("{index}.yaml"));
        fs::write(&settings, text).expect("settings");
        let log = self.folder.join(format!("{index}.log"));
        let log = fs::File::options()
            .create(true)
            .append(true)
            .open(log)
            .expect("log");
        let node = Command::new(NODE)
            .arg("--settings")
            .arg(&settings)
            .env(
                "WAGTAILLEVER_SET",
                "limits.cold_slack=5 limits.memory_mb=260 limits.max_fds=4100 quota.window_s= \
                 quota.overage= quota.slack=",
            )
            .stdin(Stdio::null())
            .stderr(log.try_clone().expect("log"))
            .stdout(log)
            .spawn();
        let node = node.expect("the node starts");
        PROCESSES.lock().unwrap().push(node.id() as i32);
        self.nodes[index] = Some(node);
    }

    /// Waits until each node serves a request; returns whether all do.
    pub fn wait_until_served(&self, path: &str) -> bool {
        let end = Instant::now() + Duration::from_secs(25);
        self.vms.iter().all(|vm| {
            while Instant::now() < end {
                if is_served(vm.outbound(), path) {
                    return true;
                }
                thread::sleep(Duration::from_millis(50));
            }
            false
        })
    }

    pub fn signal(&self, index: usize, signal: i32) {
        if let Some(node) = &self.nodes[index] {
            unsafe { kill(node.id() as i32, signal) };
        }
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for index in 0..self.nodes.len() {
            self.signal(index, SIGCONT);
            if let Some(node) = &mut self.nodes[index] {
                let _ = node.kill();
                let _ = node.wait();
            }
        }
        PROCESSES.lock().unwrap().clear();
        let _ = fs::remove_dir_all(&self.folder);
    }
}

fn is_served(node: SocketAddr, path: &str) -> bool {
    let Ok(stream) = TcpStream::connect(node) else {
        return false;
    };
    let Ok(mut conn) = Conn::new(stream) else {
        return false;
    };
    let _ = conn.set_deadline(Instant::now() + Duration::from_secs(2));
    let request = format!(
        "GET {path} HTTP/1.1\r\nHost: mesh.example\r\nRequest-Id: ready\r\nDeadline-Ms: 1500\r\n\r\n"
    );
    let answer = conn
        .send(request.as_bytes())
        .and_then(|()| conn.read_answer());
    matches!(answer, Ok(Some((head, _))) if head.status() == 200)
}
