//! The event loop around the quota gateway's decision core.
//!
//! The core ([`marblecroft_quota_gateway_core::Gateway`]) decides and does no I/O: the engine passes each
//! event to it and carries out the actions that it returns. An action may cause further events, which are
//! queued: the core is never called while its actions are being carried out. The engine owns the requests in
//! flight ([`open_request`]), runs their [`attempts`], and keeps the [`timers`]. It enforces two rules
//! whatever the core does: each request gets exactly one final response, by its deadline, and each attempt
//! ends exactly once.

mod attempts;
pub mod open_request;
mod timers;

use crate::clock::Clock;
use crate::peer_links::PeerLinks;
use crate::request_budget::RequestBudgets;
use crate::upstream::request::{AttemptWindow, UpstreamRequest};
use crate::upstream::Upstream;
use marblecroft_quota_gateway_core::{Action, Event, NewRequest, RequestId, Status, Time};
use open_request::{FinalResponse, OpenRequest};
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, VecDeque};
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::rc::{Rc, Weak};
use std::time::Duration;
use timers::{TimerKind, TimerQueue};
use tokio::sync::oneshot;
use tokio::time::sleep;
use tracing::{debug, info};

/// The interval at which idle connections are checked.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);

/// Handles one event and appends the resulting actions: [`marblecroft_quota_gateway_core::Gateway::handle`],
/// or a wrapper around it that observes the events and actions.
pub type Decide = Box<dyn FnMut(Time, Event, &mut Vec<Action>)>;

/// The event loop.
pub struct Engine {
    /// The clock of all events.
    pub clock: Clock,
    /// The time budgets of all requests.
    pub budgets: Rc<RequestBudgets>,
    /// The servers.
    pub upstream: Upstream,
    /// The links to the other processes of this gateway, which keep the same quota state.
    pub peer_links: PeerLinks,
    weak_self: Weak<Engine>,
    max_attempts: usize,
    decide: RefCell<Decide>,
    open: RefCell<BTreeMap<RequestId, OpenRequest>>,
    last_id: Cell<u32>,
    timers: TimerQueue,
    queue: RefCell<VecDeque<Event>>,
    is_handling: Cell<bool>,
}

/// Clears the flag on drop, also after a panic: otherwise no further event would be handled.
struct HandlingGuard<'a>(&'a Cell<bool>);

impl Drop for HandlingGuard<'_> {
    fn drop(&mut self) {
        self.0.set(false);
    }
}

impl Engine {
    /// Creates an engine without requests. A request is attempted at most `max_attempts` times.
    pub fn new(
        decide: Decide,
        clock: Clock,
        budgets: Rc<RequestBudgets>,
        upstream: Upstream,
        max_attempts: u32,
    ) -> Rc<Engine> {
        Rc::new_cyclic(|weak_self| Engine {
            clock,
            budgets,
            upstream,
            peer_links: PeerLinks::default(),
            weak_self: weak_self.clone(),
            max_attempts: max_attempts as usize,
            decide: RefCell::new(decide),
            open: RefCell::default(),
            last_id: Cell::new(0),
            timers: TimerQueue::default(),
            queue: RefCell::default(),
            is_handling: Cell::new(false),
        })
    }

    /// Handles a client's request; the engine sets the id of `request`. The receiver gets the final response
    /// once, or nothing if the client is reported as disconnected first.
    pub fn on_request(
        &self,
        mut request: NewRequest,
        upstream_request: UpstreamRequest,
    ) -> (RequestId, oneshot::Receiver<FinalResponse>) {
        let id = RequestId(self.last_id.get().wrapping_add(1));
        self.last_id.set(id.0);
        request.id = id;
        upstream_request.budget.on_admitted();
        let deadline = upstream_request.budget.deadline();
        debug!(
            trace = upstream_request.trace(),
            class = request.class.0,
            customer = format_args!("{:016x}", request.customer.0),
            "request admitted"
        );
        let (responder, response) = oneshot::channel();
        let open = OpenRequest::new(request.clone(), upstream_request, responder);
        self.open.borrow_mut().insert(id, open);
        if let Some(deadline) = deadline {
            self.timers.set(deadline, TimerKind::ResponseDeadline(id));
        }
        self.post(Event::Request(request));
        (id, response)
    }

    /// Ensures that every present and future request gets its response by `exit_at`, when the process is
    /// killed.
    pub fn set_process_end(&self, exit_at: Time) {
        self.budgets.end_by(exit_at);
        let open: Vec<RequestId> = self.open.borrow().keys().copied().collect();
        open.into_iter().for_each(|id| self.timers.set(exit_at, TimerKind::ResponseDeadline(id)));
    }

    /// Handles the disconnect of a client that has no response yet.
    pub fn on_client_disconnected(&self, id: RequestId) {
        if self.finish(id).is_some() {
            debug!(trace = self.trace(id), "client disconnected");
            self.post(Event::ClientDisconnected(id));
        }
    }

    /// Passes an event to the core, and then the events that arise while the core's actions are carried out.
    pub fn post(&self, event: Event) {
        self.queue.borrow_mut().push_back(event);
        if self.is_handling.replace(true) {
            return;
        }
        let _guard = HandlingGuard(&self.is_handling);
        let mut actions = Vec::new();
        loop {
            let Some(event) = self.queue.borrow_mut().pop_front() else { return };
            self.handle(event, &mut actions);
        }
    }

