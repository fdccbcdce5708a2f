//! A stand-in of the platform's store, as PROTOCOL.md describes it. Each instance gets an address of its own, so that the
//! store can treat one instance otherwise than the rest.

use std::collections::BTreeMap;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{Message, percent_decode, response};

/// Time for which the store works on an answer.
const ANSWER_TIME: Duration = Duration::from_millis(4);
/// Maximum number of items in a page.
const PAGE_ITEMS: usize = 50;
/// Maximum number of reading calls in a second.
const READS_PER_S: usize = 2_000;

#[derive(Clone, Default)]
pub struct Store(Arc<Shared>);

/// The way between a machine and the store. While it is cut, nothing passes and nothing is reset.
#[derive(Clone, Default)]
pub struct Link(Arc<AtomicBool>);

impl Link {
    pub fn set_cut(&self, is_cut: bool) {
        self.0.store(is_cut, Ordering::SeqCst);
    }

    fn wait(&self) {
        while self.0.load(Ordering::SeqCst) {
            thread::sleep(Duration::from_millis(10));
        }
    }
}

#[derive(Default)]
struct Shared {
    state: Mutex<State>,
    changed: Condvar,
}

#[derive(Default)]
struct State {
    revision: u64,
    items: BTreeMap<String, (u64, Vec<u8>)>,
    /// Each change with its revision, key and value; a removal has no value.
    history: Vec<(u64, String, Option<Vec<u8>>)>,
    calls: usize,
    second: Option<(Instant, usize)>,
}

impl Store {
    /// Opens an address at which the store answers.
    pub fn listen(&self) -> SocketAddr {
        self.listen_behind(&Link::default())
    }

    /// Opens an address at which the store answers as long as `link` is not cut.
    pub fn listen_behind(&self, link: &Link) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
        let address = listener.local_addr().expect("the listener is bound");
        let (shared, link) = (Arc::clone(&self.0), link.clone());
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (shared, link) = (Arc::clone(&shared), link.clone());
                thread::spawn(move || serve(stream, &shared, &link));
            }
        });
        address
    }

    pub fn put(&self, key: &str, value: impl Into<Vec<u8>>) {
        let value = value.into();
        let mut state = self.0.state.lock().expect("no thread panicked");
        state.revision += 1;
        let revision = state.revision;
        state
            .items
            .insert(key.to_owned(), (revision, value.clone()));
        state.history.push((revision, key.to_owned(), Some(value)));
        drop(state);
        self.0.changed.notify_all();
    }

    /// Returns the number of calls so far.
    pub fn calls(&self) -> usize {
        self.0.state.lock().expect("no thread panicked").calls
    }
}

fn serve(stream: TcpStream, shared: &Shared, link: &Link) {
    let _ = stream.set_nodelay(true);
    let Ok(mut writer) = stream.try_clone() else {
        return;
    };
    let mut reader = BufReader::new(stream);
    while let Ok(Some(request)) = Message::read(&mut reader) {
        link.wait();
        thread::sleep(ANSWER_TIME);
        let (status, body) = answer(request.target(), shared);
        let headers = [("content-type", "application/json".to_owned())];
        link.wait();
        if writer
            .write_all(&response(status, &headers, body.as_bytes()))
            .is_err()
        {
            return;
        }
    }
}

fn answer(target: &str, shared: &Shared) -> (u16, String) {
    let (path, query) = target.split_once('?').unwrap_or((target, ""));
    let parameter = |name: &str| {
        let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        let mut found = pairs.filter(|(known, _)| *known == name);
        found
            .next()
            .map(|(_, value)| percent_decode(value))
            .unwrap_or_default()
    };
    let prefix = parameter("prefix");
    let mut state = shared.state.lock().expect("no thread panicked");
    state.calls += 1;
    if !take_read(&mut state) {
        return (429, "{}".to_owned());
    }
    match path {
        "/anvilhub/kv-range" => (200, page(&state, &prefix, &parameter("after"))),
        "/anvilhub/kv-watch" => {
            let after: u64 = parameter("after").parse().unwrap_or(0);
            let wait = Duration::from_millis(parameter("wait_ms").parse().unwrap_or(0));
            let (state, _) = shared
                .changed
                .wait_timeout_while(state, wait, |state| state.revision <= after)
                .expect("no thread panicked");
            (200, changes(&state, &prefix, after))
        }
        _ => (404, "{}".to_owned()),
    }
}

/// Counts a reading call; returns whether the second still has room for it.
fn take_read(state: &mut State) -> bool {
    let now = Instant::now();
    match &mut state.second {
        Some((since, count)) if now.duration_since(*since) < Duration::from_secs(1) => {
            *count += 1;
            *count <= READS_PER_S
        }
        second => {
            *second = Some((now, 1));
            true
        }
    }
}

fn page(state: &State, prefix: &str, after: &str) -> String {
    let found: Vec<_> = state
        .items
        .iter()
        .filter(|(key, _)| key.starts_with(prefix) && key.as_str() > after)
        .collect();
    let items: Vec<String> = found
        .iter()
        .take(PAGE_ITEMS)
        .map(|(key, (revision, value))| item(key, *revision, value))
        .collect();
    format!(
        "{{\"items\":[{}],\"more_pages\":{},\"as_of\":{}}}",
        items.join(","),
        found.len() > PAGE_ITEMS,
        state.revision
    )
}

fn changes(state: &State, prefix: &str, after: u64) -> String {
    let events: Vec<String> = state
        .history
        .iter()
        .filter(|(revision, key, _)| *revision > after && key.starts_with(prefix))
        .map(|(revision, key, value)| match value {
            Some(value) => item(key, *revision, value),
            None => format!("{{\"key\":\"{key}\",\"revision\":{revision},\"removed\":true}}"),
        })
        .collect();
    format!(
        "{{\"events\":[{}],\"as_of\":{}}}",
        events.join(","),
        state.revision
    )
}

fn item(key: &str, revision: u64, value: &[u8]) -> String {
    format!(
        "{{\"key\":\"{key}\",\"value\":\"{}\",\"revision\":{revision},\"created\":{revision},\"lease\":0}}",
        base64(value)
    )
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::with_capacity(bytes.len() * 4 / 3 + 4);
    for group in bytes.chunks(3) {
        let byte = |index: usize| u32::from(group.get(index).copied().unwrap_or(0));
        let bits = byte(0) << 16 | byte(1) << 8 | byte(2);
        for index in 0..4 {
            match index <= group.len() {
                true => text.push(DIGITS[(bits >> (18 - 6 * index) & 63) as usize] as char),
                false => text.push('='),
            }
        }
    }
    text
}
