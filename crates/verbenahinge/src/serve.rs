//! The `serve` process: its listeners, background tasks and shutdown sequence.

use std::cell::RefCell;
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use verbenahinge_core::config_log::ConfigLog;
use verbenahinge_core::gateway::max_connections;
use verbenahinge_core::membership::{VmEntry, VmState};
use verbenahinge_core::{Event, ServerName};
use verbenahinge_http::Server;

use crate::event_log::LogEvent;
use crate::platform::{ListedState, ListedVm};
use crate::settings::Settings;
use crate::shell::Shell;
use crate::supervisor::supervise;
use crate::{front, operator, peers};

/// Interval between requests for the platform's VM list.
const VM_LIST_INTERVAL: Duration = Duration::from_secs(1);

/// Interval between load requests; each one asks the next backend server in order of name.
const LOAD_POLL_INTERVAL: Duration = Duration::from_millis(500);

/// Interval between removals of the metric series of idle accounts.
const METRICS_CLEANUP_INTERVAL: Duration = Duration::from_mins(1);

/// Time that open connections have to close after the last request has ended.
const CLOSE_GRACE: Duration = Duration::from_millis(300);

/// Runs the router until it has been drained.
///
/// # Errors
///
/// Returns an error that names the address if a listener could not be opened.
pub(crate) async fn serve(settings: Settings) -> io::Result<()> {
    let listener = bind(settings.listen)?;
    let operator_listener = bind(settings.operator_listen)?;
    let peer_listener = bind(settings.peer_listen)?;
    let initial_config = Arc::clone(ConfigLog::new().in_force());
    let (handle, receiver) = peers::start(
        peer_listener,
        settings.peer_listen,
        settings.peer_key.clone(),
        initial_config,
    );
    let vm = rand::random();
    let shell = Shell::new(settings, vm, handle);
    LogEvent::Started.log(&[
        ("vm", &format!("{vm:016x}")),
        ("listen", &shell.settings.listen),
        ("operator_listen", &shell.settings.operator_listen),
    ]);
    let receiver = Rc::new(RefCell::new(Some(receiver)));
    spawn_task(&shell, "timers", Shell::run_timers);
    spawn_task(&shell, "peers", move |shell| {
        peers::receive_messages(shell, Rc::clone(&receiver))
    });
    spawn_task(&shell, "vm_list", poll_vm_list);
    spawn_task(&shell, "load", poll_load);
    spawn_task(&shell, "metrics", remove_idle_metrics);
    spawn_listener(&shell, "callers", listener, front::handle);
    spawn_listener(&shell, "operators", operator_listener, operator::handle);
    wait_for_shutdown(&shell).await;
    Ok(())
}

fn bind(address: SocketAddr) -> io::Result<TcpListener> {
    let with_address =
        |error: io::Error| io::Error::new(error.kind(), format!("{address}: {error}"));
    let listener = TcpListener::bind(address).map_err(with_address)?;
    listener.set_nonblocking(true)?;
    Ok(listener)
}

