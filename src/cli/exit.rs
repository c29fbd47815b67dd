//! Exit codes of the program.

use std::process::ExitCode;

/// The result of the program; the discriminant is the exit code.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Exit {
    /// The command succeeded.
    Done = 0,
    /// The instance could not run, or could not be reached.
    Failed = 1,
    /// The command line or the settings are wrong.
    Usage = 2,
    /// The stop timeout or a second signal cut off requests in progress.
    CutOff = 3,
    /// A change was rejected or conflicts with a newer one.
    Rejected = 4,
    /// It is unknown whether a change was accepted.
    Unknown = 5,
}

impl From<Exit> for ExitCode {
    fn from(exit: Exit) -> Self {
        Self::from(exit as u8)
    }
}
