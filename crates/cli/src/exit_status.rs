use std::process::ExitCode;

/// Exit codes that scripts can rely on.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
#[repr(u8)]
pub enum ExitStatus {
    /// The command did what was asked; a job that was waited for ran.
    Success = 0,
    /// The job ran and failed, or was cancelled.
    Failed = 1,
    /// The command line, a file or the request is not valid; nothing was done.
    Usage = 2,
    /// The request was refused and did not run.
    Refused = 3,
    /// Whether the work ran is not known yet.
    Indeterminate = 4,
    /// No entry instance answered.
    Unreachable = 5,
    /// Another change came first.
    Conflict = 6,
    /// The job is still queued or running.
    InProgress = 7,
    /// There is no such job or record.
    NotFound = 8,
}

impl From<ExitStatus> for ExitCode {
    fn from(status: ExitStatus) -> Self {
        Self::from(status as u8)
    }
}
