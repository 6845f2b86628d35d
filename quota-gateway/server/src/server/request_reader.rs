//! Reads and validates a client's request.
//!
//! The head is validated completely before any byte of the body is read. A header that occurs twice is
//! rejected, because another recipient might use the other value.

use super::response::{bad_request, body_timeout, payload_too_large, Rejection};
use super::serving::ClientSocket;
use super::ClientServer;
use crate::body::request_body::{RequestBody, StreamedBody};
use crate::body::transfer_rate::TransferRate;
use crate::body::{next_data, MAX_BODY_BYTES, MAX_BUFFERED_BYTES};
use crate::request_budget::RequestBudget;
use crate::upstream::request::{UpstreamRequest, EXPIRES_IN};
use hyper::body::{Body, Incoming};
use hyper::header::{HeaderMap, HeaderName, CONTENT_TYPE};
use hyper::http::request::Parts;
use hyper::{Method, Request, StatusCode};
use marblecroft_quota_gateway_core::{ClassId, CustomerId, Effect, NewRequest, PlanId, RequestId};
use marblecroft_simulator_adapter::GatewaySettings;
use std::cell::{Cell, RefCell};
use std::collections::HashSet;
use std::time::{Duration, Instant};
use tokio::time::timeout;

/// The operating system reports the age of received bytes in ticks, and this is the longest tick in use.
/// Bytes with a lower age have only just arrived.
const SYSTEM_TICK: Duration = Duration::from_millis(10);
/// Customer numbers are below this limit of the protocol.
const CUSTOMER_ID_LIMIT: u64 = 1 << 33;
/// The number of hexadecimal digits of a customer's number and of a trace id.
const ID_DIGITS: usize = 16;

const TRACE_ID: HeaderName = HeaderName::from_static("x-trace-id");
const CLASS: HeaderName = HeaderName::from_static("x-qos");
const PLAN: HeaderName = HeaderName::from_static("x-contract");
const CUSTOMER: HeaderName = HeaderName::from_static("x-client-id");
const METERING: HeaderName = HeaderName::from_static("x-metering");
const RETRY: HeaderName = HeaderName::from_static("x-second-try");
const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");

/// A request that has passed validation.
pub struct AdmittedRequest<'a> {
    /// The request as passed to the core; the engine sets its id.
    pub request: NewRequest,
    /// The message for servers.
    pub upstream_request: UpstreamRequest,
    /// Reserves the trace id until the request ends.
    pub _open_trace_id: TraceIdGuard<'a>,
}

/// The trace id of a request in flight, released on drop.
pub struct TraceIdGuard<'a> {
    ids: &'a RefCell<HashSet<u64>>,
    id: u64,
}

impl Drop for TraceIdGuard<'_> {
    fn drop(&mut self) {
        self.ids.borrow_mut().remove(&self.id);
    }
}

/// The values of a valid head.
struct RequestHead {
    class: usize,
    plan: usize,
    trace_id: u64,
    customer: CustomerId,
    client_timeout: Duration,
    metering: Metering,
}

/// The value of the metering header.
struct Metering {
    units: f64,
    /// The number of gateways over which the customer spreads its requests.
    gateways: u32,
}

