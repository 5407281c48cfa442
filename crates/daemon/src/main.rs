//! The daemon `ibissaild`.

use clap::Parser;
use ibissail_daemon::{ExitCode, Options, cli::Cli};
use mimalloc::MiMalloc;

#[global_allocator]
static ALLOCATOR: MiMalloc = MiMalloc;

fn main() {
    let result = Options::check(Cli::parse()).and_then(ibissail_daemon::run);
    let code = match result {
        Ok(()) => ExitCode::Success,
        Err(error) => {
            eprintln!("ibissaild: {error}");
            error.exit_code()
        }
    };
    std::process::exit(code.into());
}
