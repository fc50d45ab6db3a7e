//! Nodes and servers of a case, each a process of its own.

use std::{
    collections::BTreeMap,
    fs::{self, File},
    net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener},
    path::PathBuf,
    process::{Child, Command, Stdio},
    thread,
    time::{Duration, Instant},
};

use crate::record::Record;

/// Ports of a machine; each machine has a loopback address of its own.
const OUTBOUND_PORT: u16 = 8629;
const READY_PORT: u16 = 8625;
const SERVER_PORT: u16 = 8628;
const PEER_PORT: u16 = 7600;
const ADMIN_PORT: u16 = 7602;
const STORE_PORT: u16 = 8627;

/// Machine of a case: its zone and the service of its server.
#[derive(Clone, Debug)]
pub struct Machine {
    pub zone: &'static str,
    pub service: &'static str,
    pub ip: Ipv4Addr,
}

impl Machine {
    pub fn outbound(&self) -> SocketAddr {
        SocketAddr::new(IpAddr::V4(self.ip), OUTBOUND_PORT)
    }

    pub fn server(&self) -> SocketAddr {
        SocketAddr::new(IpAddr::V4(self.ip), SERVER_PORT)
    }

    pub fn ready(&self) -> SocketAddr {
        SocketAddr::new(IpAddr::V4(self.ip), READY_PORT)
    }
}

/// Machines of a case, with the processes that it started.
pub struct Fleet {
    pub machines: Vec<Machine>,
    pub store: SocketAddr,
    pub folder: PathBuf,
    /// Bounds of the settings that differ from those of the small deployment.
    pub bounds: BTreeMap<&'static str, &'static str>,
    pub record: Record,
    nodes: BTreeMap<usize, Child>,
    servers: BTreeMap<usize, Child>,
}

impl Fleet {
    /// Lays out the machines on loopback addresses whose ports are free.
    pub fn new(machines: &[(&'static str, &'static str)], record: &Record) -> Option<Self> {
        let folder =
            std::env::temp_dir().join(format!("wagtaillever-review-{}", std::process::id()));
        fs::create_dir_all(&folder).ok()?;
        let first = std::process::id();
        let net = (0..200)
            .map(|step| first.wrapping_add(step * 7919))
            .find(|number| {
                (1..=machines.len() as u8 + 1).all(|host| {
                    let ports = [
                        OUTBOUND_PORT,
                        READY_PORT,
                        SERVER_PORT,
                        PEER_PORT,
                        ADMIN_PORT,
                        STORE_PORT,
                    ];
                    ports
                        .iter()
                        .all(|port| TcpListener::bind((address(*number, host), *port)).is_ok())
                })
            })?;
        let laid_out = machines
            .iter()
            .enumerate()
            .map(|(index, (zone, service))| Machine {
                zone,
                service,
                ip: address(net, index as u8 + 2),
            });
        Some(Self {
            machines: laid_out.collect(),
            store: SocketAddr::new(IpAddr::V4(address(net, 1)), STORE_PORT),
            folder,
            bounds: BTreeMap::new(),
            record: record.clone(),
            nodes: BTreeMap::new(),
            servers: BTreeMap::new(),
        })
    }

    /// Starts the node of a machine with the command and the template of the deploy file.
    pub fn start_node(&mut self, index: usize) -> Result<(), String> {
        let deploy = fs::read_to_string("deploy/system.toml").map_err(|err| err.to_string())?;
        let field = |name: &str| {
            let line = deploy
                .lines()
                .find(|line| line.starts_with(&format!("{name} = \"")))?;
            Some(line.split('"').nth(1)?.to_string())
        };
        let run = field("run").ok_or("no command in the deploy file")?;
        let template = field("template").ok_or("no template in the deploy file")?;
        let template = fs::read_to_string(template).map_err(|err| err.to_string())?;
        let settings = self.folder.join(format!("node-{index}.conf"));
        let text = self.fill_in(&template, &self.machines[index]);
        fs::write(&settings, text).map_err(|err| err.to_string())?;
        let words: Vec<String> = run
            .split(' ')
            .map(|word| word.replace("/etc/wagtaillever/boot.conf", &settings.to_string_lossy()))
            .collect();
        let log = self.folder.join(format!("node-{index}.log"));
        let log = File::options().create(true).append(true).open(log);
        let log = log.map_err(|err| err.to_string())?;
        let child = Command::new(&words[0])
            .args(&words[1..])
            .env_clear()
            .env("WAGTAILLEVER_SETTINGS", &settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone().map_err(|err| err.to_string())?)
            .stderr(log)
            .spawn()
            .map_err(|err| err.to_string())?;
        self.record.line(&format!(
            "node {index} starts ({}, {}, process {})",
            self.machines[index].ip,
            self.machines[index].zone,
            child.id()
        ));
        self.nodes.insert(index, child);
        Ok(())
    }

