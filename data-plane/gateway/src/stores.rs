//! Calls to the stores: to the head of their replication chain, wherever it is by now.
//!
//! A call goes to the server that answered as the head last, else to the first of the view. A store that is not the head
//! names it, and the call follows. All requests to stores are idempotent, so a call is repeated until a head has answered or
//! its time is over; in the latter case the outcome tells whether any store may have executed it.

use crate::state::State;
use marblecroft_protocol::store::{StoreReply, StoreRequest};
use marblecroft_rpc::{Caller, Service};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// The time limit of one attempt.
const CALL_TIMEOUT: Duration = Duration::from_millis(1500);
/// The interval between two rounds of attempts.
const RETRY_INTERVAL: Duration = Duration::from_millis(50);
/// The most attempts of one round: the head that is known, and two redirections.
const MAX_ATTEMPTS_PER_ROUND: u32 = 3;

/// How a call ended.
#[derive(Clone, Debug, PartialEq)]
pub enum CallOutcome {
    /// The head's reply.
    Reply(Box<StoreReply>),
    /// No store has executed the request, and none will.
    NotExecuted,
    /// A store may have executed the request, or may yet.
    MayHaveExecuted,
}

/// The head as it was found last.
#[derive(Clone, Copy)]
struct KnownHead {
    /// The number of the view in which it answered.
    view: u64,
    address: SocketAddr,
}

/// Calls to the stores, from any thread.
#[derive(Clone)]
pub struct Stores {
    caller: Caller,
    state: Arc<State>,
    head: Arc<Mutex<Option<KnownHead>>>,
}

impl Stores {
    /// Returns calls by the view of the stores in `state`.
    pub fn new(state: Arc<State>) -> Stores {
        Stores { caller: Caller::new(Service::Stores), state, head: Arc::default() }
    }

    fn head(&self) -> MutexGuard<'_, Option<KnownHead>> {
        // The value is replaced at once, so a panic elsewhere cannot have left it half written.
        self.head.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns where to call first: the known head of this view, else the view's first member.
    fn first_candidate(&self) -> Option<SocketAddr> {
        let view = self.state.snapshot().stores;
        let known = self.head().filter(|head| head.view == view.number).map(|head| head.address);
        known.or_else(|| view.members.first().map(|member| member.address))
    }

    /// Has a request executed by the head, within `time_limit`. Blocks the thread.
    pub fn call(&self, request: &StoreRequest, time_limit: Duration) -> CallOutcome {
        let deadline = Instant::now() + time_limit;
        let mut may_have_executed = false;
        loop {
            if let Some(reply) = self.call_head(request, deadline, &mut may_have_executed) {
                return CallOutcome::Reply(Box::new(reply));
            }
            if Instant::now() + RETRY_INTERVAL >= deadline {
                return if may_have_executed {
                    CallOutcome::MayHaveExecuted
                } else {
                    CallOutcome::NotExecuted
                };
            }
            std::thread::sleep(RETRY_INTERVAL);
        }
    }

    /// Makes one round of attempts, from the first candidate along redirections. Returns the head's reply, and sets
    /// `may_have_executed` where an attempt without a reply may have been executed.
    fn call_head(
        &self,
        request: &StoreRequest,
        deadline: Instant,
        may_have_executed: &mut bool,
    ) -> Option<StoreReply> {
        let mut next = self.first_candidate();
        let mut attempts = 0;
        while let Some(address) = next.take() {
            let time_left = deadline.saturating_duration_since(Instant::now());
            if time_left.is_zero() {
                break;
            }
            attempts += 1;
            match self.caller.call(address, request, time_left.min(CALL_TIMEOUT)) {
                Ok(StoreReply::NotHead(head)) => {
                    next = head.filter(|head| *head != address && attempts < MAX_ATTEMPTS_PER_ROUND);
                }
                Ok(StoreReply::Unavailable) => {}
                Ok(StoreReply::OutcomeUnknown) => *may_have_executed = true,
                Ok(reply) => {
                    let view = self.state.snapshot().stores.number;
                    *self.head() = Some(KnownHead { view, address });
                    return Some(reply);
                }
                Err(e) => *may_have_executed |= e.may_have_executed(),
            }
        }
        None
    }
}
