//! Why a command failed, and its exit code.

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
        /// The settings have mistakes.
        Settings(errors: ValidationErrors) {
            from()
            display("the settings have mistakes:\n{}", errors)
        }
        /// Somebody else has changed the same thing.
        Conflict(text: String) {
            display("{}", text)
        }
        /// The platform did not do it.
        Platform(error: PlatformError) {
            from()
            display("{}", error)
        }
        /// A request failed.
        Request(detail: String) {
            display("{}", detail)
        }
    }
}

impl CommandError {
    /// 1 for a failure, 2 for bad input, 3 for a conflict.
    pub(crate) fn exit_code(&self) -> i32 {
        match self {
            Self::Platform(_) | Self::Request(_) => 1,
            Self::File(..) | Self::Settings(_) => 2,
            Self::Conflict(_) => 3,
        }
    }
}
