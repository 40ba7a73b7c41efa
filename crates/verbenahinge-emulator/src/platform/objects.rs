//! In-memory object store.

use std::collections::BTreeMap;

use bytes::Bytes;

#[derive(Clone, Debug, Default)]
pub(super) struct ObjectStore {
    objects: BTreeMap<String, Bytes>,
}

impl ObjectStore {
    pub(super) fn put(&mut self, name: &str, body: Bytes) {
        self.objects.insert(name.to_owned(), body);
    }

    pub(super) fn get(&self, name: &str) -> Option<Bytes> {
        self.objects.get(name).cloned()
    }
}
