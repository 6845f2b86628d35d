//! Owns the decisions: hands events in, carries actions out, and keeps the requests that are open.

use crate::clock::Clock;
use crate::handover::PeerLinks;
use crate::request_budget::RequestBudgets;
use crate::upstream::{AttemptEnd, ServedResponse, Upstream, UpstreamRequest};
use marblecroft_quota_gateway_core::{
    Action, AttemptNo, Event, NewRequest, Outcome, PeerProcessEvent, RequestId, ServerId, Status, Time, Token,
};
use std::cell::{Cell, RefCell};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, VecDeque};
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::pin::pin;
use std::rc::{Rc, Weak};
use std::time::Duration;
use tokio::sync::{oneshot, Notify};
use tokio::task::{spawn_local, AbortHandle};
use tokio::time::{sleep, timeout};
use tracing::{debug, info};

/// A request's final answer.
pub enum Answer {
    Served(ServedResponse),
    Refused {
        retry_after: Duration,
    },
    Failed,
    /// The decisions gave none in time.
    Overdue,
    /// The decisions panicked over it.
    Broken,
}

impl Answer {
    fn name(&self) -> &'static str {
        match self {
            Answer::Served(_) => "served",
            Answer::Refused { .. } => "refused",
            Answer::Failed => "failed",
            Answer::Overdue => "overdue",
            Answer::Broken => "broken",
        }
    }
}

struct Attempt {
    server: ServerId,
    sent_at: Time,
    /// When it is given up; not while the request's body is on its way, nor once its answer has begun.
    deadline: Option<Time>,
    /// While it is out.
    task: Option<AbortHandle>,
}

/// A request that still gets events.
struct OpenRequest {
    request: NewRequest,
    upstream_request: Rc<UpstreamRequest>,
    /// Until the final answer.
    answer: Option<oneshot::Sender<Answer>>,
    attempts: Vec<Attempt>,
}

impl OpenRequest {
    /// Ends the request; where its answer goes, unless it is over already.
    fn finish(&mut self) -> Option<oneshot::Sender<Answer>> {
        self.upstream_request.finished.set(true);
        self.answer.take()
    }
}

#[derive(PartialEq, Eq, PartialOrd, Ord)]
enum TimerKind {
    Timer(Token),
    /// An attempt is given up.
    GiveUp(RequestId, AttemptNo),
    /// A final answer must be out.
    Answer(RequestId),
}

/// The decisions, and whoever looks on: [`marblecroft_quota_gateway_core::Gateway::handle`], or what stands around it.
pub type Decide = Box<dyn FnMut(Time, Event, &mut Vec<Action>)>;

pub struct Engine {
    pub clock: Clock,
    /// The budgets of all requests.
    pub accounts: Rc<RequestBudgets>,
    pub upstream: Upstream,
    /// Other processes of this gateway, which keep the same accounts.
    pub links: PeerLinks,
    me: Weak<Engine>,
    max_attempts: usize,
    decide: RefCell<Decide>,
    open: RefCell<BTreeMap<RequestId, OpenRequest>>,
    last_id: Cell<u32>,
    timers: RefCell<BinaryHeap<Reverse<(Time, TimerKind)>>>,
    /// A timer was set that is due before all others.
    sooner: Notify,
    queue: RefCell<VecDeque<Event>>,
    handling: Cell<bool>,
}

impl Engine {
    pub fn new(
        decide: Decide,
        clock: Clock,
        accounts: Rc<RequestBudgets>,
        upstream: Upstream,
        max_attempts: u32,
    ) -> Rc<Engine> {
        Rc::new_cyclic(|me| Engine {
            clock,
            accounts,
            upstream,
            links: PeerLinks::default(),
            me: me.clone(),
            max_attempts: max_attempts as usize,
            decide: RefCell::new(decide),
            open: RefCell::default(),
            last_id: Cell::new(0),
            timers: RefCell::default(),
            sooner: Notify::new(),
            queue: RefCell::default(),
            handling: Cell::new(false),
        })
    }

