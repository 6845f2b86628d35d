//! Parses the operator's configuration from JSON, and checks each part individually.
//!
//! The fields of the types below have the names of the JSON members. Numbers may be fractions or exceed their
//! range: they are truncated and clamped to the range. A missing member gets its default, which is documented
//! at the target type.

// The code that `nanoserde` derives triggers this lint.
#![allow(clippy::question_mark)]

use crate::configuration::Configuration;
use crate::error::ConfigurationError;
use crate::route::{Route, RouteType, WeightedBackend};
use crate::service::{ClientLimits, Service};
use crate::syntax;
use nanoserde::DeJson;
use std::time::Duration;

/// Upper bound of a duration in milliseconds; longer ones are clamped to it.
const MAX_DURATION_MS: f64 = 1e10;
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(30);
const DEFAULT_MAX_HEADER_BYTES: u32 = 16 << 10;
const DEFAULT_MAX_BODY_BYTES: u32 = 4 << 20;
const DEFAULT_HEADER_TIMEOUT_MS: f64 = 3000.0;
const DEFAULT_IDLE_TIMEOUT_MS: f64 = 15_000.0;
const DEFAULT_HEALTH_PATH: &str = "/health";

/// A configuration in the operator's JSON. Unknown members are ignored.
#[derive(DeJson)]
struct Document {
    generation: u64,
    routes: Vec<RouteDocument>,
    services: Vec<ServiceDocument>,
    limits: Option<LimitsDocument>,
}

#[derive(DeJson)]
struct RouteDocument {
    name: String,
    hostname: String,
    path_prefix: String,
    route_type: String,
    timeout_ms: Option<f64>,
    target_latency_ms: Option<f64>,
    priority: Option<f64>,
    backend: Option<String>,
    traffic_split: Option<Vec<SplitDocument>>,
    attempts: Option<f64>,
    resumable: Option<bool>,
    completion_target_ms: Option<f64>,
    retention_s: Option<f64>,
    max_queued_tokens: Option<f64>,
}

#[derive(DeJson)]
struct SplitDocument {
    backend: String,
    weight: f64,
}

#[derive(DeJson)]
struct ServiceDocument {
    name: String,
    health_path: Option<String>,
    max_connections: Option<f64>,
    engine: Option<EngineDocument>,
}

#[derive(DeJson)]
struct EngineDocument {
    slots: Option<f64>,
    kv_cache_tokens: Option<f64>,
}

#[derive(DeJson, Default)]
struct LimitsDocument {
    max_header_bytes: Option<f64>,
    max_body_bytes: Option<f64>,
    header_timeout_ms: Option<f64>,
    idle_timeout_ms: Option<f64>,
}

impl Configuration {
    /// Parses and checks a configuration in JSON.
    ///
    /// # Errors
    ///
    /// Returns an error that describes the first fault and names the route or service that has it.
    pub fn parse(text: &[u8]) -> Result<Configuration, ConfigurationError> {
        let text = std::str::from_utf8(text).map_err(ConfigurationError::NotUtf8)?;
        if !syntax::is_complete_document(text) {
            return Err(ConfigurationError::IncompleteJson);
        }
        let document: Document = DeJson::deserialize_json(text).map_err(ConfigurationError::Json)?;
        document.into_configuration()
    }
}

impl Document {
    fn into_configuration(self) -> Result<Configuration, ConfigurationError> {
        let limits = self.limits.unwrap_or_default().into_limits();
        let services = self.services.into_iter().map(ServiceDocument::into_service).collect();
        let routes: Result<Vec<Route>, ConfigurationError> =
            self.routes.into_iter().map(RouteDocument::into_route).collect();
        Configuration::new(self.generation, limits, services, routes?)
    }
}

impl LimitsDocument {
    fn into_limits(self) -> ClientLimits {
        ClientLimits {
            max_header_bytes: integer_or(self.max_header_bytes, DEFAULT_MAX_HEADER_BYTES) as usize,
            max_body_bytes: integer_or(self.max_body_bytes, DEFAULT_MAX_BODY_BYTES) as usize,
            header_timeout: milliseconds(self.header_timeout_ms.unwrap_or(DEFAULT_HEADER_TIMEOUT_MS)),
            idle_timeout: milliseconds(self.idle_timeout_ms.unwrap_or(DEFAULT_IDLE_TIMEOUT_MS)),
        }
    }
}

