use std::io::Write;

use flexi_logger::DeferredNow;
use log::Record;
use log::kv::{Error, Key, Value, VisitSource};
use serde_json::{Map, Value as JsonValue};

/// Writes a log record as one JSON object without a line break: time, level, event, and the fields of the record.
pub(super) fn write(
    writer: &mut dyn Write,
    now: &mut DeferredNow,
    record: &Record<'_>,
) -> std::io::Result<()> {
    let mut fields = FieldMap(Map::new());
    let time = now.now().format("%Y-%m-%dT%H:%M:%S%.3fZ").to_string();
    fields.0.insert("time".to_owned(), time.into());
    fields
        .0
        .insert("level".to_owned(), record.level().as_str().into());
    fields
        .0
        .insert("event".to_owned(), record.args().to_string().into());
    // Collecting the fields cannot fail.
    let _ = record.key_values().visit(&mut fields);
    serde_json::to_writer(writer, &fields.0).map_err(std::io::Error::from)
}

/// The fields of a log line, collected from a record.
struct FieldMap(Map<String, JsonValue>);

impl VisitSource<'_> for FieldMap {
    fn visit_pair(&mut self, key: Key<'_>, value: Value<'_>) -> Result<(), Error> {
        self.0.insert(key.to_string(), to_json(&value));
        Ok(())
    }
}

fn to_json(value: &Value<'_>) -> JsonValue {
    if let Some(number) = value.to_u64() {
        return number.into();
    }
    if let Some(number) = value.to_f64() {
        return number.into();
    }
    if let Some(flag) = value.to_bool() {
        return flag.into();
    }
    value.to_string().into()
}
