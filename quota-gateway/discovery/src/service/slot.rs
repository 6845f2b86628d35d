//! A limit on concurrency.

use std::cell::Cell;

/// One of a bounded number of slots. It is released when it is dropped.
pub struct Slot<'a> {
    in_use: &'a Cell<usize>,
}

impl<'a> Slot<'a> {
    /// Takes a slot, or returns `None` if the maximum number is in use.
    pub fn acquire(in_use: &'a Cell<usize>, max: usize) -> Option<Slot<'a>> {
        (in_use.get() < max).then(|| {
            in_use.set(in_use.get() + 1);
            Slot { in_use }
        })
    }
}

impl Drop for Slot<'_> {
    fn drop(&mut self) {
        self.in_use.set(self.in_use.get() - 1);
    }
}
