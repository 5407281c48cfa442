//! Errors of subcommands and their exit codes.

use ibissail_object_store::PlatformError;
use ibissail_settings::ValidationErrors;
use quick_error::quick_error;

quick_error! {
    /// Why a command failed.
    #[derive(Debug)]
    pub enum CommandError {
        /// A file cannot be read or written.
        File(file: String, detail: String) {
            display("{}: {}", file, detail)
        }
        /// The settings are invalid.
        Settings(errors: ValidationErrors) {
            from()
            display("invalid settings:\n{}", errors)
        }
        /// Another writer has changed the same object.
        Conflict(detail: String) {
            display("{}", detail)
        }
        /// A call to the platform failed.
        Platform(error: PlatformError) {
            from()
            display("{}", error)
        }
        /// A request failed, or its result cannot be used.
        Request(detail: String) {
            display("{}", detail)
        }
    }
}

impl CommandError {
    /// Returns 1 for a failure, 2 for invalid input and 3 for a conflict.
    pub(crate) fn exit_code(&self) -> i32 {
        match self {
            Self::Platform(_) | Self::Request(_) => 1,
            Self::File(..) | Self::Settings(_) => 2,
            Self::Conflict(_) => 3,
        }
    }
}
