//! The timer queue of the event loop.

use marblecroft_quota_gateway_core::{AttemptNo, RequestId, Time, Token};
use std::cell::RefCell;
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::timeout;

/// What a timer is for. Timers that are due at the same instant fire in this order.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
pub enum TimerKind {
    /// A timer that the decisions set.
    Decision(Token),
    /// An attempt is abandoned.
    AttemptEnd(RequestId, AttemptNo),
    /// A final response must be given.
    ResponseDeadline(RequestId),
}

/// Timers in the order in which they are due.
#[derive(Default)]
pub struct TimerQueue {
    heap: RefCell<BinaryHeap<Reverse<(Time, TimerKind)>>>,
    /// Notified when a timer is set that is due before all others.
    earlier: Notify,
}

impl TimerQueue {
    /// Sets a timer.
    pub fn set(&self, due_at: Time, kind: TimerKind) {
        let mut heap = self.heap.borrow_mut();
        if heap.peek().is_none_or(|Reverse((first, _))| due_at < *first) {
            self.earlier.notify_one();
        }
        heap.push(Reverse((due_at, kind)));
    }

    /// The instant at which the first timer is due that is still wanted. Timers before it that are not wanted are removed.
    pub fn next_due(&self, is_wanted: impl Fn(&TimerKind) -> bool) -> Option<Time> {
        let mut heap = self.heap.borrow_mut();
        while let Some(Reverse((due_at, kind))) = heap.peek() {
            if is_wanted(kind) {
                return Some(*due_at);
            }
            heap.pop();
        }
        None
    }

    /// Removes the first timer.
    pub fn pop(&self) -> Option<TimerKind> {
        self.heap.borrow_mut().pop().map(|Reverse((_, kind))| kind)
    }

    /// Sleeps for a duration, or until a timer is set that is due before all others.
    pub async fn sleep(&self, duration: Option<Duration>) {
        match duration {
            Some(duration) => {
                // The caller looks at the queue again in either case.
                let _ = timeout(duration, self.earlier.notified()).await;
            }
            None => self.earlier.notified().await,
        }
    }
}
