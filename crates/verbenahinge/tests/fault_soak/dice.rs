//! Numbers of a seed.

use std::cell::Cell;

use verbenahinge_core::hash::mix64;

/// Numbers that follow from a seed.
pub(crate) struct Dice {
    seed: u64,
    thrown: Cell<u64>,
}

impl Dice {
    pub(crate) const fn new(seed: u64) -> Self {
        Self {
            seed,
            thrown: Cell::new(0),
        }
    }

    pub(crate) fn below(&self, limit: u64) -> u64 {
        self.thrown.set(self.thrown.get() + 1);
        mix64(self.seed, self.thrown.get()) % limit
    }

    pub(crate) fn index(&self, length: usize) -> usize {
        usize::try_from(self.below(length as u64)).expect("a small number")
    }
}
