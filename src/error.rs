//! Errors of the command line and their exit codes.

use std::path::PathBuf;

use displaydoc::Display;
use lycheelatch_http::SendFailure;
use lycheelatch_operator::{Problem, ProblemKind};
use lycheelatch_prelude::{ChangeId, InvalidValue};

use crate::{Output, output};

/// Exit code of the command line; the numbers are a stable interface.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Code {
    /// The command succeeded.
    Done,
    /// `diff` found differences.
    Differs,
    /// The command line is invalid or a local file can't be read.
    Usage,
    /// The node, or a service that it depends on, does not respond; nothing was done.
    Unavailable,
    /// The token is missing or unknown, or its role is insufficient.
    Refused,
    /// The expected revision is not the latest one; nothing was done.
    Conflict,
    /// The configuration or settings are not valid; nothing was done.
    Invalid,
    /// The change may or may not have been applied.
    OutcomeUnknown,
    /// There is no such object, service or upstream.
    NotFound,
    /// Any other failure.
    Failed,
}

impl Code {
    /// Returns the exit status of the process.
    pub fn into_number(self) -> u8 {
        match self {
            Code::Done => 0,
            Code::Differs => 1,
            Code::Usage => 2,
            Code::Unavailable => 3,
            Code::Refused => 4,
            Code::Conflict => 5,
            Code::Invalid => 6,
            Code::OutcomeUnknown => 7,
            Code::NotFound => 8,
            Code::Failed => 9,
        }
    }
}

/// Error of one invocation of the command line.
#[derive(Debug, Display)]
pub enum CliError {
    /// the file {path} can't be read: {reason}
    File {
        /// Path of the file.
        path: PathBuf,
        /// Cause of the failure.
        reason: String,
    },
    /// no line about request {request} in the logs
    NotInLogs {
        /// Id of the request.
        request: String,
    },
    /// no line about a roll-out of service {service} in the logs
    NoRollout {
        /// Name of the service.
        service: String,
    },
    /// no server is given: use --server, LYCHEELATCH_SERVER or a settings file
    NoServer,
    /// no token is given: use LYCHEELATCH_TOKEN, --token-file or a settings file
    NoToken,
    /// {0}
    Argument(InvalidValue),
    /// {path} has errors
    Invalid {
        /// Path of the file that has the errors.
        path: String,
        /// All errors of the file.
        errors: Vec<InvalidValue>,
    },
    /// {server}: {failure}
    Send {
        /// Server that was called.
        server: String,
        /// Why the call failed.
        failure: SendFailure,
    },
    /// {0}
    Problem(Box<Problem>),
    /// the change may or may not have been applied; run the same command with --change-id {id}
    OutcomeUnknown {
        /// Identity of the change.
        id: ChangeId,
        /// Error of the last attempt.
        last: Box<CliError>,
    },
}

impl std::error::Error for CliError {}

impl CliError {
    /// Returns the exit code for the error.
    pub fn code(&self) -> Code {
        match self {
            CliError::File { .. }
            | CliError::NoServer
            | CliError::NoToken
            | CliError::Argument(_) => Code::Usage,
            CliError::Invalid { .. } => Code::Invalid,
            CliError::Send { failure: SendFailure::BadAnswer(_), .. } => Code::Failed,
            CliError::Send { .. } => Code::Unavailable,
            CliError::Problem(problem) => exit_code_for(problem.kind),
            CliError::OutcomeUnknown { .. } => Code::OutcomeUnknown,
            CliError::NotInLogs { .. } | CliError::NoRollout { .. } => Code::NotFound,
        }
    }

    /// Formats the error for the standard error, with its details.
    pub fn into_output(self) -> Output {
        let mut stderr = format!("lycheelatch: {self}\n");
        match &self {
            CliError::Invalid { errors, .. } => {
                errors.iter().for_each(|err| stderr.push_str(&format!("  {err}\n")));
            }
            CliError::Problem(problem) => stderr.push_str(&output::format_problem_details(problem)),
            CliError::OutcomeUnknown { last, .. } => stderr.push_str(&format!("  {last}\n")),
            _ => {}
        }
        Output { stdout: String::new(), stderr, code: self.code() }
    }
}

fn exit_code_for(kind: ProblemKind) -> Code {
    match kind {
        ProblemKind::Unauthenticated | ProblemKind::Forbidden => Code::Refused,
        ProblemKind::NotFound => Code::NotFound,
        ProblemKind::Invalid | ProblemKind::TooLarge => Code::Invalid,
        ProblemKind::Conflict => Code::Conflict,
        ProblemKind::Unavailable => Code::Unavailable,
        ProblemKind::OutcomeUnknown => Code::OutcomeUnknown,
        ProblemKind::Malformed | ProblemKind::Internal => Code::Failed,
    }
}
