//! Entries of another writer, for a service that no configuration names, bear the addresses of servers.

use std::{
    net::{SocketAddr, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering::SeqCst},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    Verdict,
    fleet::Fleet,
    has_trouble,
    http::Conn,
    record::Record,
    server::{Runs, Server},
};

/// Route of the first configuration.
const FIRST_PATH: &str = "/safe/conti/w10/s500";
/// Route that was added later.
const LATER_PATH: &str = "/safe/ricevute/w10/s500";
/// Clients of each route; each sends ten requests a second.
const CLIENTS: usize = 4;
const PAUSE: Duration = Duration::from_millis(100);
/// Time for which requests are judged, and time before it in which a change may come into force.
const JUDGED: Duration = Duration::from_secs(10);
const SETTLING: Duration = Duration::from_secs(5);
const SERVICE: &str = "magazzino";

struct Sent {
    path: &'static str,
    id: String,
    at: Instant,
    status: Option<u16>,
}

pub fn run(record: &Record) -> Verdict {
    let servers = [
        ("conti", "ragusa"),
        ("conti", "modica"),
        ("ricevute", "modica"),
        ("ricevute", "vittoria"),
    ];
    let mut fleet = Fleet::new(&servers);
    let runs = Runs::default();
    for vm in &fleet.vms {
        if let Err(err) = Server::start(&vm.server, vm.app(), &runs) {
            return Verdict::NotRun(err.to_string());
        }
    }
    fleet.configure(7, &[("safe", "conti", 2.0)]);
    fleet.start();
    if !fleet.wait_until_served(FIRST_PATH) {
        return Verdict::NotRun("the nodes don't serve".into());
    }
    fleet.configure(9, &[("safe", "conti", 2.0), ("safe", "ricevute", 2.0)]);
    record.line("version 9 adds the route to `ricevute`");
    if !fleet.wait_until_served(LATER_PATH) {
        return Verdict::NotRun("the later route isn't served".into());
    }
    record.line("all nodes serve both routes");
    if has_trouble() {
        for (number, vm) in fleet
            .vms
            .iter()
            .enumerate()
            .filter(|(_, vm)| vm.service == "ricevute")
        {
            // Complete in its fields; only the service is one that is not named.
            let entry = format!(
                "{{\"service\":\"{SERVICE}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\
                 \"max_concurrency\":4,\"state\":\"ready\",\"cold_remaining_s\":0,\"sequence\":1,\
                 \"born\":1700000060000}}",
                vm.app(),
                vm.zone
            );
            let key = format!("servers/m-{number:04x}");
            fleet.store.put(&key, &entry);
            record.line(&format!("another writer puts {key}: {entry}"));
        }
    }
    thread::sleep(SETTLING);
    let stop = Arc::new(AtomicBool::new(false));
    let log = Arc::new(Mutex::new(Vec::new()));
    let nodes: Vec<_> = fleet.vms.iter().map(crate::fleet::Vm::outbound).collect();
    let clients: Vec<_> = [FIRST_PATH, LATER_PATH]
        .into_iter()
        .flat_map(|path| (0..CLIENTS).map(move |number| (path, number)))
        .map(|(path, number)| {
            let (stop, log) = (Arc::clone(&stop), Arc::clone(&log));
            let node = nodes[number % nodes.len()];
            thread::spawn(move || client(path, number, node, &stop, &log))
        })
        .collect();
    thread::sleep(JUDGED);
    stop.store(true, SeqCst);
    for client in clients {
        let _ = client.join();
    }
    let mut log = log.lock().unwrap();
    log.sort_by_key(|sent: &Sent| sent.at);
    for sent in log.iter() {
        let by: Vec<String> = runs
            .of(&sent.id)
            .into_iter()
            .map(|run| run.server)
            .collect();
        record.line_at(
            sent.at,
            &format!(
                "sent {} GET {}, answered {:?}, run by {by:?}",
                sent.id, sent.path, sent.status
            ),
        );
    }
    let count = |path: &str| {
        let of_path = || log.iter().filter(move |sent| sent.path == path);
        (
            of_path().count(),
            of_path().filter(|sent| sent.status == Some(200)).count(),
        )
    };
    let ((first, first_served), (later, later_served)) = (count(FIRST_PATH), count(LATER_PATH));
    record.line(&format!("first route: {first_served} of {first} served; later route: {later_served} of {later} served"));
    if first == 0 || first_served * 2 < first || later < 20 {
        return Verdict::NotRun("too few requests were served to judge".into());
    }
    // Less than a quarter as often as those on the first routes.
    if later_served * first * 4 < first_served * later {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}

fn client(
    path: &'static str,
    number: usize,
    node: SocketAddr,
    stop: &AtomicBool,
    log: &Mutex<Vec<Sent>>,
) {
    let letter = if path == FIRST_PATH { 'a' } else { 'b' };
    let mut kept: Option<Conn> = None;
    let mut count = 0;
    while !stop.load(SeqCst) {
        count += 1;
        let id = format!("{letter}{number:03x}{count:012x}");
        let at = Instant::now();
        let conn = kept.take().map_or_else(
            || TcpStream::connect_timeout(&node, Duration::from_secs(1)).and_then(Conn::new),
            Ok,
        );
        let answer = conn.and_then(|mut conn| {
            conn.stream.set_read_timeout(Some(Duration::from_secs(3)))?;
            let text = format!(
                "GET {path} HTTP/1.1\r\nHost: mesh.example\r\nRequest-Id: {id}\r\nDeadline-Ms: 2000\r\n\r\n"
            );
            conn.send(text.as_bytes())?;
            Ok((conn.read_answer()?, conn))
        });
        let mut status = None;
        if let Ok((Some((head, _)), conn)) = answer {
            status = Some(head.status());
            kept = (!head.closes()).then_some(conn);
        }
        log.lock().unwrap().push(Sent {
            path,
            id,
            at,
            status,
        });
        thread::sleep(PAUSE.saturating_sub(at.elapsed()));
    }
}
