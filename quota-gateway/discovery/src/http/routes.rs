//! The service's API: paths, methods and JSON bodies.

use super::error::{single_line, HttpError};
use super::request::HttpRequest;
use crate::format::{ListRequest, HOSTS};
use crate::store::{Command, Record, Registration, Snapshot, MAX_LEASE, MAX_NAME_BYTES, MIN_LEASE};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::time::Duration;

/// The maximum weight of a server.
const MAX_WEIGHT: f64 = 1e6;

/// A request to the service.
#[derive(Debug, PartialEq)]
pub enum ApiRequest {
    /// Returns the list, or waits for its changes.
    List(ListRequest),
    /// Returns one entry with its revision and lease.
    Show {
        /// The entry's id.
        id: String,
    },
    /// Returns the state of the service.
    Status,
    /// Returns the changes that a replica does not have yet.
    Replicate(ReplicationRequest),
    /// Makes this process the writer.
    Promote {
        /// The new epoch, which must be higher than all earlier ones.
        epoch: u64,
    },
    /// Changes an entry.
    Command(Command),
}

/// A replica's request for changes, with the version that it has.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ReplicationRequest {
    /// The origin of its store.
    pub store: u64,
    /// Its epoch.
    pub epoch: u64,
    /// Its version.
    pub version: u64,
    /// The maximum time that the writer waits for changes, in milliseconds.
    pub wait_ms: u64,
}

/// The response to a replica: the changes that it does not have yet.
#[derive(Debug, Serialize, Deserialize)]
pub struct ReplicationResponse {
    /// The writer's epoch.
    pub epoch: u64,
    /// The changes after the replica's version.
    pub records: Vec<Record>,
    /// The full state, if the replica has another store or epoch or its version is too old.
    #[serde(rename = "image")]
    pub snapshot: Option<Snapshot>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct PromotionBody {
    epoch: u64,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct RegistrationBody {
    id: String,
    addr: SocketAddr,
    #[serde(default)]
    zone: String,
    #[serde(default)]
    kind: String,
    #[serde(default)]
    cell: u32,
    #[serde(default = "default_weight")]
    weight: f64,
    lease_ms: Option<u64>,
    revision: Option<u64>,
}

fn default_weight() -> f64 {
    1.0
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct EntryBody {
    id: String,
    revision: Option<u64>,
}

/// Returns the API request for an HTTP request, or the error response.
pub fn route(request: &HttpRequest) -> Result<ApiRequest, HttpError> {
    let command = match request.path.as_str() {
        HOSTS => {
            expect_method(request, "GET")?;
            let list = ListRequest::parse(&request.query);
            return list.map(ApiRequest::List).map_err(|e| HttpError::new(400, e.to_string()));
        }
        "/discovery/status" => return expect_method(request, "GET").map(|()| ApiRequest::Status),
        "/discovery/show" => return Ok(ApiRequest::Show { id: entry_body(request)?.id }),
        "/discovery/register" => registration_command(post_body(request)?)?,
        "/discovery/records" => return post_body(request).map(ApiRequest::Replicate),
        "/discovery/promote" => {
            let PromotionBody { epoch } = post_body(request)?;
            return Ok(ApiRequest::Promote { epoch });
        }
        "/discovery/renew" => Command::Renew { id: entry_body(request)?.id },
        "/discovery/drain" => {
            let EntryBody { id, revision } = entry_body(request)?;
            Command::Drain { id, revision }
        }
        "/discovery/undrain" => {
            let EntryBody { id, revision } = entry_body(request)?;
            Command::Undrain { id, revision }
        }
        "/discovery/deregister" => {
            let EntryBody { id, revision } = entry_body(request)?;
            Command::Deregister { id, revision }
        }
        _ => return Err(HttpError::new(404, "no such call")),
    };
    Ok(ApiRequest::Command(command))
}

fn expect_method(request: &HttpRequest, method: &str) -> Result<(), HttpError> {
    if request.method == method {
        Ok(())
    } else {
        Err(HttpError::new(405, format!("this call takes {method}")))
    }
}

fn post_body<T: DeserializeOwned>(request: &HttpRequest) -> Result<T, HttpError> {
    expect_method(request, "POST")?;
    let mut deserializer = serde_json::Deserializer::from_slice(&request.body);
    let value = serde_path_to_error::deserialize(&mut deserializer);
    let value = value.map_err(|e| HttpError::new(400, single_line(&e.to_string())))?;
    deserializer.end().map_err(|_| HttpError::new(400, "the body holds more than one value"))?;
    Ok(value)
}

fn entry_body(request: &HttpRequest) -> Result<EntryBody, HttpError> {
    let body: EntryBody = post_body(request)?;
    check_id(&body.id)?;
    Ok(body)
}

fn check_id(id: &str) -> Result<(), HttpError> {
    check_length("id", id)?;
    if id.is_empty() {
        return Err(HttpError::new(400, "id: empty"));
    }
    Ok(())
}

fn check_length(field: &str, name: &str) -> Result<(), HttpError> {
    if name.len() > MAX_NAME_BYTES {
        return Err(HttpError::new(400, format!("{field}: longer than {MAX_NAME_BYTES} bytes")));
    }
    Ok(())
}

fn registration_command(body: RegistrationBody) -> Result<Command, HttpError> {
    check_id(&body.id)?;
    check_length("zone", &body.zone)?;
    check_length("kind", &body.kind)?;
    if !(body.weight > 0.0 && body.weight <= MAX_WEIGHT) {
        return Err(HttpError::new(400, format!("weight: not above 0 and up to {MAX_WEIGHT}")));
    }
    let lease = body.lease_ms.map(Duration::from_millis);
    if lease.is_some_and(|lease| !(MIN_LEASE..=MAX_LEASE).contains(&lease)) {
        let (min, max) = (MIN_LEASE.as_millis(), MAX_LEASE.as_millis());
        return Err(HttpError::new(400, format!("lease_ms: not from {min} to {max}")));
    }
    let server = Registration {
        id: body.id,
        addr: body.addr,
        zone: body.zone,
        kind: body.kind,
        cell: body.cell,
        // Rounded up to thousandths. A longer fraction may be parsed back as an adjacent floating-point
        // value, and an equal registration would then conflict.
        weight: (body.weight * 1000.0).ceil() / 1000.0,
    };
    Ok(Command::Register { server, lease, revision: body.revision })
}
