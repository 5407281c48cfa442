//! Arguments turned into one checked structure.

use crate::{
    StartError,
    cli::{Cli, Command, LogFormat, LogLevel, Standin},
};
use ibissail_direct::DirectSettings;
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

/// Checked options of the daemon.
#[derive(Debug)]
pub struct Options {
    /// Form of the logs.
    pub log_format: LogFormat,
    /// Least level of the logs.
    pub log_level: LogLevel,
    /// Threads that run tasks.
    pub threads: NonZeroUsize,
    /// What to run.
    pub role: Role,
}

/// What to run, with its settings.
#[derive(Debug)]
pub enum Role {
    /// An entry.
    Entry(Box<LocalSettings>),
    /// A sidecar and the upstream beside it.
    Sidecar(Box<LocalSettings>, UpstreamSettings),
    /// An entry that calls upstreams directly, and the file that its settings came from.
    Direct(Box<DirectSettings>, PathBuf),
    /// The whole path; the port is for callers.
    Dev(u16),
    /// The platform stand-in.
    Platform(SocketAddr),
    /// The engine stand-in.
    Engine(SocketAddr, EngineOptions),
    /// The stand-in of a plain service.
    Service(SocketAddr),
}

impl Options {
    /// Checks the arguments, and reads and checks the settings that they name.
    ///
    /// # Errors
    ///
    /// When the settings cannot be read or have mistakes.
    pub fn check(cli: Cli) -> Result<Self, StartError> {
        let role = match cli.command {
            Command::Entry { settings } => Role::Entry(Box::new(read(&settings)?)),
            Command::Sidecar { settings } => sidecar(&settings)?,
            Command::Direct { settings } => direct(settings)?,
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

fn direct(path: Option<PathBuf>) -> Result<Role, StartError> {
    let path = path
        .or_else(|| env::var_os(SETTINGS_VARIABLE).map(PathBuf::from))
        .ok_or_else(|| StartError::NoSettings(SETTINGS_VARIABLE.to_owned()))?;
    Ok(Role::Direct(Box::new(read_settings(&path)?), path))
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
