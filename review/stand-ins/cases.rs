//! The cases.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread::{self, JoinHandle},
    time::Duration,
};

use crate::{
    client::{self, Connection, Outcome, Request},
    fleet::Fleet,
    record::{Record, now_ms},
    store::Store,
};

const HELD: i32 = 0;
const BROKEN: i32 = 1;
const NOT_RUN: i32 = 2;

/// Plays a case and returns its exit code. `TROUBLE=0` leaves out the disruption.
pub fn run(name: &str, folder: &str) -> i32 {
    let Ok(record) = Record::create(&format!("{folder}/record.txt")) else {
        eprintln!("can't write {folder}/record.txt");
        return NOT_RUN;
    };
    let is_troubled = std::env::var("TROUBLE").as_deref() != Ok("0");
    record.line(&format!("case {name}, with the disruption: {is_troubled}"));
    let result = match name {
        "cold-rate" => cold_rate(&record, is_troubled),
        "stop" => stop(&record, is_troubled),
        "foreign" => foreign(&record, is_troubled),
        "mirror" => mirror(&record, is_troubled),
        "second-copy" => second_copy(&record, is_troubled),
        "past-length" => past_length(&record, is_troubled),
        "drill" => drill(&record, is_troubled),
        "crashes" => crashes(&record, is_troubled),
        _ => Err(format!("unknown case {name}")),
    };
    let code = match result {
        Ok(code) => code,
        Err(reason) => {
            record.line(&format!("the case could not run: {reason}"));
            eprintln!("the case could not run: {reason}");
            NOT_RUN
        }
    };
    record.line(&format!("exit code {code}"));
    println!("{name}: exit code {code}");
    code
}

/// Route of a case.
#[derive(Clone, Copy)]
struct Route {
    name: &'static str,
    kind: &'static str,
    service: &'static str,
    timeout_s: &'static str,
    target_s: &'static str,
}

fn config(version: u32, routes: &[Route], services: &[&str], cold: &str) -> String {
    let routes = routes.iter().map(|route| {
        format!(
            "{{\"name\":\"r-{0}\",\"hostname\":\"{0}.example\",\"prefix\":\"/{0}/\",\"type\":\"{1}\",\
             \"timeout_s\":{2},\"target_latency_s\":{3},\"priority\":1,\"service\":\"{4}\",\"attempts\":2}}",
            route.name, route.kind, route.timeout_s, route.target_s, route.service
        )
    });
    let routes: Vec<_> = routes.collect();
    let services = services.iter().map(|name| {
        format!(
            "{{\"name\":\"{name}\",\"health_check\":\"/health\",\"max_connections\":120,\
             \"protocol\":\"h1\",\"tls\":false{cold}}}"
        )
    });
    let services: Vec<_> = services.collect();
    format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[{}],\"limits\":{{\
         \"max_header_bytes\":16384,\"max_body_bytes\":67108864,\"header_timeout_s\":3,\
         \"idle_timeout_s\":15}},\"base_version\":0}}",
        routes.join(","),
        services.join(",")
    )
}

const COLD: &str = ",\"cold_start_s\":3.0,\"cold_per_s\":26.0";

fn request(route: &Route, path: &str, deadline_ms: u64) -> Request {
    let is_get = route.kind != "unsafe";
    Request {
        method: if is_get { "GET" } else { "POST" },
        host: format!("{}.example", route.name),
        path: format!("/{}/{path}", route.name),
        body: if is_get {
            Vec::new()
        } else {
            b"{\"invoice\":1}".to_vec()
        },
        deadline_ms,
    }
}

/// Traffic at a steady rate, each request on a connection of its own.
struct Traffic {
    is_ended: Arc<AtomicBool>,
    outcomes: Arc<Mutex<Vec<Outcome>>>,
    sender: JoinHandle<()>,
}

