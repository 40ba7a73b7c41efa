//! The gateway: forwards HTTP requests to backend servers that register themselves.
//!
//! This is the mode for a platform that provides a store and a settings file for each VM. Operators
//! declare routes and client accounts in the store. `verbenahinge-platform` implements the formats
//! and protocols of the platform, and `verbenahinge_core::gateway` makes all decisions. See
//! `docs/design/platform.md`.

mod accept;
mod attempt;
mod attempt_race;
mod caller_body;
mod caller_limits;
mod caller_stream;
mod callers;
mod connection_activity;
mod connection_pool;
mod control;
mod crash_check;
mod crash_store;
mod duties;
mod event_splitter;
mod framing_limit;
mod frontend;
mod metrics;
mod peer_message;
mod peer_relay;
mod peers;
mod reach;
mod read_first_timer;
mod reject_reason;
mod relay;
mod request_handler;
mod response;
mod response_memory;
mod scaling;
mod server_stream;
mod shutdown;
mod software_store;
mod stream_moves;
mod stream_store;
mod table_body;
mod thread_holds;
mod usage;
mod watch;

use std::cell::{Cell, RefCell};
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;

use tokio::net::TcpListener;
use tokio::sync::Notify;
use verbenahinge_core::Timestamp;
use verbenahinge_core::gateway::{EvenLoadMode, Feed, GatewayState, ServerReach};
use verbenahinge_platform::node_file::VmSettings;
use verbenahinge_platform::store::StoreClient;

use self::caller_limits::LimitsFeed;
use self::callers::Callers;
use self::connection_pool::ConnectionPool;
use self::crash_check::{BlameSource, CrashChecks};
use self::crash_store::CrashStore;
use self::duties::Duties;
use self::frontend::Ingress;
use self::metrics::GatewayMetrics;
use self::peers::Peers;
use self::software_store::SoftwareStore;
use self::stream_moves::StreamMover;
use self::stream_store::StreamStore;
use self::thread_holds::ThreadHolds;
use self::usage::Usage;
use self::watch::Replicas;
use crate::clock::Clock;
use crate::event_log::LogEvent;
use crate::supervisor::supervise;

/// Time between two passes that drop expired state.
const EXPIRY_INTERVAL: Duration = Duration::from_millis(250);

/// Time between two reads of the settings file, which may change without a signal.
const SETTINGS_POLL_INTERVAL: Duration = Duration::from_secs(5);

/// State shared by all tasks of a gateway process.
pub(crate) struct Gateway {
    pub(crate) settings: RefCell<VmSettings>,
    settings_path: PathBuf,
    pub(crate) clock: Clock,
    pub(crate) state: RefCell<GatewayState>,
    pub(crate) caller_limits: LimitsFeed,
    pub(crate) connections: Rc<ConnectionPool>,
    pub(crate) reach: RefCell<ServerReach>,
    pub(crate) metrics: GatewayMetrics,
    pub(crate) peers: Peers,
    pub(crate) replicas: Replicas,
    pub(crate) crash_checks: CrashChecks,
    pub(crate) crash_store: CrashStore,
    pub(crate) software_store: SoftwareStore,
    pub(crate) stream_mover: StreamMover,
    pub(crate) stream_store: StreamStore,
    pub(crate) duties: Duties,
    pub(crate) usage: Usage,
    pub(crate) callers: Callers,
    pub(crate) thread_holds: ThreadHolds,
    pub(crate) is_draining: Cell<bool>,
    pub(crate) requests_in_flight: Cell<usize>,
    /// Whether new requests are refused, because the process may exit before they complete.
    pub(crate) is_closing: Cell<bool>,
    pub(crate) close_notify: Notify,
    /// Whether requests without a response get their final one, because the process is about to exit.
    pub(crate) is_ending: Cell<bool>,
    pub(crate) end_notify: Notify,
    pub(crate) open_caller_connections: Cell<usize>,
    last_call_id: Cell<u64>,
}

impl Gateway {
    /// Current Unix time by the process's [`Clock`].
    pub(crate) fn now(&self) -> Timestamp {
        self.clock.now()
    }

    /// Returns the earliest time at which bytes that are read now may have arrived.
    pub(crate) fn arrival_time(&self) -> Timestamp {
        self.thread_holds.arrival_time(self.now())
    }

    /// Sets the address of the store that the settings in use name.
    pub(crate) fn update_store_address(&self, store: &mut StoreClient) {
        store.set_address(self.settings.borrow().store);
    }

