//! Checks that a test can listen on an address from `free_address` while other processes are being
//! started. Between fork and exec, a child process holds a copy of each socket that probes whether
//! an address is free; the copy would keep that address in use.

use std::net::{TcpListener, UdpSocket};
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

use verbenahinge_testkit::{Process, free_address};

const BIN: &str = env!("CARGO_BIN_EXE_verbenahinge");

/// Number of processes that are started one after another.
const PROCESS_STARTS: usize = 60;

/// Maximum number of addresses that each thread requests. All threads together request fewer than
/// there are ports, so that no address is returned twice.
const MAX_ADDRESSES: usize = 7_000;

/// Time between two addresses that a thread requests.
const REQUEST_INTERVAL: Duration = Duration::from_micros(200);

#[test]
fn bind_during_starts() {
    let starts_done = AtomicBool::new(false);
    let bind_errors = thread::scope(|scope| {
        let binding_threads: Vec<_> = (0..2)
            .map(|_| {
                scope.spawn(|| {
                    let mut bind_errors = Vec::new();
                    for _ in 0..MAX_ADDRESSES {
                        if starts_done.load(Ordering::Relaxed) {
                            break;
                        }
                        thread::sleep(REQUEST_INTERVAL);
                        let address = free_address();
                        if let Err(error) = TcpListener::bind(address) {
                            bind_errors.push((address, error));
                        }
                    }
                    bind_errors
                })
            })
            .collect();
        for _ in 0..PROCESS_STARTS {
            let address = free_address();
            let args = ["emulate", "service", "--listen", &address.to_string()].map(str::to_owned);
            drop(Process::start(BIN, &args, address));
        }
        starts_done.store(true, Ordering::Relaxed);
        let bind_errors = binding_threads
            .into_iter()
            .map(|handle| handle.join().expect("the thread did not panic"));
        bind_errors.flatten().collect::<Vec<_>>()
    });
    assert!(bind_errors.is_empty(), "{bind_errors:?}");
}

/// Guards against two test processes that are given the same address.
#[test]
fn addresses_are_reserved() {
    let address = free_address();
    assert!(UdpSocket::bind(address).is_err());
    assert!(TcpListener::bind(address).is_ok());
    // What another test process does first is the same as here.
    assert_ne!(free_address(), address);
}
