//! Calls to the stores: to the head of their chain, wherever it is by now.

use crate::state::State;
use marblecroft_protocol::store::{StoreReply, StoreRequest};
use marblecroft_rpc::{Caller, Service};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

/// Time for one call.
const CALL_TIMEOUT: Duration = Duration::from_millis(1500);
/// Pause after a call that no head answered.
const RETRY_INTERVAL: Duration = Duration::from_millis(50);

/// How a call ended.
#[derive(Clone, Debug, PartialEq)]
pub enum Outcome {
    Reply(Box<StoreReply>),
    /// No store has carried it out or will.
    NotExecuted,
    /// A store may have carried it out.
    MayHaveExecuted,
}

/// Calls to the stores. Each blocks its thread.
#[derive(Clone)]
pub struct Stores {
    caller: Caller,
    state: Arc<State>,
    /// Who answered as the head last, and in which view.
    head: Arc<Mutex<Option<(u64, SocketAddr)>>>,
}

impl Stores {
    pub fn new(state: Arc<State>) -> Stores {
        Stores { caller: Caller::new(Service::Stores), state, head: Arc::default() }
    }

    fn candidates(&self) -> Vec<SocketAddr> {
        let view = self.state.snapshot().stores;
        let head = *self.head.lock().unwrap_or_else(PoisonError::into_inner);
        let known = head.filter(|head| head.0 == view.number).map(|head| head.1);
        let members = view.members.iter().map(|member| member.address);
        known.into_iter().chain(members.filter(|address| Some(*address) != known)).collect()
    }

    /// Has a request answered by the head, for `within` at most. Every request may be carried out twice with the effect of
    /// once, so it is made again until the outcome is known.
    pub fn call(&self, request: &StoreRequest, within: Duration) -> Outcome {
        let until = Instant::now() + within;
        let mut may_have_run = false;
        loop {
            let candidates = self.candidates();
            // The head, and whom it names; the others only where it does not answer.
            let mut next = candidates.first().copied();
            let mut asked = 0;
            while let Some(to) = next.take() {
                let left = until.saturating_duration_since(Instant::now());
                if left.is_zero() {
                    break;
                }
                asked += 1;
                match self.caller.call(to, request, left.min(CALL_TIMEOUT)) {
                    Ok(StoreReply::NotHead(head)) => {
                        next = head.filter(|head| *head != to && asked < 3);
                    }
                    Ok(StoreReply::Unavailable) => {}
                    Ok(StoreReply::OutcomeUnknown) => may_have_run = true,
                    Ok(reply) => {
                        let view = self.state.snapshot().stores.number;
                        *self.head.lock().unwrap_or_else(PoisonError::into_inner) = Some((view, to));
                        return Outcome::Reply(Box::new(reply));
                    }
                    Err(e) => may_have_run |= e.may_have_run(),
                }
            }
            if Instant::now() + RETRY_INTERVAL >= until {
                return if may_have_run { Outcome::MayHaveExecuted } else { Outcome::NotExecuted };
            }
            std::thread::sleep(RETRY_INTERVAL);
        }
    }
}
