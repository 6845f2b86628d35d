//! Client for calls to the stores, which are handled by the head of their replication chain.
//!
//! A call goes to the store that last replied as the head, or else to the first member of the
//! view. A store that is not the head returns the address of the head, and the call is redirected
//! there. All requests to stores are idempotent, so a call is retried until a head has replied or
//! the time limit is reached. In the latter case the outcome shows whether a store may have
//! executed the request. A rejection does not end this doubt: a store that was suspended may still
//! execute an earlier attempt.

use crate::state::State;
use marblecroft_protocol::store::{StoreReply, StoreRequest};
use marblecroft_rpc::{Caller, Service};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// Time limit of one attempt.
const CALL_TIMEOUT: Duration = Duration::from_millis(1500);
/// Interval between two rounds of attempts.
const RETRY_INTERVAL: Duration = Duration::from_millis(50);
/// Maximum number of attempts in one round: the cached head and two redirections.
const MAX_ATTEMPTS_PER_ROUND: u32 = 3;

/// How a call ended.
#[derive(Clone, Debug, PartialEq)]
pub enum CallOutcome {
    /// Reply of the head.
    Reply(Box<StoreReply>),
    /// No store has executed the request or will execute it.
    NotExecuted,
    /// A store may have executed the request or may still execute it.
    MayHaveExecuted,
}

/// The last store that replied as the head.
#[derive(Clone, Copy)]
struct CachedHead {
    /// Number of the view that was current when it replied.
    view: u64,
    address: SocketAddr,
}

/// Client for calls to the stores; can be used from any thread.
#[derive(Clone)]
pub struct StoreClient {
    caller: Caller,
    state: Arc<State>,
    head: Arc<Mutex<Option<CachedHead>>>,
}

impl StoreClient {
    /// Returns a client that uses the store view in `state`.
    pub fn new(state: Arc<State>) -> StoreClient {
        StoreClient { caller: Caller::new(Service::Stores), state, head: Arc::default() }
    }

    fn head(&self) -> MutexGuard<'_, Option<CachedHead>> {
        // The value is replaced in a single assignment, so a panic while the lock is held cannot
        // leave it inconsistent.
        self.head.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the address to call first: the cached head of the current view, or else the first
    /// member of the view.
    fn first_candidate(&self) -> Option<SocketAddr> {
        let view = self.state.snapshot().store_view;
        let cached = self.head().filter(|head| head.view == view.number).map(|head| head.address);
        cached.or_else(|| view.members.first().map(|member| member.address))
    }

    /// Calls the head until it replies or `time_limit` has passed. Blocks the thread.
    pub fn call(&self, request: &StoreRequest, time_limit: Duration) -> CallOutcome {
        let deadline = Instant::now() + time_limit;
        let mut may_have_executed = false;
        loop {
            match self.call_head(request, deadline, &mut may_have_executed) {
                // It rejects only its own attempt.
                Some(StoreReply::OverQuota) if may_have_executed => return CallOutcome::MayHaveExecuted,
                Some(reply) => return CallOutcome::Reply(Box::new(reply)),
                None => {}
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

    /// Makes one round of attempts: calls the first candidate and follows redirections. Returns the
    /// head's reply. Sets `may_have_executed` if an attempt without a reply may have been executed.
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
                    let view = self.state.snapshot().store_view.number;
                    *self.head() = Some(CachedHead { view, address });
                    return Some(reply);
                }
                Err(e) => *may_have_executed |= e.may_have_executed(),
            }
        }
        None
    }
}
