//! Authentication of callers, operators and peers by key.
//!
//! Only hashes are compared, and [`blake3::Hash`] compares in constant time. API keys and operator
//! tokens are declared as hashes, and no key is logged.

use std::collections::BTreeMap;

use verbenahinge_core::declaration::{Declaration, Operator, Role};
use verbenahinge_core::{AccountName, OperatorName};

/// Returns the token in the value of an `Authorization: Bearer` header.
pub(crate) fn bearer_token(header: &str) -> Option<&str> {
    header.strip_prefix("Bearer ").map(str::trim)
}

fn hash_matches(hash: blake3::Hash, declared: &str) -> bool {
    blake3::Hash::from_hex(declared).is_ok_and(|declared| declared == hash)
}

/// Client accounts by hash of their API keys, rebuilt for each configuration version.
#[derive(Clone, Debug, Default)]
pub(crate) struct ApiKeyIndex {
    accounts: BTreeMap<[u8; blake3::OUT_LEN], AccountName>,
}

impl ApiKeyIndex {
    pub(crate) fn new(declaration: &Declaration) -> Self {
        let mut accounts = BTreeMap::new();
        for (name, account) in &declaration.accounts {
            for declared in &account.key_hashes {
                if let Ok(hash) = blake3::Hash::from_hex(declared) {
                    accounts.insert(*hash.as_bytes(), name.clone());
                }
            }
        }
        Self { accounts }
    }

    /// Returns the client account that an API key belongs to.
    ///
    /// The lookup compares hashes, so its timing reveals nothing about a key. The match is then
    /// confirmed in constant time.
    pub(crate) fn find(&self, key: &str) -> Option<AccountName> {
        let hash = blake3::hash(key.as_bytes());
        let (declared, account) = self.accounts.get_key_value(hash.as_bytes())?;
        (hash == *declared).then(|| account.clone())
    }
}

/// Returns the operator that a token belongs to, if its role includes the required one.
pub(crate) fn find_operator(
    declaration: &Declaration,
    token: &str,
    required_role: Role,
) -> Option<OperatorName> {
    let hash = blake3::hash(token.as_bytes());
    let mut found = None;
    for (
        name,
        Operator {
            token_hash,
            role: operator_role,
        },
    ) in &declaration.operators
    {
        if hash_matches(hash, token_hash) && *operator_role >= required_role {
            found = Some(name.clone());
        }
    }
    found
}

/// Compares the hashes of two secrets in constant time.
pub(crate) fn secrets_match(left: &str, right: &str) -> bool {
    blake3::hash(left.as_bytes()) == blake3::hash(right.as_bytes())
}
