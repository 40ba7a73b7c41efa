//! Stand-ins for the platform's store, workers and clients, and the start of gateway processes.
//!
//! Uses the standard library only. All addresses are loopback addresses; everything ends with the process.
#![allow(dead_code)]

use std::collections::BTreeMap;
use std::fs::File;
use std::io::{self, Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
}

pub const SIGTERM: i32 = 15;
pub const SIGSTOP: i32 = 19;
pub const SIGCONT: i32 = 18;

/// What was sent, answered and run, by time since the start.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    started: Instant,
}

impl Record {
    pub fn create(path: &Path) -> io::Result<Self> {
        Ok(Self {
            file: Arc::new(Mutex::new(File::create(path)?)),
            started: Instant::now(),
        })
    }

    pub fn now_ms(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }

    pub fn note(&self, line: &str) {
        let line = format!("{:>7} ms {line}\n", self.now_ms());
        print!("{line}");
        let mut file = self.file.lock().unwrap();
        let _ = file.write_all(line.as_bytes());
    }
}

/// Head and body of a request or response.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// Request line or status line.
    pub first_line: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(key, _)| key == name);
        found.map(|(_, value)| value.as_str())
    }

    pub fn status(&self) -> u16 {
        let status = self.first_line.split(' ').nth(1);
        status.and_then(|text| text.parse().ok()).unwrap_or(0)
    }

    pub fn method(&self) -> &str {
        self.first_line.split(' ').next().unwrap_or("")
    }

    pub fn target(&self) -> &str {
        self.first_line.split(' ').nth(1).unwrap_or("")
    }
}

/// Bytes of a connection that were read and not used yet.
pub struct Reader {
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

impl Reader {
    pub fn new(stream: TcpStream) -> Self {
        Self {
            stream,
            buffer: Vec::new(),
        }
    }

    fn fill(&mut self) -> io::Result<()> {
        let mut bytes = [0; 16 << 10];
        let length = self.stream.read(&mut bytes)?;
        if length == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        self.buffer.extend_from_slice(&bytes[..length]);
        Ok(())
    }

    fn take_until(&mut self, end: &[u8]) -> io::Result<Vec<u8>> {
        loop {
            let at = self.buffer.windows(end.len()).position(|part| part == end);
            if let Some(at) = at {
                let rest = self.buffer.split_off(at + end.len());
                return Ok(std::mem::replace(&mut self.buffer, rest));
            }
            self.fill()?;
        }
    }

    fn take(&mut self, length: usize) -> io::Result<Vec<u8>> {
        while self.buffer.len() < length {
            self.fill()?;
        }
        let rest = self.buffer.split_off(length);
        Ok(std::mem::replace(&mut self.buffer, rest))
    }

    /// Reads a head; the body is read with [`Self::chunk`] or [`Self::message`].
    pub fn head(&mut self) -> io::Result<Message> {
        let bytes = self.take_until(b"\r\n\r\n")?;
        let text = String::from_utf8_lossy(&bytes).into_owned();
        let mut lines = text.split("\r\n");
        let mut message = Message {
            first_line: lines.next().unwrap_or("").to_owned(),
            ..Message::default()
        };
        for line in lines {
            if let Some((name, value)) = line.split_once(':') {
                let name = name.trim().to_ascii_lowercase();
                message.headers.push((name, value.trim().to_owned()));
            }
        }
        Ok(message)
    }

    /// Reads the next chunk of a chunked body; `None` at its end.
    pub fn chunk(&mut self) -> io::Result<Option<Vec<u8>>> {
        let line = self.take_until(b"\r\n")?;
        let text = String::from_utf8_lossy(&line).into_owned();
        let length = usize::from_str_radix(text.trim(), 16);
        let length = length.map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
        let bytes = self.take(length)?;
        self.take(2)?;
        Ok((length > 0).then_some(bytes))
    }

    /// Reads a head and its whole body.
    pub fn message(&mut self) -> io::Result<Message> {
        let mut message = self.head()?;
        if message.header("transfer-encoding").is_some() {
            while let Some(bytes) = self.chunk()? {
                message.body.extend_from_slice(&bytes);
            }
        } else if let Some(length) = message.header("content-length") {
            let length = length.parse().unwrap_or(0);
            message.body = self.take(length)?;
        }
        Ok(message)
    }

