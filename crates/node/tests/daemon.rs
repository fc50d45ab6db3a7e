//! Exit codes and error messages of the daemon.

#![allow(clippy::unwrap_used)]

use std::{
    fs,
    io::{BufRead, BufReader, Write},
    net::{Ipv4Addr, SocketAddr, TcpListener},
    path::{Path, PathBuf},
    process::{Child, Command, Output, Stdio},
    sync::atomic::{AtomicU32, Ordering},
    time::Duration,
};

use tempfile::TempDir;

fn daemon_command(settings: &Path) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_wagtailleverd"));
    command.arg("--settings").arg(settings);
    command
}

fn run_check(settings: &Path) -> Output {
    daemon_command(settings).arg("--check").output().unwrap()
}

/// Settings file in a temporary directory, with unused addresses.
struct SettingsFile {
    directory: TempDir,
}

impl SettingsFile {
    fn new(admin: SocketAddr) -> Self {
        let [callers, peers] = [unused_address(), unused_address()];
        let text = format!(
            "vm: vm-1\ndomain: modica\nregion: sicily\naddress: 127.0.0.1\ncallers: {callers}\n\
             peers: {peers}\nadmin: {admin}\nplatform: [\"{}\"]\nlog: info\n",
            unused_address()
        );
        let settings = Self {
            directory: TempDir::new().unwrap(),
        };
        fs::write(settings.path(), text).unwrap();
        settings
    }

    fn path(&self) -> PathBuf {
        self.directory.path().join("node.yaml")
    }

    /// Starts a node and waits until all its services have started.
    fn start(&self) -> Child {
        let mut node = daemon_command(&self.path())
            .stdout(Stdio::piped())
            .spawn()
            .unwrap();
        let log = BufReader::new(node.stdout.take().unwrap());
        let mut lines = log.lines().map_while(Result::ok);
        let started = lines.any(|line| line.contains("service ingress started"));
        assert!(started, "the node exited before its services started");
        std::thread::spawn(move || lines.count());
        node
    }
}

/// Port of each address; the loopback IPs differ.
const PORT: u16 = 20_001;

/// Returns an address on an unused loopback IP. The address is not probed by binding it: a child
/// process that another test forks at that moment would inherit the socket and keep the address in
/// use until it executes its program.
fn unused_address() -> SocketAddr {
    static NEXT_ADDRESS: AtomicU32 = AtomicU32::new(1);
    let [.., high, low] = std::process::id().to_be_bytes();
    let address = NEXT_ADDRESS.fetch_add(1, Ordering::Relaxed).to_be_bytes()[3];
    let ip = Ipv4Addr::new(127, 128 + high % 64, low, address);
    SocketAddr::new(ip.into(), PORT)
}

fn send_signal(node: &Child, name: &str) {
    let pid = node.id().to_string();
    let status = Command::new("kill").args([name, &pid]).status();
    assert!(status.unwrap().success());
}

#[test]
fn example_settings_are_valid() {
    let example = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples/node.yaml");
    let output = run_check(&example);
    assert_eq!(output.status.code(), Some(0), "{output:?}");
}

#[test]
fn invalid_settings_exit_with_code_2_and_report_file_and_line() {
    let settings = SettingsFile::new(unused_address());
    let text = fs::read_to_string(settings.path()).unwrap();
    fs::write(settings.path(), text + "colour: green\n").unwrap();
    for output in [
        run_check(&settings.path()),
        daemon_command(&settings.path()).output().unwrap(),
    ] {
        assert_eq!(output.status.code(), Some(2));
        let message = String::from_utf8(output.stderr).unwrap();
        assert!(
            message.contains("node.yaml:10: unknown field `colour`"),
            "{message}"
        );
    }
    let missing = run_check(Path::new("/nowhere/node.yaml"));
    assert_eq!(missing.status.code(), Some(2));
}

#[test]
fn address_in_use_exits_with_code_1() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let settings = SettingsFile::new(listener.local_addr().unwrap());
    let output = daemon_command(&settings.path()).output().unwrap();
    assert_eq!(output.status.code(), Some(1));
    let message = String::from_utf8(output.stderr).unwrap();
    assert!(
        message.contains("service admin could not start"),
        "{message}"
    );
}

#[test]
fn sigterm_exits_with_code_0() {
    let settings = SettingsFile::new(unused_address());
    let mut node = settings.start();
    send_signal(&node, "-TERM");
    assert_eq!(node.wait().unwrap().code(), Some(0));
}

#[test]
fn sighup_checks_the_settings_without_stopping_the_node() {
    let settings = SettingsFile::new(unused_address());
    let mut node = settings.start();
    fs::write(settings.path(), "vm: [").unwrap();
    send_signal(&node, "-HUP");
    std::thread::sleep(Duration::from_millis(300));
    assert_eq!(node.try_wait().unwrap(), None, "the node must keep running");
    send_signal(&node, "-TERM");
    assert_eq!(node.wait().unwrap().code(), Some(0));
}

/// A node that got SIGHUP before it had read its settings was ended by it.
#[test]
fn sighup_while_the_settings_are_read_does_not_end_the_node() {
    let settings = SettingsFile::new(unused_address());
    let text = fs::read(settings.path()).unwrap();
    fs::remove_file(settings.path()).unwrap();
    let made = Command::new("mkfifo").arg(settings.path()).status();
    assert!(made.unwrap().success());
    let mut check = daemon_command(&settings.path())
        .arg("--check")
        .stdout(Stdio::null())
        .spawn()
        .unwrap();
    // Opens once the process has opened it as well.
    let mut pipe = fs::File::options()
        .write(true)
        .open(settings.path())
        .unwrap();
    send_signal(&check, "-HUP");
    pipe.write_all(&text).unwrap();
    drop(pipe);
    assert_eq!(check.wait().unwrap().code(), Some(0));
}
