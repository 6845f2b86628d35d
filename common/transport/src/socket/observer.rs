//! The interface through which the owner of a socket observes and controls hyper's use of it.

use std::rc::Rc;

/// Observes a socket that hyper uses. The default methods do nothing and permit all output.
pub trait SocketObserver {
    /// Called with the bytes that hyper is about to parse.
    fn on_received(&self, _bytes: &[u8]) {}

    /// Returns whether hyper's output is sent; otherwise it is discarded. hyper itself replies to requests
    /// that it cannot parse, and does not indicate the reason.
    fn permits_output(&self) -> bool {
        true
    }

    /// Called before each write. `is_blocked` is set if the kernel's send buffer is full, because the peer
    /// does not read.
    fn on_blocked(&self, _is_blocked: bool) {}

    /// Called when all of hyper's output is in the kernel's send buffer.
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