    /// Whether the other end has closed the connection, within a time.
    pub fn closes_within(&mut self, time: Duration) -> bool {
        let _ = self.stream.set_read_timeout(Some(time));
        let closed = match self.fill() {
            Ok(()) => false,
            Err(error) => !matches!(
                error.kind(),
                io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut
            ),
        };
        let _ = self.stream.set_read_timeout(None);
        closed
    }
}

/// Whether a connection serves further requests.
pub type KeepOpen = bool;

/// Serves connections, each in a thread.
pub fn serve<F>(address: SocketAddr, handle: F) -> io::Result<()>
where
    F: Fn(&Message, &mut Reader) -> io::Result<KeepOpen> + Send + Sync + 'static,
{
    let listener = TcpListener::bind(address)?;
    let handle = Arc::new(handle);
    thread::spawn(move || {
        for stream in listener.incoming() {
            let Ok(stream) = stream else { continue };
            let handle = Arc::clone(&handle);
            thread::spawn(move || {
                let _ = stream.set_nodelay(true);
                let mut reader = Reader::new(stream);
                while let Ok(request) = reader.message() {
                    match handle(&request, &mut reader) {
                        Ok(true) => {}
                        _ => break,
                    }
                }
            });
        }
    });
    Ok(())
}

pub fn respond(
    stream: &mut TcpStream,
    status: &str,
    headers: &[(&str, &str)],
    body: &[u8],
) -> io::Result<()> {
    let mut text = format!("HTTP/1.1 {status}\r\n");
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str(&format!("Content-Length: {}\r\n\r\n", body.len()));
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes)
}

#[derive(Clone)]
struct StoredRow {
    version: u64,
    /// `None` once the row is dropped.
    value: Option<String>,
}

#[derive(Default)]
struct Rows {
    version: u64,
    /// By table, part and key.
    rows: BTreeMap<(String, String, String), StoredRow>,
}

/// The platform's store: rows in tables, with a watch.
#[derive(Clone)]
pub struct Store {
    rows: Arc<(Mutex<Rows>, Condvar)>,
    started: Instant,
}

impl Store {
    pub fn start(address: SocketAddr) -> io::Result<Self> {
        let store = Self {
            rows: Arc::default(),
            started: Instant::now(),
        };
        let served = store.clone();
        serve(address, move |request, reader| {
            let (status, body) = served.answer(request);
            let headers = [("Content-Type", "application/json")];
            respond(&mut reader.stream, status, &headers, body.as_bytes())?;
            Ok(true)
        })?;
        Ok(store)
    }

    /// Writes a row and returns its version.
    pub fn put(&self, table: &str, key: &str, value: &str) -> u64 {
        let (rows, changed) = &*self.rows;
        let mut rows = rows.lock().unwrap();
        rows.version += 1;
        let row = StoredRow {
            version: rows.version,
            value: Some(base64(value.as_bytes())),
        };
        let name = (table.to_owned(), String::new(), key.to_owned());
        rows.rows.insert(name, row);
        changed.notify_all();
        rows.version
    }

    /// Drops a row.
    pub fn remove(&self, table: &str, key: &str) {
        let (rows, changed) = &*self.rows;
        let mut rows = rows.lock().unwrap();
        rows.version += 1;
        let version = rows.version;
        let name = (table.to_owned(), String::new(), key.to_owned());
        rows.rows.insert(name, StoredRow { version, value: None });
        changed.notify_all();
    }

    fn answer(&self, request: &Message) -> (&'static str, String) {
        let (path, query) = request.target().split_once('?').unwrap_or((request.target(), ""));
        let query: BTreeMap<String, String> = query
            .split('&')
            .filter_map(|part| part.split_once('='))
            .map(|(name, value)| (name.to_owned(), percent_decode(value)))
            .collect();
        let text = |name: &str| query.get(name).cloned().unwrap_or_default();
        match path {
            "/rows-get" => ("200 OK", self.get(&text("table"), &text("part"), &text("from"))),
            "/rows-feed" => {
                let since = text("since_revision").parse().unwrap_or(0);
                let wait = Duration::from_millis(text("wait_ms").parse().unwrap_or(0));
                ("200 OK", self.feed(&text("table"), since, wait))
            }
            "/rows-tx" => self.transact(&request.body),
            _ => ("404 Not Found", "{}".to_owned()),
        }
    }

