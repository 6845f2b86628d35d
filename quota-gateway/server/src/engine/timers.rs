//! The timer queue of the event loop.

use marblecroft_quota_gateway_core::{AttemptNo, RequestId, Time, Token};
use std::cell::RefCell;
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::timeout;

/// The purpose of a timer. Timers that are due at the same instant fire in the order of the variants.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
pub enum TimerKind {
    /// A timer set by the core.
    Core(Token),
    /// An attempt times out.
    AttemptEnd(RequestId, AttemptNo),
    /// The final response to a request is due.
    ResponseDeadline(RequestId),
}

/// Timers, ordered by due time.
#[derive(Default)]
pub struct TimerQueue {
    heap: RefCell<BinaryHeap<Reverse<(Time, TimerKind)>>>,
    /// Notified when a timer is set that is due before all others.
    earlier_timer_set: Notify,
}

impl TimerQueue {
    /// Sets a timer.
    pub fn set(&self, due_at: Time, kind: TimerKind) {
        let mut heap = self.heap.borrow_mut();
        if heap.peek().is_none_or(|Reverse((first, _))| due_at < *first) {
            self.earlier_timer_set.notify_one();
        }
        heap.push(Reverse((due_at, kind)));
    }

    /// Returns the instant at which the first live timer is due, and removes the timers before it that are
    /// not live.
    pub fn next_due(&self, is_live: impl Fn(&TimerKind) -> bool) -> Option<Time> {
        let mut heap = self.heap.borrow_mut();
        while let Some(Reverse((due_at, kind))) = heap.peek() {
            if is_live(kind) {
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
                // The caller checks the queue again in either case.
                let _ = timeout(duration, self.earlier_timer_set.notified()).await;
            }
            None => self.earlier_timer_set.notified().await,
        }
    }
}
