//! A node stands still for a moment. Its neighbour gives up the safe requests that wait for it, and with them
//! loses all answers that are under way on the same connection between the nodes.

use std::{
    io,
    net::{SocketAddr, TcpStream},
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering::SeqCst},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    Verdict,
    fleet::{Fleet, SIGCONT, SIGSTOP},
    has_trouble,
    http::Conn,
    record::Record,
    server::{Runs, Server, answer_body, signature},
};

/// Downloads under way, each on a kept connection of its own.
const DOWNLOADS: usize = 8;
/// The largest answer of `archivio` in the site file, which the server writes over 2.4 s.
const ANSWER_BYTES: usize = 540_000;
const DOWNLOAD_PATH: &str = "/download/ricevute/w20/s540000/p2400";
/// Time for which the neighbour stands still.
const FREEZE: Duration = Duration::from_millis(1_500);
/// Clients of short safe requests, and those that they send in a second together, unless RATE says otherwise.
const CLIENTS: u64 = 30;
const RATE: u64 = 60;
const SHORT_PATH: &str = "/safe/ricevute/w40/s2000";
/// More than three break the rule.
const ALLOWED: usize = 3;

struct Download {
    id: String,
    sent: Instant,
    ended: Instant,
    status: Option<u16>,
    /// Why the answer is not complete.
    fault: Option<String>,
}

