//! An address given to a test can be listened at, also while processes are started beside it.

use std::net::TcpListener;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

use verbenahinge_testkit::{Process, free_address};

const BIN: &str = env!("CARGO_BIN_EXE_verbenahinge");

/// Processes that are started one after another.
const STARTS: usize = 60;

/// Addresses that each thread takes at most; together fewer than there are, so that none returns.
const TAKES: usize = 7_000;

/// Time between two of them.
const PAUSE: Duration = Duration::from_micros(200);

#[test]
fn taken_beside_starts() {
    let started = AtomicBool::new(false);
    let refused = thread::scope(|scope| {
        let takers: Vec<_> = (0..2)
            .map(|_| {
                scope.spawn(|| {
                    let mut refused = Vec::new();
                    for _ in 0..TAKES {
                        if started.load(Ordering::Relaxed) {
                            break;
                        }
                        thread::sleep(PAUSE);
                        let address = free_address();
                        if let Err(error) = TcpListener::bind(address) {
                            refused.push((address, error));
                        }
                    }
                    refused
                })
            })
            .collect();
        for _ in 0..STARTS {
            let address = free_address();
            let args = ["emulate", "service", "--listen", &address.to_string()].map(str::to_owned);
            drop(Process::start(BIN, &args, address));
        }
        started.store(true, Ordering::Relaxed);
        let refused = takers
            .into_iter()
            .map(|taker| taker.join().expect("a taker"));
        refused.flatten().collect::<Vec<_>>()
    });
    assert!(refused.is_empty(), "{refused:?}");
}
