//! Errors of commands and their exit codes.

use std::io;

use derive_more::{Display, Error};
use verbenahinge_core::DeclarationError;

use super::{EXIT_FAILURE, EXIT_REJECTED, EXIT_USAGE};

/// Error that ends a command.
#[derive(Debug, Display, Error)]
pub(super) enum CliError {
    #[display("{_0}")]
    Usage(#[error(not(source))] String),
    #[display("{path}: {source}")]
    File { path: String, source: io::Error },
    #[display("{path}: {source}")]
    Declaration {
        path: String,
        source: DeclarationError,
    },
    #[display("{_0}")]
    Rejected(#[error(not(source))] String),
    #[display("{_0}")]
    Failed(#[error(not(source))] String),
}

impl CliError {
    pub(super) const fn exit_code(&self) -> u8 {
        match self {
            Self::Usage(_) => EXIT_USAGE,
            Self::Declaration { .. } | Self::Rejected(_) => EXIT_REJECTED,
            Self::File { .. } | Self::Failed(_) => EXIT_FAILURE,
        }
    }
}
