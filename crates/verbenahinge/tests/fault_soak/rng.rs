//! Pseudorandom numbers from a seed.

use std::cell::Cell;

use verbenahinge_core::hash::mix64;

/// Pseudorandom number generator. The same seed gives the same sequence.
pub(crate) struct SeededRng {
    seed: u64,
    draw_count: Cell<u64>,
}

impl SeededRng {
    pub(crate) const fn new(seed: u64) -> Self {
        Self {
            seed,
            draw_count: Cell::new(0),
        }
    }

    pub(crate) fn below(&self, limit: u64) -> u64 {
        self.draw_count.set(self.draw_count.get() + 1);
        mix64(self.seed, self.draw_count.get()) % limit
    }

    pub(crate) fn index(&self, length: usize) -> usize {
        usize::try_from(self.below(length as u64)).expect("an index fits into usize")
    }
}