    fn times(&self, rows: &Rows) -> String {
        let now_ms = self.started.elapsed().as_millis();
        format!("\"ver\":{},\"now_ms\":{now_ms}", rows.version)
    }

    fn get(&self, table: &str, part: &str, from: &str) -> String {
        let rows = self.rows.0.lock().unwrap();
        let mut found = Vec::new();
        for ((row_table, row_part, key), row) in &rows.rows {
            let matches = row_table == table && row_part == part && key.as_str() >= from;
            if matches && row.value.is_some() {
                found.push(row_json(row_table, row_part, key, row));
            }
        }
        let times = self.times(&rows);
        format!("{{\"rows\":[{}],\"has_more\":false,{times}}}", found.join(","))
    }

    fn feed(&self, table: &str, since: u64, wait: Duration) -> String {
        let (rows, changed) = &*self.rows;
        let deadline = Instant::now() + wait;
        let mut rows = rows.lock().unwrap();
        loop {
            let mut found: Vec<_> = rows
                .rows
                .iter()
                .filter(|((row_table, ..), row)| row_table == table && row.version > since)
                .collect();
            found.sort_by_key(|(_, row)| row.version);
            let left = deadline.saturating_duration_since(Instant::now());
            if !found.is_empty() || left.is_zero() {
                let found: Vec<_> = found
                    .into_iter()
                    .map(|((table, part, key), row)| row_json(table, part, key, row))
                    .collect();
                return format!("{{\"rows\":[{}],{}}}", found.join(","), self.times(&rows));
            }
            rows = changed.wait_timeout(rows, left).unwrap().0;
        }
    }

    fn transact(&self, body: &[u8]) -> (&'static str, String) {
        let Some(json) = Json::parse(&String::from_utf8_lossy(body)) else {
            return ("400 Bad Request", "{}".to_owned());
        };
        let name = |row: &Json| {
            let part = row.text("part").unwrap_or_default();
            (row.text("table").unwrap_or_default(), part, row.text("key").unwrap_or_default())
        };
        let (rows, changed) = &*self.rows;
        let mut rows = rows.lock().unwrap();
        let mut current = Vec::new();
        let mut holds = true;
        for condition in json.list("expected_revision") {
            let name = name(condition);
            let row = rows.rows.get(&name).filter(|row| row.value.is_some());
            let version = row.map_or(0, |row| row.version);
            holds &= version == condition.number("ver").unwrap_or(0);
            if let Some(row) = row {
                current.push(row_json(&name.0, &name.1, &name.2, row));
            }
        }
        if !holds {
            let times = self.times(&rows);
            let body = format!("{{\"rows\":[{}],{times}}}", current.join(","));
            return ("412 Precondition Failed", body);
        }
        rows.version += 1;
        let version = rows.version;
        for row in json.list("put") {
            let value = Some(row.text("value").unwrap_or_default());
            rows.rows.insert(name(row), StoredRow { version, value });
        }
        for row in json.list("remove") {
            rows.rows.insert(name(row), StoredRow { version, value: None });
        }
        changed.notify_all();
        ("200 OK", format!("{{{}}}", self.times(&rows)))
    }
}

fn row_json(table: &str, part: &str, key: &str, row: &StoredRow) -> String {
    let version = row.version;
    let value = match &row.value {
        Some(value) => format!("\"value\":\"{value}\""),
        None => "\"tombstone\":true".to_owned(),
    };
    format!("{{\"table\":\"{table}\",\"part\":\"{part}\",\"key\":\"{key}\",{value},\"ver\":{version}}}")
}

