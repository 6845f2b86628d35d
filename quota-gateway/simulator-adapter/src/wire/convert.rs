//! Converts events and actions between the wire format and the decision logic.

use super::action::WireAction;
use super::error::EventError;
use super::event::{AttemptEnded, Member, NewRequest, WireEvent, RETRY_BIT};
use marblecroft_quota_gateway_core as decisions;
use std::time::Duration;

/// A converted event.
pub enum Incoming {
    /// A gateway starts, with the seed of its random numbers.
    Start {
        /// The seed.
        seed: u64,
        /// Settings of the decision logic.
        settings: Box<decisions::Settings>,
    },
    /// A gateway stops.
    Stop,
    /// A response to an action that the decision logic never performs.
    Unused,
    /// An event for the decision logic.
    Event(decisions::Event),
}

/// Converts an event. Also returns the name of the gateway that it is addressed to.
///
/// # Errors
///
/// [`EventError`] if a field has an unknown or invalid value.
pub fn read_event(event: WireEvent) -> Result<(String, Incoming), EventError> {
    Ok(match event {
        WireEvent::Init(init) => {
            let settings = Box::new(init.gateway_settings.settings);
            (init.gateway_id, Incoming::Start { seed: init.seed, settings })
        }
        WireEvent::PowerOff(event) => (event.gateway_id, Incoming::Stop),
        WireEvent::Sampled(event) | WireEvent::Message(event) | WireEvent::LedgerReply(event) => {
            (event.gateway_id, Incoming::Unused)
        }
        WireEvent::ServerListUpdate(update) => {
            let (scope, servers) = server_list(update.scope, update.members)?;
            (update.gateway_id, Incoming::Event(decisions::Event::Servers { scope, servers }))
        }
        WireEvent::NewRequest(request) => {
            let event = decisions::Event::Request(new_request(&request)?);
            (request.gateway_id, Incoming::Event(event))
        }
        WireEvent::Headers(headers) => {
            let (id, attempt) =
                (decisions::RequestId(headers.request_id), decisions::AttemptNo(headers.attempt));
            (headers.gateway_id, Incoming::Event(decisions::Event::StreamStarted { id, attempt }))
        }
        WireEvent::AttemptEnded(ended) => {
            let event = decisions::Event::Outcome(outcome(&ended)?);
            (ended.gateway_id, Incoming::Event(event))
        }
        WireEvent::ClientDisconnected(disconnected) => {
            let event = decisions::Event::ClientDisconnected(decisions::RequestId(disconnected.request_id));
            (disconnected.gateway_id, Incoming::Event(event))
        }
        WireEvent::TimerExpired(timer) => {
            (timer.gateway_id, Incoming::Event(decisions::Event::Timer(decisions::Token(timer.token))))
        }
    })
}

fn server_list(
    scope: String,
    members: Vec<Member>,
) -> Result<(decisions::Scope, Vec<decisions::ServerInfo>), EventError> {
    let scope = match scope.as_str() {
        "delta" => decisions::Scope::Delta,
        "full" | "cached" => decisions::Scope::Full,
        "failed" => decisions::Scope::Failed,
        _ => return Err(EventError::UnknownScope(scope)),
    };
    let servers = members.into_iter().map(server_info).collect::<Result<_, _>>()?;
    Ok((scope, servers))
}

fn server_info(member: Member) -> Result<decisions::ServerInfo, EventError> {
    let lifecycle = match member.lifecycle.as_str() {
        "Running" => decisions::Lifecycle::Running,
        "Stopping" => decisions::Lifecycle::Draining,
        "Deleted" => decisions::Lifecycle::Unlisted,
        _ => return Err(EventError::UnknownLifecycle(member.lifecycle)),
    };
    Ok(decisions::ServerInfo {
        id: decisions::ServerId(member.server),
        zone: member.zone,
        cell: member.cell,
        kind: member.kind,
        lifecycle,
        capacity: member.capacity,
        started: (member.started_at > 0).then_some(decisions::Time(member.started_at)),
    })
}

fn new_request(request: &NewRequest) -> Result<decisions::NewRequest, EventError> {
    Ok(decisions::NewRequest {
        id: decisions::RequestId(request.request_id),
        class: decisions::ClassId(request.class),
        plan: decisions::PlanId(request.plan),
        customer: customer(&request.customer)?,
        deadline: decisions::Time(request.deadline),
        units: request.units,
        gateways: request.gateways as u32,
        is_retry: request.flags & RETRY_BIT != 0,
        body_in_flight: false,
    })
}

/// Parses a customer's hexadecimal identifier. An empty one means customer 0.
fn customer(client_id: &str) -> Result<decisions::CustomerId, EventError> {
    if client_id.is_empty() {
        return Ok(decisions::CustomerId(0));
    }
    let id = u64::from_str_radix(client_id, 16);
    id.map(decisions::CustomerId).map_err(|cause| EventError::InvalidClientId(client_id.to_owned(), cause))
}

fn outcome(ended: &AttemptEnded) -> Result<decisions::Outcome, EventError> {
    Ok(decisions::Outcome {
        id: decisions::RequestId(ended.request_id),
        attempt: decisions::AttemptNo(ended.attempt),
        status: status(ended.status)?,
        elapsed: Duration::from_nanos(ended.elapsed),
        finished: ended.is_finished,
        // On the wire, 0 means that there is no value, and 1 to 101 mean 0 to 100 percent.
        metered_use: (ended.metered_use > 0).then(|| (ended.metered_use - 1) as f64 / 100.0),
        actual_units: (ended.actual_units > 0.0).then_some(ended.actual_units),
        not_retryable: false,
        report: decisions::LoadReport {
            queue: ended.load_report.get("queue").copied(),
            utilization: ended.load_report.get("util").copied(),
        },
    })
}

fn status(code: u32) -> Result<decisions::Status, EventError> {
    Ok(match code {
        0 => decisions::Status::Ok,
        255 => decisions::Status::Error,
        254 => decisions::Status::Rejected,
        253 => decisions::Status::TimedOut,
        252 => decisions::Status::ConnectFailed,
        251 => decisions::Status::Reset,
        250 => decisions::Status::Cancelled,
        249 => decisions::Status::NotSent,
        unknown => return Err(EventError::UnknownStatus(unknown)),
    })
}

/// Converts an action of a gateway.
pub fn write_action(gateway: &str, action: decisions::Action) -> WireAction {
    let gateway_id = gateway.to_owned();
    match action {
        decisions::Action::Send { id, server, deadline, .. } => {
            WireAction::Send { gateway_id, request_id: id.0, deadline: deadline.0, server: server.0 }
        }
        decisions::Action::Cancel { id, attempt } => {
            WireAction::Cancel { gateway_id, request_id: id.0, attempt: attempt.0 }
        }
        decisions::Action::Reject { id, retry_after } => {
            let retry_after = u64::try_from(retry_after.as_nanos()).unwrap_or(u64::MAX);
            WireAction::Reject { gateway_id, request_id: id.0, retry_after }
        }
        decisions::Action::Fail { id } => WireAction::Fail { gateway_id, request_id: id.0 },
        decisions::Action::Timer { at, token } => {
            WireAction::SetTimer { gateway_id, due_at: at.0, token: token.0 }
        }
        decisions::Action::Subscribe => WireAction::Subscribe { gateway_id, active: true },
        decisions::Action::Log(text) => WireAction::Log { gateway_id, text },
    }
}
