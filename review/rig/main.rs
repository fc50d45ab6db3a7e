//! Stand-ins and cases of the second review. Usage: `rig CASE RECORD`, from the root of the repository.
//!
//! Exits with 1 if the rule was broken, 0 if it held and 2 if the case couldn't run. With `TROUBLE=0` the case
//! goes without its disruption.

mod fleet;
mod foreign_entry;
mod frozen_neighbour;
mod http;
mod pipelined_loss;
mod record;
mod server;
mod stop_cuts_transfer;
mod store;

use std::{path::Path, time::Duration};

use crate::record::Record;

/// Time after which a case that hangs is ended.
const MAX_TIME: Duration = Duration::from_secs(100);

/// How a case ended.
pub enum Verdict {
    Held,
    Broken,
    NotRun(String),
}

/// Returns whether the disruption is to be made.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

pub fn hash(bytes: &[u8]) -> u64 {
    let mix = |value: u64| {
        let value = (value ^ value >> 30).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        let value = (value ^ value >> 27).wrapping_mul(0x94d0_49bb_1331_11eb);
        value ^ value >> 31
    };
    bytes.iter().fold(7, |sum, byte| {
        mix((sum ^ u64::from(*byte)).wrapping_add(0x9e37_79b9_7f4a_7c15))
    })
}

fn main() {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let [case, path] = &arguments[..] else {
        eprintln!("usage: rig CASE RECORD");
        std::process::exit(2);
    };
    let record = match Record::create(Path::new(path)) {
        Ok(record) => record,
        Err(err) => {
            eprintln!("{path}: {err}");
            std::process::exit(2);
        }
    };
    let trouble = if has_trouble() { "with" } else { "without" };
    record.line(&format!("case {case}, {trouble} the disruption"));
    fleet::end_after(MAX_TIME);
    let run = || match case.as_str() {
        "stop-cuts-transfer" => stop_cuts_transfer::run(&record),
        "frozen-neighbour" => frozen_neighbour::run(&record),
        "foreign-entry" => foreign_entry::run(&record),
        "pipelined-loss" => pipelined_loss::run(&record),
        _ => Verdict::NotRun(format!("unknown case {case}")),
    };
    let verdict = std::panic::catch_unwind(std::panic::AssertUnwindSafe(run));
    let verdict = verdict.unwrap_or_else(|_| Verdict::NotRun("a stand-in panicked".into()));
    let (code, text) = match verdict {
        Verdict::Held => (0, "the rule held".to_string()),
        Verdict::Broken => (1, "THE RULE WAS BROKEN".to_string()),
        Verdict::NotRun(reason) => (2, format!("the case couldn't run: {reason}")),
    };
    record.line(&text);
    println!("{case}: {text}");
    std::process::exit(code);
}
