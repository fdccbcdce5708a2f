//! Generates the border types from `schemas/`.
//!
//! Run `cargo run -p anvilhub-dev --features generate --bin generate-types` from the repository root. The
//! output is committed, so builds do not run this program.

use std::fs;

use eyre::{Result, WrapErr};
use typify::{TypeSpace, TypeSpaceSettings};

/// Names of the schemas, each of which becomes a module.
const SCHEMA_NAMES: [&str; 6] = [
    "operator", "platform", "query", "settings", "sheet", "upstream",
];

/// Types that are written by hand in `ids` and replace the generated ones.
const HANDWRITTEN_TYPES: [&str; 12] = [
    "CallerName",
    "FailureDomain",
    "Incarnation",
    "InstanceId",
    "PlatformRevision",
    "RequestId",
    "ServiceName",
    "ShardName",
    "SheetVersion",
    "SnapshotId",
    "TicketNumber",
    "UpstreamId",
];

/// Types that several schemas define, with the path of the one generated type that is used for all of them.
const SHARED_TYPES: [(&str, &str); 2] = [
    ("UrgencyClass", "crate::border::sheet::UrgencyClass"),
    ("RowEntry", "crate::border::query::RowEntry"),
];

fn main() -> Result<()> {
    for name in SCHEMA_NAMES {
        let input = format!("schemas/{name}.schema.json");
        let text = fs::read_to_string(&input).wrap_err_with(|| format!("cannot read {input}"))?;
        let code = generate_module(name, &text)?;
        let output = format!("crates/anvilhub-coord/src/border/{name}.rs");
        fs::write(&output, code).wrap_err_with(|| format!("cannot write {output}"))?;
    }
    Ok(())
}

/// Returns the Rust code for the types of the schema `name`. A shared type is generated only in its own module.
fn generate_module(name: &str, schema: &str) -> Result<String> {
    let mut settings = TypeSpaceSettings::default();
    settings.with_derive("PartialEq".to_owned());
    for type_name in HANDWRITTEN_TYPES {
        let path = format!("crate::ids::{type_name}");
        settings.with_replacement(type_name, path, std::iter::empty());
    }
    for (type_name, path) in SHARED_TYPES {
        if !path.contains(&format!("::{name}::")) {
            settings.with_replacement(type_name, path, std::iter::empty());
        }
    }
    let mut space = TypeSpace::new(&settings);
    space.add_root_schema(serde_json::from_str(schema)?)?;
    let file = syn::parse2(space.to_stream())?;
    Ok(format!(
        "//! Generated from `schemas/{name}.schema.json` by `generate-types`. Do not edit.\n\n{}",
        prettyplease::unparse(&file)
    ))
}
