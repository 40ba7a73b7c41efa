//! Tables on their way to other VMs, of which only a few may share the link of a VM at a time.

use std::cell::Cell;
use std::convert::Infallible;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};

/// Maximum number of large tables that are sent at the same time. Links of small VMs carry 10 Mbit/s, and
/// requests and answers wait behind what is queued there.
const MAX_TRANSFERS: usize = 2;

/// Size up to which a table does not count.
const SMALL_TABLE_BYTES: usize = 16 << 10;

/// Size of the parts in which a table is handed to the connection.
const PART_BYTES: usize = 16 << 10;

/// Counts the large tables that are being sent.
#[derive(Debug, Default)]
pub(crate) struct TableTransfers {
    count: Rc<Cell<usize>>,
}

impl TableTransfers {
    /// Returns a body for a table; `None` if too many large ones are being sent.
    pub(super) fn begin(&self, bytes: Bytes) -> Option<TableBody> {
        let is_large = bytes.len() > SMALL_TABLE_BYTES;
        if is_large && self.count.get() >= MAX_TRANSFERS {
            return None;
        }
        let transfer = is_large.then(|| Transfer::new(&self.count));
        Some(TableBody {
            bytes,
            _transfer: transfer,
        })
    }
}

/// Counts a table as being sent until dropped.
struct Transfer {
    count: Rc<Cell<usize>>,
}

impl Transfer {
    fn new(count: &Rc<Cell<usize>>) -> Self {
        count.set(count.get() + 1);
        Self {
            count: Rc::clone(count),
        }
    }
}

impl Drop for Transfer {
    fn drop(&mut self) {
        self.count.set(self.count.get().saturating_sub(1));
    }
}

/// Body of a response with a table, which is handed to the connection as fast as its link takes it.
pub(super) struct TableBody {
    bytes: Bytes,
    _transfer: Option<Transfer>,
}

impl Body for TableBody {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        if self.bytes.is_empty() {
            return Poll::Ready(None);
        }
        let length = self.bytes.len().min(PART_BYTES);
        Poll::Ready(Some(Ok(Frame::data(self.bytes.split_to(length)))))
    }

    fn is_end_stream(&self) -> bool {
        self.bytes.is_empty()
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.bytes.len() as u64)
    }
}
