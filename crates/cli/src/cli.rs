//! Command-line arguments of `ibissail`.

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
    /// Output format.
    #[arg(long, global = true, value_enum, default_value_t = OutputFormat::Text)]
    pub(crate) output: OutputFormat,
    /// Subcommand to run.
    #[command(subcommand)]
    pub(crate) command: Command,
}

/// Output format.
#[derive(Debug, Clone, Copy, PartialEq, Eq, ValueEnum)]
pub(crate) enum OutputFormat {
    /// Human-readable text.
    Text,
    /// JSON, for scripts.
    Json,
}

/// Subcommands of `ibissail`.
#[derive(Debug, Subcommand)]
pub(crate) enum Command {
    /// Validate settings files as one tree and show every error.
    Check {
        /// Settings files, one per branch.
        #[arg(required = true)]
        files: Vec<PathBuf>,
    },
    /// Apply a branch's file, unless the branch has changed since it was read.
    Apply {
        /// Settings file of the branch.
        file: PathBuf,
        /// Revision of the branch that the change is based on.
        #[arg(long)]
        base: Option<Revision>,
    },
    /// Show what `apply` would change.
    Diff {
        /// Settings file of the branch.
        file: PathBuf,
    },
    /// Show the settings of a branch that are in force.
    Get {
        /// Path of the branch.
        branch: BranchPath,
        /// Write it to this file, and to TO.base the state from which `apply` shows conflicts.
        #[arg(long)]
        to: Option<PathBuf>,
    },
    /// Stop sending new work to a version.
    Withdraw {
        /// Version to withdraw, as model@version.
        version: ModelVersion,
        /// Let running sessions continue.
        #[arg(long)]
        retiring: bool,
        /// Send the withdrawal to this process instead of the platform, while the platform is down.
        #[arg(long, requires = "peer_settings")]
        direct: Option<SocketAddr>,
        /// Settings file of any process, for the key that authenticates messages.
        #[arg(long)]
        peer_settings: Option<PathBuf>,
    },
    /// Resume sending work to a withdrawn version.
    Reinstate {
        /// Version to reinstate, as model@version.
        version: ModelVersion,
        /// Generation in which the version was withdrawn, as shown by `status`.
        #[arg(long)]
        generation: u64,
    },
    /// Show branches, withdrawals and VMs, and optionally one process.
    Status {
        /// Address of the process to show.
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
        /// Text of the user message.
        prompt: String,
    },
    /// Print the hash of a bearer key for use in settings.
    HashKey {
        /// Bearer key to hash.
        key: String,
    },
    /// Print the table of errors in Markdown.
    Errors,
    /// Print a shell completion script.
    Completions {
        /// Shell to print the script for.
        shell: Shell,
    },
    /// Print the manual page.
    Manual,
}
