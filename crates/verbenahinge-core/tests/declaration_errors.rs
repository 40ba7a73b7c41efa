//! Invalid declarations are rejected as a whole, with all problems and their locations.

use verbenahinge_core::{Declaration, DeclarationError, Problem};

#[test]
fn validation_reports_every_problem() {
    let text = r#"
        [accounts.tuul]
        key_hashes = ["short"]
        weight = 0
        classes = ["none"]
        default_class = "other"

        [classes.bump]
        tier = 9
        first_token_ms = 0
        per_token_ms = 33
        max_starvation_ms = 1

        [pools.chat]
        kind = "engine"
    "#;
    let problems = Declaration::from_toml(text).unwrap().validate();
    let paths: Vec<&str> = problems
        .iter()
        .map(|problem| problem.path.as_str())
        .collect();
    assert_eq!(
        paths,
        [
            "/classes/bump/tier",
            "/classes/bump/first_token_ms",
            "/accounts/tuul/weight",
            "/accounts/tuul/classes/0",
            "/accounts/tuul/default_class",
            "/accounts/tuul/key_hashes/0",
            "/pools/chat/models",
        ]
    );
}

#[test]
fn rejected_patch_changes_nothing() {
    let declaration = Declaration::default();
    let patch = serde_json::from_str(
        r#"[{"op": "add", "path": "/pools/chat", "value": {"kind": "engine"}}]"#,
    );
    let error = declaration.patched(&patch.unwrap()).unwrap_err();
    let problem = Problem::new(
        "/pools/chat/models",
        "a pool of engines serves at least one model",
    );
    assert_eq!(error, DeclarationError::Invalid(vec![problem]));
    assert_eq!(declaration, Declaration::default());
}

#[test]
fn unknown_field_is_rejected() {
    let parsed = Declaration::from_toml("[classes.bump]\ntier = 0\nspeed = 3\n");
    assert!(matches!(parsed, Err(DeclarationError::Syntax(_))));
}
