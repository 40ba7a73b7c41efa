//! Settings that would not work are refused, all at once and by name.

use std::collections::BTreeMap;

use getopts::Options;
use verbenahinge::settings::Settings;

fn problems(args: &[&str]) -> Vec<String> {
    let mut options = Options::new();
    Settings::add_options(&mut options);
    let matches = options.parse(args).expect("flags that are known");
    Settings::read(&matches, &BTreeMap::new()).expect_err("settings that do not work")
}

#[test]
fn empty_secrets_count_as_missing() {
    let told = problems(&["--platform=127.0.0.1:80", "--peer-key="]);
    assert_eq!(told.len(), 1, "{told:?}");
    assert!(told[0].starts_with("--peer-key: missing"), "{told:?}");
}

#[test]
fn all_problems_are_told() {
    let told = problems(&["--listen=nowhere"]);
    for flag in ["--listen", "--platform", "--peer-key"] {
        assert!(
            told.iter().any(|problem| problem.starts_with(flag)),
            "{flag} not in {told:?}"
        );
    }
}
