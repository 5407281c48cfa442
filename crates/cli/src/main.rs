//! `ibissail`, the command-line tool for operators.

mod cli;
mod command;
mod error;
mod http;
mod output;
mod peer_withdrawal;
mod settings;
mod status;
mod withdrawal;

use clap::Parser;
use mimalloc::MiMalloc;

#[global_allocator]
static ALLOCATOR: MiMalloc = MiMalloc;

fn main() {
    let code = match command::run(cli::Cli::parse()) {
        Ok(()) => 0,
        Err(error) => {
            eprintln!("ibissail: {error}");
            error.exit_code()
        }
    };
    std::process::exit(code);
}
