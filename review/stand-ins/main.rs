//! Stand-ins of the platform, its servers and its clients for the scripts of the review.
//!
//! `stand-ins server ...` runs one server as a process of its own. `stand-ins case NAME FOLDER`
//! plays a case: it starts the nodes with the command and the template of the deploy file, and
//! writes what was sent, answered and run to `record.txt` in the folder.

mod cases;
mod client;
mod fleet;
mod http;
mod record;
mod server;
mod store;

use std::process::exit;

fn main() {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let code = match arguments.first().map(String::as_str) {
        Some("server") => server::run(&arguments[1..]),
        Some("case") if arguments.len() == 3 => cases::run(&arguments[1], &arguments[2]),
        _ => {
            eprintln!("usage: stand-ins case NAME FOLDER | stand-ins server OPTION...");
            2
        }
    };
    exit(code);
}
