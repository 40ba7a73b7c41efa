//! Who calls, and with which class.

use std::sync::Arc;

use verbenahinge_core::config_log::VersionRow;
use verbenahinge_core::declaration::Account;
use verbenahinge_core::{AccountName, ClassName, Request, RequestId};
use verbenahinge_http::{HttpRequest, header_text};

use super::Rejection;
use crate::api_error::ErrorCode;
use crate::keys;
use crate::shell::{Decision, Shell};

/// Header that names the class of a request.
const CLASS_HEADER: &str = "x-class";

/// Header that says `false` for a request that must not run twice.
const REPEATABLE_HEADER: &str = "x-repeatable";

/// Header with the key under which a request runs at most once.
pub(super) const IDEMPOTENCY_HEADER: &str = "idempotency-key";

/// Longest idempotency key.
const KEY_LIMIT_BYTES: usize = 256;

/// The account that calls and the version that it is judged by.
pub(super) struct Caller {
    pub(super) config: Arc<VersionRow>,
    pub(super) account: AccountName,
}

impl Caller {
    /// The class that a request names, or the account's default.
    pub(super) fn class(&self, request: &HttpRequest) -> Result<ClassName, Rejection> {
        let account = self.declared()?;
        let Some(named) = header_text(request, CLASS_HEADER) else {
            return Ok(account.default_class.clone());
        };
        let found = account.classes.iter().find(|class| &***class == named);
        found.cloned().ok_or_else(|| {
            let message = format!("the account may not use class {named}");
            Rejection::new(ErrorCode::ClassNotAllowed, message)
        })
    }

    fn declared(&self) -> Result<&Account, Rejection> {
        self.config
            .declaration
            .accounts
            .get(&self.account)
            .ok_or_else(|| Rejection::new(ErrorCode::InvalidKey, "unknown account"))
    }
}

/// Finds the account of a request.
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

/// Key under which a request runs at most once, if it has one.
pub(super) fn idempotency_key(request: &HttpRequest) -> Result<Option<Arc<str>>, Rejection> {
    let Some(key) = header_text(request, IDEMPOTENCY_HEADER) else {
        return Ok(None);
    };
    let plain = key
        .bytes()
        .all(|byte| byte.is_ascii_alphanumeric() || b"-_.:".contains(&byte));
    if key.is_empty() || key.len() > KEY_LIMIT_BYTES || !plain {
        let message = "an idempotency key has 1 to 256 letters, digits, '-', '_', '.' or ':'";
        return Err(Rejection::new(ErrorCode::MalformedRequest, message));
    }
    Ok(Some(Arc::from(key)))
}

/// Says whether the caller asks that a request run at most once.
pub(super) fn asks_once(request: &HttpRequest) -> bool {
    header_text(request, REPEATABLE_HEADER) == Some("false")
}

/// Notes a request, so that an operator can ask what became of it.
pub(super) fn note(shell: &Shell, caller: &Caller, id: RequestId, request: &Request) {
    let arrived = shell.clock.now().as_millis();
    let decision = Decision {
        account: request.account.to_string(),
        class: request.class.to_string(),
        pool: request.pool.to_string(),
        config_version: caller.config.version,
        arrived_ms: u64::try_from(arrived).unwrap_or(u64::MAX),
        steps: Vec::new(),
    };
    shell.decisions.borrow_mut().begin(id, decision);
}
