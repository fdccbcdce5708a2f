//! A stand-in of the platform's store: `kv-range` and `kv-watch` of PROTOCOL.md.

use std::collections::BTreeMap;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::read_message;

/// Number of items of a page, and number of bytes of their values after which a page ends.
const PAGE_ITEMS: usize = 500;
const PAGE_BYTES: usize = 1_000_000;

#[derive(Default)]
struct State {
    revision: u64,
    /// Value in base64, revision of the last change, revision of the creation.
    items: BTreeMap<String, (String, u64, u64)>,
    /// All changes; the value is `None` for a removal.
    history: Vec<(u64, String, Option<String>)>,
    /// The history up to this revision is forgotten.
    forgotten: u64,
}

/// The store, which each connection's thread shares.
#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    state: Arc<(Mutex<State>, Condvar)>,
}

impl Store {
    pub fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
        let store = Self {
            address: listener.local_addr().expect("the listener is bound"),
            state: Arc::new((Mutex::new(State { revision: 10, ..State::default() }), Condvar::new())),
        };
        let serving = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = serving.clone();
                thread::spawn(move || store.serve(stream));
            }
        });
        store
    }

    /// Writes a value and returns the revision: the acknowledgement.
    pub fn put(&self, key: &str, value: &str) -> u64 {
        self.put_bytes(key, value.as_bytes())
    }

    /// Writes any bytes.
    pub fn put_bytes(&self, key: &str, value: &[u8]) -> u64 {
        let mut state = self.state.0.lock().expect("no thread panicked");
        state.revision += 1;
        let revision = state.revision;
        let encoded = encode_base64(value);
        let created = state.items.get(key).map_or(revision, |item| item.2);
        state.items.insert(key.to_owned(), (encoded.clone(), revision, created));
        state.history.push((revision, key.to_owned(), Some(encoded)));
        self.state.1.notify_all();
        revision
    }

    pub fn remove(&self, key: &str) {
        let mut state = self.state.0.lock().expect("no thread panicked");
        if state.items.remove(key).is_some() {
            state.revision += 1;
            let revision = state.revision;
            state.history.push((revision, key.to_owned(), None));
            self.state.1.notify_all();
        }
    }

    /// Discards the history so far.
    pub fn forget_history(&self) {
        let mut state = self.state.0.lock().expect("no thread panicked");
        state.forgotten = state.revision;
        self.state.1.notify_all();
    }

    fn serve(&self, stream: TcpStream) {
        let Ok(mut writer) = stream.try_clone() else { return };
        let mut reader = BufReader::new(stream);
        while let Ok(Some(request)) = read_message(&mut reader) {
            let (status, body) = self.answer(request.target());
            let answer = format!(
                "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
                body.len()
            );
            if writer.write_all(answer.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn answer(&self, target: &str) -> (u16, String) {
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let parameter = |name: &str| {
            let found = query.split('&').find_map(|pair| pair.strip_prefix(name)?.strip_prefix('='));
            decode_percent(found.unwrap_or(""))
        };
        match path {
            "/anvilhub/kv-range" => (200, self.range(&parameter("prefix"), &parameter("after"))),
            "/anvilhub/kv-watch" => {
                let after = parameter("after").parse().unwrap_or(0);
                let wait = Duration::from_millis(parameter("wait_ms").parse().unwrap_or(0));
                match self.watch(&parameter("prefix"), after, wait) {
                    Some(body) => (200, body),
                    None => (410, "{}".to_owned()),
                }
            }
            _ => (404, "{}".to_owned()),
        }
    }

    fn range(&self, prefix: &str, after: &str) -> String {
        let state = self.state.0.lock().expect("no thread panicked");
        let matching = state.items.iter().filter(|(key, _)| key.starts_with(prefix) && key.as_str() > after);
        let mut items: Vec<String> = Vec::new();
        let (mut bytes, mut more) = (0, false);
        for (key, (value, revision, created)) in matching {
            if items.len() == PAGE_ITEMS || bytes > PAGE_BYTES {
                more = true;
                break;
            }
            bytes += value.len();
            items.push(item_text(key, value, *revision, *created));
        }
        format!("{{\"items\":[{}],\"more_pages\":{more},\"as_of\":{}}}", items.join(","), state.revision)
    }

    fn watch(&self, prefix: &str, after: u64, wait: Duration) -> Option<String> {
        let end = Instant::now() + wait;
        let mut state = self.state.0.lock().expect("no thread panicked");
        loop {
            if after < state.forgotten {
                return None;
            }
            let events: Vec<String> = state
                .history
                .iter()
                .filter(|(revision, key, _)| *revision > after && key.starts_with(prefix))
                .map(|(revision, key, value)| match value {
                    Some(value) => item_text(key, value, *revision, *revision),
                    None => format!("{{\"key\":\"{key}\",\"revision\":{revision},\"removed\":true}}"),
                })
                .collect();
            let left = end.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                return Some(format!("{{\"events\":[{}],\"as_of\":{}}}", events.join(","), state.revision));
            }
            state = self.state.1.wait_timeout(state, left).expect("no thread panicked").0;
        }
    }
}

fn item_text(key: &str, value: &str, revision: u64, created: u64) -> String {
    format!("{{\"key\":\"{key}\",\"value\":\"{value}\",\"revision\":{revision},\"created\":{created},\"lease\":0}}")
}

fn encode_base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let group = (0..3).fold(0_u32, |group, index| group << 8 | u32::from(*chunk.get(index).unwrap_or(&0)));
        for index in 0..4 {
            match index <= chunk.len() {
                true => text.push(DIGITS[(group >> (18 - 6 * index)) as usize & 63] as char),
                false => text.push('='),
            }
        }
    }
    text
}

fn decode_percent(text: &str) -> String {
    let mut bytes = Vec::new();
    let mut rest = text.as_bytes();
    while let [first, tail @ ..] = rest {
        if let (b'%', [high, low, after @ ..]) = (first, tail) {
            let digits = [*high, *low];
            let digits = std::str::from_utf8(&digits).unwrap_or("");
            bytes.push(u8::from_str_radix(digits, 16).unwrap_or(b'?'));
            rest = after;
        } else {
            bytes.push(*first);
            rest = tail;
        }
    }
    String::from_utf8_lossy(&bytes).into_owned()
}
