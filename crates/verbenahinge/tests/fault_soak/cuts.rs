//! VMs that the network cuts off from all servers.

use crate::disturbances::Disturbance;
use crate::fleet::SoakFleet;
use crate::rng::SeededRng;

/// Distinguishes the random numbers of this file's faults.
pub(crate) const CUTS: u64 = 0x0063_7574;

impl SoakFleet {
    /// Cuts some VMs off from the servers, or ends that, now and then; returns a description.
    pub(crate) fn inject_cut(&mut self, rng: &SeededRng) -> Option<String> {
        if rng.below(3) > 0 {
            return None;
        }
        if self.has_cut {
            self.end_cuts();
            return Some("end of the cuts".to_owned());
        }
        // One VM at least reaches the servers.
        let first = rng.index(self.vm_count);
        let count = 1 + rng.index(self.vm_count - 1);
        let vms: Vec<usize> = (first..first + count)
            .map(|vm| vm % self.vm_count)
            .collect();
        let clients = vms.iter().map(|&vm| self.fleet.listen_address(vm).ip());
        let clients = clients.collect();
        let keeps_open = rng.below(2) == 0;
        for proxy in &self.server_proxies {
            proxy.cut_off(&clients, keeps_open);
        }
        for &vm in &vms {
            self.disturbances.begin(Disturbance::Cut(vm));
        }
        self.has_cut = true;
        Some(format!("VMs {vms:?} cut off, keeps_open={keeps_open}"))
    }

    /// Connects all VMs with the servers again.
    pub(crate) fn end_cuts(&mut self) {
        self.has_cut = false;
        for proxy in &self.server_proxies {
            proxy.end_cut();
        }
        for vm in 0..self.vm_count {
            self.disturbances.end(Disturbance::Cut(vm));
        }
    }
}
