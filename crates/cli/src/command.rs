//! Dispatches subcommands.

use crate::{
    cli::{Cli, Command},
    error::CommandError,
    http, peer_withdrawal, settings, status, withdrawal,
};
use async_std::task;
use clap::CommandFactory;
use ibissail_catalogue::{Generation, LifecycleState};
use ibissail_core::ErrorKind;
use ibissail_object_store::HttpPlatformClient;
use ibissail_settings::KeyHash;
use std::{io, time::Duration};

const PLATFORM_TIMEOUT: Duration = Duration::from_secs(10);

/// Runs the subcommand given on the command line.
pub(crate) fn run(cli: Cli) -> Result<(), CommandError> {
    let platform = HttpPlatformClient::new(cli.platform, PLATFORM_TIMEOUT);
    let output = cli.output;
    task::block_on(async {
        match cli.command {
            Command::Check { files } => settings::check(&files, output),
            Command::Apply { file, base } => settings::apply(&platform, &file, base, output).await,
            Command::Diff { file } => settings::diff(&platform, &file).await,
            Command::Get { branch, to } => {
                settings::get(&platform, &branch, to.as_deref(), output).await
            }
            Command::Withdraw { version, retiring, direct, peer_settings } => {
                let new_state =
                    if retiring { LifecycleState::Retiring } else { LifecycleState::Withdrawn };
                match (direct, peer_settings) {
                    (Some(process), Some(file)) => {
                        peer_withdrawal::withdraw(process, &file, &version, new_state, output).await
                    }
                    _ => withdrawal::withdraw(&platform, &version, new_state, output).await,
                }
            }
            Command::Reinstate { version, generation } => {
                let generation = Generation(generation);
                withdrawal::reinstate(&platform, &version, generation, output).await
            }
            Command::Status { process } => status::show(&platform, process, output).await,
            Command::Call { entry, key, model, prompt } => {
                http::send_chat_completion(entry, &key, &model, &prompt, output).await
            }
            Command::HashKey { key } => {
                println!("{}", KeyHash::of(&key));
                Ok(())
            }
            Command::Errors => {
                print!("{}", error_table());
                Ok(())
            }
            Command::Completions { shell } => {
                clap_complete::generate(shell, &mut Cli::command(), "ibissail", &mut io::stdout());
                Ok(())
            }
            Command::Manual => print_manual(),
        }
    })
}

fn print_manual() -> Result<(), CommandError> {
    let page = clap_mangen::Man::new(Cli::command());
    page.render(&mut io::stdout()).map_err(|error| CommandError::Failed(error.to_string()))
}

/// Formats the error kinds and their HTTP responses as a Markdown table.
fn error_table() -> String {
    let mut text =
        String::from("| kind | status | ran | Retry-After | meaning |\n|---|---|---|---|---|\n");
    for kind in ErrorKind::ALL {
        let response = kind.response();
        let retry = response.retry_after.map(|seconds| format!("{seconds} s")).unwrap_or_default();
        let (code, status, ran) = (kind.code(), response.status, response.ran);
        let row = format!("| `{code}` | {status} | {ran} | {retry} | {kind} |\n");
        text.push_str(&row);
    }
    text
}
