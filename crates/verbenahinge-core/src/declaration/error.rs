//! Errors of declarations and patches.

use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};

/// A validation problem and its location in the declaration.
#[derive(Clone, Debug, Display, Eq, PartialEq, Ord, PartialOrd, Serialize, Deserialize)]
#[display("{path}: {message}")]
pub struct Problem {
    /// JSON pointer to the invalid value.
    pub path: String,
    /// Description of the problem.
    pub message: String,
}

impl Problem {
    /// Creates a problem at a JSON pointer.
    #[must_use]
    pub fn new(path: impl Into<String>, message: impl Into<String>) -> Self {
        Self {
            path: path.into(),
            message: message.into(),
        }
    }
}

/// Reason why a declaration or a patch is rejected.
#[derive(Clone, Debug, Display, Error, Eq, PartialEq)]
pub enum DeclarationError {
    /// The TOML or JSON cannot be parsed or does not match the schema.
    #[display("malformed declaration: {_0}")]
    Syntax(#[error(not(source))] String),
    /// The patch cannot be applied to the declaration.
    #[display("patch does not apply: {_0}")]
    Patch(#[error(not(source))] String),
    /// The declaration failed validation.
    #[display("invalid declaration: {}", join_problems(_0))]
    Invalid(#[error(not(source))] Vec<Problem>),
}

fn join_problems(problems: &[Problem]) -> String {
    let texts: Vec<String> = problems.iter().map(ToString::to_string).collect();
    texts.join("; ")
}
