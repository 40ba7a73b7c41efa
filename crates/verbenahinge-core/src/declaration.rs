//! Declarative configuration: client accounts, classes, pools and operators.
//!
//! A declaration is plain data. Operators write it as TOML, the platform's table service stores
//! it as JSON, and it is accepted only if [`Declaration::validate`] finds no problem in it. The
//! file format is described in `docs/operators/declaration.md`.
//!
//! ```
//! use verbenahinge_core::Declaration;
//!
//! let declaration = Declaration::from_toml(
//!     r#"
//!     [classes.ping]
//!     tier = 0
//!     first_token_ms = 200
//!     per_token_ms = 33
//!     max_starvation_ms = 2000
//!     "#,
//! )?;
//! assert!(declaration.validate().is_empty());
//! # Ok::<(), verbenahinge_core::DeclarationError>(())
//! ```

mod account;
mod class;
mod error;
mod operator;
mod pool;
mod server;
mod validate;

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

pub use self::account::Account;
pub use self::class::Class;
pub use self::error::{DeclarationError, Problem};
pub use self::operator::{Operator, Role};
pub use self::pool::{Pool, PoolKind, Route};
pub use self::server::Server;
pub use self::validate::{TIER_COUNT, tier_index};
use crate::{AccountName, ClassName, OperatorName, PoolName};

/// The complete configuration as declared by operators.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Declaration {
    /// Client accounts by name.
    #[serde(default)]
    pub accounts: BTreeMap<AccountName, Account>,
    /// Classes of requests by name.
    #[serde(default)]
    pub classes: BTreeMap<ClassName, Class>,
    /// Pools of backend servers by name.
    #[serde(default)]
    pub pools: BTreeMap<PoolName, Pool>,
    /// Operators by name.
    #[serde(default)]
    pub operators: BTreeMap<OperatorName, Operator>,
}

impl Declaration {
    /// Parses a declaration from TOML without validating it.
    ///
    /// # Errors
    ///
    /// Returns [`DeclarationError::Syntax`] if the text is not valid TOML or does not match the
    /// schema.
    pub fn from_toml(text: &str) -> Result<Self, DeclarationError> {
        toml::from_str(text).map_err(|error| DeclarationError::Syntax(error.to_string()))
    }

    /// Applies a JSON patch (RFC 6902) to a copy of `self` and validates the result.
    ///
    /// # Errors
    ///
    /// Returns an error if the patch does not apply or the result does not match the schema, and
    /// every problem if the result is invalid.
    pub fn patched(&self, patch: &json_patch::Patch) -> Result<Self, DeclarationError> {
        let mut value = self.to_json();
        json_patch::patch(&mut value, patch)
            .map_err(|error| DeclarationError::Patch(error.to_string()))?;
        let patched: Self = serde_json::from_value(value)
            .map_err(|error| DeclarationError::Syntax(error.to_string()))?;
        let problems = patched.validate();
        if problems.is_empty() {
            Ok(patched)
        } else {
            Err(DeclarationError::Invalid(problems))
        }
    }

    /// Returns the JSON patch that turns `self` into `target`.
    #[must_use]
    pub fn diff(&self, target: &Self) -> json_patch::Patch {
        json_patch::diff(&self.to_json(), &target.to_json())
    }

    /// Returns the pool that serves a model.
    #[must_use]
    pub fn pool_for_model(&self, model: &str) -> Option<(&PoolName, &Pool)> {
        self.pools
            .iter()
            .find(|(_, pool)| pool.models.iter().any(|name| &**name == model))
    }

    /// Returns the JSON form that is stored in the table service.
    #[must_use]
    pub fn to_json(&self) -> serde_json::Value {
        // Serialization cannot fail because all map keys are strings; null would be read as no
        // declaration.
        serde_json::to_value(self).unwrap_or_default()
    }
}
