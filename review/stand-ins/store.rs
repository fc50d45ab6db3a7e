//! Stand-in of the platform's metadata store, by the page on what the platform speaks.

use std::{
    collections::BTreeMap,
    io::{BufReader, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Condvar, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::{
    http::{self, Head},
    record::now_ms,
};

/// Largest number of items and of bytes in a page.
const PAGE_ITEMS: usize = 500;
const PAGE_BYTES: usize = 1_000_000;

#[derive(Clone)]
struct Item {
    text: String,
    value: String,
    revision: u64,
    create_rev: u64,
}

#[derive(Default)]
struct State {
    items: BTreeMap<String, Item>,
    /// Key, revision and whether the key was written or removed, with what it held then.
    events: Vec<(String, u64, Option<Item>)>,
    revision: u64,
    /// Number of times that the store came back from a copy, plus one.
    era: u64,
    /// Whether the store is away: it closes connections without an answer.
    is_away: bool,
    /// Items and revision after each change, for copies of the past.
    past: Vec<(Instant, BTreeMap<String, Item>, u64)>,
    /// Reading calls of single keys and their status.
    key_reads: Vec<(f64, String, &'static str)>,
}

/// Store that serves reading calls and is written to by the stand-ins.
#[derive(Clone, Default)]
pub struct Store {
    state: Arc<Mutex<State>>,
    changed: Arc<Condvar>,
}

impl Store {
    /// Starts a store at an address.
    pub fn start(address: SocketAddr) -> std::io::Result<Self> {
        let store = Self::default();
        let mut state = store.state.lock().unwrap();
        state.revision = 100;
        state.era = 1;
        drop(state);
        let listener = TcpListener::bind(address)?;
        let served = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = served.clone();
                thread::spawn(move || store.serve(stream));
            }
        });
        Ok(store)
    }

    /// Writes a key; the answer of the store is the return of this function.
    pub fn put(&self, key: &str, value: &str) {
        let mut state = self.state.lock().unwrap();
        state.revision += 1;
        let revision = state.revision;
        let create_rev = state.items.get(key).map_or(revision, |it| it.create_rev);
        let item = Item {
            text: value.into(),
            value: base64(value.as_bytes()),
            revision,
            create_rev,
        };
        state.items.insert(key.into(), item.clone());
        state.events.push((key.into(), revision, Some(item)));
        state.keep_copy();
        self.changed.notify_all();
    }

    /// Returns what a key holds.
    pub fn get(&self, key: &str) -> Option<String> {
        let state = self.state.lock().unwrap();
        state.items.get(key).map(|item| item.text.clone())
    }

    /// Removes a key.
    pub fn remove(&self, key: &str) {
        let mut state = self.state.lock().unwrap();
        if state.items.remove(key).is_none() {
            return;
        }
        state.revision += 1;
        let revision = state.revision;
        state.events.push((key.into(), revision, None));
        state.keep_copy();
        self.changed.notify_all();
    }

    /// Goes away: open calls and new ones get no answer.
    pub fn go_away(&self) {
        self.state.lock().unwrap().is_away = true;
        self.changed.notify_all();
    }

    /// Comes back from a copy of the given age. Revisions go back, and the era rises by one.
    pub fn restore(&self, age: Duration) {
        let mut state = self.state.lock().unwrap();
        let limit = Instant::now() - age;
        let copy = state.past.iter().rfind(|(at, _, _)| *at <= limit);
        let Some((_, items, revision)) = copy.cloned() else {
            return;
        };
        state.items = items;
        state.revision = revision;
        state.events.retain(|(_, other, _)| *other <= revision);
        state.era += 1;
        state.is_away = false;
    }

    /// Returns the reading calls of a single key: time, key and status.
    pub fn key_reads(&self) -> Vec<(f64, String, &'static str)> {
        self.state.lock().unwrap().key_reads.clone()
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(copy) = stream.try_clone() else { return };
        let mut reader = BufReader::new(stream);
        let mut writer = copy;
        while let Ok(Some(head)) = http::read_head(&mut reader) {
            let Ok(body) = http::read_body(&mut reader, &head) else {
                return;
            };
            let is_own = head.word(1).starts_with("/stand-in/");
            let answer = self.answer(&head, &body);
            let state = self.state.lock().unwrap();
            if state.is_away && !is_own {
                return;
            }
            let era = state.era;
            drop(state);
            let (status, body) = answer;
            let text = format!(
                "HTTP/1.1 {status}\r\nContent-Type: application/json\r\nStore-Era: {era}\r\nContent-Length: {}\r\n\r\n{body}",
                body.len()
            );
            if writer.write_all(text.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn answer(&self, head: &Head, body: &[u8]) -> (&'static str, String) {
        let (path, query) = head.word(1).split_once('?').unwrap_or((head.word(1), ""));
        let query: BTreeMap<&str, &str> = query
            .split('&')
            .filter_map(|pair| pair.split_once('='))
            .collect();
        match path {
            "/v1/kv-key" => self.key(query.get("key").copied().unwrap_or("")),
            "/v1/kv-range" => self.range(&query),
            "/v1/kv-watch" => self.watch(&query),
            // The way by which the stand-ins of servers write; the pages don't name theirs.
            "/stand-in/put" => {
                let key = query.get("key").copied().unwrap_or("");
                self.put(key, &String::from_utf8_lossy(body));
                ("200 OK", "{}".into())
            }
            "/stand-in/remove" => {
                self.remove(query.get("key").copied().unwrap_or(""));
                ("200 OK", "{}".into())
            }
            _ => ("404 Not Found", "{}".into()),
        }
    }

    fn key(&self, key: &str) -> (&'static str, String) {
        let mut state = self.state.lock().unwrap();
        let answer = match state.items.get(key) {
            Some(item) => ("200 OK", item_text(key, item, Some(state.revision))),
            None => ("404 Not Found", "{}".into()),
        };
        state.key_reads.push((now_ms(), key.into(), answer.0));
        answer
    }

    fn range(&self, query: &BTreeMap<&str, &str>) -> (&'static str, String) {
        let prefix = query.get("prefix").copied().unwrap_or("");
        let after = query.get("after").copied().unwrap_or("");
        let state = self.state.lock().unwrap();
        let found = state
            .items
            .iter()
            .filter(|(key, _)| key.starts_with(prefix) && key.as_str() > after);
        let found: Vec<_> = found.collect();
        let mut items = Vec::new();
        let mut bytes = 0;
        for (key, item) in &found {
            let text = item_text(key, item, None);
            bytes += text.len();
            if !items.is_empty() && (items.len() == PAGE_ITEMS || bytes > PAGE_BYTES) {
                break;
            }
            items.push(text);
        }
        let text = format!(
            "{{\"items\":[{}],\"has_more\":{},\"current_rev\":{}}}",
            items.join(","),
            items.len() < found.len(),
            state.revision
        );
        ("200 OK", text)
    }

    fn watch(&self, query: &BTreeMap<&str, &str>) -> (&'static str, String) {
        let prefix = query.get("prefix").copied().unwrap_or("");
        let number = |name| query.get(name).and_then(|text| text.parse::<u64>().ok());
        let after = number("after").unwrap_or(0);
        let wait = Duration::from_millis(number("wait_ms").unwrap_or(0).min(30_000));
        let until = Instant::now() + wait;
        let mut state = self.state.lock().unwrap();
        loop {
            if after > state.revision {
                return ("410 Gone", "{}".into());
            }
            let events: Vec<_> = state
                .events
                .iter()
                .filter(|(key, revision, _)| *revision > after && key.starts_with(prefix))
                .map(|(key, revision, item)| match item {
                    Some(item) => item_text(key, item, None),
                    None => {
                        format!("{{\"key\":\"{key}\",\"revision\":{revision},\"tombstone\":true}}")
                    }
                })
                .collect();
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() || state.is_away {
                let text = format!(
                    "{{\"events\":[{}],\"current_rev\":{}}}",
                    events.join(","),
                    state.revision
                );
                return ("200 OK", text);
            }
            state = self.changed.wait_timeout(state, left).unwrap().0;
        }
    }
}

impl State {
    fn keep_copy(&mut self) {
        let copy = (Instant::now(), self.items.clone(), self.revision);
        self.past.push(copy);
        if self.past.len() > 1000 {
            self.past.remove(0);
        }
    }
}

fn item_text(key: &str, item: &Item, current_rev: Option<u64>) -> String {
    let current = current_rev.map(|revision| format!(",\"current_rev\":{revision}"));
    format!(
        "{{\"key\":\"{key}\",\"value\":\"{}\",\"revision\":{},\"create_rev\":{},\"lease\":0{}}}",
        item.value,
        item.revision,
        item.create_rev,
        current.unwrap_or_default()
    )
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for group in bytes.chunks(3) {
        let mut bits = 0u32;
        for index in 0..3 {
            bits = bits << 8 | u32::from(group.get(index).copied().unwrap_or(0));
        }
        for index in 0..4 {
            if index > group.len() {
                text.push('=');
            } else {
                let digit = bits >> (18 - 6 * index) & 63;
                text.push(DIGITS[digit as usize] as char);
            }
        }
    }
    text
}
