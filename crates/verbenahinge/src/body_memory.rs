//! Memory that callers and servers make a process hold, and buffers for bodies of callers.
//!
//! A body counts by what has arrived, not by what its head announces. It is copied into one buffer,
//! so that many small frames do not each keep the buffer that they were received in. What is given up
//! when memory is short is decided by [`CallerMemory`]. See `docs/design/caller-memory.md`.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;

use bytes::Bytes;
use tokio::sync::Notify;
use verbenahinge_core::Timestamp;
use verbenahinge_core::gateway::{
    Admission, CallerMemory, HoldId, HoldOwner, Priority, SMALL_BODY_BYTES,
};

/// Size up to which the buffer of a body grows on the heap.
const HEAP_BODY_BYTES: usize = 64 << 10;

/// Size for which the buffer of a larger body is reserved. The allocator maps blocks of more than 32 MiB
/// from the system one by one: only the pages that were written take memory, the buffer is never copied
/// when it grows, and all of it returns to the system at the end. On the heap, bodies of 4 MB left holes
/// of twice the budget.
const MAPPED_BYTES: usize = 33 << 20;

/// Size of a memory page.
const PAGE_BYTES: usize = 4 << 10;

/// Why a body is not received further.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum BodyRefusal {
    TooLarge,
    NoRoom,
}

/// Whose body is received and how large it may be.
#[derive(Clone, Copy, Debug)]
pub(crate) struct BodyTerms {
    pub(crate) owner: HoldOwner,
    pub(crate) priority: Priority,
    /// Length that the head announces, if it does.
    pub(crate) length: Option<usize>,
    pub(crate) max_bytes: usize,
}

/// Bytes of a body that is being received, which may be taken away.
#[derive(Debug, Default)]
struct BodySlot {
    bytes: RefCell<Vec<u8>>,
    is_dropped: Cell<bool>,
    drop_notify: Notify,
}

/// Who holds memory that may be given up.
#[derive(Debug)]
enum Holder {
    Body(Rc<BodySlot>),
    /// A connection, which closes when it is notified.
    Connection(Rc<Notify>),
}

/// Memory of one process, and what is held in it.
#[derive(Debug)]
pub(crate) struct BodyMemory {
    memory: RefCell<CallerMemory>,
    holders: RefCell<BTreeMap<HoldId, Holder>>,
    /// What was refused or given up since this was last taken.
    dropped_count: Cell<u64>,
}

impl BodyMemory {
    pub(crate) fn new(memory_mb: u64) -> Rc<Self> {
        Rc::new(Self {
            memory: RefCell::new(CallerMemory::new(memory_mb)),
            holders: RefCell::default(),
            dropped_count: Cell::new(0),
        })
    }

    /// Bytes that are held.
    pub(crate) fn used_bytes(&self) -> usize {
        self.memory.borrow().used_bytes()
    }

    /// Bytes that may be held.
    pub(crate) fn max_bytes(&self) -> usize {
        self.memory.borrow().max_bytes()
    }

    /// Returns how much was refused or given up since the last call.
    pub(crate) fn take_dropped(&self) -> u64 {
        self.dropped_count.take()
    }

    /// Begins to receive a body.
    pub(crate) fn begin_body(
        self: &Rc<Self>,
        now: Timestamp,
        terms: &BodyTerms,
    ) -> Result<BodyReceiver, BodyRefusal> {
        if terms.length.is_some_and(|length| length > terms.max_bytes) {
            return Err(BodyRefusal::TooLarge);
        }
        let id =
            self.memory
                .borrow_mut()
                .begin_body(now, terms.owner, terms.priority, terms.length);
        let Some(id) = id else {
            self.count_dropped(1);
            return Err(BodyRefusal::NoRoom);
        };
        let slot = Rc::new(BodySlot::default());
        let holder = Holder::Body(Rc::clone(&slot));
        self.holders.borrow_mut().insert(id, holder);
        let memory = Rc::clone(self);
        Ok(BodyReceiver {
            hold: BodyHold { memory, id },
            slot,
            max_bytes: terms.length.unwrap_or(terms.max_bytes),
        })
    }

    /// Begins to read a response from a server.
    pub(crate) fn begin_response(&self) -> HoldId {
        self.memory.borrow_mut().begin_response()
    }

    /// Lets a response hold more bytes; returns whether it may.
    pub(crate) fn grow_response(&self, now: Timestamp, id: HoldId, added: usize) -> bool {
        let admission = self.memory.borrow_mut().grow_response(now, id, added);
        self.apply(&admission)
    }

    /// Begins to count what a caller has not taken; its connection is notified if it has to close.
    pub(crate) fn begin_unread(
        &self,
        now: Timestamp,
        owner: HoldOwner,
        close_notify: Rc<Notify>,
    ) -> HoldId {
        let id = self.memory.borrow_mut().begin_unread(now, owner);
        let holder = Holder::Connection(close_notify);
        self.holders.borrow_mut().insert(id, holder);
        id
    }

