//! Calls and answers as bytes: HTTP/1.1, one call at a time on a connection, bodies with a length.

use crate::format::{ListRequest, HOSTS};
use crate::store::{Command, Image, Record, Refusal, Registration, MAX_LEASE, MAX_NAME_BYTES, MIN_LEASE};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::time::Duration;

/// A call's head holds at most this much ...
pub const MAX_HEAD_BYTES: usize = 8 << 10;
/// ... and so many lines, ...
const MAX_HEADER_LINES: usize = 32;
/// ... and its body this.
pub const MAX_BODY_BYTES: usize = 4 << 10;
/// The greatest weight of a server, in those of others.
const MAX_WEIGHT: f64 = 1e6;

/// What is said to a call that is not carried out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct No {
    pub status: u16,
    /// One line, which names the field where there is one.
    pub why: String,
    /// Seconds after which to come back.
    pub retry_after: Option<u32>,
}

impl No {
    pub fn new(status: u16, why: impl Into<String>) -> No {
        No { status, why: why.into(), retry_after: None }
    }

    /// There is no room for it now; what the caller holds is as good as before.
    pub fn busy(why: &str) -> No {
        No { retry_after: Some(1), ..No::new(503, why) }
    }
}

impl From<Refusal> for No {
    fn from(refusal: Refusal) -> No {
        match refusal {
            Refusal::Unknown => No::new(404, "id: no such server, or its lease has ended"),
            Refusal::Conflict { revision } => No::new(409, format!("revision: the entry is at {revision}")),
            Refusal::TooLong => No::new(413, "id: with it the list would be longer than gateways read"),
        }
    }
}

/// A call, as it came.
#[derive(Debug, PartialEq, Eq)]
pub struct Call {
    pub method: String,
    pub path: String,
    pub query: String,
    pub body: Vec<u8>,
    /// The connection is kept after the answer.
    pub keeps: bool,
}

#[derive(Debug, PartialEq, Eq)]
pub enum Read {
    /// More has to come.
    Part,
    /// A call, and how many bytes it took.
    Whole(Call, usize),
    /// None, and none can follow on its connection.
    Unreadable(No),
}

/// Reads a call from the beginning of what has come.
pub fn read(bytes: &[u8]) -> Read {
    let mut lines = [httparse::EMPTY_HEADER; MAX_HEADER_LINES];
    let mut request = httparse::Request::new(&mut lines);
    let head = match request.parse(bytes) {
        Ok(httparse::Status::Complete(head)) if head <= MAX_HEAD_BYTES => head,
        Ok(httparse::Status::Partial) if bytes.len() <= MAX_HEAD_BYTES => return Read::Part,
        Ok(_) | Err(httparse::Error::TooManyHeaders) => {
            return Read::Unreadable(No::new(431, "the head is too long"));
        }
        Err(e) => return Read::Unreadable(No::new(400, format!("the head cannot be read: {e}"))),
    };
    let mut length = None;
    let mut keeps = request.version == Some(1);
    for header in request.headers.iter() {
        let value = std::str::from_utf8(header.value).unwrap_or_default().trim();
        if header.name.eq_ignore_ascii_case("content-length") {
            let Some(told) =
                value.bytes().all(|b| b.is_ascii_digit()).then(|| value.parse::<usize>().ok()).flatten()
            else {
                return Read::Unreadable(No::new(400, "content-length: no whole number"));
            };
            if length.replace(told).is_some() {
                return Read::Unreadable(No::new(400, "content-length: comes more than once"));
            }
        } else if header.name.eq_ignore_ascii_case("transfer-encoding") {
            return Read::Unreadable(No::new(400, "transfer-encoding: bodies come with their length here"));
        } else if header.name.eq_ignore_ascii_case("connection") {
            keeps &= !value.split(',').any(|word| word.trim().eq_ignore_ascii_case("close"));
        }
    }
    let length = length.unwrap_or(0);
    if length > MAX_BODY_BYTES {
        return Read::Unreadable(No::new(413, format!("the body is longer than {MAX_BODY_BYTES} bytes")));
    }
    let Some(body) = bytes.get(head..head + length) else { return Read::Part };
    let target = request.path.unwrap_or_default();
    let (path, query) = target.split_once('?').unwrap_or((target, ""));
    let call = Call {
        method: request.method.unwrap_or_default().to_owned(),
        path: path.to_owned(),
        query: query.to_owned(),
        body: body.to_vec(),
        keeps,
    };
    Read::Whole(call, head + length)
}

