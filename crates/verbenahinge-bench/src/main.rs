//! Prints the table of both deployments and writes JSON and plots.

use std::error::Error;
use std::path::PathBuf;
use std::process::ExitCode;

use getopts::Options;
use strum::IntoEnumIterator;
use verbenahinge_bench::{
    DeploymentName, Fault, Pattern, Policy, Scenario, Sizes, Summary, draw, format_table, measure,
    measure_gateway, memory, run, to_json,
};

const LOADS: [f64; 6] = [0.5, 0.8, 1.0, 1.5, 2.0, 3.0];

fn main() -> ExitCode {
    match bench() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("verbenahinge-bench: {error}");
            ExitCode::FAILURE
        }
    }
}

fn bench() -> Result<(), Box<dyn Error>> {
    let mut options = Options::new();
    options
        .optopt("", "out", "folder for JSON and plots", "DIR")
        .optopt("", "deployment", "only this deployment", "NAME")
        .optopt("", "policy", "only this policy", "NAME")
        .optopt(
            "",
            "scenario",
            "only scenarios with this text in their names",
            "TEXT",
        )
        .optopt("", "seconds", "length of each run [60]", "S")
        .optopt("", "seed", "seed [1]", "N")
        .optflag(
            "",
            "slopes",
            "measure the core's costs against its sizes instead",
        )
        .optflag("h", "help", "show this help");
    let matches = options.parse(std::env::args().skip(1))?;
    if matches.opt_present("help") {
        print!("{}", options.usage("Usage: verbenahinge-bench [OPTIONS]"));
        return Ok(());
    }
    if matches.opt_present("slopes") {
        print_gateway_slopes();
        print_slopes();
        return Ok(());
    }
    let seconds = matches.opt_get_default("seconds", 60)?;
    let seed = matches.opt_get_default("seed", 1)?;
    let wanted = matches.opt_str("scenario").unwrap_or_default();
    let policies: Vec<Policy> = match matches.opt_get::<Policy>("policy")? {
        Some(policy) => vec![policy],
        None => Policy::iter().collect(),
    };
    let mut all = Vec::new();
    for deployment in DeploymentName::iter() {
        let only = matches.opt_get::<DeploymentName>("deployment")?;
        if only.is_some_and(|only| only != deployment) {
            continue;
        }
        for scenario in scenarios(deployment, seconds, seed) {
            if !scenario.name.contains(&wanted) {
                continue;
            }
            let summaries: Vec<Summary> = policies
                .iter()
                .map(|&policy| run(&scenario, policy))
                .collect();
            print!("{}", format_table(&summaries));
            all.extend(summaries);
        }
    }
    match matches.opt_str("out") {
        Some(folder) => write(&PathBuf::from(folder), &all),
        None => Ok(()),
    }
}

/// Prints times and memory at several sizes, one size varied at a time.
fn print_slopes() {
    let base = Sizes {
        accounts: 100,
        servers: 50,
        peers: 8,
    };
    let mut all = vec![base];
    for accounts in [1_000, 8_500] {
        all.push(Sizes { accounts, ..base });
    }
    for servers in [230, 1_000, 7_300] {
        all.push(Sizes { servers, ..base });
    }
    for peers in [16, 64] {
        all.push(Sizes { peers, ..base });
    }
    print_memory(base);
    println!("accounts  servers  peers  request_ns  frame_ns  digest_ns");
    for sizes in all {
        let costs = measure(sizes);
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

/// Prints times of the gateway's decisions.
fn print_gateway_slopes() {
    println!("servers  placed_ns  asked_ns");
    for servers in [50, 500, 3_000, 7_300] {
        let costs = measure_gateway(servers);
        println!(
            "{servers:>7}  {:>9}  {:>8}",
            costs.placed_ns, costs.asked_ns
        );
    }
}

/// Prints memory; each size takes more than the ones before, since freed memory is used again.
fn print_memory(base: Sizes) {
    let many_accounts = Sizes {
        accounts: 8_500,
        ..base
    };
    let many_servers = Sizes {
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
        let Some(bytes) = memory(sizes, in_flight) else {
            println!("memory: not counted by this system");
            return;
        };
        println!(
            "memory: {} accounts, {} servers, {in_flight} in flight: {bytes} bytes more",
            sizes.accounts, sizes.servers
        );
    }
}

fn scenarios(deployment: DeploymentName, seconds: u64, seed: u64) -> Vec<Scenario> {
    let name = deployment.to_string();
    let base = |suffix: &str, load: f64| {
        let mut scenario = Scenario::named(&name, load).seconds(seconds).seed(seed);
        scenario.name = format!("{name}-{suffix}");
        scenario
    };
    let mut scenarios = Vec::new();
    for load in LOADS {
        scenarios.push(base(&format!("load-{load}"), load));
    }
    let mut quiet = base("quiet-then-all", 3.0);
    quiet.pattern = Pattern::QuietThenAll {
        from_s: seconds / 6,
    };
    scenarios.push(quiet);
    let mut burst = base("class-burst", 0.7);
    burst.pattern = Pattern::ClassBurst {
        class: match deployment {
            DeploymentName::Tuul => "ci-call".to_owned(),
            DeploymentName::Layette => "history-reading".to_owned(),
        },
        factor: 8.0,
        from_s: seconds / 4,
        to_s: seconds * 3 / 4,
    };
    scenarios.push(burst);
    let mut flood = base("account-flood", 0.6);
    flood.pattern = Pattern::AccountFlood {
        account: 5,
        factor: 20.0,
    };
    scenarios.push(flood);
    scenarios.push(base("stragglers", 0.8).fault(Fault::Stragglers {
        from_s: seconds / 4,
    }));
    let crash = Fault::Crash {
        engine: 7,
        at_s: seconds / 3,
    };
    scenarios.push(base("crash", 0.8).fault(crash));
    scenarios.push(base("zone-lost", 0.7).fault(Fault::ZoneLost { at_s: seconds / 3 }));
    scenarios.push(base("reports-stop", 0.9).fault(Fault::ReportsStop {
        from_s: seconds / 4,
    }));
    let mut returns = base("callers-return", 1.5);
    returns.callers_return = true;
    scenarios.push(returns);
    scenarios
}

fn write(folder: &PathBuf, summaries: &[Summary]) -> Result<(), Box<dyn Error>> {
    std::fs::create_dir_all(folder)?;
    std::fs::write(folder.join("summaries.json"), to_json(summaries))?;
    for deployment in DeploymentName::iter() {
        let prefix = format!("{deployment}-load-");
        let steady: Vec<Summary> = summaries
            .iter()
            .filter(|summary| summary.scenario.starts_with(&prefix))
            .cloned()
            .collect();
        if steady.is_empty() {
            continue;
        }
        let goodput = folder.join(format!("{deployment}-goodput.svg"));
        draw(&goodput, "goodput, tokens/s", &steady, |summary| {
            summary.goodput
        })?;
        let waste = folder.join(format!("{deployment}-waste.svg"));
        draw(
            &waste,
            "wasted part of computed tokens",
            &steady,
            |summary| summary.waste,
        )?;
        let top = folder.join(format!("{deployment}-top-tier.svg"));
        draw(&top, "attainment of the top tier", &steady, top_attainment)?;
    }
    Ok(())
}

fn top_attainment(summary: &Summary) -> f64 {
    let top = ["security-bump", "match-reply"];
    let found = top.iter().find_map(|name| summary.classes.get(*name));
    found.map_or(0.0, |class| class.attainment)
}
