//! Validated options, built from the arguments and the settings files they name.

use crate::{
    StartError,
    cli::{Cli, Command, LogFormat, LogLevel, SheddingMode, Standin},
};
use ibissail_direct::{DirectSettings, Shedding};
use ibissail_platform::{SETTINGS_VARIABLE, read_settings};
use ibissail_settings::{LocalSettings, UpstreamSettings, parse_local};
use ibissail_standin::EngineOptions;
use std::{
    env, fs,
    net::SocketAddr,
    num::NonZeroUsize,
    path::{Path, PathBuf},
    time::Duration,
};

/// Validated options of the daemon.
#[derive(Debug)]
pub struct Options {
    /// Log format.
    pub log_format: LogFormat,
    /// Minimum level of logged events.
    pub log_level: LogLevel,
    /// Number of executor threads.
    pub threads: NonZeroUsize,
    /// The role to run.
    pub role: Role,
}

/// Role of the process, with its settings.
#[derive(Debug)]
pub enum Role {
    /// An entry.
    Entry(Box<LocalSettings>),
    /// A sidecar, with the settings of its upstream.
    Sidecar(Box<LocalSettings>, UpstreamSettings),
    /// An entry that calls upstreams without sidecars, with the path of its settings file.
    Direct(Box<DirectSettings>, PathBuf),
    /// Development mode; the port accepts callers.
    Dev(u16),
    /// The platform stand-in.
    Platform(SocketAddr),
    /// The engine stand-in.
    Engine(SocketAddr, EngineOptions),
    /// The stand-in of a plain service.
    Service(SocketAddr),
}

impl Options {
    /// Validates the arguments, and reads and validates the settings that they name.
    ///
    /// # Errors
    ///
    /// If the settings cannot be read or are invalid.
    pub fn check(cli: Cli) -> Result<Self, StartError> {
        let role = match cli.command {
            Command::Entry { settings } => Role::Entry(Box::new(read(&settings)?)),
            Command::Sidecar { settings } => sidecar(&settings)?,
            Command::Direct { settings, shedding } => direct(settings, shedding)?,
            Command::Dev { port } => Role::Dev(port),
            Command::Standin { kind } => standin(kind),
        };
        Ok(Self {
            log_format: cli.log_format,
            log_level: cli.log_level,
            threads: cli.threads,
            role,
        })
    }
}

fn read(path: &Path) -> Result<LocalSettings, StartError> {
    let file = path.display().to_string();
    let text = fs::read_to_string(path)
        .map_err(|error| StartError::Unreadable(file.clone(), error.to_string()))?;
    Ok(parse_local(&file, &text)?)
}

fn sidecar(path: &Path) -> Result<Role, StartError> {
    let settings = read(path)?;
    match settings.upstream.clone() {
        Some(upstream) => Ok(Role::Sidecar(Box::new(settings), upstream)),
        None => Err(StartError::NoUpstream(path.display().to_string())),
    }
}

fn direct(path: Option<PathBuf>, shedding: SheddingMode) -> Result<Role, StartError> {
    let path = path
        .or_else(|| env::var_os(SETTINGS_VARIABLE).map(PathBuf::from))
        .ok_or_else(|| StartError::NoSettings(SETTINGS_VARIABLE.to_owned()))?;
    let shedding = match shedding {
        SheddingMode::Auto => Shedding::Auto,
        SheddingMode::On => Shedding::On,
        SheddingMode::Off => Shedding::Off,
    };
    let settings = DirectSettings { shedding, ..read_settings(&path)? };
    Ok(Role::Direct(Box::new(settings), path))
}

fn standin(kind: Standin) -> Role {
    match kind {
        Standin::Platform { listen } => Role::Platform(listen),
        Standin::Service { listen } => Role::Service(listen),
        Standin::Engine { listen, model, first_token_ms, between_tokens_ms } => {
            let options = EngineOptions {
                model,
                first_token_delay: Duration::from_millis(first_token_ms),
                token_interval: Duration::from_millis(between_tokens_ms),
            };
            Role::Engine(listen, options)
        }
    }
}
