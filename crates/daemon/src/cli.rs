//! Arguments of `ibissaild`.

use clap::{Parser, Subcommand, ValueEnum};
use std::{net::SocketAddr, num::NonZeroUsize, path::PathBuf};

/// Routes requests to versions of models, and withdraws bad versions in all processes.
#[derive(Debug, Parser)]
#[command(name = "ibissaild", version, about)]
pub struct Cli {
    /// Log format.
    #[arg(long, global = true, value_enum, default_value_t = LogFormat::Text)]
    pub log_format: LogFormat,
    /// Minimum level of logged events.
    #[arg(long, global = true, value_enum, default_value_t = LogLevel::Info)]
    pub log_level: LogLevel,
    /// Number of executor threads.
    #[arg(long, global = true, default_value = "2")]
    pub threads: NonZeroUsize,
    /// The role to run.
    #[command(subcommand)]
    pub command: Command,
}

/// Role of the process.
#[derive(Debug, Subcommand)]
pub enum Command {
    /// Run an entry, which accepts requests from callers.
    Entry {
        /// Settings of this process, in YAML.
        #[arg(long)]
        settings: PathBuf,
    },
    /// Run a sidecar, which forwards requests from entries to its upstream.
    Sidecar {
        /// Settings of this process, in YAML.
        #[arg(long)]
        settings: PathBuf,
    },
    /// Run an entry on the users' platform, without sidecars.
    Direct {
        /// Settings file of the platform; by default, the file named by its environment variable.
        #[arg(long)]
        settings: Option<PathBuf>,
        /// Whether requests wait or are rejected while capacity is short.
        #[arg(long, value_enum, default_value_t = SheddingMode::Auto)]
        shedding: SheddingMode,
    },
    /// Run entries, sidecars and stand-ins on loopback, for development.
    Dev {
        /// Port for callers; all other addresses use the next free ports.
        #[arg(long, default_value_t = 8080)]
        port: u16,
    },
    /// Run a single stand-in.
    Standin {
        /// The stand-in to run.
        #[command(subcommand)]
        kind: Standin,
    },
}

/// The stand-in to run.
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
        /// Model name in its responses.
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

/// Whether requests wait or are rejected while capacity is short.
#[derive(Debug, Clone, Copy, PartialEq, Eq, ValueEnum)]
pub enum SheddingMode {
    /// Where the platform expects overload, or replicas report their load in detail.
    Auto,
    /// Always.
    On,
    /// Never.
    Off,
}

/// Log format.
#[derive(Debug, Clone, Copy, PartialEq, Eq, ValueEnum)]
pub enum LogFormat {
    /// One line of text per event.
    Text,
    /// One JSON object per event.
    Json,
}

/// Minimum level of logged events.
#[derive(Debug, Clone, Copy, PartialEq, Eq, ValueEnum)]
pub enum LogLevel {
    /// Failures that require action.
    Error,
    /// Conditions that may require action.
    Warn,
    /// State changes.
    Info,
    /// Individual requests.
    Debug,
}
