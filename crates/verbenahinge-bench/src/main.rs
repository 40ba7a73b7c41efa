//! Runs the standard scenarios and prints their metrics; optionally writes JSON and charts.

use std::error::Error;
use std::num::ParseIntError;
use std::path::PathBuf;
use std::process::ExitCode;

use getopts::Options;
use strum::IntoEnumIterator;
use verbenahinge_bench::{
    CoreSizes, DeploymentName, Fault, LoadPattern, Policy, Scenario, Summary, draw_chart,
    format_table, measure_config, measure_core, measure_gateway, measure_memory,
    measure_server_table, run, to_json,
};

/// Offered loads as multiples of capacity.
const LOADS: [f64; 6] = [0.5, 0.8, 1.0, 1.5, 2.0, 3.0];

fn main() -> ExitCode {
    match run_command() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("verbenahinge-bench: {error}");
            ExitCode::FAILURE
        }
    }
}

fn run_command() -> Result<(), Box<dyn Error>> {
    let mut options = Options::new();
    options
        .optopt("", "out", "directory for JSON and charts", "DIR")
        .optopt("", "deployment", "run only this deployment", "NAME")
        .optopt("", "policy", "run only this policy", "NAME")
        .optopt(
            "",
            "scenario",
            "run only scenarios whose names contain this text",
            "TEXT",
        )
        .optopt("", "seconds", "length of each run in seconds [60]", "S")
        .optopt("", "seed", "seed of random numbers [1]", "N")
        .optflag(
            "",
            "slopes",
            "measure costs of the gateway and the core at several sizes instead",
        )
        .optopt(
            "",
            "config-routes",
            "measure the steps of a new configuration with these numbers of routes instead",
            "N,N",
        )
        .optopt(
            "",
            "server-tables",
            "measure the steps of tables with these numbers of backend servers instead",
            "N,N",
        )
        .optflag("h", "help", "show this help");
    let matches = options.parse(std::env::args().skip(1))?;
    if matches.opt_present("help") {
        print!("{}", options.usage("Usage: verbenahinge-bench [OPTIONS]"));
        return Ok(());
    }
    if matches.opt_present("slopes") {
        print_gateway_costs();
        print_core_costs();
        return Ok(());
    }
    let route_counts = matches.opt_str("config-routes");
    let server_counts = matches.opt_str("server-tables");
    if route_counts.is_some() || server_counts.is_some() {
        print_config_costs(&parse_counts(route_counts)?);
        print_server_table_costs(&parse_counts(server_counts)?);
        return Ok(());
    }
    let seconds = matches.opt_get_default("seconds", 60)?;
    let seed = matches.opt_get_default("seed", 1)?;
    let name_filter = matches.opt_str("scenario").unwrap_or_default();
    let policies: Vec<Policy> = match matches.opt_get::<Policy>("policy")? {
        Some(policy) => vec![policy],
        None => Policy::iter().collect(),
    };
    let mut all_summaries = Vec::new();
    for deployment in DeploymentName::iter() {
        let selected = matches.opt_get::<DeploymentName>("deployment")?;
        if selected.is_some_and(|name| name != deployment) {
            continue;
        }
        for scenario in standard_scenarios(deployment, seconds, seed) {
            if !scenario.name.contains(&name_filter) {
                continue;
            }
            let summaries: Vec<Summary> = policies
                .iter()
                .map(|&policy| run(&scenario, policy))
                .collect();
            print!("{}", format_table(&summaries));
            all_summaries.extend(summaries);
        }
    }
    match matches.opt_str("out") {
        Some(directory) => write_reports(&PathBuf::from(directory), &all_summaries),
        None => Ok(()),
    }
}

/// Prints processing times and memory use of the core, varying one size at a time.
fn print_core_costs() {
    let base = CoreSizes {
        accounts: 100,
        servers: 50,
        peers: 8,
    };
    let mut all_sizes = vec![base];
    for accounts in [1_000, 8_500] {
        all_sizes.push(CoreSizes { accounts, ..base });
    }
    for servers in [230, 1_000, 7_300] {
        all_sizes.push(CoreSizes { servers, ..base });
    }
    for peers in [16, 64] {
        all_sizes.push(CoreSizes { peers, ..base });
    }
    print_memory(base);
    println!("accounts  servers  peers  request_ns  frame_ns  digest_ns");
    for sizes in all_sizes {
        let costs = measure_core(sizes);
        println!(
            "{:>8}  {:>7}  {:>5}  {:>10}  {:>8}  {:>9}",
            sizes.accounts,
            sizes.servers,
            sizes.peers,
            costs.request_ns,
            costs.frame_ns,
            costs.digest_ns
        );
    }
}

/// Prints the time that the gateway takes to place a request.
fn print_gateway_costs() {
    println!("servers  placed_ns  asked_ns  limited_ns");
    for servers in [50, 145, 500, 3_000, 7_300] {
        let costs = measure_gateway(servers);
        println!(
            "{servers:>7}  {:>9}  {:>8}  {:>10}",
            costs.placed_ns, costs.asked_ns, costs.limited_ns
        );
    }
}

fn parse_counts(text: Option<String>) -> Result<Vec<usize>, ParseIntError> {
    let text = text.unwrap_or_default();
    let counts = text.split(',').filter(|count| !count.is_empty());
    counts.map(str::parse).collect()
}