impl ClientServer {
    /// Validates a request, and reads its body, or the start of a long one.
    pub(super) async fn read_request(
        &self,
        request: Request<Incoming>,
        socket: &ClientSocket,
    ) -> Result<AdmittedRequest<'_>, Rejection> {
        let (parts, body) = request.into_parts();
        let head = read_head(&self.gateway_settings, &parts)?;
        let open_trace_id = self
            .reserve_trace_id(head.trace_id)
            .ok_or_else(|| bad_request(format!("{TRACE_ID} is that of an open request")))?;
        if body.size_hint().lower() > MAX_BODY_BYTES as u64 {
            return Err(payload_too_large());
        }
        let head_duration = socket.observer.head_duration.get();
        let budget = self.engine.budgets.begin(head.class, head.client_timeout, head_duration);
        let body = read_body(body, &budget).await?;
        // The client's timeout starts at the last byte, which a streamed body has not received yet.
        let is_streamed = body.as_streamed().is_some();
        if !is_streamed {
            // The request may have waited in the listener's queue, or for a busy or suspended process.
            let unread_for = socket.time_since_last_received().filter(|&age| age >= SYSTEM_TICK);
            budget.on_complete(unread_for.unwrap_or_default());
        }
        let request = NewRequest {
            // Set by the engine.
            id: RequestId(0),
            class: ClassId(head.class),
            plan: PlanId(head.plan),
            customer: head.customer,
            deadline: budget.latest_deadline(),
            units: head.metering.units,
            gateways: head.metering.gateways,
            is_retry: parts.headers.get(RETRY).is_some_and(|value| value == "1"),
            body_in_flight: is_streamed,
        };
        let upstream_request = UpstreamRequest {
            uri: parts.uri.path_and_query().cloned().map_or_else(Default::default, Into::into),
            headers: forwarded_headers(&parts.headers),
            body,
            written_firm: (parts.method != Method::GET).then_some(head.customer.0),
            method: parts.method,
            budget,
            is_finished: Cell::new(false),
        };
        Ok(AdmittedRequest { request, upstream_request, _open_trace_id: open_trace_id })
    }

    /// Reserves a trace id. Returns `None` if a request in flight has it; that request is not affected.
    fn reserve_trace_id(&self, id: u64) -> Option<TraceIdGuard<'_>> {
        let ids = &self.open_trace_ids;
        ids.borrow_mut().insert(id).then(|| TraceIdGuard { ids, id })
    }
}

/// Validates a head.
fn read_head(gateway_settings: &GatewaySettings, parts: &Parts) -> Result<RequestHead, Rejection> {
    let headers = &parts.headers;
    let index_of = |names: &[String], name: &str| names.iter().position(|known| known == name);
    let path_class = parts.uri.path().split('/').nth(1).unwrap_or_default();
    let class = index_of(&gateway_settings.classes, path_class).ok_or_else(|| Rejection {
        status: StatusCode::NOT_FOUND,
        reason: format!("no class {path_class:?}"),
    })?;
    if index_of(&gateway_settings.classes, single_value(headers, &CLASS)?) != Some(class) {
        return Err(bad_request(format!("{CLASS} is not the class of the path")));
    }
    let plan = index_of(&gateway_settings.plans, single_value(headers, &PLAN)?)
        .ok_or_else(|| bad_request(format!("{PLAN} names no plan")))?;
    let trace_id = parse_id(single_value(headers, &TRACE_ID)?).ok_or_else(|| unreadable(&TRACE_ID))?;
    let customer = parse_id(single_value(headers, &CUSTOMER)?)
        .filter(|&number| number < CUSTOMER_ID_LIMIT)
        .map(CustomerId)
        .ok_or_else(|| unreadable(&CUSTOMER))?;
    let client_timeout =
        parse_seconds(single_value(headers, &EXPIRES_IN)?).ok_or_else(|| unreadable(&EXPIRES_IN))?;
    let metering = parse_metering(gateway_settings, single_value(headers, &METERING)?)
        .ok_or_else(|| unreadable(&METERING))?;
    check_method(gateway_settings.settings.classes[class].effect, path_class, parts)?;
    // The settings limit the timeout of a class, so that no request stays open forever.
    let client_timeout = client_timeout.min(gateway_settings.settings.classes[class].deadline);
    Ok(RequestHead { class, plan, trace_id, customer, client_timeout, metering })
}

/// Checks that the method is that of the class, and that a request of a class with idempotency keys has one.
fn check_method(effect: Effect, class: &str, parts: &Parts) -> Result<(), Rejection> {
    let method = match effect {
        Effect::Safe => Method::GET,
        Effect::Keyed { .. } => {
            single_value(&parts.headers, &IDEMPOTENCY_KEY)?;
            Method::POST
        }
        Effect::Unsafe => Method::POST,
    };
    if parts.method != method {
        return Err(bad_request(format!("{class} takes {method}")));
    }
    Ok(())
}

