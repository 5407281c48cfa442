//! Stand-ins of the users' platform, replicas and callers, and the cases that use them.
//!
//! `standin CASE RECORD` runs a case and writes what was sent, answered and run to the file RECORD.
//! It exits with 1 if the rule was broken, with 0 if it held, and with 2 if the case could not run.
//! With `TROUBLE=0` the disruption is left out. `standin replica ...` is a replica process, which the
//! cases start themselves.

mod callers;
mod cases;
mod http;
mod link;
mod processes;
mod replica;
mod store;

use std::process::exit;

fn main() {
    let args: Vec<String> = std::env::args().collect();
    let words: Vec<&str> = args.iter().map(String::as_str).collect();
    match words.as_slice() {
        [_, "replica", address, id, rest @ ..] => replica::serve(address, id, rest),
        [_, case, record] => {
            // A stand-in or an entry that cannot start: the case could not run.
            exit(std::panic::catch_unwind(|| cases::run(case, record)).unwrap_or(cases::NOT_RUN))
        }
        _ => {
            eprintln!("usage: standin CASE RECORD");
            exit(2);
        }
    }
}