    /// Replaces the placeholders that the template has. The admin address, which is the same on all
    /// machines, becomes the one of this machine, as all of them share one host here.
    fn fill_in(&self, template: &str, machine: &Machine) -> String {
        let zones = self
            .machines
            .iter()
            .map(|it| format!("\"{}\":\"sicilia-se\"", it.zone));
        let zones: std::collections::BTreeSet<_> = zones.collect();
        let zones: Vec<_> = zones.into_iter().collect();
        let mut values: BTreeMap<&str, String> = BTreeMap::from([
            ("ip", machine.ip.to_string()),
            ("zone", machine.zone.into()),
            ("region", "sicilia-se".into()),
            ("service", machine.service.into()),
            ("listen.outbound", machine.outbound().to_string()),
            ("listen.ready", machine.ready().to_string()),
            ("provider.address", self.store.to_string()),
            ("zones|json", format!("{{{}}}", zones.join(","))),
            ("limits.link_mbps", "1000.0".into()),
            ("bounds.retry_budget_ratio", "0.2".into()),
            ("bounds.budget_min_retries", "60".into()),
            ("bounds.budget_window_s", "10".into()),
            ("bounds.config_apply_s", "2".into()),
            ("bounds.drain_s", "2".into()),
            ("bounds.grace_s", "6".into()),
            ("bounds.cold_overage", "1.5".into()),
        ]);
        for (name, value) in &self.bounds {
            values.insert(name, (*value).into());
        }
        let mut text = template.replace("127.0.0.1", &machine.ip.to_string());
        for (name, value) in values {
            text = text.replace(&format!("{{{{{name}}}}}"), &value);
        }
        text
    }

    /// Starts the server of a machine; `options` are those of `stand-ins server`.
    pub fn start_server(&mut self, index: usize, id: &str, options: &[&str]) -> Result<(), String> {
        let machine = &self.machines[index];
        let program = std::env::current_exe().map_err(|err| err.to_string())?;
        let child = Command::new(program)
            .arg("server")
            .arg(format!("address={}", machine.server()))
            .arg(format!("store={}", self.store))
            .arg(format!("id={id}"))
            .arg(format!("service={}", machine.service))
            .arg(format!("zone={}", machine.zone))
            .arg(format!("log={}", self.server_log(index).display()))
            .args(options)
            .stdin(Stdio::null())
            .stderr(Stdio::null())
            .spawn()
            .map_err(|err| err.to_string())?;
        self.record.line(&format!(
            "server {id} of {} starts on machine {index}",
            machine.service
        ));
        self.servers.insert(index, child);
        Ok(())
    }

    pub fn server_log(&self, index: usize) -> PathBuf {
        self.folder.join(format!("server-{index}.log"))
    }

    /// Returns the lines of a server's log: time, event and request.
    pub fn server_events(&self, index: usize) -> Vec<(f64, String, String)> {
        let text = fs::read_to_string(self.server_log(index)).unwrap_or_default();
        let lines = text.lines().filter_map(|line| {
            let mut words = line.splitn(3, ' ');
            let at = words.next()?.parse().ok()?;
            Some((at, words.next()?.into(), words.next().unwrap_or("").into()))
        });
        lines.collect()
    }

    pub fn kill_server(&mut self, index: usize) {
        if let Some(mut child) = self.servers.remove(&index) {
            let _ = child.kill();
            let _ = child.wait();
            self.record
                .line(&format!("the server of machine {index} is killed"));
        }
    }

    /// Kills the node of a machine.
    pub fn kill_node(&mut self, index: usize) {
        if let Some(mut child) = self.nodes.remove(&index) {
            let _ = child.kill();
            let _ = child.wait();
            self.record.line(&format!("node {index} is killed"));
        }
    }

    /// Sends SIGTERM to the node of a machine.
    pub fn stop_node(&mut self, index: usize) {
        unsafe extern "C" {
            fn kill(process: i32, signal: i32) -> i32;
        }
        const SIGTERM: i32 = 15;
        if let Some(child) = self.nodes.get(&index) {
            // SAFETY: the call takes no pointers; the process is a child that was not waited for.
            unsafe { kill(child.id() as i32, SIGTERM) };
            self.record.line(&format!("SIGTERM to node {index}"));
        }
    }

    /// Waits until all nodes that were started answer that they are ready.
    pub fn wait_until_ready(&self) -> bool {
        let until = Instant::now() + Duration::from_secs(20);
        let mut left: Vec<usize> = self.nodes.keys().copied().collect();
        while Instant::now() < until {
            left.retain(|index| !is_ready(self.machines[*index].ready()));
            if left.is_empty() {
                self.record.line("all nodes are ready");
                return true;
            }
            thread::sleep(Duration::from_millis(100));
        }
        self.record.line(&format!("not ready: nodes {left:?}"));
        false
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for child in self.nodes.values_mut().chain(self.servers.values_mut()) {
            let _ = child.kill();
            let _ = child.wait();
        }
        if std::env::var_os("KEEP").is_none() {
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}

fn address(net: u32, host: u8) -> Ipv4Addr {
    Ipv4Addr::new(127, 64 + (net % 60) as u8, 1 + (net / 60 % 250) as u8, host)
}

fn is_ready(address: SocketAddr) -> bool {
    use std::io::{BufReader, Write};
    let Ok(mut stream) = std::net::TcpStream::connect_timeout(&address, Duration::from_secs(1))
    else {
        return false;
    };
    let _ = stream.set_read_timeout(Some(Duration::from_secs(1)));
    if stream
        .write_all(b"GET /ready HTTP/1.1\r\nHost: node\r\n\r\n")
        .is_err()
    {
        return false;
    }
    let head = crate::http::read_head(&mut BufReader::new(stream));
    matches!(head, Ok(Some(head)) if head.word(1) == "200")
}