impl ServiceDocument {
    fn into_service(self) -> Service {
        let (slots, kv_cache_tokens) =
            self.engine.map_or((None, None), |engine| (engine.slots, engine.kv_cache_tokens));
        Service {
            name: self.name,
            health_path: self.health_path.unwrap_or_else(|| DEFAULT_HEALTH_PATH.to_owned()),
            max_connections: integer_or(self.max_connections, 0),
            slots: integer_or(slots, 0),
            kv_cache_tokens: large_integer_or_zero(kv_cache_tokens),
        }
    }
}

impl RouteDocument {
    fn into_route(self) -> Result<Route, ConfigurationError> {
        let invalid = |reason| ConfigurationError::InvalidRoute(self.name.clone(), reason);
        if self.hostname.is_empty() {
            return Err(invalid("hostname is empty"));
        }
        if !self.path_prefix.starts_with('/') || !self.path_prefix.ends_with('/') {
            return Err(invalid("path_prefix must begin and end with a slash"));
        }
        let route_type = parse_route_type(&self.route_type).map_err(invalid)?;
        let backends = weighted_backends(self.traffic_split, self.backend).map_err(invalid)?;
        let timeout = self.timeout_ms.map_or(DEFAULT_TIMEOUT, milliseconds);
        if timeout.is_zero() {
            return Err(invalid("timeout_ms is 0"));
        }
        Ok(Route {
            name: self.name,
            hostname: self.hostname,
            path_prefix: self.path_prefix,
            route_type,
            timeout,
            target_latency: self.target_latency_ms.map_or(timeout, milliseconds),
            priority: integer_or(self.priority, 0),
            backends,
            attempts: integer_or(self.attempts, 1).max(1),
            resumable: self.resumable.unwrap_or(false),
            completion_target: self.completion_target_ms.map_or(Duration::MAX, milliseconds),
            retention: self.retention_s.map_or(Duration::MAX, |seconds| milliseconds(seconds * 1000.0)),
            max_queued_tokens: large_integer_or_zero(self.max_queued_tokens),
        })
    }
}

/// Returns the route type with this name, or the reason why there is none.
fn parse_route_type(name: &str) -> Result<RouteType, &'static str> {
    match name {
        "idempotent" => Ok(RouteType::Idempotent),
        "non_idempotent" => Ok(RouteType::NonIdempotent),
        "streaming" => Ok(RouteType::Streaming),
        "batch" => Ok(RouteType::Batch),
        _ => Err("route_type is none of idempotent, non_idempotent, streaming, batch"),
    }
}

/// Returns the backends of a route, or the reason why they are invalid. A traffic split takes precedence over
/// a single backend.
fn weighted_backends(
    traffic_split: Option<Vec<SplitDocument>>,
    backend: Option<String>,
) -> Result<Vec<WeightedBackend>, &'static str> {
    let backends: Vec<WeightedBackend> = match (traffic_split, backend) {
        (Some(split), _) if !split.is_empty() => split
            .into_iter()
            .map(|part| WeightedBackend { service: part.backend, weight: part.weight })
            .collect(),
        (_, Some(service)) => vec![WeightedBackend { service, weight: 1.0 }],
        _ => return Err("neither backend nor traffic_split is there"),
    };
    if backends.iter().any(|backend| !backend.weight.is_finite() || backend.weight < 0.0) {
        return Err("a weight is negative");
    }
    if backends.iter().map(|backend| backend.weight).sum::<f64>() <= 0.0 {
        return Err("the weights add up to 0");
    }
    Ok(backends)
}

fn milliseconds(value: f64) -> Duration {
    Duration::from_secs_f64(value.clamp(0.0, MAX_DURATION_MS) / 1000.0)
}

fn integer_or(value: Option<f64>, default: u32) -> u32 {
    // The conversion truncates and saturates.
    value.map_or(default, |value| value as u32)
}

fn large_integer_or_zero(value: Option<f64>) -> u64 {
    // The conversion truncates and saturates.
    value.map_or(0, |value| value as u64)
}
