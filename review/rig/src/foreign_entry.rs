//! Case: another writer's entry lacks fields, and names the address of a server that is no replica.

use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::client::{self, Request};
use crate::deployment::{HOST, Route, Stage, config, drive};
use crate::http::{Message, response};
use crate::instance::Bounds;
use crate::record::Record;
use crate::replica::{Replica, ReplicaPlan};

/// Bounds of the site hanbit-anvil.
const BOUNDS: Bounds = Bounds {
    drain_ms: 3_000,
    config_apply_ms: 3_000,
};
const ZONES: [&str; 3] = ["kr-central-a", "kr-central-b", "kr-central-c"];
const REPLICAS: usize = 7;
const PER_S: f64 = 19.8;
const DEADLINE: Duration = Duration::from_millis(4_000);
const WRITTEN_AT: Duration = Duration::from_secs(6);
const LAST: Duration = Duration::from_secs(16);

/// A server of another team: it answers every request, and knows nothing of this platform's headers.
struct OtherServer {
    address: SocketAddr,
    received: Arc<Mutex<Vec<String>>>,
}

impl OtherServer {
    fn start(record: &Record) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
        let address = listener.local_addr().expect("the listener is bound");
        let received: Arc<Mutex<Vec<String>>> = Arc::default();
        let (known, record) = (Arc::clone(&received), record.clone());
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (known, record) = (Arc::clone(&known), record.clone());
                thread::spawn(move || serve(stream, &known, &record));
            }
        });
        Self { address, received }
    }
}

fn serve(stream: TcpStream, received: &Mutex<Vec<String>>, record: &Record) {
    let Ok(mut writer) = stream.try_clone() else {
        return;
    };
    let mut reader = BufReader::new(stream);
    while let Ok(Some(request)) = Message::read(&mut reader) {
        let id = request.header("anvilhub-request-id").unwrap_or_default();
        record.note(format!("the other server gets request {id}"));
        received
            .lock()
            .expect("no thread panicked")
            .push(id.to_owned());
        if writer.write_all(&response(200, &[], b"done")).is_err() {
            return;
        }
    }
}

pub fn run(record_file: &Path) -> ! {
    let stage = Stage::new();
    let record = stage.record.clone();
    let _replicas: Vec<Replica> = (0..REPLICAS)
        .map(|index| {
            stage.replica(ReplicaPlan {
                id: format!("i-{:08x}", 0x7f3a_91c2_u32.wrapping_mul(index as u32 + 1)),
                service: "ledger",
                zone: ZONES[index % ZONES.len()],
                slots: 2,
                queue: 8,
                max_connections: 34,
                work: Duration::from_millis(160),
            })
        })
        .collect();
    let other = OtherServer::start(&record);
    let routes = [Route {
        name: "ticket",
        kind: "non_idempotent",
        timeout_ms: 4_000,
        target_ms: 600,
        attempts: 2,
        to: "\"backend\":\"ledger\"".to_owned(),
    }];
    stage
        .store
        .put("op/config", config(7, &routes, &[("ledger", 34)]));
    let instances = stage.instances(ZONES.len(), &ZONES, BOUNDS);
    let fronts: Vec<_> = instances.iter().map(|instance| instance.front).collect();
    let ends = Mutex::new(Vec::new());
    thread::scope(|scope| {
        let (record, fronts, ends) = (&record, &fronts, &ends);
        scope.spawn(move || {
            drive(record, record.now(), LAST, PER_S, |number| {
                let request = Request {
                    method: "POST",
                    host: HOST,
                    path: format!("/ticket/{number}"),
                    id: format!("q{number:06}"),
                    deadline: DEADLINE,
                    leaves_after: DEADLINE,
                    body: vec![b'x'; 300],
                };
                record.note(format!("request {} sent", request.id));
                let end = client::send(fronts[number % fronts.len()], &request);
                record.note(format!("request {} ends: {}", request.id, end.describe()));
                ends.lock()
                    .expect("no thread panicked")
                    .push((request.id, end.status()));
            });
        });
        stage.wait_until(WRITTEN_AT);
        if stage.has_trouble {
            // `version`, `sequence`, `warmup_left_ms` and `born` are missing.
            let entry = format!(
                "{{\"backend\":\"ledger\",\"address\":\"{}\",\"zone\":\"{}\",\"capacity\":2,\"state\":\"ready\"}}",
                other.address, ZONES[0]
            );
            stage.store.put("servers/ledger-import", entry);
            record.say("another writer has written an entry that lacks fields");
        }
    });
    drop(instances);
    let received = other.received.lock().expect("no thread panicked").clone();
    let ends = ends.into_inner().expect("no thread panicked");
    let count = |wanted: &dyn Fn(&str, u16) -> bool| {
        ends.iter()
            .filter(|(id, status)| wanted(id, *status))
            .count()
    };
    record.say(format!(
        "requests: {}; answered 200: {}; sent to the other server: {}, of which its requesters got 502: {}",
        ends.len(),
        count(&|_, status| status == 200),
        received.len(),
        count(&|id, status| status == 502 && received.iter().any(|known| known == id)),
    ));
    let is_broken = !received.is_empty();
    record.say(match is_broken {
        true => "ROUTE is broken",
        false => "ROUTE holds",
    });
    stage.end(record_file, i32::from(is_broken));
}
