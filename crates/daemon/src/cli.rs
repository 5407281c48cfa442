//! Arguments of `ibissaild`.

use clap::{Parser, Subcommand, ValueEnum};
use std::{net::SocketAddr, num::NonZeroUsize, path::PathBuf};

/// Routes requests to versions of models, and withdraws bad versions everywhere at once.
#[derive(Debug, Parser)]
#[command(name = "ibissaild", version, about)]
pub struct Cli {
    /// Form of the logs.
    #[arg(long, global = true, value_enum, default_value_t = LogFormat::Text)]
    pub log_format: LogFormat,
    /// Least level of the logs.
    #[arg(long, global = true, value_enum, default_value_t = LogLevel::Info)]
    pub log_level: LogLevel,
    /// Threads that run tasks.
    #[arg(long, global = true, default_value = "2")]
    pub threads: NonZeroUsize,
    /// What to run.
    #[command(subcommand)]
    pub command: Command,
}

/// What to run.
#[derive(Debug, Subcommand)]
pub enum Command {
    /// Serve callers on an entry VM.
    Entry {
        /// Settings of this process, in YAML.
        #[arg(long)]
        settings: PathBuf,
    },
    /// Serve entries beside an upstream.
    Sidecar {
        /// Settings of this process, in YAML.
        #[arg(long)]
        settings: PathBuf,
    },
    /// Serve callers on an entry VM of the users' platform, without sidecars.
    Direct {
        /// Settings file of the platform; without it, the platform's variable names the file.
        #[arg(long)]
        settings: Option<PathBuf>,
    },
    /// Run the whole path with stand-ins on loopback.
    Dev {
        /// Port for callers; the stand-ins take the free ports after it.
        #[arg(long, default_value_t = 8080)]
        port: u16,
    },
    /// Run one stand-in as a process of its own.
    Standin {
        /// Which one.
        #[command(subcommand)]
        kind: Standin,
    },
}

/// Which stand-in to run.
#[derive(Debug, Subcommand)]
pub enum Standin {
    /// The platform's object API and list of VMs.
    Platform {
        /// Address to listen on.
        #[arg(long)]
        listen: SocketAddr,
    },
    /// A model engine.
    Engine {
        /// Address to listen on.
        #[arg(long)]
        listen: SocketAddr,
        /// Name in its answers.
        #[arg(long)]
        model: String,
        /// Milliseconds before the first token.
        #[arg(long, default_value_t = 0)]
        first_token_ms: u64,
        /// Milliseconds between tokens.
        #[arg(long, default_value_t = 0)]
        between_tokens_ms: u64,
    },
    /// A plain service.
    Service {
        /// Address to listen on.
        #[arg(long)]
        listen: SocketAddr,
    },
}

/// Form of the logs.
#[derive(Debug, Clone, Copy, PartialEq, Eq, ValueEnum)]
pub enum LogFormat {
    /// One line of text for each event.
    Text,
    /// One JSON object for each event.
    Json,
}

/// Least level of the logs.
#[derive(Debug, Clone, Copy, PartialEq, Eq, ValueEnum)]
pub enum LogLevel {
    /// Failures that need somebody's attention.
    Error,
    /// What may need attention.
    Warn,
    /// Changes of state.
    Info,
    /// Single requests.
    Debug,
}