fn percent_decode(text: &str) -> String {
    let mut bytes = Vec::new();
    let mut rest = text.as_bytes();
    while let Some((&byte, tail)) = rest.split_first() {
        rest = tail;
        if byte == b'%' && rest.len() >= 2 {
            let digits = std::str::from_utf8(&rest[..2]).unwrap_or("0");
            bytes.push(u8::from_str_radix(digits, 16).unwrap_or(0));
            rest = &rest[2..];
        } else {
            bytes.push(byte);
        }
    }
    String::from_utf8_lossy(&bytes).into_owned()
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for group in bytes.chunks(3) {
        let byte = |index: usize| u32::from(group.get(index).copied().unwrap_or(0));
        let bits = byte(0) << 16 | byte(1) << 8 | byte(2);
        for index in 0..4 {
            if index <= group.len() {
                let digit = bits >> (18 - 6 * index) & 63;
                text.push(char::from(DIGITS[digit as usize]));
            } else {
                text.push('=');
            }
        }
    }
    text
}

/// JSON, as far as bodies of writes need it.
enum Json {
    Text(String),
    Number(f64),
    List(Vec<Json>),
    Object(BTreeMap<String, Json>),
    Other,
}

impl Json {
    fn parse(text: &str) -> Option<Self> {
        let bytes: Vec<char> = text.chars().collect();
        Self::value(&bytes, &mut 0)
    }

    fn space(text: &[char], at: &mut usize) -> Option<char> {
        while text.get(*at)?.is_whitespace() {
            *at += 1;
        }
        text.get(*at).copied()
    }

    fn value(text: &[char], at: &mut usize) -> Option<Self> {
        match Self::space(text, at)? {
            '"' => Some(Self::Text(Self::string(text, at)?)),
            '[' => {
                *at += 1;
                let mut list = Vec::new();
                while Self::space(text, at)? != ']' {
                    list.push(Self::value(text, at)?);
                    if Self::space(text, at)? == ',' {
                        *at += 1;
                    }
                }
                *at += 1;
                Some(Self::List(list))
            }
            '{' => {
                *at += 1;
                let mut object = BTreeMap::new();
                while Self::space(text, at)? != '}' {
                    let name = Self::string(text, at)?;
                    Self::space(text, at)?;
                    *at += 1;
                    object.insert(name, Self::value(text, at)?);
                    if Self::space(text, at)? == ',' {
                        *at += 1;
                    }
                }
                *at += 1;
                Some(Self::Object(object))
            }
            _ => {
                let start = *at;
                while text.get(*at).is_some_and(|one| !",]} \n\r\t".contains(*one)) {
                    *at += 1;
                }
                let word: String = text[start..*at].iter().collect();
                Some(word.parse().map_or(Self::Other, Self::Number))
            }
        }
    }

    fn string(text: &[char], at: &mut usize) -> Option<String> {
        *at += 1;
        let mut found = String::new();
        loop {
            let one = *text.get(*at)?;
            *at += 1;
            match one {
                '"' => return Some(found),
                '\\' => {
                    found.push(*text.get(*at)?);
                    *at += 1;
                }
                other => found.push(other),
            }
        }
    }

    fn field(&self, name: &str) -> Option<&Self> {
        match self {
            Self::Object(object) => object.get(name),
            _ => None,
        }
    }

    fn text(&self, name: &str) -> Option<String> {
        match self.field(name)? {
            Self::Text(text) => Some(text.clone()),
            _ => None,
        }
    }

    fn number(&self, name: &str) -> Option<u64> {
        match self.field(name)? {
            Self::Number(number) => Some(*number as u64),
            _ => None,
        }
    }

    fn list(&self, name: &str) -> &[Self] {
        match self.field(name) {
            Some(Self::List(list)) => list,
            _ => &[],
        }
    }
}

/// Addresses of the VMs of a day; the ports are the same on all of them.
pub struct Plan {
    pub store: SocketAddr,
    vm_ports: Vec<u16>,
}

impl Plan {
    /// Finds free ports.
    pub fn new(vms: u8) -> io::Result<Self> {
        let mut ports = Vec::new();
        while ports.len() < 4 {
            let port = TcpListener::bind("127.0.0.1:0")?.local_addr()?.port();
            let is_free = (1..=vms).all(|vm| {
                TcpListener::bind((vm_ip(vm), port)).is_ok()
                    && UdpSocket::bind((vm_ip(vm), port)).is_ok()
            });
            if is_free && !ports.contains(&port) {
                ports.push(port);
            }
        }
        Ok(Self {
            store: free_address()?,
            vm_ports: ports,
        })
    }