impl Traffic {
    fn start(
        targets: Vec<SocketAddr>,
        per_s: f64,
        make: impl Fn(u64) -> Request + Send + 'static,
        record: &Record,
    ) -> Self {
        let is_ended = Arc::new(AtomicBool::new(false));
        let outcomes = Arc::new(Mutex::new(Vec::new()));
        let (ended, kept, record) = (Arc::clone(&is_ended), Arc::clone(&outcomes), record.clone());
        let sender = thread::spawn(move || {
            let start = now_ms();
            let mut open = Vec::new();
            for number in 0u64.. {
                let due = start + number as f64 * 1000.0 / per_s;
                let wait = due - now_ms();
                if wait > 0.0 {
                    thread::sleep(Duration::from_secs_f64(wait / 1000.0));
                }
                if ended.load(Ordering::Relaxed) {
                    break;
                }
                let target = targets[number as usize % targets.len()];
                let request = make(number);
                let (kept, record) = (Arc::clone(&kept), record.clone());
                open.push(thread::spawn(move || {
                    if let Some(outcome) = client::send(target, &request, &record) {
                        kept.lock().unwrap().push(outcome);
                    }
                }));
            }
            for thread in open {
                let _ = thread.join();
            }
        });
        Self {
            is_ended,
            outcomes,
            sender,
        }
    }

    fn end(self) -> Vec<Outcome> {
        self.is_ended.store(true, Ordering::Relaxed);
        let _ = self.sender.join();
        let outcomes = std::mem::take(&mut *self.outcomes.lock().unwrap());
        outcomes
    }
}

fn sleep_s(seconds: f64) {
    thread::sleep(Duration::from_secs_f64(seconds.max(0.0)));
}

/// Starts a server and a node on each machine and waits until traffic may start.
fn start(fleet: &mut Fleet, server_options: &[&str]) -> Result<(), String> {
    start_with(fleet, server_options, &[])
}

/// Does the same, with further options for the first server.
fn start_with(fleet: &mut Fleet, options: &[&str], first: &[&str]) -> Result<(), String> {
    let machines = fleet.machines.len();
    for index in 0..machines {
        let further = if index == 0 { first } else { &[] };
        let options = [options, further].concat();
        fleet.start_server(index, &format!("i-000{index}"), &options)?;
    }
    sleep_s(0.5);
    for index in 0..machines {
        fleet.start_node(index)?;
    }
    if !fleet.wait_until_ready() {
        return Err("the nodes are not ready".into());
    }
    sleep_s(4.0);
    Ok(())
}

/// FAILBACK: a server crashes and starts again under the id that it had.
fn cold_rate(record: &Record, is_troubled: bool) -> Result<i32, String> {
    const PER_S: f64 = 200.0;
    const TIMES: usize = 3;
    let machines = [
        ("ragusa", "conti"),
        ("modica", "conti"),
        ("vittoria", "fatture"),
    ];
    let mut fleet = Fleet::new(&machines, record).ok_or("no free loopback addresses")?;
    let store = Store::start(fleet.store).map_err(|err| err.to_string())?;
    let route = Route {
        name: "saldo",
        kind: "safe",
        service: "conti",
        timeout_s: "1",
        target_s: "0.3",
    };
    store.put(
        "op/config",
        &config(7, &[route], &["conti", "fatture"], COLD),
    );
    let warm = [
        "slots=12",
        "work_ms=90",
        "heartbeat_ms=1500",
        "register_ms=0",
    ];
    start(&mut fleet, &warm)?;
    let targets = fleet.machines.iter().map(|it| it.outbound()).collect();
    let traffic = Traffic::start(targets, PER_S, move |_| request(&route, "x", 2000), record);
    for _ in 0..TIMES {
        sleep_s(4.0);
        if !is_troubled {
            continue;
        }
        fleet.kill_server(0);
        sleep_s(1.0);
        // The first write to the store comes half a heartbeat after the start.
        let cold = [
            "slots=12",
            "work_ms=90",
            "heartbeat_ms=1500",
            "register_ms=750",
            "cold_ms=3000",
            "cold_per_s=26",
            "cold_factor=2",
        ];
        fleet.start_server(0, "i-0000", &cold)?;
        sleep_s(3.0);
        if fleet
            .server_events(0)
            .iter()
            .any(|(_, event, _)| event == "crashes")
        {
            break;
        }
    }
    sleep_s(3.0);
    let outcomes = traffic.end();
    judge_cold(&fleet, &outcomes, record)
}

