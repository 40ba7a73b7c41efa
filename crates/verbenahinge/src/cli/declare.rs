//! The `check`, `hash-key`, `diff` and `apply` commands.

use std::time::Duration;

use getopts::{Matches, Options};
use serde_json::{Value, json};
use verbenahinge_core::{Declaration, DeclarationError};

use super::error::CliError;
use super::operator_client::OperatorClient;
use super::output::write_out;
use super::{EXIT_OK, parse_options, single_argument};

/// Maximum number of attempts to submit a patch whose result is unknown.
const SUBMIT_ATTEMPTS: u32 = 5;

/// Interval between status requests.
const STATUS_INTERVAL: Duration = Duration::from_millis(200);

fn load_declaration(path: &str) -> Result<Declaration, CliError> {
    let text = std::fs::read_to_string(path).map_err(|source| CliError::File {
        path: path.to_owned(),
        source,
    })?;
    let wrap_error = |source| CliError::Declaration {
        path: path.to_owned(),
        source,
    };
    let declaration = Declaration::from_toml(&text).map_err(wrap_error)?;
    let problems = declaration.validate();
    if problems.is_empty() {
        Ok(declaration)
    } else {
        Err(wrap_error(DeclarationError::Invalid(problems)))
    }
}

pub(super) fn check(args: &[String]) -> Result<u8, CliError> {
    let mut options = Options::new();
    options.optflag("", "json", "print JSON");
    let Some(matches) = parse_options(&mut options, args, "check FILE [OPTIONS]")? else {
        return Ok(EXIT_OK);
    };
    let path = single_argument(&matches, "file")?;
    let result = load_declaration(&path);
    if matches.opt_present("json") {
        return print_check_result(result);
    }
    let declaration = result?;
    write_out(format_args!(
        "{path}: valid: {} accounts, {} classes, {} pools, {} operators\n",
        declaration.accounts.len(),
        declaration.classes.len(),
        declaration.pools.len(),
        declaration.operators.len()
    ));
    Ok(EXIT_OK)
}

fn print_check_result(result: Result<Declaration, CliError>) -> Result<u8, CliError> {
    match result {
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
    let Some(matches) = parse_options(&mut options, args, "hash-key KEY")? else {
        return Ok(EXIT_OK);
    };
    let key = single_argument(&matches, "key")?;
    write_out(format_args!("{}\n", blake3::hash(key.as_bytes()).to_hex()));
    Ok(EXIT_OK)
}

pub(super) fn diff(args: &[String]) -> Result<u8, CliError> {
    let mut options = Options::new();
    OperatorClient::add_options(&mut options);
    let Some(matches) = parse_options(&mut options, args, "diff FILE [OPTIONS]")? else {
        return Ok(EXIT_OK);
    };
    let target = load_declaration(&single_argument(&matches, "file")?)?;
    let client = OperatorClient::new(&matches)?;
    actix_rt::System::new().block_on(async {
        let (current, version) = client.active_config().await?;
        let patch = current.diff(&target);
        if matches.opt_present("json") {
            write_out(format_args!(
                "{}\n",
                json!({"base": version, "patch": patch})
            ));
            return Ok(EXIT_OK);
        }
        write_out(format_args!(
            "{} changes against version {version}\n",
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
    OperatorClient::add_options(&mut options);
    options.optopt(
        "",
        "timeout-s",
        "timeout for the version to be in force on all VMs [30]",
        "S",
    );
    let Some(matches) = parse_options(&mut options, args, "apply FILE [OPTIONS]")? else {
        return Ok(EXIT_OK);
    };
    let target = load_declaration(&single_argument(&matches, "file")?)?;
    let client = OperatorClient::new(&matches)?;
    let timeout = matches
        .opt_get_default("timeout-s", 30)
        .map_err(|_| CliError::Usage("--timeout-s: malformed".to_owned()))?;
    actix_rt::System::new().block_on(async {
        let (current, base) = client.active_config().await?;
        let patch = current.diff(&target);
        if patch.is_empty() {
            write_out(format_args!("version {base} already matches the file\n"));
            return Ok(EXIT_OK);
        }
        let version = submit_patch(&client, &base, &json!(patch)).await?;
        wait_until_active(&client, version, Duration::from_secs(timeout), &matches).await
    })
}

async fn submit_patch(client: &OperatorClient, base: &str, patch: &Value) -> Result<u64, CliError> {
    let patch_id = format!("{:032x}", rand::random::<u128>());
    let mut last_error = String::new();
    for _ in 0..SUBMIT_ATTEMPTS {
        let response = client.patch(base, &patch_id, patch).await?;
        if response.status == 503 {
            let error = response.body["error"].as_str();
            error
                .unwrap_or("no reason given")
                .clone_into(&mut last_error);
            continue;
        }
        let response = response.require_success()?;
        let version = response.body["version"].as_u64();
        return version
            .ok_or_else(|| CliError::Failed("the response contains no version".to_owned()));
    }
    Err(CliError::Failed(format!("patch {patch_id}: {last_error}")))
}

async fn wait_until_active(
    client: &OperatorClient,
    version: u64,
    timeout: Duration,
    matches: &Matches,
) -> Result<u8, CliError> {
    let max_polls = timeout.as_millis() / STATUS_INTERVAL.as_millis();
    let mut last_status = json!({});
    for _ in 0..=max_polls {
        let status = client.get("/v1/status").await?.require_success()?.body;
        let is_current = status["config_version"].as_u64() >= Some(version);
        if is_current && status["in_force_on"] == status["vms"] {
            print_active_version(version, &status, matches);
            return Ok(EXIT_OK);
        }
        last_status = status;
        actix_rt::time::sleep(STATUS_INTERVAL).await;
    }
    Err(CliError::Failed(format!(
        "version {version} was accepted but is in force on {} of {} VMs only",
        last_status["in_force_on"], last_status["vms"]
    )))
}

fn print_active_version(version: u64, status: &Value, matches: &Matches) {
    let (active_on, vms) = (&status["in_force_on"], &status["vms"]);
    if matches.opt_present("json") {
        write_out(format_args!(
            "{}\n",
            json!({"version": version, "in_force_on": active_on, "vms": vms})
        ));
    } else {
        write_out(format_args!(
            "version {version} is in force on {active_on} of {vms} VMs\n"
        ));
    }
}