/// The headers that are forwarded to servers unchanged.
fn forwarded_headers(headers: &HeaderMap) -> HeaderMap {
    [TRACE_ID, IDEMPOTENCY_KEY, CONTENT_TYPE]
        .into_iter()
        .filter_map(|name| headers.get(&name).cloned().map(|value| (name, value)))
        .collect()
}

/// Reads a body, or the start of a long one. The timeouts reject a client that has stopped sending.
async fn read_body(mut body: Incoming, budget: &RequestBudget) -> Result<RequestBody, Rejection> {
    let length = body.size_hint().exact();
    let mut rate = TransferRate::waiting();
    let mut received = Vec::new();
    while !body.is_end_stream() {
        let until_deadline = rate
            .deadline()
            .map_or(Duration::ZERO, |deadline| deadline.saturating_duration_since(Instant::now()));
        match timeout(budget.limit_wait(until_deadline), next_data(&mut body)).await {
            Ok(Ok(Some(data))) => {
                received.extend_from_slice(&data);
                rate.on_received_awaiting_more(data.len());
            }
            Ok(Ok(None)) => break,
            Ok(Err(_)) => return Err(bad_request("a body that is cut off")),
            Err(_) => return Err(body_timeout()),
        }
        if received.len() > MAX_BUFFERED_BYTES {
            return Ok(RequestBody::Streamed(StreamedBody::new(received.into(), body, length)));
        }
    }
    Ok(RequestBody::Buffered(received.into()))
}

/// Returns the value of a header that must occur exactly once.
fn single_value<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Result<&'a str, Rejection> {
    let mut values = headers.get_all(name).iter();
    let value = values.next().ok_or_else(|| bad_request(format!("{name} is missing")))?;
    if values.next().is_some() {
        return Err(bad_request(format!("{name} comes more than once")));
    }
    value.to_str().map(str::trim).ok().filter(|text| !text.is_empty()).ok_or_else(|| unreadable(name))
}

fn unreadable(name: &HeaderName) -> Rejection {
    bad_request(format!("{name} is unreadable"))
}

/// Parses the hexadecimal number of a customer or a trace.
fn parse_id(text: &str) -> Option<u64> {
    let is_valid = text.len() == ID_DIGITS && text.bytes().all(|b| b.is_ascii_hexdigit());
    u64::from_str_radix(text, 16).ok().filter(|_| is_valid)
}

/// Parses a positive number of seconds.
fn parse_seconds(text: &str) -> Option<Duration> {
    Duration::try_from_secs_f64(text.parse().ok()?).ok().filter(|duration| !duration.is_zero())
}

/// Parses `units=2,spread=3,first=1`: the units, the number of gateways over which the customer spreads its
/// requests, and the first of them, which must be an existing gateway.
fn parse_metering(gateway_settings: &GatewaySettings, text: &str) -> Option<Metering> {
    let (mut units, mut spread, mut first) = (None, None, None);
    for pair in text.split(',') {
        let (name, value) = pair.split_once('=')?;
        let value = value.trim();
        let is_duplicate = match name.trim() {
            "units" => units.replace(value.parse::<f64>().ok()?).is_some(),
            "spread" => spread.replace(value.parse::<u32>().ok()?).is_some(),
            "first" => first.replace(value.parse::<u32>().ok()?).is_some(),
            _ => false,
        };
        if is_duplicate {
            return None;
        }
    }
    let settings = &gateway_settings.settings;
    let max_units = if settings.max_units > 0.0 { settings.max_units } else { f64::MAX };
    first.filter(|&first| first < settings.gateways)?;
    Some(Metering {
        units: units.filter(|units| (1.0..=max_units).contains(units))?,
        gateways: spread.filter(|spread| (1..=settings.gateways).contains(spread))?,
    })
}