/// Counts what arrives at server 0 while it is cold.
fn judge_cold(fleet: &Fleet, outcomes: &[Outcome], record: &Record) -> Result<i32, String> {
    // cold_per_s 26 x cold_overage 1.5 + cold_slack 5
    const BOUND: usize = 44;
    let sent: BTreeMap<&str, f64> = outcomes
        .iter()
        .map(|outcome| (outcome.id.as_str(), outcome.sent_ms))
        .collect();
    let mut arrivals = Vec::new();
    for (at, event, what) in fleet.server_events(0) {
        match event.as_str() {
            "started" | "registered" | "crashes" | "cold" => {
                record.line_at(at, &format!("server 0 {event} {what}"));
            }
            "arrives" if what.ends_with(" cold") => {
                let id = what.trim_end_matches(" cold");
                record.line_at(at, &format!("arrives at the cold server: {id}"));
                if let Some(sent) = sent.get(id) {
                    arrivals.push((*sent, at));
                }
            }
            _ => {}
        }
    }
    // Requests that were sent and arrived inside one second.
    let counts = arrivals.iter().map(|(_, end)| {
        let is_inside = |(sent, at): &&(f64, f64)| *sent > end - 1000.0 && at <= end;
        arrivals.iter().filter(is_inside).count()
    });
    let most = counts.max().unwrap_or(0);
    let served = outcomes
        .iter()
        .filter(|outcome| outcome.status == Some(200))
        .count();
    record.line(&format!("served {served} of {} requests", outcomes.len()));
    let text = format!("most requests in one second at the cold server: {most}, bound {BOUND}");
    record.line(&text);
    println!("{text}");
    Ok(if most > BOUND { BROKEN } else { HELD })
}

/// REFUSED: a server rejects part of its requests and gives some of its answers twice.
fn second_copy(record: &Record, is_troubled: bool) -> Result<i32, String> {
    const CLIENTS: usize = 36;
    const SECONDS: f64 = 78.0;
    let machines = [
        ("ragusa", "fatture"),
        ("modica", "fatture"),
        ("vittoria", "conti"),
    ];
    let mut fleet = Fleet::new(&machines, record).ok_or("no free loopback addresses")?;
    let store = Store::start(fleet.store).map_err(|err| err.to_string())?;
    let route = Route {
        name: "emissione",
        kind: "unsafe",
        service: "fatture",
        timeout_s: "1.2",
        target_s: "0.4",
    };
    store.put(
        "op/config",
        &config(7, &[route], &["conti", "fatture"], COLD),
    );
    let sound = [
        "slots=12",
        "work_ms=120",
        "heartbeat_ms=1500",
        "register_ms=0",
    ];
    // Troubles of 5 s, 4 s apart; the first one begins some seconds after the traffic.
    let trouble = [
        "shed=0.45",
        "extra=0.03",
        "calm_ms=10000",
        "trouble_ms=5000",
        "pause_ms=4000",
    ];
    start_with(&mut fleet, &sound, if is_troubled { &trouble } else { &[] })?;
    if is_troubled {
        record
            .line("server 0 rejects 45 in 100 requests and gives 3 in 100 answers twice, at times");
    }
    let outcomes = press(&fleet, route, CLIENTS, SECONDS, record);
    let mut runs: BTreeMap<String, Vec<(f64, usize)>> = BTreeMap::new();
    let (mut sheds, mut copies) = (0, 0);
    for server in 0..fleet.machines.len() {
        for (at, event, id) in fleet.server_events(server) {
            match event.as_str() {
                "runs" => runs.entry(id).or_default().push((at, server)),
                "sheds" => sheds += 1,
                "additional" => copies += 1,
                _ => {}
            }
        }
    }
    let (mut twice, mut refused) = (0, 0);
    for outcome in &outcomes {
        let Some(run) = runs.get(&outcome.id) else {
            continue;
        };
        if run.len() > 1 {
            twice += 1;
            record.line(&format!("{} runs more than once:", outcome.id));
        }
        if outcome.status == Some(503) {
            refused += 1;
            record.line(&format!("{} is answered 503 and has run:", outcome.id));
        }
        if run.len() > 1 || outcome.status == Some(503) {
            for (at, server) in run {
                record.line_at(*at, &format!("{} runs at server {server}", outcome.id));
            }
        }
    }
    let text = format!(
        "{refused} of {} unsafe requests were answered 503 and had run, {twice} ran more than once; \
         server 0 rejected {sheds} requests and gave {copies} answers twice",
        outcomes.len()
    );
    record.line(&text);
    println!("{text}");
    Ok(if refused > 0 { BROKEN } else { HELD })
}