    /// A client's request has arrived whole; `request` lacks only its id. The answer comes once, or not at
    /// all if the client is said to have departed before.
    pub fn on_request(
        &self,
        mut request: NewRequest,
        order: UpstreamRequest,
    ) -> (RequestId, oneshot::Receiver<Answer>) {
        let id = RequestId(self.last_id.get().wrapping_add(1));
        self.last_id.set(id.0);
        request.id = id;
        let (answer, answered) = oneshot::channel();
        order.account.on_admitted();
        let ends = order.account.deadline();
        let open = OpenRequest {
            request: request.clone(),
            upstream_request: Rc::new(order),
            answer: Some(answer),
            attempts: Vec::new(),
        };
        debug!(
            trace = open.upstream_request.trace(),
            class = request.class.0,
            customer = format_args!("{:016x}", request.customer.0),
            "taken"
        );
        self.open.borrow_mut().insert(id, open);
        if let Some(ends) = ends {
            self.set_timer(ends, TimerKind::Answer(id));
        }
        self.post(Event::Request(request));
        (id, answered)
    }

    /// Whatever is open or comes gets its answer by then: the process is killed after that.
    pub fn set_process_end(&self, end: Time) {
        self.accounts.end_by(end);
        let open: Vec<RequestId> = self.open.borrow().keys().copied().collect();
        open.into_iter().for_each(|id| self.set_timer(end, TimerKind::Answer(id)));
    }

    /// The id that the client gave an open request.
    fn trace(&self, id: RequestId) -> String {
        self.open.borrow().get(&id).map_or_else(String::new, |open| open.upstream_request.trace().to_owned())
    }

    /// The client has left without its answer.
    pub fn on_client_disconnected(&self, id: RequestId) {
        if self.finish(id).is_some() {
            debug!(trace = self.trace(id), "its client has left");
            self.post(Event::ClientDisconnected(id));
        }
    }

