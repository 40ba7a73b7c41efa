//! The newest version that VMs announce is fetched, from the VM that announced it last.

use std::net::{IpAddr, Ipv4Addr};

use verbenahinge_core::gateway::{AnnouncedVersion, StoreVersion};

fn vm(index: u8) -> IpAddr {
    IpAddr::V4(Ipv4Addr::new(10, 0, 0, index))
}

fn version(number: u64) -> StoreVersion {
    StoreVersion::new(0, number)
}

/// Guards against a newer version that waits behind a fetch of an older one.
#[test]
fn older_announcements_ignored() {
    let mut newest = AnnouncedVersion::new(vm(1), version(9));
    newest.announce(vm(2), version(11));
    newest.announce(vm(3), version(10));
    assert_eq!((newest.source(), newest.version()), (vm(2), version(11)));
    newest.announce(vm(4), StoreVersion::new(1, 3));
    assert_eq!(newest.version(), StoreVersion::new(1, 3));
}

#[test]
fn failed_sources_replaced() {
    let mut newest = AnnouncedVersion::new(vm(1), version(11));
    newest.record_failure();
    newest.announce(vm(2), version(11));
    assert_eq!((newest.source(), newest.version()), (vm(2), version(11)));
    newest.record_failure();
    newest.announce(vm(3), version(10));
    assert_eq!((newest.source(), newest.version()), (vm(3), version(10)));
}

#[test]
fn last_announcer_used() {
    let mut newest = AnnouncedVersion::new(vm(1), version(5));
    newest.announce(vm(2), version(5));
    assert_eq!((newest.source(), newest.version()), (vm(2), version(5)));
}