/// Has clients on all machines send one request after the other, each on a new connection.
fn press(
    fleet: &Fleet,
    route: Route,
    clients: usize,
    seconds: f64,
    record: &Record,
) -> Vec<Outcome> {
    let is_ended = Arc::new(AtomicBool::new(false));
    let outcomes = Arc::new(Mutex::new(Vec::new()));
    let clients = (0..clients).map(|client| {
        let target = fleet.machines[client % fleet.machines.len()].outbound();
        let (ended, kept) = (Arc::clone(&is_ended), Arc::clone(&outcomes));
        let record = record.clone();
        thread::spawn(move || {
            for number in 0u64.. {
                if ended.load(Ordering::Relaxed) {
                    return;
                }
                let request = request(&route, &format!("{client}-{number}"), 2000);
                if let Some(outcome) = client::send(target, &request, &record) {
                    kept.lock().unwrap().push(outcome);
                }
            }
        })
    });
    let clients: Vec<_> = clients.collect();
    sleep_s(seconds);
    is_ended.store(true, Ordering::Relaxed);
    for client in clients {
        let _ = client.join();
    }
    let outcomes = std::mem::take(&mut *outcomes.lock().unwrap());
    outcomes
}

/// MIXED: additional bytes follow a complete answer of a server, late.
fn past_length(record: &Record, is_troubled: bool) -> Result<i32, String> {
    const CLIENTS: usize = 40;
    const SECONDS: f64 = 20.0;
    let machines = [
        ("ragusa", "ricevute"),
        ("modica", "ricevute"),
        ("vittoria", "conti"),
    ];
    let mut fleet = Fleet::new(&machines, record).ok_or("no free loopback addresses")?;
    let store = Store::start(fleet.store).map_err(|err| err.to_string())?;
    let route = Route {
        name: "archivio",
        kind: "download",
        service: "ricevute",
        timeout_s: "1",
        target_s: "0.3",
    };
    store.put(
        "op/config",
        &config(7, &[route], &["conti", "ricevute"], COLD),
    );
    let sound = [
        "slots=12",
        "work_ms=72",
        "heartbeat_ms=1500",
        "register_ms=0",
    ];
    start(&mut fleet, &sound)?;
    if is_troubled {
        fleet.kill_server(0);
        sleep_s(1.0);
        let garbling = [&sound[..], &["garble=0.03"]].concat();
        fleet.start_server(0, "i-1000", &garbling)?;
        record.line("server i-1000 sends additional bytes after 3 in 100 of its answers");
        sleep_s(5.0);
    }
    let outcomes = press(&fleet, route, CLIENTS, SECONDS, record);
    let additional = fleet.server_events(0).into_iter();
    let additional = additional
        .filter(|(_, event, _)| event == "additional")
        .count();
    let mut mixed = 0;
    for outcome in outcomes
        .iter()
        .filter(|outcome| outcome.status == Some(200))
    {
        let own = format!("answer to {}", outcome.id);
        if outcome.has_signature && outcome.body == own.as_bytes() {
            continue;
        }
        mixed += 1;
        record.line_at(
            outcome.ended_ms,
            &format!(
                "the client of {} gets 200, signed: {}, with the body {:?}",
                outcome.id,
                outcome.has_signature,
                String::from_utf8_lossy(&outcome.body)
            ),
        );
    }
    let text = format!(
        "{mixed} of {} requests got a success that is not the server's answer; additional bytes \
         followed {additional} answers",
        outcomes.len()
    );
    record.line(&text);
    println!("{text}");
    Ok(if mixed > 0 { BROKEN } else { HELD })
}

