//! Keeps the software version of each service's servers in the store, since VMs may all be replaced while
//! streams wait to be resumed.
//!
//! A VM reads the table when it starts and in each era of the store; few VMs write what has changed. See
//! `docs/design/stream-versions.md`.

use std::cell::Cell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use verbenahinge_core::gateway::{Feed, ServiceName, ServiceSoftware, SoftwareVersion};
use verbenahinge_platform::software;
use verbenahinge_platform::store::{SOFTWARE_TABLE, StoreClient, StoreError};

use super::Gateway;

/// Time between two looks at what has changed.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// Pause after a failed call.
const RETRY_PAUSE: Duration = Duration::from_secs(2);

/// Live VMs, by their rank, that write changes; each waits for those before it.
const WRITERS: usize = 3;

/// Time for which a VM waits for each writer before it.
const WRITER_DELAY: Duration = Duration::from_secs(2);

/// What the store holds as far as this VM knows: the only version of each service, if it has one.
type StoredVersions = BTreeMap<ServiceName, Option<SoftwareVersion>>;

/// Era of the store in which this VM has read the table.
#[derive(Default)]
pub(crate) struct SoftwareStore {
    read_in_era: Cell<Option<u64>>,
}

/// Reads the table once in each era, and writes what has changed, for as long as the process runs.
pub(super) async fn sync_software(gateway: Rc<Gateway>) {
    let mut store = StoreClient::new(gateway.settings.borrow().store);
    let mut stored = StoredVersions::new();
    loop {
        actix_rt::time::sleep(CHECK_INTERVAL).await;
        gateway.update_store_address(&mut store);
        if let Err(error) = sync_once(&gateway, &mut store, &mut stored).await {
            log::debug!("failed to compare software versions with the store: {error}");
            actix_rt::time::sleep(RETRY_PAUSE).await;
        }
    }
}

async fn sync_once(
    gateway: &Gateway,
    store: &mut StoreClient,
    stored: &mut StoredVersions,
) -> Result<(), StoreError> {
    let applied = gateway
        .replicas
        .with(Feed::Servers, |replica| replica.applied_until());
    let Some(version) = applied else {
        return Ok(());
    };
    let read_in_era = &gateway.software_store.read_in_era;
    if read_in_era.get() != Some(version.era) {
        *stored = read_versions(gateway, store).await?;
        read_in_era.set(Some(version.era));
    }
    let rank = gateway.peers.watcher_rank(gateway.now());
    if rank >= WRITERS || find_changes(gateway, stored).is_empty() {
        return Ok(());
    }
    if rank > 0 {
        let delay = WRITER_DELAY * u32::try_from(rank).unwrap_or(u32::MAX);
        actix_rt::time::sleep(delay).await;
        *stored = read_versions(gateway, store).await?;
    }
    for (service, software) in find_changes(gateway, stored) {
        let value = software::encode(software).map_err(|error| StoreError::Malformed {
            problem: error.to_string(),
        })?;
        store.put(SOFTWARE_TABLE, &service, &value).await?;
        stored.insert(service, software.sole);
    }
    Ok(())
}

/// Versions of services that the store does not hold.
fn find_changes(gateway: &Gateway, stored: &StoredVersions) -> Vec<(ServiceName, ServiceSoftware)> {
    let mut changes = gateway.state.borrow().service_software();
    changes.retain(|(service, software)| stored.get(service) != Some(&software.sole));
    changes
}

/// Reads the table, and adopts what it tells of the time before this VM started.
async fn read_versions(
    gateway: &Gateway,
    store: &mut StoreClient,
) -> Result<StoredVersions, StoreError> {
    let mut stored = StoredVersions::new();
    for row in store.read_table(SOFTWARE_TABLE).await?.rows {
        let Some(value) = row.value else {
            continue;
        };
        match software::decode(&row.key, &value) {
            Ok(software) => {
                let service: ServiceName = row.key.as_str().into();
                let mut state = gateway.state.borrow_mut();
                state.adopt_software(&service, software);
                stored.insert(service, software.sole);
            }
            Err(error) => log::warn!("ignoring a row of table {SOFTWARE_TABLE}: {error}"),
        }
    }
    Ok(stored)
}
