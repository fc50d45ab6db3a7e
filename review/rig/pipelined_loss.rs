//! An answer that its server breaks off takes the requests with it that are behind it on the connection and
//! run on other servers.

use std::{
    io,
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
    server::{Runs, Server, answer_body, signature},
};

const CLIENTS: u64 = 12;
/// Requests that a client sends before the first one is answered, all of which may be repeated.
const BATCH: u64 = 5;
/// Pause that gives about 220 requests a second together.
const PAUSE: Duration = Duration::from_millis(190);
/// A client sends a download, and four lookups behind it before it is answered.
const DOWNLOAD: (&str, usize) = ("/download/ricevute/w40/s90000", 90_000);
const LOOKUP: (&str, usize) = ("/safe/conti/w40/s5000", 5_000);
/// One server of three breaks off each 50th of its answers for this time: share 0.33, x 0.02.
const TROUBLE_TIME: Duration = Duration::from_millis(5_500);
const CUT_EACH: u64 = 50;
const FAULTY: usize = 2;
/// More than three break the rule.
const ALLOWED: usize = 3;

#[derive(Clone, PartialEq)]
enum End {
    /// Status, and whether the answer is that of a server, whole and its own.
    Answered(u16, bool),
    /// The connection ended within the answer.
    Within(String),
    /// The connection ended before the first byte of the answer.
    Before(String),
}

struct Sent {
    id: String,
    path: &'static str,
    client: u64,
    batch: u64,
    at: Instant,
    ended: Instant,
    end: End,
}

pub fn run(record: &Record) -> Verdict {
    let mut fleet = Fleet::new(&[
        ("conti", "ragusa"),
        ("conti", "ragusa"),
        ("ricevute", "ragusa"),
        ("ricevute", "modica"),
        ("ricevute", "vittoria"),
    ]);
    let runs = Runs::default();
    let mut servers = Vec::new();
    for vm in &fleet.vms {
        match Server::start(&vm.server, vm.app(), &runs) {
            Ok(server) => servers.push(server),
            Err(err) => return Verdict::NotRun(err.to_string()),
        }
    }
    fleet.configure(7, &[("safe", "conti", 2.0), ("download", "ricevute", 2.0)]);
    fleet.start();
    if !fleet.wait_until_served(LOOKUP.0) || !fleet.wait_until_served(DOWNLOAD.0) {
        return Verdict::NotRun("the nodes don't serve".into());
    }
    // contact_s of calm before the requests.
    thread::sleep(Duration::from_millis(3_500));
    let node = fleet.vms[0].outbound();
    let stop = Arc::new(AtomicBool::new(false));
    let log = Arc::new(Mutex::new(Vec::new()));
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let (stop, log) = (Arc::clone(&stop), Arc::clone(&log));
            thread::spawn(move || {
                thread::sleep(PAUSE * u32::try_from(number).unwrap_or(0) / 12);
                let mut batch = 0;
                while !stop.load(SeqCst) {
                    let _ = keep_connection(number, node, &stop, &log, &mut batch);
                }
            })
        })
        .collect();
    thread::sleep(Duration::from_secs(1));
    if has_trouble() {
        record.line(&format!(
            "server {}, one of three of `ricevute`, breaks off each {CUT_EACH}th of its answers",
            fleet.vms[FAULTY].server
        ));
        servers[FAULTY].cut_each.store(CUT_EACH, SeqCst);
    }
    thread::sleep(TROUBLE_TIME);
    servers[FAULTY].cut_each.store(0, SeqCst);
    record.line("no answers are broken off any more");
    thread::sleep(Duration::from_secs(1));
    stop.store(true, SeqCst);
    for client in clients {
        let _ = client.join();
    }
    let mut sent = log.lock().unwrap();
    sent.sort_by_key(|it: &Sent| it.at);
    judge(&sent, &runs, &fleet.vms[FAULTY].server, record)
}