/// CONFIG: another writer puts entries with missing fields beside those of a service's servers.
fn mirror(record: &Record, is_troubled: bool) -> Result<i32, String> {
    let machines = [
        ("ragusa", "conti"),
        ("modica", "conti"),
        ("vittoria", "fatture"),
        ("ragusa", "fatture"),
    ];
    let mut fleet = Fleet::new(&machines, record).ok_or("no free loopback addresses")?;
    let store = Store::start(fleet.store).map_err(|err| err.to_string())?;
    let first = Route {
        name: "emissione",
        kind: "unsafe",
        service: "fatture",
        timeout_s: "1.2",
        target_s: "0.4",
    };
    let later = Route {
        name: "saldo",
        kind: "safe",
        service: "conti",
        timeout_s: "1",
        target_s: "0.3",
    };
    let services = ["conti", "fatture"];
    store.put("op/config", &config(7, &[first], &services, COLD));
    let warm = [
        "slots=12",
        "work_ms=90",
        "heartbeat_ms=1500",
        "register_ms=0",
    ];
    start(&mut fleet, &warm)?;
    store.put("op/config", &config(9, &[first, later], &services, COLD));
    record.line("the operator adds the route r-saldo with version 9");
    sleep_s(4.0);
    let targets: Vec<_> = fleet.machines.iter().map(|it| it.outbound()).collect();
    let make = move |number: u64| match number % 3 {
        0 => request(&first, &number.to_string(), 2500),
        _ => request(&later, &number.to_string(), 2000),
    };
    let traffic = Traffic::start(targets, 90.0, make, record);
    sleep_s(5.0);
    if is_troubled {
        for index in 0..2 {
            let key = format!("servers/i-000{index}");
            let entry = store.get(&key).ok_or("a server has no entry")?;
            let entry = without_fields(&entry, &["version", "cold_remaining_s", "sequence"]);
            let mirror = format!("servers/mirror-i-000{index}");
            store.put(&mirror, &entry);
            record.line(&format!("another writer writes {mirror}: {entry}"));
        }
    }
    sleep_s(5.0);
    let steady = now_ms();
    record.line("steady state from here on");
    sleep_s(20.0);
    let outcomes = traffic.end();
    judge_routes(&outcomes, steady, "/emissione/", "/saldo/", record)
}

/// Returns the text of an entry without some of its fields.
fn without_fields(entry: &str, names: &[&str]) -> String {
    let fields = entry.trim_matches(['{', '}']).split(',');
    let is_kept = |field: &&str| {
        !names
            .iter()
            .any(|name| field.starts_with(&format!("\"{name}\"")))
    };
    format!(
        "{{{}}}",
        fields.filter(is_kept).collect::<Vec<_>>().join(",")
    )
}

/// Compares how often requests on a route that was added later and on a first one were served.
fn judge_routes(
    outcomes: &[Outcome],
    steady: f64,
    first: &str,
    later: &str,
    record: &Record,
) -> Result<i32, String> {
    let share = |prefix: &str| {
        let sent = outcomes.iter();
        let sent = sent.filter(|it| it.sent_ms > steady && it.path.starts_with(prefix));
        let (served, not): (Vec<_>, Vec<_>) =
            sent.partition(|it| it.status == Some(200) && it.has_signature);
        (served.len(), served.len() + not.len())
    };
    let (first, later) = (share(first), share(later));
    let text = format!(
        "in steady state, on the route that was added later {} of {} requests were served, on the \
         first route {} of {}",
        later.0, later.1, first.0, first.1
    );
    record.line(&text);
    println!("{text}");
    let ratio = |(served, all): (usize, usize)| served as f64 / all.max(1) as f64;
    let is_broken = later.1 >= 20 && ratio(later) < 0.25 * ratio(first);
    Ok(if is_broken { BROKEN } else { HELD })
}

