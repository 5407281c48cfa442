//! Arguments of `ibissail`.

use clap::{Parser, Subcommand, ValueEnum};
use clap_complete::Shell;
use ibissail_core::{BranchPath, ModelVersion, Revision};
use std::{net::SocketAddr, path::PathBuf};

/// Changes settings, withdraws versions and shows the state of ibissail.
#[derive(Debug, Parser)]
#[command(name = "ibissail", version, about)]
pub(crate) struct Cli {
    /// Address of the platform's object API.
    #[arg(long, global = true, env = "IBISSAIL_PLATFORM", default_value = "127.0.0.1:8100")]
    pub(crate) platform: SocketAddr,
    /// Form of the output.
    #[arg(long, global = true, value_enum, default_value_t = OutputFormat::Text)]
    pub(crate) output: OutputFormat,
    /// What to do.
    #[command(subcommand)]
    pub(crate) command: Command,
}

/// Form of the output.
#[derive(Debug, Clone, Copy, PartialEq, Eq, ValueEnum)]
pub(crate) enum OutputFormat {
    /// For people.
    Text,
    /// For programs.
    Json,
}

/// What to do.
#[derive(Debug, Subcommand)]
pub(crate) enum Command {
    /// Check settings files as one tree and show every mistake.
    Check {
        /// One file a branch.
        #[arg(required = true)]
        files: Vec<PathBuf>,
    },
    /// Put a branch's file in force, if nobody has changed the branch since it was read.
    Apply {
        /// The branch's file.
        file: PathBuf,
        /// Version of the branch that the change is based on.
        #[arg(long)]
        base: Option<Revision>,
    },
    /// Show what `apply` would change.
    Diff {
        /// The branch's file.
        file: PathBuf,
    },
    /// Show a branch as it is in force.
    Get {
        /// Path of the branch.
        branch: BranchPath,
        /// Write it to a file, with what `apply` needs to show both sides of a conflict.
        #[arg(long)]
        to: Option<PathBuf>,
    },
    /// Let a version take no new work from now on.
    Withdraw {
        /// The version, as model@version.
        version: ModelVersion,
        /// Let running sessions go on.
        #[arg(long)]
        retiring: bool,
        /// Give it to this process instead of the platform, as while the platform is down.
        #[arg(long, requires = "peer_settings")]
        direct: Option<SocketAddr>,
        /// Settings of any process, for the key that authenticates messages.
        #[arg(long)]
        peer_settings: Option<PathBuf>,
    },
    /// Let a withdrawn version take work again.
    Reinstate {
        /// The version, as model@version.
        version: ModelVersion,
        /// Generation in which it was withdrawn, as `status` shows it.
        #[arg(long)]
        generation: u64,
    },
    /// Show branches, withdrawals and VMs, and one process if asked.
    Status {
        /// Address of a process.
        #[arg(long)]
        process: Option<SocketAddr>,
    },
    /// Send one chat completion.
    Call {
        /// Address of an entry.
        #[arg(long, default_value = "127.0.0.1:8080")]
        entry: SocketAddr,
        /// Bearer key of the organisation.
        #[arg(long, env = "IBISSAIL_KEY")]
        key: String,
        /// Model, model@version, or auto.
        #[arg(long, default_value = "auto")]
        model: String,
        /// The prompt.
        prompt: String,
    },
    /// Print the hash of a bearer key, as settings need it.
    HashKey {
        /// The key.
        key: String,
    },
    /// Print the table of errors in Markdown.
    Errors,
    /// Print a script that completes arguments.
    Completions {
        /// The shell.
        shell: Shell,
    },
    /// Print the manual page.
    Manual,
}