pub fn run(record: &Record) -> Verdict {
    let rate = std::env::var("RATE")
        .ok()
        .and_then(|text| text.parse().ok())
        .unwrap_or(RATE);
    let mut fleet = Fleet::new(&[
        ("conti", "ragusa"),
        ("ricevute", "modica"),
        // Eight more, so that the frozen node is a tenth of the machines.
        ("conti", "ragusa"),
        ("conti", "modica"),
        ("conti", "modica"),
        ("conti", "vittoria"),
        ("fatture", "ragusa"),
        ("fatture", "ragusa"),
        ("fatture", "modica"),
        ("fatture", "vittoria"),
    ]);
    let runs = Runs::default();
    for vm in &fleet.vms {
        if let Err(err) = Server::start(&vm.server, vm.app(), &runs) {
            return Verdict::NotRun(err.to_string());
        }
    }
    fleet.configure(
        7,
        &[("safe", "ricevute", 2.0), ("download", "ricevute", 5.0)],
    );
    fleet.start();
    if !fleet.wait_until_served("/safe/ricevute/w0/s10") {
        return Verdict::NotRun("the nodes don't serve".into());
    }
    // contact_s of calm before the requests.
    thread::sleep(Duration::from_millis(3_500));
    let node = fleet.vms[0].outbound();
    let stop = Arc::new(AtomicBool::new(false));
    let counts = Arc::new([AtomicU64::new(0), AtomicU64::new(0)]);
    for number in 0..CLIENTS {
        let (stop, counts) = (Arc::clone(&stop), Arc::clone(&counts));
        let pause = Duration::from_secs(CLIENTS) / u32::try_from(rate).unwrap_or(1).max(1);
        thread::spawn(move || {
            thread::sleep(pause * u32::try_from(number).unwrap_or(0) / 30);
            short_requests(number, node, pause, &stop, &counts);
        });
    }
    let begun = Arc::new(AtomicUsize::new(0));
    let downloads: Vec<_> = (0..DOWNLOADS)
        .map(|number| {
            let (record, begun) = (record.clone(), Arc::clone(&begun));
            thread::spawn(move || download(number, node, &record, &begun))
        })
        .collect();
    let end = Instant::now() + Duration::from_secs(5);
    while begun.load(SeqCst) < DOWNLOADS && Instant::now() < end {
        thread::sleep(Duration::from_millis(5));
    }
    if begun.load(SeqCst) < DOWNLOADS {
        return Verdict::NotRun("a download did not begin".into());
    }
    thread::sleep(Duration::from_millis(300));
    if has_trouble() {
        record.line("the node beside the server of `ricevute` stands still (SIGSTOP)");
        fleet.signal(1, SIGSTOP);
        thread::sleep(FREEZE);
        fleet.signal(1, SIGCONT);
        record.line("it goes on (SIGCONT)");
    }
    let mut lost = 0;
    for download in downloads {
        let download = match download.join() {
            Ok(Ok(download)) => download,
            Ok(Err(err)) => return Verdict::NotRun(err.to_string()),
            Err(_) => return Verdict::NotRun("a client panicked".into()),
        };
        let id = &download.id;
        let Some(run) = runs.of(id).first().cloned() else {
            return Verdict::NotRun(format!("{id} was not run"));
        };
        record.line_at(
            run.at,
            &format!("run {id} by {}, which is sound", run.server),
        );
        let took = download.ended.saturating_duration_since(download.sent);
        let status = download.status;
        match &download.fault {
            None => record.line_at(
                download.ended,
                &format!("{id} answered {status:?}, whole, after {took:.3?}"),
            ),
            Some(fault) => {
                lost += 1;
                let text = format!(
                    "{id} no complete answer: status {status:?}, {fault}, after {took:.3?} LOST"
                );
                record.line_at(download.ended, &text);
            }
        }
    }
    stop.store(true, SeqCst);
    let (sent, served) = (counts[0].load(SeqCst), counts[1].load(SeqCst));
    record.line(&format!(
        "short safe requests beside them: {sent} sent, {served} served"
    ));
    record.line(&format!(
        "passed on to a sound server, and the connection closed without a complete answer: {lost}"
    ));
    if lost > ALLOWED {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}

fn request(id: &str, path: &str, deadline_ms: u64) -> String {
    format!(
        "GET {path} HTTP/1.1\r\nHost: mesh.example\r\nRequest-Id: {id}\r\nDeadline-Ms: {deadline_ms}\r\n\r\n"
    )
}

fn download(
    number: usize,
    node: SocketAddr,
    record: &Record,
    begun: &AtomicUsize,
) -> io::Result<Download> {
    let mut conn = Conn::new(TcpStream::connect(node)?)?;
    conn.stream
        .set_read_timeout(Some(Duration::from_secs(10)))?;
    // An earlier request, so that the connection is a kept one.
    conn.send(request(&format!("f0{number:014x}"), SHORT_PATH, 2_000).as_bytes())?;
    conn.read_answer()?;
    let id = format!("f1{number:014x}");
    let sent = Instant::now();
    conn.send(request(&id, DOWNLOAD_PATH, 6_000).as_bytes())?;
    record.line(&format!("sent {id} GET {DOWNLOAD_PATH}"));
    let head = conn.read_head()?;
    begun.fetch_add(1, SeqCst);
    let status = head.as_ref().map(|head| head.status());
    let fault = match head.map(|head| (conn.read_body(&head, true), head)) {
        None => Some("no answer".to_string()),
        Some((Err(err), _)) => Some(err.to_string()),
        Some((Ok(body), head)) => {
            let is_signed = head.get("response-signature") == Some(&signature("i-00000001", &id));
            let is_own = is_signed && body == answer_body(&id, ANSWER_BYTES);
            (!is_own).then(|| "not the server's answer".to_string())
        }
    };
    Ok(Download {
        id,
        sent,
        ended: Instant::now(),
        status,
        fault,
    })
}

fn short_requests(
    client: u64,
    node: SocketAddr,
    pause: Duration,
    stop: &AtomicBool,
    counts: &[AtomicU64; 2],
) {
    let mut kept: Option<Conn> = None;
    let mut number = 0;
    while !stop.load(SeqCst) {
        number += 1;
        let begin = Instant::now();
        let id = format!("f2{client:04x}{number:010x}");
        let mut conn = match kept.take() {
            Some(conn) => conn,
            None => match TcpStream::connect_timeout(&node, Duration::from_secs(1))
                .and_then(Conn::new)
            {
                Ok(conn) => conn,
                Err(_) => continue,
            },
        };
        let _ = conn.stream.set_read_timeout(Some(Duration::from_secs(3)));
        counts[0].fetch_add(1, SeqCst);
        let answer = conn
            .send(request(&id, SHORT_PATH, 2_000).as_bytes())
            .and_then(|()| conn.read_answer());
        if let Ok(Some((head, _))) = answer {
            counts[1].fetch_add(u64::from(head.status() == 200), SeqCst);
            kept = (!head.closes()).then_some(conn);
        }
        thread::sleep(pause.saturating_sub(begin.elapsed()));
    }
}