fn judge(sent: &[Sent], runs: &Runs, faulty: &str, record: &Record) -> Verdict {
    let mut lost = 0;
    let mut is_wrong = false;
    for it in sent {
        let of_id = runs.of(&it.id);
        let by: Vec<&str> = of_id.iter().map(|run| run.server.as_str()).collect();
        let text = match &it.end {
            End::Answered(status, is_own) => {
                is_wrong |= *status == 200 && !is_own;
                format!("answered {status}")
            }
            End::Within(reason) => format!("the answer broke off: {reason}"),
            End::Before(reason) => format!("no byte of an answer: {reason}"),
        };
        let is_passed_on = !of_id.is_empty();
        let is_sound = is_passed_on && of_id.iter().all(|run| run.server != faulty && !run.is_cut);
        let is_lost = matches!(it.end, End::Before(_)) && is_sound;
        lost += usize::from(is_lost);
        let mark = if is_lost { " LOST" } else { "" };
        let (client, batch, id, path) = (it.client, it.batch, &it.id, it.path);
        let line =
            format!("sent {id} GET {path} by client {client} in batch {batch}, run by {by:?}");
        record.line_at(it.at, &line);
        record.line_at(it.ended, &format!("{id} {text}{mark}"));
    }
    let cut = sent
        .iter()
        .filter(|it| runs.of(&it.id).iter().any(|run| run.is_cut))
        .count();
    let total = sent.len();
    record.line(&format!(
        "{total} requests, {cut} answers broken off by the faulty server"
    ));
    record.line(&format!(
        "passed on to a sound server, and the connection closed without an answer: {lost}"
    ));
    if is_wrong {
        record.line("a success was not the answer of a server to its request");
    }
    if lost > ALLOWED {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}

/// Uses one connection until it ends.
fn keep_connection(
    client: u64,
    node: SocketAddr,
    stop: &AtomicBool,
    log: &Mutex<Vec<Sent>>,
    batch: &mut u64,
) -> io::Result<()> {
    let mut conn = Conn::new(TcpStream::connect_timeout(&node, Duration::from_secs(1))?)?;
    conn.stream.set_read_timeout(Some(Duration::from_secs(6)))?;
    let mut size = 1;
    while !stop.load(SeqCst) {
        *batch += 1;
        let kind = |part: u64| {
            if size == BATCH && part == 0 {
                DOWNLOAD
            } else {
                LOOKUP
            }
        };
        let parts =
            (0..size).map(|part| (format!("e{client:03x}{batch:08x}{part:04x}"), kind(part)));
        let parts: Vec<_> = parts.collect();
        // The first request of a connection is alone; the others find the connection kept.
        size = BATCH;
        let requests: Vec<_> = parts
            .iter()
            .map(|(id, (path, _))| {
                format!("GET {path} HTTP/1.1\r\nHost: mesh.example\r\nRequest-Id: {id}\r\nDeadline-Ms: 2000\r\n\r\n")
            })
            .collect();
        let at = Instant::now();
        conn.send(requests.concat().as_bytes())?;
        let mut broken: Option<String> = None;
        for (id, (path, bytes)) in parts {
            let end = match &broken {
                Some(reason) => End::Before(reason.clone()),
                None => read_answer(&mut conn, &id, bytes),
            };
            if let End::Within(reason) | End::Before(reason) = &end {
                broken.get_or_insert_with(|| reason.clone());
            }
            let ended = Instant::now();
            log.lock().unwrap().push(Sent {
                id,
                path,
                client,
                batch: *batch,
                at,
                ended,
                end,
            });
        }
        if broken.is_some() {
            return Ok(());
        }
        thread::sleep(PAUSE);
    }
    Ok(())
}

fn read_answer(conn: &mut Conn, id: &str, bytes: usize) -> End {
    let head = match conn.read_head() {
        Ok(Some(head)) => head,
        Ok(None) => return End::Before("the connection ended".into()),
        Err(err) => return End::Before(err.to_string()),
    };
    match conn.read_body(&head, true) {
        Ok(body) => {
            let proof = head.get("response-signature").unwrap_or("");
            let is_signed = (0..5).any(|number| signature(&format!("i-{number:08x}"), id) == proof);
            End::Answered(head.status(), is_signed && body == answer_body(id, bytes))
        }
        Err(err) => End::Within(err.to_string()),
    }
}