/// Prints the time of each step of a new configuration.
fn print_config_costs(route_counts: &[usize]) {
    println!(
        "routes  bytes  response_ns  base64_ns  replica_ns  routing_ns  scan_ns  step_ns  adopt_ns  copy_ns"
    );
    for &routes in route_counts {
        let costs = measure_config(routes);
        println!(
            "{routes:>6}  {}  {}  {}  {}  {}  {}  {}  {}  {}",
            costs.bytes,
            costs.response_ns,
            costs.base64_ns,
            costs.replica_ns,
            costs.routing_ns,
            costs.scan_ns,
            costs.step_ns,
            costs.adopt_ns,
            costs.copy_ns
        );
    }
}

/// Prints the time of each step of a table of backend servers.
fn print_server_table_costs(server_counts: &[usize]) {
    println!("servers  bytes  response_ns  replica_ns  add_ns  update_ns  digest_ns  tick_ns");
    for &servers in server_counts {
        let costs = measure_server_table(servers);
        println!(
            "{servers:>7}  {}  {}  {}  {}  {}  {}  {}",
            costs.bytes,
            costs.response_ns,
            costs.replica_ns,
            costs.add_ns,
            costs.update_ns,
            costs.digest_ns,
            costs.tick_ns
        );
    }
}

/// Prints memory use at several sizes.
///
/// Each step needs more memory than the ones before it, because freed memory is reused and growth
/// would otherwise not show.
fn print_memory(base: CoreSizes) {
    let many_accounts = CoreSizes {
        accounts: 8_500,
        ..base
    };
    let many_servers = CoreSizes {
        servers: 7_300,
        ..many_accounts
    };
    let steps = [
        (base, 1_000),
        (base, 20_000),
        (many_accounts, 40_000),
        (many_servers, 40_000),
    ];
    for (sizes, in_flight) in steps {
        let Some(bytes) = measure_memory(sizes, in_flight) else {
            println!("memory: not counted by this system");
            return;
        };
        println!(
            "memory: {} accounts, {} servers, {in_flight} in flight: {bytes} bytes more",
            sizes.accounts, sizes.servers
        );
    }
}

/// Returns the scenarios that are run for each deployment.
fn standard_scenarios(deployment: DeploymentName, seconds: u64, seed: u64) -> Vec<Scenario> {
    let name = deployment.to_string();
    let new_scenario = |suffix: &str, load: f64| {
        let mut scenario = Scenario::steady(&name, load).seconds(seconds).seed(seed);
        scenario.name = format!("{name}-{suffix}");
        scenario
    };
    let mut scenarios = Vec::new();
    for load in LOADS {
        scenarios.push(new_scenario(&format!("load-{load}"), load));
    }
    let mut quiet = new_scenario("quiet-then-all", 3.0);
    quiet.pattern = LoadPattern::QuietThenAll {
        from_s: seconds / 6,
    };
    scenarios.push(quiet);
    let mut burst = new_scenario("class-burst", 0.7);
    burst.pattern = LoadPattern::ClassBurst {
        class: match deployment {
            DeploymentName::Tuul => "ci-call".to_owned(),
            DeploymentName::Layette => "history-reading".to_owned(),
        },
        factor: 8.0,
        from_s: seconds / 4,
        to_s: seconds * 3 / 4,
    };
    scenarios.push(burst);
    let mut flood = new_scenario("account-flood", 0.6);
    flood.pattern = LoadPattern::AccountFlood {
        account: 5,
        factor: 20.0,
    };
    scenarios.push(flood);
    scenarios.push(new_scenario("stragglers", 0.8).fault(Fault::Stragglers {
        from_s: seconds / 4,
    }));
    let crash = Fault::Crash {
        engine: 7,
        at_s: seconds / 3,
    };
    scenarios.push(new_scenario("crash", 0.8).fault(crash));
    scenarios.push(new_scenario("zone-lost", 0.7).fault(Fault::ZoneLost { at_s: seconds / 3 }));
    scenarios.push(new_scenario("reports-stop", 0.9).fault(Fault::ReportsStop {
        from_s: seconds / 4,
    }));
    let mut resubmitting = new_scenario("callers-return", 1.5);
    resubmitting.callers_return = true;
    scenarios.push(resubmitting);
    scenarios
}

/// Writes all summaries as JSON and charts of the scenarios with constant load.
fn write_reports(directory: &PathBuf, summaries: &[Summary]) -> Result<(), Box<dyn Error>> {
    std::fs::create_dir_all(directory)?;
    std::fs::write(directory.join("summaries.json"), to_json(summaries))?;
    for deployment in DeploymentName::iter() {
        let prefix = format!("{deployment}-load-");
        let load_sweep: Vec<Summary> = summaries
            .iter()
            .filter(|summary| summary.scenario.starts_with(&prefix))
            .cloned()
            .collect();
        if load_sweep.is_empty() {
            continue;
        }
        let goodput = directory.join(format!("{deployment}-goodput.svg"));
        draw_chart(&goodput, "goodput, tokens/s", &load_sweep, |summary| {
            summary.goodput
        })?;
        let waste = directory.join(format!("{deployment}-waste.svg"));
        draw_chart(
            &waste,
            "wasted part of computed tokens",
            &load_sweep,
            |summary| summary.waste,
        )?;
        let top = directory.join(format!("{deployment}-top-tier.svg"));
        draw_chart(
            &top,
            "attainment of the top tier",
            &load_sweep,
            top_tier_attainment,
        )?;
    }
    Ok(())
}

fn top_tier_attainment(summary: &Summary) -> f64 {
    let top = ["security-bump", "match-reply"];
    let found = top.iter().find_map(|name| summary.classes.get(*name));
    found.map_or(0.0, |class| class.attainment)
}
