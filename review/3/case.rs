//! Two workers of one rack crash while each runs the same status request of one tenant. The request is sound; it
//! is served at once by other workers. Later ones are sent on a route that was added by a new config version.

#[path = "../kit.rs"]
mod kit;

use std::fs::File;
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::thread::{sleep, spawn};
use std::time::Duration;

use kit::{Folder, Gateway, Outcome, Plan, Record, Store};

/// `srv_crash` on tuul-depbot: share = 0.25; two of these are less.
const WORKERS: usize = 9;

/// `work_ms` of `alive-check`: 15 on average, up to 110.
const WORK: Duration = Duration::from_millis(15);

/// Work of the two runs that the crash meets.
const LONG_WORK: Duration = Duration::from_millis(100);

/// Requests on each route after the crash; the rule asks for 20 or more.
const REQUESTS: usize = 30;

/// Time between two requests.
const INTERVAL: Duration = Duration::from_millis(200);

/// Time that crashed workers are away: `for_s` of `srv_crash` is 2 to 4.5 s.
const DOWN: Duration = Duration::from_secs(3);

/// A worker process, which is killed at the end.
struct Worker {
    id: String,
    address: SocketAddr,
    child: Child,
}

impl Worker {
    fn start(
        id: &str,
        address: SocketAddr,
        folder: &Folder,
        runs: &Sender<(String, String)>,
    ) -> Result<Self, String> {
        let program = std::env::current_exe().map_err(|error| error.to_string())?;
        let mut child = Command::new(program)
            .args(["worker", &address.to_string()])
            .arg(&folder.0)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .spawn()
            .map_err(|error| error.to_string())?;
        let output = child.stdout.take().ok_or("a worker has no output")?;
        let mut lines = BufReader::new(output).lines();
        match lines.next() {
            Some(Ok(line)) if line == "listens" => {}
            _ => return Err("a worker did not start".to_owned()),
        }
        let (runs, worker) = (runs.clone(), id.to_owned());
        spawn(move || {
            for line in lines.map_while(Result::ok) {
                let _ = runs.send((worker.clone(), line));
            }
        });
        Ok(Self {
            id: id.to_owned(),
            address,
            child,
        })
    }

