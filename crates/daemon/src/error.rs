//! Why a daemon does not start, and its exit codes.

use ibissail_core::UnitError;
use ibissail_platform::SettingsError;
use ibissail_settings::ValidationErrors;
use quick_error::quick_error;
use std::net::SocketAddr;

quick_error! {
    /// Why a daemon does not start.
    #[derive(Debug)]
    pub enum StartError {
        /// The settings cannot be read.
        Unreadable(file: String, detail: String) {
            display("{}: cannot be read: {}", file, detail)
        }
        /// The settings have mistakes.
        Settings(errors: ValidationErrors) {
            from()
            display("the settings have mistakes:\n{}", errors)
        }
        /// Nothing names the settings file.
        NoSettings(variable: String) {
            display("no settings: give `--settings FILE` or set the variable {}", variable)
        }
        /// The settings file of the platform cannot be used.
        PlatformSettings(error: SettingsError) {
            from()
            display("{}", error)
        }
        /// A sidecar needs an upstream.
        NoUpstream(file: String) {
            display("{}: the key `upstream` is missing; a sidecar needs it", file)
        }
        /// The address is taken or not of this VM.
        Listen(address: SocketAddr, detail: String) {
            display("cannot listen on {}: {}", address, detail)
        }
        /// The platform does not take the first settings.
        Platform(detail: String) {
            display("the platform does not take the settings: {}", detail)
        }
        /// A name of the development mode has characters that are not allowed.
        InvalidName(error: UnitError) {
            from()
            display("a bad name: {}", error)
        }
        /// Something of the development mode does not become ready.
        NotReady(what: String) {
            display("{} is not ready in time", what)
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
    /// A planned stop.
    Success,
    /// A failure at run time.
    Failure,
    /// Bad arguments or settings.
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
