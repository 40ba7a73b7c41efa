//! Commands that concern declaration files.

use std::time::Duration;

use getopts::{Matches, Options};
use serde_json::{Value, json};
use verbenahinge_core::{Declaration, DeclarationError};

use super::error::CliError;
use super::output::write_out;
use super::remote::Remote;
use super::{EXIT_OK, one_argument, parse};

/// Times that a patch with an unknown result is submitted.
const SUBMIT_ATTEMPTS: u32 = 5;

/// Time between two looks at the status.
const STATUS_INTERVAL: Duration = Duration::from_millis(200);

fn load(path: &str) -> Result<Declaration, CliError> {
    let text = std::fs::read_to_string(path).map_err(|source| CliError::File {
        path: path.to_owned(),
        source,
    })?;
    let wrap = |source| CliError::Declaration {
        path: path.to_owned(),
        source,
    };
    let declaration = Declaration::from_toml(&text).map_err(wrap)?;
    let problems = declaration.validate();
    if problems.is_empty() {
        Ok(declaration)
    } else {
        Err(wrap(DeclarationError::Invalid(problems)))
    }
}

pub(super) fn check(args: &[String]) -> Result<u8, CliError> {
    let mut options = Options::new();
    options.optflag("", "json", "print JSON");
    let Some(matches) = parse(&mut options, args, "check FILE [OPTIONS]")? else {
        return Ok(EXIT_OK);
    };
    let path = one_argument(&matches, "file")?;
    let checked = load(&path);
    if matches.opt_present("json") {
        return print_check(checked);
    }
    let declaration = checked?;
    write_out(format_args!(
        "{path}: valid: {} accounts, {} classes, {} pools, {} operators\n",
        declaration.accounts.len(),
        declaration.classes.len(),
        declaration.pools.len(),
        declaration.operators.len()
    ));
    Ok(EXIT_OK)
}

fn print_check(checked: Result<Declaration, CliError>) -> Result<u8, CliError> {
    match checked {
        Ok(_) => {
            write_out(format_args!("{}\n", json!({"valid": true, "problems": []})));
            Ok(EXIT_OK)
        }
        Err(CliError::Declaration { path, source }) => {
            let problems = match &source {
                DeclarationError::Invalid(problems) => json!(problems),
                other => json!([{"path": "", "message": other.to_string()}]),
            };
            write_out(format_args!(
                "{}\n",
                json!({"valid": false, "problems": problems})
            ));
            Err(CliError::Declaration { path, source })
        }
        Err(error) => Err(error),
    }
}

pub(super) fn hash_key(args: &[String]) -> Result<u8, CliError> {
    let mut options = Options::new();
    let Some(matches) = parse(&mut options, args, "hash-key KEY")? else {
        return Ok(EXIT_OK);
    };
    let key = one_argument(&matches, "key")?;
    write_out(format_args!("{}\n", blake3::hash(key.as_bytes()).to_hex()));
    Ok(EXIT_OK)
}

pub(super) fn diff(args: &[String]) -> Result<u8, CliError> {
    let mut options = Options::new();
    Remote::add_options(&mut options);
    let Some(matches) = parse(&mut options, args, "diff FILE [OPTIONS]")? else {
        return Ok(EXIT_OK);
    };
    let target = load(&one_argument(&matches, "file")?)?;
    let remote = Remote::new(&matches)?;
    actix_rt::System::new().block_on(async {
        let (current, version) = remote.config().await?;
        let patch = current.diff(&target);
        if matches.opt_present("json") {
            write_out(format_args!(
                "{}\n",
                json!({"base": version, "patch": patch})
            ));
            return Ok(EXIT_OK);
        }
        write_out(format_args!(
            "against version {version}: {} changes\n",
            patch.len()
        ));
        for operation in patch.iter() {
            write_out(format_args!("  {operation}\n"));
        }
        Ok(EXIT_OK)
    })
}

pub(super) fn apply(args: &[String]) -> Result<u8, CliError> {
    let mut options = Options::new();
    Remote::add_options(&mut options);
    options.optopt("", "timeout-s", "time until in force everywhere [30]", "S");
    let Some(matches) = parse(&mut options, args, "apply FILE [OPTIONS]")? else {
        return Ok(EXIT_OK);
    };
    let target = load(&one_argument(&matches, "file")?)?;
    let remote = Remote::new(&matches)?;
    let timeout = matches
        .opt_get_default("timeout-s", 30)
        .map_err(|_| CliError::Usage("--timeout-s: malformed".to_owned()))?;
    actix_rt::System::new().block_on(async {
        let (current, base) = remote.config().await?;
        let patch = current.diff(&target);
        if patch.is_empty() {
            write_out(format_args!(
                "version {base} is already what the file declares\n"
            ));
            return Ok(EXIT_OK);
        }
        let version = submit(&remote, &base, &json!(patch)).await?;
        wait_in_force(&remote, version, Duration::from_secs(timeout), &matches).await
    })
}

async fn submit(remote: &Remote, base: &str, patch: &Value) -> Result<u64, CliError> {
    let patch_id = format!("{:032x}", rand::random::<u128>());
    let mut last = String::new();
    for _ in 0..SUBMIT_ATTEMPTS {
        let answer = remote.patch(base, &patch_id, patch).await?;
        if answer.status == 503 {
            let error = answer.body["error"].as_str();
            error.unwrap_or("no reason given").clone_into(&mut last);
            continue;
        }
        let answer = answer.success()?;
        let version = answer.body["version"].as_u64();
        return version.ok_or_else(|| CliError::Failed("no version in the answer".to_owned()));
    }
    Err(CliError::Failed(format!("patch {patch_id}: {last}")))
}

async fn wait_in_force(
    remote: &Remote,
    version: u64,
    timeout: Duration,
    matches: &Matches,
) -> Result<u8, CliError> {
    let rounds = timeout.as_millis() / STATUS_INTERVAL.as_millis();
    let mut seen = json!({});
    for _ in 0..=rounds {
        let status = remote.get("/v1/status").await?.success()?.body;
        let current = status["config_version"].as_u64() >= Some(version);
        if current && status["in_force_on"] == status["vms"] {
            print_in_force(version, &status, matches);
            return Ok(EXIT_OK);
        }
        seen = status;
        actix_rt::time::sleep(STATUS_INTERVAL).await;
    }
    Err(CliError::Failed(format!(
        "version {version} was accepted but is in force on {} of {} VMs only",
        seen["in_force_on"], seen["vms"]
    )))
}

fn print_in_force(version: u64, status: &Value, matches: &Matches) {
    let (on, vms) = (&status["in_force_on"], &status["vms"]);
    if matches.opt_present("json") {
        write_out(format_args!(
            "{}\n",
            json!({"version": version, "in_force_on": on, "vms": vms})
        ));
    } else {
        write_out(format_args!(
            "version {version} is in force on {on} of {vms} VMs\n"
        ));
    }
}