    /// Hands an event to the decisions, and then those that arise while their actions are carried out: an
    /// action may end an attempt, and the decisions must not be called while they are being obeyed.
    pub fn post(&self, event: Event) {
        self.queue.borrow_mut().push_back(event);
        if self.handling.replace(true) {
            return;
        }
        // Cleared also when something panics on the way, or the gateway would hear of nothing any more.
        struct Handling<'a>(&'a Cell<bool>);
        impl Drop for Handling<'_> {
            fn drop(&mut self) {
                self.0.set(false);
            }
        }
        let _handling = Handling(&self.handling);
        let mut actions = Vec::new();
        loop {
            let Some(event) = self.queue.borrow_mut().pop_front() else { return };
            self.handle(event, &mut actions);
        }
    }

    fn handle(&self, mut event: Event, actions: &mut Vec<Action>) {
        let subject = match &mut event {
            Event::Request(request) => Some(request.id),
            Event::Outcome(outcome) => {
                let open = self.open.borrow();
                outcome.finished = open.get(&outcome.id).is_none_or(|open| open.answer.is_none());
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
        };
        let now = self.clock.now();
        let decide = || (*self.decide.borrow_mut())(now, event, actions);
        if catch_unwind(AssertUnwindSafe(decide)).is_err() {
            // The panic's own line is on standard error. Other requests go on.
            if let Some(id) = subject.filter(|&id| self.answer(id, Answer::Broken)) {
                self.queue.borrow_mut().push_back(Event::ClientDisconnected(id));
            }
        }
        for action in actions.drain(..) {
            self.perform(now, action);
        }
        if let Some(id) = subject {
            let mut open = self.open.borrow_mut();
            if open
                .get(&id)
                .is_some_and(|o| o.answer.is_none() && o.attempts.iter().all(|a| a.task.is_none()))
            {
                open.remove(&id);
            }
        }
    }

    fn perform(&self, now: Time, action: Action) {
        match action {
            Action::Send { id, server, deadline: until, begin_by } => {
                self.send(now, id, server, (until, begin_by))
            }
            Action::Cancel { id, attempt } => self.stop(id, attempt, Status::Cancelled),
            Action::Reject { id, retry_after } => drop(self.answer(id, Answer::Refused { retry_after })),
            Action::Fail { id } => drop(self.answer(id, Answer::Failed)),
            Action::Timer { at, token } => self.set_timer(at, TimerKind::Timer(token)),
            // The watch runs from the start and resumes by itself.
            Action::Subscribe => {}
            Action::Log(text) => info!("{text}"),
        }
    }

    fn finish(&self, id: RequestId) -> Option<oneshot::Sender<Answer>> {
        self.open.borrow_mut().get_mut(&id)?.finish()
    }

    /// Gives the final answer; whether it is the first, which alone stands.
    fn answer(&self, id: RequestId, answer: Answer) -> bool {
        if let Some(open) = self.open.borrow().get(&id).filter(|open| open.answer.is_some()) {
            open.upstream_request.account.on_response_decided(matches!(answer, Answer::Served(_)));
            debug!(trace = open.upstream_request.trace(), how = answer.name(), "answered");
        }
        // Without a receiver the client has just left, and its connection will say so.
        self.finish(id).map(|client| drop(client.send(answer))).is_some()
    }

    fn send(&self, now: Time, id: RequestId, server: ServerId, (until, begin_by): (Time, Option<Time>)) {
        let mut all = self.open.borrow_mut();
        let Some(open) = all.get_mut(&id) else { return };
        let attempt = AttemptNo(open.attempts.len() as u32);
        let ends = open.upstream_request.account.deadline();
        let until = ends.map(|ends| if until == Time(0) { ends } else { until.min(ends) });
        let late = until.is_some_and(|until| until <= now);
        let moot = open.answer.is_none() || late || open.attempts.len() >= self.max_attempts;
        let never_sent = if moot { Some(Status::NotSent) } else { None };
        let peer = self.upstream.process_of(server);
        let task = match (never_sent, peer, self.me.upgrade()) {
            (None, Some(peer), Some(engine)) => {
                let order = open.upstream_request.clone();
                let task = spawn_local(async move {
                    let begun = |served| engine.on_stream_started(id, attempt, served);
                    let mut ending = pin!(engine.upstream.attempt(peer, &order, until, begin_by, begun));
                    if let Some(flow) = order.body.flow() {
                        tokio::select! {
                            biased;
                            () = flow.all() => engine.on_body_written(id, attempt),
                            ending = ending.as_mut() => return engine.on_attempt_ended(id, attempt, ending),
                        }
                    }
                    engine.on_attempt_ended(id, attempt, ending.await);
                });
                Some(task.abort_handle())
            }
            _ => None,
        };
        let out = task.is_some();
        debug!(trace = open.upstream_request.trace(), attempt = attempt.0, server = server.0, out, "attempt");
        open.attempts.push(Attempt { server, sent_at: now, deadline: until, task });
        self.links.sent(|| PeerProcessEvent::Sent {
            customer: open.request.customer,
            plan: open.request.plan,
            gateways: open.request.gateways,
            units: if attempt.0 == 0 { open.request.units } else { 0.0 },
            server,
        });
        drop(all);
        if out {
            if let Some(until) = until {
                self.set_timer(until, TimerKind::GiveUp(id, attempt));
            }
        } else {
            self.finish_attempt(id, attempt, now, never_sent.unwrap_or(Status::ConnectFailed).into());
        }
    }

    /// A server has the last of a body that was passed on. Until now the client was at it, so its time begins.
    fn on_body_written(&self, id: RequestId, attempt: AttemptNo) {
        let now = self.clock.now();
        let mut all = self.open.borrow_mut();
        let Some(open) = all.get_mut(&id) else { return };
        open.upstream_request.account.on_complete(Duration::ZERO);
        let deadline = open.upstream_request.account.latest_deadline();
        if let Some(attempt) = open.attempts.get_mut(attempt.0 as usize) {
            (attempt.sent_at, attempt.deadline) = (now, Some(deadline));
        }
        drop(all);
        self.set_timer(deadline, TimerKind::Answer(id));
        self.set_timer(deadline, TimerKind::GiveUp(id, attempt));
        self.post(Event::BodyWritten { id, attempt, deadline });
    }

    /// A long answer has begun: it is the client's, and no time bounds the attempt any more.
    fn on_stream_started(&self, id: RequestId, attempt: AttemptNo, served: ServedResponse) {
        if let Some(open) = self.open.borrow_mut().get_mut(&id) {
            if let Some(attempt) = open.attempts.get_mut(attempt.0 as usize) {
                attempt.deadline = None;
            }
        }
        self.post(Event::StreamStarted { id, attempt });
        self.answer(id, Answer::Served(served));
    }

    /// Gives an attempt up, if it is still out, by closing its connection.
    fn stop(&self, id: RequestId, attempt: AttemptNo, status: Status) {
        if let Some((sent, task)) = self.take(id, attempt) {
            task.abort();
            self.finish_attempt(id, attempt, sent, status.into());
        }
    }

    /// An attempt has ended by itself. The first whole answer is the client's.
    fn on_attempt_ended(&self, id: RequestId, attempt: AttemptNo, mut ending: AttemptEnd) {
        if ending.status == Status::Cancelled {
            // The client left in the middle of its answer. Told while the attempt is out still: its end comes next.
            self.post(Event::ClientDisconnected(id));
        }
        if let Some((sent, _)) = self.take(id, attempt) {
            if let Some(served) = ending.served.take() {
                self.answer(id, Answer::Served(served));
            }
            self.finish_attempt(id, attempt, sent, ending);
        }
    }

    /// Takes an attempt that is out off the list, so that it ends but once.
    fn take(&self, id: RequestId, attempt: AttemptNo) -> Option<(Time, AbortHandle)> {
        let mut open = self.open.borrow_mut();
        let attempt = open.get_mut(&id)?.attempts.get_mut(attempt.0 as usize)?;
        attempt.task.take().map(|task| (attempt.sent_at, task))
    }

    fn finish_attempt(&self, id: RequestId, attempt: AttemptNo, sent: Time, ending: AttemptEnd) {
        let elapsed = Duration::from_nanos(self.clock.now().0.saturating_sub(sent.0));
        let mut last = false;
        if let Some(open) = self.open.borrow().get(&id) {
            open.upstream_request.account.begin_wait();
            debug!(
                trace = open.upstream_request.trace(),
                attempt = attempt.0,
                status = ?ending.status,
                elapsed_us = elapsed.as_micros() as u64,
                "attempt ended"
            );
            last = open.upstream_request.body.flow().is_some_and(|flow| flow.is_consumed());
            if let Some(Attempt { server, .. }) = open.attempts.get(attempt.0 as usize) {
                let (customer, server) = (open.request.customer, *server);
                let answered = ending.status == Status::Ok;
                self.links.sent(|| PeerProcessEvent::Ended { customer, server, answered });
            }
        }
        if let Some(cell) = ending.moved {
            self.post(Event::PlacementMoved { id, cell });
        }
        self.post(Event::Outcome(Outcome {
            id,
            attempt,
            status: ending.status,
            elapsed,
            // Known when its turn comes.
            finished: false,
            metered_use: ending.metered,
            actual_units: None,
            report: ending.report,
            not_retryable: last,
        }));
    }

    fn set_timer(&self, at: Time, due: TimerKind) {
        let mut timers = self.timers.borrow_mut();
        if timers.peek().is_none_or(|Reverse((first, _))| at < *first) {
            self.sooner.notify_one();
        }
        timers.push(Reverse((at, due)));
    }

    /// Runs the timers, for good.
    pub async fn run_timers(&self) {
        loop {
            match self.next_timer().map(|at| at.0.saturating_sub(self.clock.now().0)) {
                Some(0) => {
                    let due = self.timers.borrow_mut().pop();
                    if let Some(Reverse((_, due))) = due {
                        self.on_timer(due);
                    }
                }
                Some(left) => drop(timeout(Duration::from_nanos(left), self.sooner.notified()).await),
                None => self.sooner.notified().await,
            }
        }
    }

    /// When the next timer is due. Those of attempts and requests that are over are dropped on the way: most
    /// are, and each would wake the process for nothing.
    fn next_timer(&self) -> Option<Time> {
        let (mut timers, open) = (self.timers.borrow_mut(), self.open.borrow());
        while let Some(Reverse((at, due))) = timers.peek() {
            let wanted = match due {
                TimerKind::Timer(_) => true,
                TimerKind::GiveUp(id, _) | TimerKind::Answer(id) => open.contains_key(id),
            };
            if wanted {
                return Some(*at);
            }
            timers.pop();
        }
        None
    }

    fn on_timer(&self, due: TimerKind) {
        match due {
            TimerKind::Timer(token) => self.post(Event::Timer(token)),
            TimerKind::GiveUp(id, attempt) => {
                let open = self.open.borrow();
                let until =
                    open.get(&id).and_then(|o| o.attempts.get(attempt.0 as usize)).and_then(|a| a.deadline);
                drop(open);
                if until.is_some_and(|until| until <= self.clock.now()) {
                    self.stop(id, attempt, Status::TimedOut);
                }
            }
            TimerKind::Answer(id) => {
                if self.answer(id, Answer::Overdue) {
                    self.post(Event::ClientDisconnected(id));
                }
            }
        }
    }

    /// Closes connections to servers that have stood idle, for good.
    pub async fn run_sweeps(&self) {
        loop {
            sleep(Duration::from_secs(1)).await;
            self.upstream.sweep();
        }
    }
}

#[cfg(test)]
mod tests;