fn spawn_task<F, T>(shell: &Rc<Shell>, name: &'static str, task: F)
where
    F: Fn(Rc<Shell>) -> T + 'static,
    T: Future<Output = ()> + 'static,
{
    let shell = Rc::clone(shell);
    supervise(name, move || task(Rc::clone(&shell)));
}

fn spawn_listener<H, T>(shell: &Rc<Shell>, name: &'static str, listener: TcpListener, handler: H)
where
    H: Fn(Rc<Shell>, verbenahinge_http::HttpRequest) -> T + Copy + 'static,
    T: Future<Output = verbenahinge_http::HttpResponse> + 'static,
{
    let shell = Rc::clone(shell);
    supervise(name, move || {
        // The clone leaves the original open, so that the supervisor can restart the server.
        let listener = listener
            .try_clone()
            .and_then(tokio::net::TcpListener::from_std);
        let shell = Rc::clone(&shell);
        async move {
            match listener {
                Ok(listener) => {
                    let for_requests = Rc::clone(&shell);
                    let handler = move |request| handler(Rc::clone(&for_requests), request);
                    let max = max_connections(shell.settings.memory_mb, None);
                    let server = Server::new().max_connections(max);
                    server.run(listener, handler).await;
                }
                Err(error) => log::error!("cannot use the {name} listener: {error}"),
            }
        }
    });
}

/// Starts to drain on a termination signal and waits until the process has been drained, be it for
/// the signal or for an operator. Then gives connections [`CLOSE_GRACE`] to close.
async fn wait_for_shutdown(shell: &Rc<Shell>) {
    tokio::select! {
        () = termination_signal() => {
            LogEvent::Draining.log(&[("cause", &"signal")]);
            shell.handle(Event::Drain);
            shell.drained.notified().await;
        }
        () = shell.drained.notified() => {}
    }
    actix_rt::time::sleep(CLOSE_GRACE).await;
}

async fn termination_signal() {
    use tokio::signal::unix::{SignalKind, signal};
    let (Ok(mut terminate), Ok(mut interrupt)) = (
        signal(SignalKind::terminate()),
        signal(SignalKind::interrupt()),
    ) else {
        return std::future::pending().await;
    };
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
}

async fn remove_idle_metrics(shell: Rc<Shell>) {
    loop {
        actix_rt::time::sleep(METRICS_CLEANUP_INTERVAL).await;
        shell.metrics.remove_idle_accounts(shell.clock.now());
    }
}

async fn poll_vm_list(shell: Rc<Shell>) {
    loop {
        if let Some(list) = shell.platform.list_vms().await {
            shell.handle(Event::VmList(router_vms(&list)));
            shell.handle(Event::ServersLeaving(leaving_servers(&shell, &list)));
        }
        actix_rt::time::sleep(VM_LIST_INTERVAL).await;
    }
}

fn router_vms(list: &[ListedVm]) -> Vec<VmEntry> {
    let mut entries = Vec::new();
    for vm in list {
        if vm.backend {
            continue;
        }
        let state = match vm.state {
            ListedState::Live => VmState::Live,
            ListedState::Leaving => VmState::Leaving,
        };
        entries.push(VmEntry {
            address: vm.address,
            state,
        });
    }
    entries
}

fn leaving_servers(shell: &Shell, list: &[ListedVm]) -> Vec<ServerName> {
    let config = shell.config();
    let mut leaving = Vec::new();
    for pool in config.declaration.pools.values() {
        for (name, server) in &pool.servers {
            let listed = list.iter().find(|vm| vm.address == server.address);
            if listed.is_some_and(|vm| vm.state == ListedState::Leaving) {
                leaving.push(name.clone());
            }
        }
    }
    leaving
}

/// Requests the load of one backend server at a time, in a cycle over all of them.
async fn poll_load(shell: Rc<Shell>) {
    let mut last_polled: Option<ServerName> = None;
    loop {
        actix_rt::time::sleep(LOAD_POLL_INTERVAL).await;
        let config = shell.config();
        let servers = config
            .declaration
            .pools
            .values()
            .flat_map(|pool| &pool.servers);
        let mut next = None;
        let mut lowest = None;
        for (name, server) in servers {
            let candidate = (name.clone(), server.address);
            if last_polled.as_ref().is_none_or(|last| name > last)
                && next.as_ref().is_none_or(|(current, _)| name < current)
            {
                next = Some(candidate.clone());
            }
            if lowest.as_ref().is_none_or(|(current, _)| name < current) {
                lowest = Some(candidate);
            }
        }
        let Some((name, address)) = next.or(lowest) else {
            continue;
        };
        last_polled = Some(name.clone());
        let shell = Rc::clone(&shell);
        actix_rt::spawn(async move {
            if let Some(report) = shell.backend.fetch_load(name, address).await {
                shell.handle(Event::Report(report));
            }
        });
    }
}
