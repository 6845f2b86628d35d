//! The configuration as the operator writes it, in JSON.

// What `nanoserde` derives holds this shape.
#![allow(clippy::question_mark)]

use crate::{syntax, ClientLimits, Configuration, Invalid, Route, RouteType, Service};
use nanoserde::DeJson;
use std::time::Duration;

#[derive(DeJson)]
pub struct Document {
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

#[derive(DeJson)]
struct LimitsDocument {
    max_header_bytes: Option<f64>,
    max_body_bytes: Option<f64>,
    header_timeout_ms: Option<f64>,
    idle_timeout_ms: Option<f64>,
}

/// Longest time that a configuration can name, in milliseconds.
const MAX_MILLIS: f64 = 1e10;
/// Time-out of a route that names none.
const TIMEOUT_DEFAULT: Duration = Duration::from_secs(30);

fn millis(value: f64) -> Duration {
    Duration::from_secs_f64(value.clamp(0.0, MAX_MILLIS) / 1000.0)
}

/// A whole number from one that JSON may write as a fraction; what is out of range becomes the nearest that is in it.
fn whole(value: Option<f64>, default: u32) -> u32 {
    // The conversion saturates.
    value.map_or(default, |value| value as u32)
}

fn large(value: Option<f64>) -> u64 {
    // The conversion saturates.
    value.map_or(0, |value| value as u64)
}

impl Document {
    pub fn read(text: &str) -> Result<Document, Invalid> {
        if !syntax::is_complete_document(text) {
            return Err(Invalid::Unreadable("not one whole JSON value".to_owned()));
        }
        DeJson::deserialize_json(text).map_err(|e| Invalid::Unreadable(e.to_string()))
    }

    pub fn checked(self) -> Result<Configuration, Invalid> {
        let limits = self.limits.unwrap_or(LimitsDocument {
            max_header_bytes: None,
            max_body_bytes: None,
            header_timeout_ms: None,
            idle_timeout_ms: None,
        });
        let limits = ClientLimits {
            max_header_bytes: whole(limits.max_header_bytes, 16 << 10) as usize,
            max_body_bytes: whole(limits.max_body_bytes, 4 << 20) as usize,
            header_timeout: millis(limits.header_timeout_ms.unwrap_or(3000.0)),
            idle_timeout: millis(limits.idle_timeout_ms.unwrap_or(15_000.0)),
        };
        let services = self.services.into_iter().map(ServiceDocument::checked).collect();
        let routes: Result<Vec<Route>, Invalid> =
            self.routes.into_iter().map(RouteDocument::checked).collect();
        Configuration::of(self.generation, limits, services, routes?)
    }
}

impl ServiceDocument {
    fn checked(self) -> Service {
        let (slots, kv_cache_tokens) = self.engine.map_or((None, None), |e| (e.slots, e.kv_cache_tokens));
        Service {
            name: self.name,
            health_path: self.health_path.unwrap_or_else(|| "/health".to_owned()),
            max_connections: whole(self.max_connections, 0),
            slots: whole(slots, 0),
            kv_cache_tokens: large(kv_cache_tokens),
        }
    }
}

impl RouteDocument {
    fn checked(self) -> Result<Route, Invalid> {
        let name = self.name;
        let refuse = |what| Err(Invalid::Route(name.clone(), what));
        let prefix = &self.path_prefix;
        if self.hostname.is_empty() {
            return refuse("hostname is empty");
        }
        if !prefix.starts_with('/') || !prefix.ends_with('/') {
            return refuse("path_prefix must begin and end with a slash");
        }
        let route_type = match self.route_type.as_str() {
            "idempotent" => RouteType::Idempotent,
            "non_idempotent" => RouteType::NonIdempotent,
            "streaming" => RouteType::Streaming,
            "batch" => RouteType::Batch,
            _ => return refuse("route_type is none of idempotent, non_idempotent, streaming, batch"),
        };
        let backends: Vec<(String, f64)> = match (self.traffic_split, self.backend) {
            (Some(split), _) if !split.is_empty() => {
                split.into_iter().map(|part| (part.backend, part.weight)).collect()
            }
            (_, Some(backend)) => vec![(backend, 1.0)],
            _ => return refuse("neither backend nor traffic_split is there"),
        };
        if backends.iter().any(|(_, weight)| !weight.is_finite() || *weight < 0.0) {
            return refuse("a weight is negative");
        }
        if backends.iter().map(|(_, weight)| weight).sum::<f64>() <= 0.0 {
            return refuse("the weights add up to 0");
        }
        let timeout = self.timeout_ms.map_or(TIMEOUT_DEFAULT, millis);
        if timeout.is_zero() {
            return refuse("timeout_ms is 0");
        }
        Ok(Route {
            hostname: self.hostname,
            path_prefix: self.path_prefix,
            route_type,
            timeout,
            target_latency: self.target_latency_ms.map_or(timeout, millis),
            priority: whole(self.priority, 0),
            backends,
            attempts: whole(self.attempts, 1).max(1),
            resumable: self.resumable.unwrap_or(false),
            completion_target: self.completion_target_ms.map_or(Duration::MAX, millis),
            retention: self.retention_s.map_or(Duration::MAX, |s| millis(s * 1000.0)),
            max_queued_tokens: large(self.max_queued_tokens),
            name,
        })
    }
}
