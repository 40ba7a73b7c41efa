//! Invalid settings are rejected, and every problem is reported under the name of its flag.

use std::collections::BTreeMap;

use getopts::Options;
use verbenahinge::settings::Settings;

fn problems(args: &[&str]) -> Vec<String> {
    let mut options = Options::new();
    Settings::add_options(&mut options);
    let matches = options.parse(args).expect("valid flags");
    Settings::read(&matches, &BTreeMap::new()).expect_err("invalid settings")
}

#[test]
fn empty_secrets_are_missing() {
    let reported = problems(&["--platform=127.0.0.1:80", "--peer-key="]);
    assert_eq!(reported.len(), 1, "{reported:?}");
    assert!(
        reported[0].starts_with("--peer-key: missing"),
        "{reported:?}"
    );
}

#[test]
fn all_problems_are_reported() {
    let reported = problems(&["--listen=nowhere"]);
    for flag in ["--listen", "--platform", "--peer-key"] {
        assert!(
            reported.iter().any(|problem| problem.starts_with(flag)),
            "{flag} not in {reported:?}"
        );
    }
}