    fn crash(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    fn entry(&self) -> String {
        format!(
            r#"{{"service":"wuno96b","address":"{}","zone":"bayangol","version":"v1","slots":6,"state":"ready","cold_remaining_ms":0,"sequence":4}}"#,
            self.address
        )
    }
}

impl Drop for Worker {
    fn drop(&mut self) {
        self.crash();
    }
}

/// Whether no worker has run a request before that meets the crash.
fn is_first_run(folder: &Path, id: &str) -> bool {
    let mut options = File::options();
    let file = options.write(true).create_new(true).open(folder.join(id));
    id.starts_with("at-crash") && file.is_ok()
}

/// Runs requests, and names each on standard output when its run begins.
fn work(address: &str, folder: PathBuf) {
    let address: SocketAddr = address.parse().expect("an address");
    kit::serve(address, move |request, reader| {
        let id = request.header("x-request-id").unwrap_or("-").to_owned();
        println!("{id}");
        sleep(if is_first_run(&folder, &id) { LONG_WORK } else { WORK });
        let headers = [
            ("X-Request-Id", id.as_str()),
            ("X-Server-Signature", "3e1b.07.5a2.600.0.c9f2a4d1"),
        ];
        kit::respond(&mut reader.stream, "200 OK", &headers, b"alive")?;
        Ok(true)
    })
    .expect("a listener");
    println!("listens");
    // The process that started this one kills it.
    sleep(Duration::from_secs(120));
}

fn config(version: u32, has_status: bool) -> String {
    let status = r#",{"name":"r-alive-check","hostname":"ficu95.example","prefix":"/cufi504/","route_type":"safe","timeout_ms":800,"target_latency_ms":100,"priority":2,"service":"wuno96b","max_attempts":2,"public":false,"session_affinity":false,"stream_resume":false}"#;
    let status = if has_status { status } else { "" };
    format!(
        r#"{{"version":{version},"routes":[{{"name":"r-forge-ack","hostname":"ficu95.example","prefix":"/puxa403/","route_type":"unsafe","timeout_ms":800,"target_latency_ms":100,"priority":2,"service":"wuno96b","max_attempts":1,"public":false,"session_affinity":false,"stream_resume":false}}{status}],"services":[{{"name":"wuno96b","health_check_path":"/healthz","max_connections":110,"protocol":"h1","tls_enabled":false}}],"limits":{{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}},"tenants":[{{"name":"hule930","api_keys":["n2ctnfzs989anu6wsjnb"],"priority":1}}]}}"#
    )
}

fn send(record: &Record, frontend: SocketAddr, id: &str, line: &str, body: &str) -> u16 {
    let length = body.len();
    let request = format!(
        "{line} HTTP/1.1\r\nHost: ficu95.example\r\nX-Request-Id: {id}\r\nX-Deadline-Ms: 1500\r\nX-Credential: n2ctnfzs989anu6wsjnb\r\nContent-Length: {length}\r\n\r\n{body}"
    );
    let answer = kit::exchange(frontend, request.as_bytes(), Duration::from_secs(3));
    let status = answer.as_ref().map_or(0, kit::Message::status);
    let retry_after = answer.ok().and_then(|answer| answer.header("retry-after").map(str::to_owned));
    let retry_after = retry_after.map_or_else(String::new, |time| format!(" retry-after {time}"));
    record.note(&format!("answered {id} {status}{retry_after}"));
    status
}

fn status_request(record: &Record, frontend: SocketAddr, id: &str) -> u16 {
    send(record, frontend, id, "GET /cufi504/fi50/2f", "")
}

/// Workers that run the two status requests.
fn running_workers(runs: &Receiver<(String, String)>) -> Vec<String> {
    let mut workers = Vec::new();
    while workers.len() < 2 {
        match runs.recv_timeout(Duration::from_secs(1)) {
            Ok((worker, id)) if id.starts_with("at-crash") => workers.push(worker),
            Ok(_) => {}
            Err(_) => break,
        }
    }
    workers
}

fn case(record: &Record, folder: &Folder) -> Result<Outcome, String> {
    let text = |error: std::io::Error| error.to_string();
    let plan = Plan::new(2).map_err(text)?;
    let store = Store::start(plan.store).map_err(text)?;
    let (told, runs) = channel();
    let mut workers = Vec::new();
    for number in 0..WORKERS {
        let address = kit::free_address().map_err(text)?;
        let worker = Worker::start(&format!("i-{number}f3a91c2"), address, folder, &told)?;
        store.put("servers", &worker.id, &worker.entry());
        workers.push(worker);
    }
    store.put("op", "config", &config(7, false));
    let mut gateways = Vec::new();
    for (vm, zone) in [(1, "bayangol"), (2, "songino")] {
        gateways.push(Gateway::start(&plan, vm, zone, &folder.0).map_err(text)?);
    }
    for gateway in &gateways {
        gateway.wait_ready(Duration::from_secs(20)).map_err(text)?;
    }
    let frontends: Vec<_> = gateways.iter().map(|gateway| gateway.frontend).collect();
    sleep(Duration::from_secs(2));
    store.put("op", "config", &config(9, true));
    record.note("config 9 acknowledged: adds the route of status requests");
    sleep(Duration::from_secs(4));
    for (vm, &frontend) in frontends.iter().enumerate() {
        if status_request(record, frontend, &format!("before-{vm}")) != 200 {
            return Err("a status request was not served before the disruption".to_owned());
        }
    }
    sleep(Duration::from_secs(1));

    // Two clients of the tenant ask at the same time.
    let mut clients = Vec::new();
    for client in 0..2 {
        let (record, frontend) = (record.clone(), frontends[0]);
        clients.push(spawn(move || {
            status_request(&record, frontend, &format!("at-crash-{client}"))
        }));
    }
    let rack = running_workers(&runs);
    if rack.len() < 2 || rack[0] == rack[1] {
        return Err("the two requests did not run at two workers".to_owned());
    }
    if kit::has_trouble() {
        for worker in &mut workers {
            if rack.contains(&worker.id) {
                let _ = worker.child.kill();
            }
        }
        record.note(&format!("workers {} crash", rack.join(" and ")));
    }
    for client in clients {
        client.join().map_err(|_| "a client failed")?;
    }
    sleep(DOWN);
    if kit::has_trouble() {
        for worker in &mut workers {
            if !rack.contains(&worker.id) {
                continue;
            }
            let id = worker.id.replace("f3a91c2", "02d9e6b4");
            store.remove("servers", &worker.id);
            worker.crash();
            *worker = Worker::start(&id, worker.address, folder, &told)?;
            store.put("servers", &id, &worker.entry());
            record.note(&format!("worker {id} is back in place of a crashed one"));
        }
    }
    // `stable_window_ms` is 3,000.
    sleep(Duration::from_secs(5));

    let (mut first_served, mut added_served) = (0, 0);
    for number in 0..REQUESTS {
        let frontend = frontends[number % 2];
        let id = format!("first-{number}");
        let body = format!("event {number}");
        first_served += usize::from(send(record, frontend, &id, "POST /puxa403/2f", &body) == 200);
        let id = format!("added-{number}");
        added_served += usize::from(status_request(record, frontend, &id) == 200);
        sleep(INTERVAL);
    }
    record.note(&format!(
        "served {added_served} of {REQUESTS} on the added route, {first_served} of {REQUESTS} on the first one"
    ));
    Ok(if added_served * 4 < first_served {
        Outcome::Broken
    } else {
        Outcome::Held
    })
}

fn main() {
    let mut arguments = std::env::args().skip(1);
    if arguments.next().as_deref() == Some("worker") {
        let address = arguments.next().expect("an address");
        work(&address, arguments.next().expect("a folder").into());
        return;
    }
    kit::run_case(case);
}
