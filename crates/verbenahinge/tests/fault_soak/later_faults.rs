//! Faults that were added after the others, and that draw from random numbers of their own.

use verbenahinge_emulator::scripted_server::{Framing, ServerFault, ServerFaults};

use crate::callers::STREAM_EVENTS;
use crate::fleet::{SERVER_COUNT, SoakFleet};
use crate::rng::SeededRng;

/// Idle and head timeouts of the configurations, in milliseconds.
const IDLE_TIMEOUTS_MS: [u64; 2] = [1000, 2500];

impl SoakFleet {
    /// Injects none, one or several faults and returns their descriptions.
    pub(crate) async fn inject_later_faults(&mut self, rng: &SeededRng) -> Vec<String> {
        let mut descriptions = Vec::new();
        while rng.below(2) == 0 {
            let description = match rng.below(8) {
                0 => self.pause_servers(rng, SERVER_COUNT).await,
                1 | 2 => self.pause_servers(rng, 1).await,
                3 => self.end_with_connections(rng).await,
                4..=6 => self.change_config(rng).await,
                _ => self.change_vm_settings(rng),
            };
            descriptions.push(description);
        }
        descriptions
    }

    /// Lets servers fall silent in a response, or before it, and then go on.
    async fn pause_servers(&mut self, rng: &SeededRng, count: usize) -> String {
        let first = rng.index(SERVER_COUNT);
        let faults = ServerFaults {
            fault: [ServerFault::Pause, ServerFault::PauseAtStart][rng.index(2)],
            times: 2 + u32::try_from(rng.below(8)).expect("at most 7"),
            work_ms: 5,
            pause_ms: 1000 + rng.below(600),
            events: STREAM_EVENTS,
            ..ServerFaults::default()
        };
        for offset in 0..count {
            let server = (first + offset) % SERVER_COUNT;
            self.fleet.set_server_faults(server, &faults).await;
        }
        let (fault, pause_ms) = (faults.fault, faults.pause_ms);
        format!("{fault} of {pause_ms} ms of {count} servers from {first}")
    }

    /// Lets a server send responses that end with their connection, whole or cut off.
    async fn end_with_connections(&mut self, rng: &SeededRng) -> String {
        let server = rng.index(SERVER_COUNT);
        // An early end between events, or in a plain response, looks whole by design.
        let faults = [
            ServerFault::None,
            ServerFault::Reset,
            ServerFault::ResetBetweenEvents,
            ServerFault::EndInEvent,
            ServerFault::CutHead,
        ];
        let framings = [Framing::UntilClose, Framing::UntilAnnouncedClose];
        let faults = ServerFaults {
            fault: faults[rng.index(faults.len())],
            times: 1 + u32::try_from(rng.below(4)).expect("at most 3"),
            work_ms: 5,
            events: STREAM_EVENTS,
            framing: framings[rng.index(framings.len())],
            ..ServerFaults::default()
        };
        if !faults.fault.is_sound() {
            self.disturbances.note_unsound_server();
        }
        self.fleet.set_server_faults(server, &faults).await;
        format!("server {server}: {}, {:?}", faults.fault, faults.framing)
    }

    /// Writes a configuration with other timeouts of connections and routes.
    async fn change_config(&mut self, rng: &SeededRng) -> String {
        self.config_version += 1;
        self.limits_ms = IDLE_TIMEOUTS_MS[rng.index(IDLE_TIMEOUTS_MS.len())];
        self.has_short_routes = rng.below(2) == 0;
        self.clear_store_faults().await;
        // Callers may go by a higher limit before the VMs, which have to allow for that.
        self.idle_limit_ms.set(self.limits_ms);
        self.write_config().await;
        format!(
            "configuration {} with timeouts of {} ms",
            self.config_version, self.limits_ms
        )
    }

    /// Changes the settings of a VM, and has it reload them.
    fn change_vm_settings(&mut self, rng: &SeededRng) -> String {
        let vm = rng.index(self.vm_count);
        if self.fleet.vm_process(vm).has_exited() {
            return format!("no other settings of VM {vm}, which has ended");
        }
        let slack = 20.0 + f64::from(u32::try_from(rng.below(80)).expect("at most 79"));
        self.fleet.change_settings(vm, |settings| {
            settings.bounds.retry_slack = slack;
        });
        format!("other settings of VM {vm}")
    }
}
