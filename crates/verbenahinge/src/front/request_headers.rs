//! Reads API key, class and idempotency key from the headers of a request.

use std::sync::Arc;

use verbenahinge_core::config_log::VersionRow;
use verbenahinge_core::declaration::Account;
use verbenahinge_core::{AccountName, ClassName, Request, RequestId};
use verbenahinge_http::{HttpRequest, header_text};

use super::Rejection;
use crate::api_error::ErrorCode;
use crate::keys;
use crate::shell::{DecisionTrace, Shell};

/// Header with the class of a request.
const CLASS_HEADER: &str = "x-class";

/// Header that marks a request as not repeatable with the value `false`.
const REPEATABLE_HEADER: &str = "x-repeatable";

/// Header with the idempotency key, under which a request runs at most once. Repeatable service
/// calls ignore the key.
pub(super) const IDEMPOTENCY_HEADER: &str = "idempotency-key";

/// Maximum length of an idempotency key.
const MAX_IDEMPOTENCY_KEY_BYTES: usize = 256;

/// Client account of a request, with the configuration version used to check the request.
pub(super) struct Caller {
    pub(super) config: Arc<VersionRow>,
    pub(super) account: AccountName,
}

impl Caller {
    /// Returns the class from the request's header, or the default class of the account.
    pub(super) fn class(&self, request: &HttpRequest) -> Result<ClassName, Rejection> {
        let account = self.declared_account()?;
        let Some(named) = header_text(request, CLASS_HEADER) else {
            return Ok(account.default_class.clone());
        };
        let found = account.classes.iter().find(|class| &***class == named);
        found.cloned().ok_or_else(|| {
            let message = format!("the account may not use class {named}");
            Rejection::new(ErrorCode::ClassNotAllowed, message)
        })
    }

    fn declared_account(&self) -> Result<&Account, Rejection> {
        self.config
            .declaration
            .accounts
            .get(&self.account)
            .ok_or_else(|| Rejection::new(ErrorCode::InvalidKey, "unknown account"))
    }
}

/// Finds the client account of a request by its API key.
pub(super) fn authenticate(shell: &Shell, request: &HttpRequest) -> Result<Caller, Rejection> {
    let config = shell.config();
    if !shell.with_node(verbenahinge_core::Node::is_ready) && config.version == 0 {
        let message = "the configuration has not been read yet";
        return Err(Rejection::new(ErrorCode::NotReady, message));
    }
    let key = header_text(request, "authorization").and_then(keys::bearer_token);
    let account = key.and_then(|key| shell.find_account(key));
    match account {
        Some(account) => Ok(Caller { config, account }),
        None => Err(Rejection::new(ErrorCode::InvalidKey, "unknown API key")),
    }
}

/// Returns the idempotency key of a request, if it has one.
pub(super) fn idempotency_key(request: &HttpRequest) -> Result<Option<Arc<str>>, Rejection> {
    let Some(key) = header_text(request, IDEMPOTENCY_HEADER) else {
        return Ok(None);
    };
    let has_valid_chars = key
        .bytes()
        .all(|byte| byte.is_ascii_alphanumeric() || b"-_.:".contains(&byte));
    if key.is_empty() || key.len() > MAX_IDEMPOTENCY_KEY_BYTES || !has_valid_chars {
        let message = "an idempotency key has 1 to 256 letters, digits, '-', '_', '.' or ':'";
        return Err(Rejection::new(ErrorCode::MalformedRequest, message));
    }
    Ok(Some(Arc::from(key)))
}

/// Returns whether the caller marked the request as not repeatable.
pub(super) fn marked_not_repeatable(request: &HttpRequest) -> bool {
    header_text(request, REPEATABLE_HEADER) == Some("false")
}

/// Adds a request to the decision log, which operators can query.
pub(super) fn record_request(shell: &Shell, caller: &Caller, id: RequestId, request: &Request) {
    let arrived = shell.clock.now().as_millis();
    let trace = DecisionTrace {
        account: request.account.to_string(),
        class: request.class.to_string(),
        pool: request.pool.to_string(),
        config_version: caller.config.version,
        arrived_ms: u64::try_from(arrived).unwrap_or(u64::MAX),
        steps: Vec::new(),
    };
    shell.decision_log.borrow_mut().add(id, trace);
}