/// What is asked.
#[derive(Debug, PartialEq)]
pub enum Request {
    Hosts(ListRequest),
    /// One entry, with its revision and lease.
    Show {
        id: String,
    },
    /// How the service is.
    Status,
    /// What a replica that holds this lacks.
    Records(Replica),
    /// This process is to write from now on, under this epoch.
    Promote {
        epoch: u64,
    },
    Command(Command),
}

/// How far a replica is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Replica {
    pub store: u64,
    pub epoch: u64,
    pub version: u64,
    /// How long it waits where it lacks nothing.
    pub wait_ms: u64,
}

/// What it lacks: changes, or all of another store or epoch.
#[derive(Debug, Serialize, Deserialize)]
pub struct Replicated {
    pub epoch: u64,
    pub records: Vec<Record>,
    pub image: Option<Image>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Promoting {
    epoch: u64,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Registering {
    id: String,
    addr: SocketAddr,
    #[serde(default)]
    zone: String,
    #[serde(default)]
    kind: String,
    #[serde(default)]
    cell: u32,
    #[serde(default = "one")]
    weight: f64,
    lease_ms: Option<u64>,
    revision: Option<u64>,
}

fn one() -> f64 {
    1.0
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Naming {
    id: String,
    revision: Option<u64>,
}

fn body<T: DeserializeOwned>(body: &[u8]) -> Result<T, No> {
    let mut deserializer = serde_json::Deserializer::from_slice(body);
    let value = serde_path_to_error::deserialize(&mut deserializer);
    let value = value.map_err(|e| No::new(400, single_line(&e.to_string())))?;
    deserializer.end().map_err(|_| No::new(400, "the body holds more than one value"))?;
    Ok(value)
}

/// What is repeated to the caller holds no line's end of the caller's.
fn single_line(text: &str) -> String {
    text.chars().map(|c| if c.is_control() { ' ' } else { c }).take(200).collect()
}

fn named(field: &str, name: &str, may_be_empty: bool) -> Result<(), No> {
    if name.len() > MAX_NAME_BYTES {
        return Err(No::new(400, format!("{field}: longer than {MAX_NAME_BYTES} bytes")));
    }
    if name.is_empty() && !may_be_empty {
        return Err(No::new(400, format!("{field}: empty")));
    }
    Ok(())
}

/// Reads what a call asks.
pub fn understood(call: &Call) -> Result<Request, No> {
    let takes = |method: &str| {
        if call.method == method {
            Ok(())
        } else {
            Err(No::new(405, format!("this call takes {method}")))
        }
    };
    let naming = || -> Result<Naming, No> {
        takes("POST")?;
        let naming: Naming = body(&call.body)?;
        named("id", &naming.id, false)?;
        Ok(naming)
    };
    let command = match call.path.as_str() {
        HOSTS => {
            takes("GET")?;
            return ListRequest::of_query(&call.query).map(Request::Hosts).map_err(|why| No::new(400, why));
        }
        "/discovery/status" => return takes("GET").map(|()| Request::Status),
        "/discovery/show" => {
            let Naming { id, .. } = naming()?;
            return Ok(Request::Show { id });
        }
        "/discovery/register" => {
            takes("POST")?;
            registering(body(&call.body)?)?
        }
        "/discovery/records" => {
            takes("POST")?;
            return body(&call.body).map(Request::Records);
        }
        "/discovery/promote" => {
            takes("POST")?;
            let Promoting { epoch } = body(&call.body)?;
            return Ok(Request::Promote { epoch });
        }
        "/discovery/renew" => Command::Renew { id: naming()?.id },
        "/discovery/drain" => naming().map(|Naming { id, revision }| Command::Drain { id, revision })?,
        "/discovery/undrain" => naming().map(|Naming { id, revision }| Command::Undrain { id, revision })?,
        "/discovery/deregister" => {
            naming().map(|Naming { id, revision }| Command::Deregister { id, revision })?
        }
        _ => return Err(No::new(404, "no such call")),
    };
    Ok(Request::Command(command))
}

fn registering(told: Registering) -> Result<Command, No> {
    named("id", &told.id, false)?;
    named("zone", &told.zone, true)?;
    named("kind", &told.kind, true)?;
    if !(told.weight > 0.0 && told.weight <= MAX_WEIGHT) {
        return Err(No::new(400, format!("weight: not above 0 and up to {MAX_WEIGHT}")));
    }
    let lease = told.lease_ms.map(Duration::from_millis);
    if lease.is_some_and(|lease| !(MIN_LEASE..=MAX_LEASE).contains(&lease)) {
        let (least, most) = (MIN_LEASE.as_millis(), MAX_LEASE.as_millis());
        return Err(No::new(400, format!("lease_ms: not from {least} to {most}")));
    }
    let server = Registration {
        id: told.id,
        addr: told.addr,
        zone: told.zone,
        kind: told.kind,
        cell: told.cell,
        // Longer fractions may be read as their neighbour, and would then be another weight.
        weight: (told.weight * 1000.0).ceil() / 1000.0,
    };
    Ok(Command::Register { server, lease, revision: told.revision })
}

fn reason_phrase(status: u16) -> &'static str {
    match status {
        200 => "OK",
        400 => "Bad Request",
        404 => "Not Found",
        405 => "Method Not Allowed",
        408 => "Request Timeout",
        409 => "Conflict",
        413 => "Content Too Large",
        431 => "Request Header Fields Too Large",
        503 => "Service Unavailable",
        _ => "Error",
    }
}

/// An answer of JSON, to be shared by all who get the same.
pub fn yes(body: &[u8], keeps: bool) -> Vec<u8> {
    let connection = if keeps { "" } else { "Connection: close\r\n" };
    let mut answer = format!(
        "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {}\r\n{connection}\r\n",
        body.len()
    )
    .into_bytes();
    answer.extend_from_slice(body);
    answer
}

/// A call, as a replica makes it, after which the connection is closed.
pub fn call(method: &str, path: &str, body: &[u8]) -> Vec<u8> {
    let length = body.len();
    let head = format!(
        "{method} {path} HTTP/1.1\r\nHost: list\r\nContent-Length: {length}\r\nConnection: close\r\n\r\n"
    );
    [head.as_bytes(), body].concat()
}

/// The body of a whole answer of 200; why there is none.
pub fn answered(bytes: &[u8]) -> Result<&[u8], String> {
    let mut lines = [httparse::EMPTY_HEADER; MAX_HEADER_LINES];
    let mut response = httparse::Response::new(&mut lines);
    let Ok(httparse::Status::Complete(head)) = response.parse(bytes) else {
        return Err("an answer that cannot be read".to_owned());
    };
    let length = response.headers.iter().find(|header| header.name.eq_ignore_ascii_case("content-length"));
    let length =
        length.and_then(|header| std::str::from_utf8(header.value).ok()?.trim().parse::<usize>().ok());
    let body = length.and_then(|length| bytes.get(head..)?.get(..length));
    match (response.code, body) {
        (Some(200), Some(body)) => Ok(body),
        (Some(200), None) => Err("an answer that is cut off".to_owned()),
        (code, body) => {
            let why = body.map(|body| single_line(&String::from_utf8_lossy(body))).unwrap_or_default();
            Err(format!("answered {}: {}", code.unwrap_or(0), why.trim()))
        }
    }
}

pub fn no(no: &No, keeps: bool) -> Vec<u8> {
    let connection = if keeps { "" } else { "Connection: close\r\n" };
    let retry = no.retry_after.map(|after| format!("Retry-After: {after}\r\n")).unwrap_or_default();
    let (status, word, why) = (no.status, reason_phrase(no.status), &no.why);
    format!(
        "HTTP/1.1 {status} {word}\r\nContent-Type: text/plain; charset=utf-8\r\nContent-Length: {}\r\n{retry}{connection}\r\n{why}\n",
        why.len() + 1
    )
    .into_bytes()
}
