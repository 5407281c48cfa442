//! Start-up errors and exit codes of the daemon.

use ibissail_core::ParseError;
use ibissail_platform::SettingsError;
use ibissail_settings::ValidationErrors;
use quick_error::quick_error;
use std::net::SocketAddr;

quick_error! {
    /// Errors that prevent a daemon from starting.
    #[derive(Debug)]
    pub enum StartError {
        /// The settings file cannot be read.
        Unreadable(file: String, detail: String) {
            display("{}: cannot be read: {}", file, detail)
        }
        /// The settings are invalid.
        Settings(errors: ValidationErrors) {
            from()
            display("invalid settings:\n{}", errors)
        }
        /// No settings file was given.
        NoSettings(variable: String) {
            display("no settings file: pass `--settings FILE` or set {}", variable)
        }
        /// The settings file of the platform cannot be used.
        PlatformSettings(error: SettingsError) {
            from()
            display("{}", error)
        }
        /// The settings of a sidecar have no upstream.
        NoUpstream(file: String) {
            display("{}: the key `upstream` is missing; a sidecar needs it", file)
        }
        /// The address cannot be bound, for example because it is in use.
        Listen(address: SocketAddr, detail: String) {
            display("cannot listen on {}: {}", address, detail)
        }
        /// The initial settings could not be written to the platform stand-in.
        Platform(detail: String) {
            display("cannot write the initial settings to the platform stand-in: {}", detail)
        }
        /// A name used by the development mode has invalid characters.
        InvalidName(error: ParseError) {
            from()
            display("invalid name: {}", error)
        }
        /// A part of the development mode did not become ready.
        NotReady(what: String) {
            display("{} did not become ready in time", what)
        }
        /// Signals cannot be received.
        Signals(detail: String) {
            display("cannot receive signals: {}", detail)
        }
    }
}

/// Exit codes of the daemon.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ExitCode {
    /// Stopped gracefully at SIGTERM or SIGINT.
    Success,
    /// Any failure other than invalid arguments or settings.
    Failure,
    /// Invalid arguments or settings.
    Settings,
}

impl From<ExitCode> for i32 {
    fn from(code: ExitCode) -> Self {
        match code {
            ExitCode::Success => 0,
            ExitCode::Failure => 1,
            ExitCode::Settings => 2,
        }
    }
}

impl StartError {
    /// The exit code for this error.
    #[must_use]
    pub fn exit_code(&self) -> ExitCode {
        match self {
            Self::Unreadable(..)
            | Self::Settings(_)
            | Self::NoUpstream(_)
            | Self::NoSettings(_)
            | Self::PlatformSettings(_) => ExitCode::Settings,
            Self::Listen(..)
            | Self::Platform(_)
            | Self::InvalidName(_)
            | Self::NotReady(_)
            | Self::Signals(_) => ExitCode::Failure,
        }
    }
}