    /// Sets what a caller has not taken; returns whether it may be kept.
    pub(crate) fn set_unread(&self, now: Timestamp, id: HoldId, bytes: usize) -> bool {
        let admission = self.memory.borrow_mut().set_unread(now, id, bytes);
        self.count_dropped(u64::from(!admission.admitted));
        self.apply(&admission)
    }

    /// Notes that a caller has taken a part of its responses.
    pub(crate) fn note_taken(&self, now: Timestamp, id: HoldId) {
        self.memory.borrow_mut().note_taken(now, id);
    }

    /// Ends a hold whose memory is released.
    pub(crate) fn end(&self, id: HoldId) {
        self.memory.borrow_mut().end(id);
        self.holders.borrow_mut().remove(&id);
    }

    fn count_dropped(&self, count: u64) {
        self.dropped_count.set(self.dropped_count.get() + count);
    }

    /// Releases the memory of holds that were given up.
    fn apply(&self, admission: &Admission) -> bool {
        for id in &admission.dropped {
            self.count_dropped(1);
            match self.holders.borrow_mut().remove(id) {
                Some(Holder::Body(slot)) => {
                    slot.bytes.take();
                    slot.is_dropped.set(true);
                    slot.drop_notify.notify_one();
                }
                Some(Holder::Connection(close_notify)) => close_notify.notify_one(),
                None => {}
            }
        }
        admission.admitted
    }
}

/// Memory of a body, which counts until this is dropped.
#[derive(Debug)]
pub(crate) struct BodyHold {
    memory: Rc<BodyMemory>,
    id: HoldId,
}

impl Drop for BodyHold {
    fn drop(&mut self) {
        self.memory.end(self.id);
    }
}

/// A body that is being received.
pub(crate) struct BodyReceiver {
    hold: BodyHold,
    slot: Rc<BodySlot>,
    /// Maximum number of bytes: the length if it is known, otherwise the limit.
    max_bytes: usize,
}

impl BodyReceiver {
    /// Waits until the body is given up, since memory is short.
    pub(crate) async fn dropped(&self) {
        self.slot.drop_notify.notified().await;
    }

    /// Whether the body arrives more slowly than any body may.
    pub(crate) fn is_too_slow(&self, now: Timestamp) -> bool {
        let memory = self.hold.memory.memory.borrow();
        memory.is_too_slow(now, self.hold.id)
    }

    /// Appends bytes that have arrived.
    pub(crate) fn push(&mut self, now: Timestamp, data: &[u8]) -> Result<(), BodyRefusal> {
        if self.slot.is_dropped.get() {
            return Err(BodyRefusal::NoRoom);
        }
        let length = self.slot.bytes.borrow().len() + data.len();
        if length > self.max_bytes {
            return Err(BodyRefusal::TooLarge);
        }
        let held_bytes = self.held_bytes(length);
        let BodyHold { memory, id } = &self.hold;
        let admission = memory
            .memory
            .borrow_mut()
            .grow_body(now, *id, data.len(), held_bytes);
        if !memory.apply(&admission) {
            memory.count_dropped(1);
            return Err(BodyRefusal::NoRoom);
        }
        let mut bytes = self.slot.bytes.borrow_mut();
        if length > bytes.capacity() {
            let unused = held_bytes - bytes.len();
            let is_mapped = length > HEAP_BODY_BYTES
                && bytes
                    .try_reserve_exact(MAPPED_BYTES.max(held_bytes))
                    .is_ok();
            if !is_mapped && length > HEAP_BODY_BYTES {
                bytes.reserve(data.len());
            } else if !is_mapped {
                bytes.reserve_exact(unused);
            }
        }
        bytes.extend_from_slice(data);
        Ok(())
    }

    /// Returns the memory of the buffer when it contains a number of bytes.
    fn held_bytes(&self, length: usize) -> usize {
        let capacity = self.slot.bytes.borrow().capacity();
        if capacity >= MAPPED_BYTES || length > HEAP_BODY_BYTES {
            return length.next_multiple_of(PAGE_BYTES);
        }
        if length <= capacity {
            return capacity;
        }
        let step = (capacity * 2).clamp(SMALL_BODY_BYTES, HEAP_BODY_BYTES);
        step.max(length).min(self.max_bytes)
    }

    /// Returns the complete body, which is kept from now on.
    pub(crate) fn complete(self) -> Result<(Bytes, BodyHold), BodyRefusal> {
        if self.slot.is_dropped.get() {
            return Err(BodyRefusal::NoRoom);
        }
        let BodyHold { memory, id } = &self.hold;
        memory.memory.borrow_mut().complete_body(*id);
        memory.holders.borrow_mut().remove(id);
        let bytes = Bytes::from(self.slot.bytes.take());
        Ok((bytes, self.hold))
    }
}
