//! Runs a case of the review: `review-rig CASE RECORD`, from the root of the repository. Exit codes: 0 the rule held, 1 it was
//! broken, 2 the case could not run.

mod client;
mod cut_readers;
mod deployment;
mod foreign_entry;
mod foreign_keys;
mod http;
mod instance;
mod record;
mod replica;
mod slow_queue;
mod store;

use std::path::PathBuf;

use slow_queue::Variant;

fn main() {
    let mut arguments = std::env::args().skip(1);
    let (Some(case), Some(record)) = (arguments.next(), arguments.next()) else {
        eprintln!("usage: review-rig CASE RECORD");
        std::process::exit(2);
    };
    let record = PathBuf::from(record);
    // A stand-in that panics shows no fault of the program.
    std::panic::set_hook(Box::new(|panic| {
        eprintln!("the case could not run: {panic}")
    }));
    let ended = std::panic::catch_unwind(|| match case.as_str() {
        "foreign-keys" => foreign_keys::run(&record),
        "foreign-entry" => foreign_entry::run(&record),
        "cut-readers" => cut_readers::run(&record),
        "drain" => slow_queue::run(Variant::Drain, &record),
        "give-up" => slow_queue::run(Variant::GiveUp, &record),
        other => {
            eprintln!("unknown case {other}");
            std::process::exit(2);
        }
    });
    if ended.is_err() {
        std::process::exit(2);
    }
}