/// CONFIG: the servers of a service crash together while they run the same reading request.
fn crashes(record: &Record, is_troubled: bool) -> Result<i32, String> {
    const PER_S: f64 = 180.0;
    let machines = [
        ("ragusa", "conti"),
        ("modica", "conti"),
        ("vittoria", "fatture"),
        ("ragusa", "fatture"),
    ];
    let mut fleet = Fleet::new(&machines, record).ok_or("no free loopback addresses")?;
    let store = Store::start(fleet.store).map_err(|err| err.to_string())?;
    let first = Route {
        name: "emissione",
        kind: "unsafe",
        service: "fatture",
        timeout_s: "1.2",
        target_s: "0.4",
    };
    let later = Route {
        name: "listino",
        kind: "safe",
        service: "conti",
        timeout_s: "1",
        target_s: "0.3",
    };
    let services = ["conti", "fatture"];
    store.put("op/config", &config(7, &[first], &services, COLD));
    let warm = [
        "slots=12",
        "work_ms=90",
        "heartbeat_ms=1500",
        "register_ms=0",
    ];
    start(&mut fleet, &warm)?;
    store.put("op/config", &config(9, &[first, later], &services, COLD));
    record.line("the operator adds the route r-listino with version 9");
    sleep_s(4.0);
    let targets: Vec<_> = fleet.machines.iter().map(|it| it.outbound()).collect();
    // One invoice and two reads of the price list, which all clients read from the same path.
    let make = move |number: u64| match number % 3 {
        0 => request(&first, &number.to_string(), 2500),
        _ => request(&later, "tabella", 2000),
    };
    let traffic = Traffic::start(targets, PER_S, make, record);
    sleep_s(6.0);
    if is_troubled {
        fleet.kill_server(0);
        fleet.kill_server(1);
        sleep_s(3.0);
        let cold = [
            "slots=12",
            "work_ms=90",
            "heartbeat_ms=1500",
            "register_ms=0",
            "cold_ms=3000",
            "cold_per_s=26",
            "cold_factor=2",
        ];
        fleet.start_server(0, "i-1000", &cold)?;
        fleet.start_server(1, "i-1001", &cold)?;
    }
    // recovery_s
    sleep_s(15.0);
    let steady = now_ms();
    record.line("steady state from here on");
    sleep_s(30.0);
    let outcomes = traffic.end();
    judge_routes(&outcomes, steady, "/emissione/", "/listino/", record)
}

