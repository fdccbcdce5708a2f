//! Guards against messages from callers, upstreams, the platform or peers that make an instance panic because a value in
//! them is missing, of another type or extreme.

use anvilhub_coord::border::platform::{ConfigValue, InstanceList};
use anvilhub_coord::border::query::{QueryAnswer, QueryRequest, TicketEntry};
use anvilhub_coord::border::settings::SettingsDocument;
use anvilhub_coord::border::upstream::{LoadReport, SubAnswer, SubRefusal};
use anvilhub_coord::configuration::{ExchangeMessage, FetchReply, FetchRequest};
use anvilhub_coord::ids::SheetDigest;
use anvilhub_coord::membership::MemberTable;
use anvilhub_coord::ticket::RequestTicket;
use anvilhub_coord::time::ClockTime;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use serde_json::{Value, json};

/// Seed of the generated messages, printed so that a failure can be reproduced.
const SEED: [u8; 32] = [23; 32];
const CASE_COUNT: u32 = 3_000;

/// Returns a valid message of each kind.
fn create_valid_messages() -> Vec<Value> {
    let digest = SheetDigest::compute(b"sheet").to_string();
    let exchange = json!({
        "instance": "entry-1", "incarnation": 7, "peer_address": "127.0.0.1:7201",
        "failure_domain": "fd-a", "stage": "ready",
        "accepted": {"version": 3, "revision": 4, "digest": digest},
    });
    vec![
        json!({
            "owner": "entry-1", "address": "127.0.0.1:7201", "incarnation": 7, "number": 1,
            "nonce": 9, "service": "desk", "caller": "c", "expires_in_ms": 30_000,
        }),
        json!({
            "request_id": "r", "caller": "c", "service": "desk", "deadline_ms": 10,
            "idempotent": true, "key": 4_294_967_295_u64,
        }),
        json!({
            "request_id": "r", "snapshot": 1, "start": 0, "end": 9, "held": [1],
            "rows": [{"key": 1, "value": "v"}],
        }),
        json!({"request_id": "r", "outcome": "not_run", "reason": "shed", "held": []}),
        json!({
            "in_flight": 1, "queued": 2, "held": [1], "start": 0, "end": 9, "draining": false,
        }),
        json!({"revision": 1, "instances": [{
            "id": "entry-2", "role": "entry", "address": "127.0.0.1:1",
            "peer_address": "127.0.0.1:2", "state": "live",
        }]}),
        exchange,
        json!({
            "stamp": {"version": 3, "revision": 4, "digest": digest}, "accepted": true,
            "confirm_removals": [], "digests": {"desk": digest}, "services": [],
        }),
        json!({"instance": "entry-1", "peers": {"entry-2": "127.0.0.1:2"}, "worker_threads": 4}),
    ]
}

/// Parses `text` as every kind of message and processes those that can be parsed.
fn parse_all(text: &str) {
    if let Ok(entry) = serde_json::from_str::<TicketEntry>(text) {
        let _ = RequestTicket::try_from(&entry);
    }
    if let Ok(list) = serde_json::from_str::<InstanceList>(text) {
        let own = "entry-1".parse().expect("a constant identifier is valid");
        let mut members = MemberTable::new(own, []);
        members.apply_list(&list, ClockTime::from_millis(1));
    }
    if let Ok(reply) = serde_json::from_str::<FetchReply>(text) {
        assert!(
            reply.assemble(None).is_err(),
            "a sheet without services is invalid"
        );
    }
    let _ = serde_json::from_str::<QueryRequest>(text);
    let _ = serde_json::from_str::<QueryAnswer>(text);
    let _ = serde_json::from_str::<SubAnswer>(text);
    let _ = serde_json::from_str::<SubRefusal>(text);
    let _ = serde_json::from_str::<LoadReport>(text);
    let _ = serde_json::from_str::<ConfigValue>(text);
    let _ = serde_json::from_str::<ExchangeMessage>(text);
    let _ = serde_json::from_str::<FetchRequest>(text);
    let _ = serde_json::from_str::<SettingsDocument>(text);
}

/// Replaces the value at `path` with `replacement`.
fn replace_value(value: &mut Value, path: &[prop::sample::Index], replacement: &Value) {
    let Some((first, rest)) = path.split_first() else {
        *value = replacement.clone();
        return;
    };
    match value {
        Value::Object(fields) if !fields.is_empty() => {
            let index = first.index(fields.len());
            let field = fields.values_mut().nth(index);
            replace_value(field.expect("the index is in bounds"), rest, replacement);
        }
        Value::Array(items) if !items.is_empty() => {
            let index = first.index(items.len());
            replace_value(&mut items[index], rest, replacement);
        }
        other => *other = replacement.clone(),
    }
}

/// Generates values of every JSON type.
fn any_value() -> impl Strategy<Value = Value> {
    prop_oneof![
        Just(Value::Null),
        any::<u64>().prop_map(Value::from),
        any::<i64>().prop_map(Value::from),
        any::<f64>().prop_map(Value::from),
        ".{0,40}".prop_map(Value::from),
        Just(json!([])),
        Just(json!({})),
    ]
}

#[test]
fn mutated_messages_handled() {
    println!("seed {SEED:?}");
    let config = Config {
        cases: CASE_COUNT,
        failure_persistence: None,
        ..Config::default()
    };
    let mut runner =
        TestRunner::new_with_rng(config, TestRng::from_seed(RngAlgorithm::ChaCha, &SEED));
    let messages = create_valid_messages();
    for message in &messages {
        parse_all(&message.to_string());
    }
    let paths = prop::collection::vec(any::<prop::sample::Index>(), 1..4);
    let inputs = (any::<prop::sample::Index>(), paths, any_value());

    let outcome = runner.run(&inputs, |(index, path, replacement)| {
        let mut message = index.get(&messages).clone();
        replace_value(&mut message, &path, &replacement);
        parse_all(&message.to_string());
        Ok(())
    });

    outcome.unwrap();
}
