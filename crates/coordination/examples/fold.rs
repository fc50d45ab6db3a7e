//! Folds release notes that arrive out of order and prints the resulting base.
//!
//! Run it with `cargo run -p wagtaillever-coordination --example fold`.

use std::error::Error;

use wagtaillever_coordination::{Fold, FoldEvent, Method, RouteTable, Sequence};

const FIRST: &str = "\
note: 1
services:
  add:
    - name: balances
routes:
  add:
    - {name: balances, path: /balances, methods: [GET], service: balances}
";

const INVALID: &str = "\
note: 2
services:
  withdraw:
    - balances
";

const THIRD: &str = "\
note: 3
upstreams:
  add:
    - name: balances-1
      service: balances
      vm: vm-1
      domain: ragusa
      address: 127.0.0.1:9001
      slots: 12
      connections: 120
";

fn main() -> Result<(), Box<dyn Error>> {
    let mut fold = Fold::default();
    for (number, text) in [(3, THIRD), (1, FIRST), (2, INVALID)] {
        let events = fold.insert(Sequence(number), text.as_bytes().into());
        println!("note {number} arrives");
        events.iter().for_each(print_event);
        if let Some(missing) = fold.gap() {
            println!("  note {missing} is missing; later notes are pending");
        }
    }
    let routes = RouteTable::new(fold.config());
    if let Some(route) = routes.find("", Method::Get, "/balances/7") {
        println!("GET /balances/7 goes to service {}", route.service);
    }
    for value in fold.config().publications() {
        println!("{} = {}", value.key, value.text);
    }
    Ok(())
}

fn print_event(event: &FoldEvent) {
    match event {
        FoldEvent::Accepted(note) => println!("  note {note} is in force"),
        FoldEvent::Refused(note, reason) => println!("  note {note} is refused: {reason}"),
        FoldEvent::Installed(note) => println!("  a snapshot at note {note} is in force"),
    }
}