/// DRAIN: a server leaves without a word, and the store comes back from a copy that still has it.
fn drill(record: &Record, is_troubled: bool) -> Result<i32, String> {
    const DRAIN_S: f64 = 2.0;
    const CONTACT_S: f64 = 3.0;
    // Three heartbeat intervals.
    const LAPSE_S: f64 = 4.5;
    let machines = [
        ("ragusa", "fatture"),
        ("modica", "fatture"),
        ("vittoria", "conti"),
    ];
    let mut fleet = Fleet::new(&machines, record).ok_or("no free loopback addresses")?;
    let store = Store::start(fleet.store).map_err(|err| err.to_string())?;
    let route = Route {
        name: "emissione",
        kind: "unsafe",
        service: "fatture",
        timeout_s: "1.2",
        target_s: "0.4",
    };
    let text = config(7, &[route], &["conti", "fatture"], COLD);
    store.put("op/config", &text);
    let warm = [
        "slots=12",
        "work_ms=120",
        "heartbeat_ms=1500",
        "register_ms=0",
    ];
    start(&mut fleet, &warm)?;
    let targets = vec![fleet.machines[1].outbound(), fleet.machines[2].outbound()];
    let make = move |number: u64| request(&route, &number.to_string(), 2500);
    let traffic = Traffic::start(targets, 60.0, make, record);
    sleep_s(5.0);
    let server = fleet.machines[0].server();
    client::call(server, "/stand-in/leave").map_err(|err| err.to_string())?;
    let left = now_ms();
    record.line("server 0 leaves without a word: its entry is removed, it goes on serving");
    sleep_s(3.0);
    if is_troubled {
        store.go_away();
        record.line("the store is away");
    }
    let away = now_ms();
    sleep_s(0.5);
    if is_troubled {
        store.restore(Duration::from_millis(5_500));
        record.line("the store is back from a copy 5.5 s old, with the entry of server 0");
    }
    let back = now_ms();
    sleep_s(0.3);
    if is_troubled {
        store.put("op/config", &text);
        record.line("the operator has written the configuration again");
    }
    sleep_s(CONTACT_S + 0.9 - 0.3);
    fleet.kill_server(0);
    let ended = now_ms();
    record.line("server 0 ends");
    sleep_s((back + LAPSE_S * 1000.0 - now_ms()) / 1000.0);
    store.remove("servers/i-0000");
    record.line("server 0 has been silent for three heartbeats: it has no entry now");
    sleep_s(1.0);
    let outcomes = traffic.end();
    for (at, key, status) in store.key_reads() {
        record.line_at(
            at,
            &format!("the store answers a node that reads {key}: {status}"),
        );
    }
    // All machines are in touch until the store goes away, and from contact_s after it is back.
    let (mut late, mut other, mut lost) = (0, 0, 0);
    for (at, event, id) in fleet.server_events(0) {
        if event != "arrives" || at <= left + DRAIN_S * 1000.0 {
            continue;
        }
        let Some(outcome) = outcomes.iter().find(|outcome| outcome.id == id) else {
            continue;
        };
        let is_in_touch = at < away || outcome.sent_ms > back + CONTACT_S * 1000.0;
        let after = (at - left) / 1000.0;
        let note = if is_in_touch { "" } else { ", not counted" };
        record.line_at(
            at,
            &format!("{id} reaches server 0, {after:.3} s after it was gone{note}"),
        );
        if is_in_touch {
            late += 1;
        } else {
            other += 1;
        }
        if outcome.ended_ms > ended - 1.0 && outcome.status != Some(200) {
            lost += 1;
            record.line_at(at, &format!("{id} is lost with server 0"));
        }
    }
    let text = format!(
        "{late} requests reached the server later than {DRAIN_S} s after it was gone, sent on by machines \
         in touch, and {lost} were lost when it ended; {other} more while the store was away and in \
         the {CONTACT_S} s after it"
    );
    record.line(&text);
    println!("{text}");
    Ok(if late > 0 { BROKEN } else { HELD })
}

/// RECOVER: entries of another writer lie in the store when all processes are killed.
fn foreign(record: &Record, is_troubled: bool) -> Result<i32, String> {
    const RECOVERY_S: f64 = 15.0;
    let machines = [
        ("ragusa", "conti"),
        ("modica", "conti"),
        ("vittoria", "fatture"),
    ];
    let mut fleet = Fleet::new(&machines, record).ok_or("no free loopback addresses")?;
    let store = Store::start(fleet.store).map_err(|err| err.to_string())?;
    let route = Route {
        name: "saldo",
        kind: "safe",
        service: "conti",
        timeout_s: "1",
        target_s: "0.3",
    };
    store.put(
        "op/config",
        &config(7, &[route], &["conti", "fatture"], COLD),
    );
    let warm = [
        "slots=12",
        "work_ms=90",
        "heartbeat_ms=1500",
        "register_ms=0",
    ];
    start(&mut fleet, &warm)?;
    let targets: Vec<_> = fleet.machines.iter().map(|it| it.outbound()).collect();
    let make = move |number: u64| request(&route, &number.to_string(), 2000);
    let traffic = Traffic::start(targets, 60.0, make, record);
    sleep_s(3.0);
    if is_troubled {
        let bytes = "these bytes name no server. ".repeat(600);
        for number in 0..80 {
            store.put(&format!("servers/inventory {number:02}"), &bytes);
        }
        record.line("another writer has written 80 entries of 17 KB, servers/inventory 00 to 79");
    }
    sleep_s(3.0);
    let struck = now_ms();
    for index in 0..fleet.machines.len() {
        fleet.kill_node(index);
    }
    sleep_s(1.2);
    for index in 0..fleet.machines.len() {
        fleet.start_node(index)?;
    }
    sleep_s(RECOVERY_S);
    let recovered = now_ms();
    record.line("recovery_s after the machines are back");
    sleep_s(20.0);
    let outcomes = traffic.end();
    let share = |from: f64, until: f64| {
        let sent = outcomes
            .iter()
            .filter(|it| it.sent_ms >= from && it.sent_ms < until);
        let (served, not): (Vec<_>, Vec<_>) =
            sent.partition(|it| it.status == Some(200) && it.has_signature);
        (served.len(), served.len() + not.len())
    };
    let before = share(0.0, struck);
    let after = share(recovered, f64::MAX);
    let text = format!(
        "{} of {} requests were served before the fault, {} of {} later than {RECOVERY_S} s after it",
        before.0, before.1, after.0, after.1
    );
    record.line(&text);
    println!("{text}");
    let is_quarter = |(served, all): (usize, usize)| served * 4 >= all;
    Ok(if is_quarter(before) && !is_quarter(after) {
        BROKEN
    } else {
        HELD
    })
}