    fn new_call_id(&self) -> u64 {
        let id = self.last_call_id.get() + 1;
        self.last_call_id.set(id);
        id
    }
}

/// Reads the settings file of the VM.
///
/// # Errors
///
/// Returns every problem with the file.
pub(crate) fn read_settings(path: &std::path::Path) -> Result<VmSettings, Vec<String>> {
    let text = std::fs::read_to_string(path)
        .map_err(|error| vec![format!("{}: {error}", path.display())])?;
    VmSettings::parse(&text).map_err(|problems| {
        let with_path = |problem: String| format!("{}: {problem}", path.display());
        problems.into_iter().map(with_path).collect()
    })
}

/// Serves requests until the process receives a termination signal and has shut down gracefully.
///
/// # Errors
///
/// Returns an error if a listener or the peer socket cannot be bound.
pub(crate) async fn serve(
    settings: VmSettings,
    settings_path: PathBuf,
    even_load: EvenLoadMode,
) -> io::Result<()> {
    let listener = bind(settings.listen).await?;
    let ready_listener = bind(settings.ready_listen).await?;
    let control_listener = match settings.control_listen {
        Some(address) => Some(bind(address).await?),
        None => None,
    };
    // Other VMs hand requests over on the TCP port of the same number as that of their messages.
    let ip = settings.ip;
    let peer_listener = bind(SocketAddr::new(ip, settings.peer_port)).await?;
    let vm = rand::random();
    let mut state = GatewayState::new(vm, settings.availability_zone.clone(), settings.bounds);
    state.set_even_load(even_load);
    if settings.is_first_start {
        state.mark_first_start();
    }
    let callers = Callers::new(settings.memory_mb, settings.max_fds);
    let clock = Clock::new();
    let peers = Peers::bind(clock.now(), &settings).await?;
    let duties = Duties::new(clock.now(), vm, &settings);
    LogEvent::Started.log(&[
        ("vm", &format!("{vm:016x}")),
        ("listen", &settings.listen),
        ("operator_listen", &settings.ready_listen),
        ("name", &settings.name),
        ("store", &settings.store),
        ("first_start", &settings.is_first_start),
        ("even_load", &even_load),
    ]);
    let gateway = Rc::new(Gateway {
        settings: RefCell::new(settings),
        settings_path,
        clock,
        state: RefCell::new(state),
        caller_limits: LimitsFeed::new(),
        connections: Rc::new(ConnectionPool::new(ip)),
        reach: RefCell::default(),
        metrics: GatewayMetrics::new(),
        peers,
        replicas: Replicas::new(),
        crash_checks: CrashChecks::default(),
        crash_store: CrashStore::new(),
        software_store: SoftwareStore::default(),
        stream_mover: StreamMover::default(),
        stream_store: StreamStore::default(),
        duties,
        usage: Usage::new(vm),
        callers,
        thread_holds: ThreadHolds::default(),
        is_draining: Cell::new(false),
        requests_in_flight: Cell::new(0),
        is_closing: Cell::new(false),
        close_notify: Notify::new(),
        is_ending: Cell::new(false),
        end_notify: Notify::new(),
        open_caller_connections: Cell::new(0),
        last_call_id: Cell::new(0),
    });
    spawn_task(&gateway, "config", |gateway| {
        watch::watch_feed(gateway, Feed::Config)
    });
    spawn_task(&gateway, "registry", |gateway| {
        watch::watch_feed(gateway, Feed::Servers)
    });
    spawn_task(&gateway, "config_news", |gateway| {
        watch::catch_up(gateway, Feed::Config)
    });
    spawn_task(&gateway, "registry_news", |gateway| {
        watch::catch_up(gateway, Feed::Servers)
    });
    spawn_task(&gateway, "newer_config", watch::catch_up_config);
    spawn_task(&gateway, "crash_records", crash_store::sync_records);
    spawn_task(&gateway, "software", software_store::sync_software);
    spawn_task(&gateway, "streams", stream_store::write_streams);
    spawn_task(&gateway, "stream_moves", stream_moves::plan_moves);
    spawn_duties(&gateway);
    spawn_task(&gateway, "membership", watch::discover_vms);
    spawn_task(&gateway, "digests_in", peers::receive_messages);
    spawn_task(&gateway, "digests_out", peers::send_digests);
    spawn_task(&gateway, "expiry", drop_expired);
    spawn_task(&gateway, "settings", watch_settings);
    let listener = Rc::new(listener);
    spawn_task(&gateway, "callers", move |gateway| {
        accept::run(gateway, Rc::clone(&listener), Ingress::Callers)
    });
    let peer_listener = Rc::new(peer_listener);
    spawn_task(&gateway, "relayed", move |gateway| {
        accept::run(gateway, Rc::clone(&peer_listener), Ingress::Peers)
    });
    let ready_listener = Rc::new(ready_listener);
    spawn_task(&gateway, "ready", move |gateway| {
        control::run(gateway, Rc::clone(&ready_listener), control::READY_BOUNDS)
    });
    if let Some(listener) = control_listener.map(Rc::new) {
        spawn_task(&gateway, "control", move |gateway| {
            control::run(gateway, Rc::clone(&listener), control::CONTROL_BOUNDS)
        });
    }
    shutdown::run(&gateway).await;
    Ok(())
}

