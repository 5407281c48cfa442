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
        /// The stored state is not the one that the change is based on, or other writers kept
        /// changing it.
        Conflict(detail: String) {
            display("{}", detail)
        }
        /// A call to the platform failed.
        Platform(error: PlatformError) {
            from()
            display("{}", error)
        }
        /// Any other failure, such as a failed request, an unusable response or a missing branch.
        Failed(detail: String) {
            display("{}", detail)
        }
    }
}

impl CommandError {
    /// Returns 2 for invalid settings or a file error, 3 for a conflict and 1 for any other
    /// failure.
    pub(crate) fn exit_code(&self) -> i32 {
        match self {
            Self::Platform(_) | Self::Failed(_) => 1,
            Self::File(..) | Self::Settings(_) => 2,
            Self::Conflict(_) => 3,
        }
    }
}