/// LOST: a node is stopped while servers are at work on requests of its clients.
fn stop(record: &Record, is_troubled: bool) -> Result<i32, String> {
    // Longer than the stop takes, and inside the route's timeout and the clients' time budget.
    const WORK: &str = "w2880";
    let machines = [
        ("ragusa", "conti"),
        ("modica", "fatture"),
        ("vittoria", "fatture"),
    ];
    let mut fleet = Fleet::new(&machines, record).ok_or("no free loopback addresses")?;
    // The bounds of the sheet with hundreds of machines.
    for (name, value) in [
        ("bounds.grace_s", "10"),
        ("bounds.config_apply_s", "3"),
        ("bounds.drain_s", "3"),
    ] {
        fleet.bounds.insert(name, value);
    }
    let store = Store::start(fleet.store).map_err(|err| err.to_string())?;
    let route = Route {
        name: "emissione",
        kind: "unsafe",
        service: "fatture",
        timeout_s: "3",
        target_s: "1",
    };
    store.put(
        "op/config",
        &config(7, &[route], &["conti", "fatture"], COLD),
    );
    let warm = [
        "slots=9",
        "work_ms=300",
        "heartbeat_ms=1500",
        "register_ms=0",
    ];
    start(&mut fleet, &warm)?;
    let target = fleet.machines[0].outbound();
    // Connections that the clients have used before and keep.
    let mut kept = Vec::new();
    for _ in 0..6 {
        let mut connection = Connection::open(target).map_err(|err| err.to_string())?;
        connection.send(&request(&route, "w300", 6000), record);
        kept.push(connection);
    }
    let stopped = now_ms();
    if is_troubled {
        fleet.stop_node(0);
    }
    sleep_s((stopped + 2_420.0 - now_ms()) / 1000.0);
    let open = kept.into_iter().map(|mut connection| {
        let record = record.clone();
        sleep_s(0.02);
        thread::spawn(move || connection.send(&request(&route, WORK, 6000), &record))
    });
    let open: Vec<_> = open.collect();
    let outcomes: Vec<Outcome> = open.into_iter().filter_map(|it| it.join().ok()).collect();
    sleep_s(1.0);
    let mut lost = 0;
    for outcome in &outcomes {
        let mut is_run = false;
        for (at, event, id) in (0..3).flat_map(|index| fleet.server_events(index)) {
            if id == outcome.id {
                record.line_at(at, &format!("server: {event} {id}"));
                is_run |= event == "runs";
            }
        }
        if is_run && !(outcome.status == Some(200) && outcome.has_signature) {
            lost += 1;
            record.line(&format!(
                "lost: {} was sent {:.3} s and cut off {:.3} s after the SIGTERM",
                outcome.id,
                (outcome.sent_ms - stopped) / 1000.0,
                (outcome.ended_ms - stopped) / 1000.0
            ));
        }
    }
    let text = format!(
        "{lost} of {} requests that a server was at work on were lost",
        outcomes.len()
    );
    record.line(&text);
    println!("{text}");
    Ok(if lost > 0 { BROKEN } else { HELD })
}