/// Spawns the tasks of the calls that one VM makes for the whole deployment, if it has any.
fn spawn_duties(gateway: &Rc<Gateway>) {
    if !gateway.duties.are_on() {
        return;
    }
    spawn_task(gateway, "lease", duties::keep_lease);
    spawn_task(gateway, "usage", usage::tell_counts);
    spawn_task(gateway, "usage_sums", usage::keep_ledger);
    spawn_task(gateway, "usage_reports", usage::send_reports);
    spawn_task(gateway, "orders", scaling::order_workers);
}

async fn bind(address: SocketAddr) -> io::Result<TcpListener> {
    TcpListener::bind(address)
        .await
        .map_err(|error| io::Error::new(error.kind(), format!("{address}: {error}")))
}

fn spawn_task<F, T>(gateway: &Rc<Gateway>, name: &'static str, task: F)
where
    F: Fn(Rc<Gateway>) -> T + 'static,
    T: Future<Output = ()> + 'static,
{
    let gateway = Rc::clone(gateway);
    supervise(name, move || {
        let task = task(Rc::clone(&gateway));
        thread_holds::measure_polls(Rc::clone(&gateway), name, task)
    });
}

/// Periodically drops expired state and connections.
async fn drop_expired(gateway: Rc<Gateway>) {
    loop {
        // Missing entries expire on time, since their servers must be unused from then on.
        let next_expiry = gateway.state.borrow().registry().next_expiry();
        let pause = next_expiry.map_or(EXPIRY_INTERVAL, |at| at.saturating_sub(gateway.now()));
        actix_rt::time::sleep(pause.min(EXPIRY_INTERVAL)).await;
        // VMs that don't watch the store hear of a new era from others.
        if gateway.peers.is_registered() {
            watch::renew_rows(&gateway);
        }
        let now = gateway.now();
        let lost_after = gateway.peers.lost_after();
        let expired = gateway.state.borrow_mut().tick(now, lost_after);
        gateway.callers.tick(&gateway);
        crash_check::update_blame(&gateway, BlameSource::Other);
        gateway
            .replicas
            .with(Feed::Servers, |replica| replica.confirm_removed(&expired));
        for server in expired {
            LogEvent::ServerListed.log(&[("server", &server), ("change", &"lapsed")]);
        }
        let has_stream_news = gateway.state.borrow().stream_origins().has_untold();
        if has_stream_news {
            peers::push_streams(&gateway);
        }
        let state = gateway.state.borrow();
        gateway.metrics.set_balance(state.busiest_over_mean());
        gateway
            .connections
            .remove_stale(|server| state.registry().get(server).is_some());
    }
}

/// Reloads the settings on SIGHUP, or when a periodic read finds the file changed.
async fn watch_settings(gateway: Rc<Gateway>) {
    use tokio::signal::unix::{SignalKind, signal};
    let mut hangup = match signal(SignalKind::hangup()) {
        Ok(hangup) => hangup,
        Err(error) => {
            log::error!("failed to install the SIGHUP handler: {error}");
            return std::future::pending().await;
        }
    };
    loop {
        let cause = tokio::select! {
            _ = hangup.recv() => "signal",
            () = actix_rt::time::sleep(SETTINGS_POLL_INTERVAL) => "interval",
        };
        match read_settings(&gateway.settings_path) {
            Ok(settings) => {
                if *gateway.settings.borrow() != settings || cause == "signal" {
                    LogEvent::Reloaded.log(&[
                        ("cause", &cause),
                        ("bounds", &format!("{:?}", settings.bounds)),
                    ]);
                    gateway.state.borrow_mut().set_bounds(settings.bounds);
                    gateway.settings.replace(settings);
                }
            }
            Err(problems) => {
                LogEvent::ReloadFailed
                    .log(&[("cause", &cause), ("problems", &problems.join("; "))]);
            }
        }
    }
}