    fn handle(&self, mut event: Event, actions: &mut Vec<Action>) {
        let request = self.prepare_event(&mut event);
        let now = self.clock.now();
        let decide = || (*self.decide.borrow_mut())(now, event, actions);
        if catch_unwind(AssertUnwindSafe(decide)).is_err() {
            // The panic hook has written to standard error. Only the request that the event belongs to fails.
            if let Some(id) = request.filter(|&id| self.respond(id, FinalResponse::GatewayFault)) {
                self.queue.borrow_mut().push_back(Event::ClientDisconnected(id));
            }
        }
        for action in actions.drain(..) {
            self.perform(now, action);
        }
        if let Some(id) = request {
            self.remove_if_complete(id);
        }
    }

    /// Fills in the fields of an event that are known only when it is handled, and applies the event to the
    /// engine's own state where necessary. Returns the request that the event belongs to.
    fn prepare_event(&self, event: &mut Event) -> Option<RequestId> {
        match event {
            Event::Request(request) => Some(request.id),
            Event::Outcome(outcome) => {
                outcome.finished = self.open.borrow().get(&outcome.id).is_none_or(OpenRequest::is_finished);
                Some(outcome.id)
            }
            Event::ClientDisconnected(id) => Some(*id),
            Event::ServerDisabled(server) => {
                self.upstream.set_disabled(*server, true);
                None
            }
            Event::ServerEnabled(server) => {
                self.upstream.set_disabled(*server, false);
                None
            }
            _ => None,
        }
    }

    /// Removes a request that has its final response and no attempt in flight.
    fn remove_if_complete(&self, id: RequestId) {
        let mut open = self.open.borrow_mut();
        if open.get(&id).is_some_and(OpenRequest::is_complete) {
            open.remove(&id);
        }
    }

    fn perform(&self, now: Time, action: Action) {
        match action {
            Action::Send { id, server, deadline, begin_by } => {
                // A deadline of zero means that the attempt has no end of its own.
                let ends_at = (deadline != Time(0)).then_some(deadline);
                self.start_attempt(now, id, server, AttemptWindow { ends_at, begin_by });
            }
            Action::Cancel { id, attempt } => self.abort_attempt(id, attempt, Status::Cancelled),
            Action::Reject { id, retry_after } => {
                self.respond(id, FinalResponse::Rejected { retry_after });
            }
            Action::Fail { id } => {
                self.respond(id, FinalResponse::Failed);
            }
            Action::Timer { at, token } => self.timers.set(at, TimerKind::Core(token)),
            // The watch of the endpoint list is started with the process and resumes by itself.
            Action::Subscribe => {}
            Action::Log(text) => info!("{text}"),
        }
    }

    /// Sends a final response unless the request already has one. Returns whether it was sent.
    fn respond(&self, id: RequestId, response: FinalResponse) -> bool {
        if let Some(open) = self.open.borrow().get(&id).filter(|open| !open.is_finished()) {
            let is_served = matches!(response, FinalResponse::Served(_));
            open.upstream_request.budget.on_response_decided(is_served);
            debug!(trace = open.upstream_request.trace(), response = response.name(), "request answered");
        }
        let Some(responder) = self.finish(id) else { return false };
        // Without a receiver, the client has just disconnected, and its connection reports that.
        let _ = responder.send(response);
        true
    }

    /// Marks a request as finished. Returns the channel of its response on the first call only.
    fn finish(&self, id: RequestId) -> Option<oneshot::Sender<FinalResponse>> {
        self.open.borrow_mut().get_mut(&id)?.finish()
    }

    /// The trace id of a request in flight; empty if there is none.
    fn trace(&self, id: RequestId) -> String {
        self.open.borrow().get(&id).map_or_else(String::new, |open| open.upstream_request.trace().to_owned())
    }

    /// Runs the timers, forever.
    pub async fn run_timers(&self) {
        loop {
            let next_due = self.timers.next_due(|kind| self.is_timer_live(kind));
            match next_due.map(|due_at| due_at.0.saturating_sub(self.clock.now().0)) {
                Some(0) => {
                    if let Some(kind) = self.timers.pop() {
                        self.on_timer(kind);
                    }
                }
                Some(nanos) => self.timers.sleep(Some(Duration::from_nanos(nanos))).await,
                None => self.timers.sleep(None).await,
            }
        }
    }

    /// Returns whether a timer still has an effect. Most timers of attempts and requests outlast them, and
    /// each would wake the process for nothing.
    fn is_timer_live(&self, kind: &TimerKind) -> bool {
        match kind {
            TimerKind::Core(_) => true,
            TimerKind::AttemptEnd(id, _) | TimerKind::ResponseDeadline(id) => {
                self.open.borrow().contains_key(id)
            }
        }
    }

    fn on_timer(&self, kind: TimerKind) {
        match kind {
            TimerKind::Core(token) => self.post(Event::Timer(token)),
            TimerKind::AttemptEnd(id, attempt) => self.on_attempt_timer(id, attempt),
            TimerKind::ResponseDeadline(id) => {
                if self.respond(id, FinalResponse::DeadlineExceeded) {
                    self.post(Event::ClientDisconnected(id));
                }
            }
        }
    }

    /// Closes connections to servers that were idle for too long, at regular intervals forever.
    pub async fn run_sweeps(&self) {
        loop {
            sleep(SWEEP_INTERVAL).await;
            self.upstream.sweep();
        }
    }
}

#[cfg(test)]
mod tests;
