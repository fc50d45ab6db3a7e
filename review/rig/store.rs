//! Stand-in of the platform's store.

use std::{
    collections::BTreeMap,
    net::{SocketAddr, TcpListener},
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::http::Conn;

#[derive(Clone, Default)]
pub struct Store(Arc<Mutex<Contents>>);

#[derive(Default)]
struct Contents {
    revision: u64,
    /// Value and revision by key. Nothing is deleted in these cases.
    items: BTreeMap<String, (Vec<u8>, u64)>,
}

impl Store {
    pub fn put(&self, key: &str, value: &str) {
        let mut contents = self.0.lock().unwrap();
        contents.revision += 1;
        let revision = contents.revision;
        contents
            .items
            .insert(key.to_string(), (value.as_bytes().to_vec(), revision));
    }

    pub fn serve(&self, address: SocketAddr) -> std::io::Result<()> {
        let listener = TcpListener::bind(address)?;
        let store = self.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = store.clone();
                thread::spawn(move || {
                    let Ok(mut conn) = Conn::new(stream) else {
                        return;
                    };
                    while let Ok(Some(head)) = conn.read_head() {
                        let answer = store.answer(&head.line);
                        if conn.send(answer.as_bytes()).is_err() {
                            return;
                        }
                    }
                });
            }
        });
        Ok(())
    }

    fn answer(&self, line: &str) -> String {
        let target = line.split(' ').nth(1).unwrap_or("");
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let fields: BTreeMap<String, String> = query
            .split('&')
            .filter_map(|pair| pair.split_once('='))
            .map(|(name, value)| (name.to_string(), decoded(value)))
            .collect();
        let field = |name: &str| fields.get(name).cloned().unwrap_or_default();
        let number = |name: &str| field(name).parse::<u64>().unwrap_or(0);
        match path {
            "/v1/kv-range" => {
                let contents = self.0.lock().unwrap();
                let after = field("after");
                let items = contents
                    .items
                    .iter()
                    .filter(|(key, _)| key.starts_with(&field("prefix")) && **key > after);
                let items: Vec<String> = items.map(|(key, item)| json(key, item)).collect();
                let body = format!(
                    "{{\"items\":[{}],\"has_more\":false,\"current_rev\":{}}}",
                    items.join(","),
                    contents.revision
                );
                response(200, &body)
            }
            "/v1/kv-watch" => {
                let end = Instant::now() + Duration::from_millis(number("wait_ms"));
                loop {
                    let contents = self.0.lock().unwrap();
                    let mut events: Vec<_> = contents.items.iter().collect();
                    events.retain(|(key, (_, at))| {
                        key.starts_with(&field("prefix")) && *at > number("after")
                    });
                    events.sort_by_key(|(_, (_, at))| *at);
                    if !events.is_empty() || Instant::now() >= end {
                        let events: Vec<String> = events
                            .into_iter()
                            .map(|(key, item)| json(key, item))
                            .collect();
                        let body = format!(
                            "{{\"events\":[{}],\"current_rev\":{}}}",
                            events.join(","),
                            contents.revision
                        );
                        return response(200, &body);
                    }
                    drop(contents);
                    thread::sleep(Duration::from_millis(10));
                }
            }
            "/v1/kv-key" => {
                let contents = self.0.lock().unwrap();
                let key = field("key");
                match contents.items.get(&key) {
                    Some(item) => response(200, &json(&key, item)),
                    _ => response(404, "{}"),
                }
            }
            _ => response(404, "{}"),
        }
    }
}

fn response(status: u16, body: &str) -> String {
    let length = body.len();
    format!(
        "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {length}\r\n\r\n{body}"
    )
}

fn json(key: &str, (value, revision): &(Vec<u8>, u64)) -> String {
    let value = base64(value);
    format!(
        "{{\"key\":\"{key}\",\"value\":\"{value}\",\"revision\":{revision},\
         \"create_rev\":{revision},\"lease\":0}}"
    )
}

fn decoded(text: &str) -> String {
    let mut bytes = Vec::new();
    let mut rest = text.as_bytes();
    while let Some((byte, tail)) = rest.split_first() {
        let hex = (*byte == b'%').then(|| tail.get(..2)).flatten();
        let hex = hex.and_then(|hex| u8::from_str_radix(std::str::from_utf8(hex).ok()?, 16).ok());
        match hex {
            Some(value) => {
                bytes.push(value);
                rest = &tail[2..];
            }
            None => {
                bytes.push(*byte);
                rest = tail;
            }
        }
    }
    String::from_utf8_lossy(&bytes).into_owned()
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let mut group = [0; 3];
        group[..chunk.len()].copy_from_slice(chunk);
        let bits = u32::from_be_bytes([0, group[0], group[1], group[2]]);
        for index in 0..4 {
            let digit = DIGITS[(bits >> (18 - 6 * index) & 63) as usize];
            text.push(if index <= chunk.len() {
                char::from(digit)
            } else {
                '='
            });
        }
    }
    text
}
