//! What the owner of a socket observes and decides while hyper uses it.

use std::rc::Rc;

/// Observes a socket that hyper uses. The defaults observe nothing and permit everything.
pub trait SocketObserver {
    /// Called with the bytes that hyper is about to parse.
    fn on_received(&self, _bytes: &[u8]) {}

    /// Returns whether what hyper writes is sent; otherwise it is discarded. hyper replies to what it cannot parse by
    /// itself, without an indication of the reason.
    fn permits_output(&self) -> bool {
        true
    }

    /// Called before each write with whether the kernel's send buffer is full, as the peer reads nothing.
    fn on_blocked(&self, _is_blocked: bool) {}

    /// Called when all that hyper had to write is in the kernel's send buffer.
    fn on_flushed(&self) {}
}

impl SocketObserver for () {}

impl<O: SocketObserver> SocketObserver for Rc<O> {
    fn on_received(&self, bytes: &[u8]) {
        (**self).on_received(bytes);
    }

    fn permits_output(&self) -> bool {
        (**self).permits_output()
    }

    fn on_blocked(&self, is_blocked: bool) {
        (**self).on_blocked(is_blocked);
    }

    fn on_flushed(&self) {
        (**self).on_flushed();
    }
}