    pub fn frontend(&self, vm: u8) -> SocketAddr {
        SocketAddr::from((vm_ip(vm), self.vm_ports[0]))
    }

    pub fn ready(&self, vm: u8) -> SocketAddr {
        SocketAddr::from((vm_ip(vm), self.vm_ports[1]))
    }

    fn control(&self, vm: u8) -> SocketAddr {
        SocketAddr::from((vm_ip(vm), self.vm_ports[2]))
    }

    /// Settings of a VM, with the bounds of the sheet of Tuul Co-operative.
    fn settings(&self, vm: u8, zone: &str) -> String {
        let [peer_port, store] = [self.vm_ports[3].to_string(), self.store.to_string()];
        let lines = [
            format!("node_name=edge-{zone}-{vm}"),
            "role=gateway".to_owned(),
            "machine_class=edge".to_owned(),
            "serves=edge,control".to_owned(),
            format!("ip={}", vm_ip(vm)),
            format!("zone={zone}"),
            "region=ub-metro".to_owned(),
            format!("listen.frontend={}", self.frontend(vm)),
            format!("listen.ready={}", self.ready(vm)),
            format!("listen.control_plane={}", self.control(vm)),
            format!("port_range={peer_port},{peer_port}"),
            format!("seed_nodes={}", self.control(1)),
            "bootstrap=true".to_owned(),
            "counts_as_loss=false".to_owned(),
            "limits.cpu_quota=0.25".to_owned(),
            "limits.cpu_cores=1".to_owned(),
            "limits.memory_mb=260".to_owned(),
            "limits.max_fds=4100".to_owned(),
            "limits.link_mbps=1000.0".to_owned(),
            "limits.disk_mb=0".to_owned(),
            "discovery=platform".to_owned(),
            "entry_type=vip".to_owned(),
            "heartbeat_ms=1200".to_owned(),
            "contracts=base,drain,config,cost,retry,recover,engine,stream,tenants,platform".to_owned(),
            "bounds.seed_lag_s=3".to_owned(),
            "bounds.reuse_after_s=2".to_owned(),
            "bounds.stable_window_ms=3000".to_owned(),
            "bounds.ack_ms=4000".to_owned(),
            "bounds.catch_up_s=4".to_owned(),
            "bounds.drain_ms=2000".to_owned(),
            "bounds.grace_s=8".to_owned(),
            "bounds.loss_slack_ms=200".to_owned(),
            "bounds.config_apply_ms=2000".to_owned(),
            "bounds.rollback_slack_ms=250".to_owned(),
            "bounds.skew_max_ms=5000".to_owned(),
            "bounds.revoke_strict=false".to_owned(),
            "bounds.revoke_ms=5000".to_owned(),
            "bounds.retry_budget_ratio=0.2".to_owned(),
            "bounds.budget_window_s=10".to_owned(),
            "bounds.retry_slack=58".to_owned(),
            "bounds.recover_s=12".to_owned(),
            "bounds.pass_ms=120".to_owned(),
            "bounds.reuse_window_s=10".to_owned(),
            format!("platform.address={store}"),
            "platform.form=table".to_owned(),
            "platform.writes_per_s=400".to_owned(),
            "platform.reads_per_s=2000".to_owned(),
            "platform.tx_ms=5.0".to_owned(),
            "platform.part_writes_s=200".to_owned(),
            "platform.row_bytes=65536".to_owned(),
            "platform.across=false".to_owned(),
            "platform.history_s=20".to_owned(),
        ];
        lines.join("\n") + "\n"
    }
}

fn vm_ip(vm: u8) -> Ipv4Addr {
    Ipv4Addr::new(127, 0, 10, vm)
}

/// A free address for a stand-in.
pub fn free_address() -> io::Result<SocketAddr> {
    TcpListener::bind("127.0.0.1:0")?.local_addr()
}

