use serde_json::Value;

use super::SheetFault;
use super::sheet_fault::{join_pointer, quote};

/// Expected type of a value in the sheet document, and expected fields if the value is an object.
///
/// Deserializing into the generated types stops at the first unknown field or wrong type; this check reports all of
/// them.
#[derive(Clone, Copy, Debug)]
pub(crate) enum DocumentShape {
    Str,
    /// A whole number from 0 to `max`.
    Unsigned {
        max: u64,
    },
    Number,
    /// One of these texts.
    Choice(&'static [&'static str]),
    /// A list of values of this shape.
    List(&'static DocumentShape),
    /// An object with these fields and no others.
    Object(&'static [FieldShape]),
}

/// Expected field of an object.
#[derive(Clone, Copy, Debug)]
pub(crate) struct FieldShape {
    name: &'static str,
    is_required: bool,
    shape: DocumentShape,
}

use DocumentShape::{Choice, List, Number, Object, Str, Unsigned};

const UNSIGNED_64: DocumentShape = Unsigned { max: u64::MAX };
const UNSIGNED_32: DocumentShape = Unsigned {
    max: u32::MAX as u64,
};

const REPLICA: DocumentShape = Object(&[
    required("id", Str),
    required("address", Str),
    required("failure_domain", Str),
    required("slots", UNSIGNED_32),
    required("connections", UNSIGNED_32),
]);

const SHARD: DocumentShape = Object(&[
    required("name", Str),
    required("start", UNSIGNED_64),
    required("end", UNSIGNED_64),
    required("replicas", List(&REPLICA)),
]);

const ROUTE: DocumentShape = Object(&[
    optional("mode", Choice(&["owner", "direct"])),
    optional("extra_load_percent", Number),
    optional("hedge_percentile", Number),
    optional("default_deadline_ms", UNSIGNED_64),
]);

const SERVICE: DocumentShape = Object(&[
    required("name", Str),
    required("callers", List(&Str)),
    required("urgency", Choice(&["urgent", "standard", "deferred"])),
    required("repeatability", Choice(&["idempotent", "non_idempotent"])),
    optional("route", ROUTE),
    required("shards", List(&SHARD)),
]);

/// Shape of a whole sheet document.
pub(crate) const SHEET_SHAPE: DocumentShape = Object(&[
    required("version", UNSIGNED_64),
    optional("comment", Str),
    optional("confirm_removals", List(&Str)),
    required("services", List(&SERVICE)),
]);

const fn required(name: &'static str, shape: DocumentShape) -> FieldShape {
    FieldShape {
        name,
        is_required: true,
        shape,
    }
}

const fn optional(name: &'static str, shape: DocumentShape) -> FieldShape {
    FieldShape {
        name,
        is_required: false,
        shape,
    }
}

impl DocumentShape {
    /// Checks `value`, which is at `place`, against the shape and adds every deviation to `faults`.
    pub(crate) fn check(&self, place: &str, value: &Value, faults: &mut Vec<SheetFault>) {
        match (self, value) {
            (Str, Value::String(_)) | (Number, Value::Number(_)) => {}
            (Unsigned { max }, Value::Number(number))
                if number.as_u64().is_some_and(|number| number <= *max) => {}
            (Choice(choices), Value::String(text)) if choices.contains(&text.as_str()) => {}
            (List(item), Value::Array(values)) => {
                for (index, value) in values.iter().enumerate() {
                    item.check(&format!("{place}/{index}"), value, faults);
                }
            }
            (Object(fields), Value::Object(_)) => check_fields(fields, place, value, faults),
            _ => faults.push(self.type_fault(place, value)),
        }
    }

    fn type_fault(&self, place: &str, value: &Value) -> SheetFault {
        SheetFault::new(
            place,
            describe_value(value),
            self.describe(),
            "replace the value by one that the sheet reference allows",
        )
    }

    /// Describes the expected value for the message of a fault.
    fn describe(&self) -> String {
        match self {
            Str => "a text".to_owned(),
            Unsigned { max } => format!("a whole number from 0 to {max}"),
            Number => "a number".to_owned(),
            Choice(choices) => format!("one of {}", choices.join(", ")),
            List(_) => "a list".to_owned(),
            Object(fields) => format!("an object with the fields {}", field_names(fields)),
        }
    }
}

fn check_fields(fields: &[FieldShape], place: &str, value: &Value, faults: &mut Vec<SheetFault>) {
    let Value::Object(values) = value else {
        return;
    };
    for field in fields {
        match values.get(field.name) {
            // The generated types read `null` as an absent optional field.
            Some(Value::Null) if !field.is_required && !matches!(field.shape, List(_)) => {}
            Some(value) => {
                field
                    .shape
                    .check(&join_pointer(place, field.name), value, faults);
            }
            None if field.is_required => faults.push(SheetFault::new(
                place,
                format!("no field `{}`", field.name),
                field.shape.describe(),
                format!("add the field `{}`", field.name),
            )),
            None => {}
        }
    }
    for name in values.keys() {
        if !fields.iter().any(|field| field.name == name) {
            faults.push(SheetFault::new(
                join_pointer(place, name),
                format!("unknown field {}", quote(name)),
                format!("only the fields {}", field_names(fields)),
                "remove the field or correct its spelling",
            ));
        }
    }
}

fn field_names(fields: &[FieldShape]) -> String {
    let names: Vec<&str> = fields.iter().map(|field| field.name).collect();
    names.join(", ")
}

/// Describes a found value for the message of a fault.
fn describe_value(value: &Value) -> String {
    match value {
        Value::Array(_) => "a list".to_owned(),
        Value::Object(_) => "an object".to_owned(),
        other => quote(&other.to_string()),
    }
}
