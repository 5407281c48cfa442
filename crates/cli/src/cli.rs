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
    /// Create or update a branch from a file, unless the branch has changed since it was read.
    Apply {
        /// Settings file of the branch.
        file: PathBuf,
        /// Revision of the branch that the change is based on. Defaults to the revision in
        /// FILE.base; without either, the branch must not exist yet.
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
        /// Write the settings to this file, and their text and revision to TO.base, which `apply`
        /// uses to detect conflicts.
        #[arg(long)]
        to: Option<PathBuf>,
    },
    /// Stop sending requests to a version.
    Withdraw {
        /// Version to withdraw, as model@version.
        version: ModelVersion,
        /// Still accept requests of existing sessions.
        #[arg(long)]
        retiring: bool,
        /// Send the withdrawal to this process instead of the platform, while the platform is down.
        #[arg(long, requires = "peer_settings")]
        direct: Option<SocketAddr>,
        /// Settings file of any process, whose peer keys sign the messages; only used with
        /// `--direct`.
        #[arg(long)]
        peer_settings: Option<PathBuf>,
    },
    /// Resume sending requests to a withdrawn or retiring version.
    Reinstate {
        /// Version to reinstate, as model@version.
        version: ModelVersion,
        /// Current generation of the version, as shown by `status`.
        #[arg(long)]
        generation: u64,
    },
    /// Show branches, withdrawals, VMs and, optionally, the status of one process.
    Status {
        /// Address of the process to show.
        #[arg(long)]
        process: Option<SocketAddr>,
    },
    /// Send one chat completion.
    Call {
        /// Address of an entry, a process that accepts requests from callers.
        #[arg(long, default_value = "127.0.0.1:8080")]
        entry: SocketAddr,
        /// API key of the organisation, sent as a bearer token.
        #[arg(long, env = "IBISSAIL_KEY")]
        key: String,
        /// Model, model@version, or auto.
        #[arg(long, default_value = "auto")]
        model: String,
        /// Text of the user message.
        prompt: String,
    },
    /// Print the hash of an API key for use in settings.
    HashKey {
        /// API key to hash.
        key: String,
    },
    /// Print the error kinds and their HTTP responses as a Markdown table.
    Errors,
    /// Print a shell completion script.
    Completions {
        /// Shell to print the script for.
        shell: Shell,
    },
    /// Print the manual page.
    Manual,
}