/// A process of the deploy file, killed at the end.
pub struct Gateway {
    child: Child,
    pub frontend: SocketAddr,
    ready: SocketAddr,
}

impl Gateway {
    /// Starts `target/release/verbenahinge gateway` with its settings file.
    pub fn start(plan: &Plan, vm: u8, zone: &str, folder: &Path) -> io::Result<Self> {
        let settings = folder.join(format!("vm{vm}.conf"));
        std::fs::write(&settings, plan.settings(vm, zone))?;
        let log = File::create(folder.join(format!("vm{vm}.log")))?;
        let child = Command::new("target/release/verbenahinge")
            .arg("gateway")
            .env_clear()
            .env("PATH", std::env::var_os("PATH").unwrap_or_default())
            .env("VERBENAHINGE_NODE_FILE", &settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        Ok(Self {
            child,
            frontend: plan.frontend(vm),
            ready: plan.ready(vm),
        })
    }

    /// Waits until the process says that it is ready.
    pub fn wait_ready(&self, time: Duration) -> io::Result<()> {
        let deadline = Instant::now() + time;
        while Instant::now() < deadline {
            let request = "GET /readyz HTTP/1.1\r\nHost: ready\r\n\r\n";
            let answer = exchange(self.ready, request.as_bytes(), Duration::from_secs(1));
            if answer.is_ok_and(|answer| answer.status() == 200) {
                return Ok(());
            }
            thread::sleep(Duration::from_millis(50));
        }
        Err(io::Error::other("the gateway did not become ready"))
    }

    pub fn signal(&self, signal: i32) {
        // SAFETY: `kill` takes plain numbers; the process is a child that was not waited for.
        unsafe { kill(self.child.id() as i32, signal) };
    }

    /// Whether the process has ended.
    pub fn has_ended(&mut self) -> bool {
        self.child.try_wait().is_ok_and(|status| status.is_some())
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Sends bytes on a new connection and reads one whole answer.
pub fn exchange(address: SocketAddr, request: &[u8], timeout: Duration) -> io::Result<Message> {
    let mut stream = TcpStream::connect_timeout(&address, timeout)?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(timeout))?;
    stream.write_all(request)?;
    Reader::new(stream).message()
}

/// Folder for settings and logs, removed at the end.
pub struct Folder(pub PathBuf);

impl Folder {
    pub fn create() -> io::Result<Self> {
        let name = format!("verbenahinge-review-{}", std::process::id());
        let path = std::env::temp_dir().join(name);
        std::fs::create_dir_all(&path)?;
        Ok(Self(path))
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        if std::env::var_os("KEEP_LOGS").is_none() {
            let _ = std::fs::remove_dir_all(&self.0);
        }
    }
}

/// Whether the disruption takes place, by the second argument; `run.sh` sets it by `TROUBLE`.
pub fn has_trouble() -> bool {
    std::env::args().nth(2).as_deref() != Some("without")
}

/// What a case found.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Outcome {
    Held,
    Broken,
}

/// Runs a case and exits with 0 if the rule held, 1 if it was broken and 2 if the case could not run.
pub fn run_case(case: fn(&Record, &Folder) -> Result<Outcome, String>) -> ! {
    let path = std::env::args().nth(1).unwrap_or_else(|| "record.txt".to_owned());
    let result = Record::create(Path::new(&path))
        .map_err(|error| error.to_string())
        .and_then(|record| {
            let folder = Folder::create().map_err(|error| error.to_string())?;
            let run = AssertUnwindSafe(|| case(&record, &folder));
            let outcome = catch_unwind(run).unwrap_or_else(|_| Err("the case panicked".to_owned()));
            match &outcome {
                Ok(outcome) => {
                    let disruption = if has_trouble() { "with" } else { "without" };
                    record.note(&format!("outcome {disruption} the disruption: {outcome:?}"));
                }
                Err(error) => record.note(&format!("could not run: {error}")),
            }
            outcome
        });
    std::process::exit(match result {
        Ok(Outcome::Held) => 0,
        Ok(Outcome::Broken) => 1,
        Err(_) => 2,
    });
}
