//! Exit codes and messages of the daemon.

#![allow(clippy::unwrap_used)]

use std::{
    fs,
    io::{BufRead, BufReader},
    net::{Ipv4Addr, SocketAddr, TcpListener},
    path::{Path, PathBuf},
    process::{Child, Command, Output, Stdio},
    sync::atomic::{AtomicU32, Ordering},
    time::Duration,
};

use tempfile::TempDir;

fn daemon(settings: &Path) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_wagtailleverd"));
    command.arg("--settings").arg(settings);
    command
}

fn check(settings: &Path) -> Output {
    daemon(settings).arg("--check").output().unwrap()
}

/// Settings in a folder of their own, with free ports.
struct Site {
    folder: TempDir,
}

impl Site {
    fn new(admin: SocketAddr) -> Self {
        let [callers, peers] = [free_address(), free_address()];
        let text = format!(
            "vm: vm-1\ndomain: modica\nregion: sicily\naddress: 127.0.0.1\ncallers: {callers}\n\
             peers: {peers}\nadmin: {admin}\nplatform: [\"{}\"]\nlog: info\n",
            free_address()
        );
        let site = Self {
            folder: TempDir::new().unwrap(),
        };
        fs::write(site.path(), text).unwrap();
        site
    }

    fn path(&self) -> PathBuf {
        self.folder.path().join("node.yaml")
    }

    /// Starts a node and waits until all its services run.
    fn start(&self) -> Child {
        let mut node = daemon(&self.path()).stdout(Stdio::piped()).spawn().unwrap();
        let log = BufReader::new(node.stdout.take().unwrap());
        let mut lines = log.lines().map_while(Result::ok);
        let started = lines.any(|line| line.contains("service ingress started"));
        assert!(started, "the node ended before its services ran");
        std::thread::spawn(move || lines.count());
        node
    }
}

/// Port of an address on its own loopback IP.
const PORT: u16 = 20_001;

/// Returns an address on a loopback IP of its own. It is not probed: a probe's socket lives on in
/// a child that another test forks at that moment, until the child runs its program.
fn free_address() -> SocketAddr {
    static ADDRESSES: AtomicU32 = AtomicU32::new(1);
    let [.., high, low] = std::process::id().to_be_bytes();
    let address = ADDRESSES.fetch_add(1, Ordering::Relaxed).to_be_bytes()[3];
    let ip = Ipv4Addr::new(127, 128 + high % 64, low, address);
    SocketAddr::new(ip.into(), PORT)
}

fn signal(node: &Child, name: &str) {
    let id = node.id().to_string();
    let sent = Command::new("kill").args([name, &id]).status();
    assert!(sent.unwrap().success());
}

#[test]
fn the_example_settings_are_valid() {
    let example = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples/node.yaml");
    let checked = check(&example);
    assert_eq!(checked.status.code(), Some(0), "{checked:?}");
}

#[test]
fn bad_settings_end_with_code_2_and_name_file_and_line() {
    let site = Site::new(free_address());
    let text = fs::read_to_string(site.path()).unwrap();
    fs::write(site.path(), text + "colour: green\n").unwrap();
    for output in [check(&site.path()), daemon(&site.path()).output().unwrap()] {
        assert_eq!(output.status.code(), Some(2));
        let message = String::from_utf8(output.stderr).unwrap();
        assert!(
            message.contains("node.yaml:10: unknown field `colour`"),
            "{message}"
        );
    }
    let missing = check(Path::new("/nowhere/node.yaml"));
    assert_eq!(missing.status.code(), Some(2));
}

#[test]
fn an_address_in_use_ends_with_code_1() {
    let taken = TcpListener::bind("127.0.0.1:0").unwrap();
    let site = Site::new(taken.local_addr().unwrap());
    let output = daemon(&site.path()).output().unwrap();
    assert_eq!(output.status.code(), Some(1));
    let message = String::from_utf8(output.stderr).unwrap();
    assert!(
        message.contains("service admin could not start"),
        "{message}"
    );
}

#[test]
fn a_signal_stops_the_node_with_code_0() {
    let site = Site::new(free_address());
    let mut node = site.start();
    signal(&node, "-TERM");
    assert_eq!(node.wait().unwrap().code(), Some(0));
}

#[test]
fn a_hangup_checks_the_settings_and_does_not_end_the_node() {
    let site = Site::new(free_address());
    let mut node = site.start();
    fs::write(site.path(), "vm: [").unwrap();
    signal(&node, "-HUP");
    std::thread::sleep(Duration::from_millis(300));
    assert_eq!(node.try_wait().unwrap(), None, "the node goes on");
    signal(&node, "-TERM");
    assert_eq!(node.wait().unwrap().code(), Some(0));
}
