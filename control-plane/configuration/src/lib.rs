//! The operator's configuration.
//!
//! [`Configuration::parse`] reads it and checks it as a whole; [`Configuration::route`] finds the route of a request;
//! [`Update`] changes named items of one.
#![forbid(unsafe_code)]

mod document;
pub mod syntax;
mod update;

pub use update::Update;

use document::Document;
use quick_error::quick_error;
use std::collections::{HashMap, HashSet};
use std::sync::Arc;
use std::time::Duration;

quick_error! {
    /// Why a configuration is refused; its text is one line for the operator.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum Invalid {
        /// It is not the document that is expected.
        Unreadable(cause: String) {
            display("not a configuration: {cause}")
        }
        /// It is no change of named items that could be made.
        Update(cause: String) {
            display("not an update: {cause}")
        }
        /// A route or service has no name, host or prefix that can be used.
        Route(name: String, what: &'static str) {
            display("route {name}: {what}")
        }
        /// A route names a service that the configuration does not have.
        UnknownService(route: String, service: String) {
            display("route {route}: no service is named {service}")
        }
        /// Two routes have the same host and prefix.
        Duplicate(route: String) {
            display("route {route}: another route has the same hostname and path_prefix")
        }
        /// Two services have the same name.
        DuplicateService(service: String) {
            display("service {service}: another service has the same name")
        }
    }
}

/// What may be repeated of a route's requests, and how they are answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum RouteType {
    Idempotent,
    NonIdempotent,
    Streaming,
    Batch,
}

/// A route.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    pub name: String,
    pub hostname: String,
    pub path_prefix: String,
    pub route_type: RouteType,
    /// The longest that the operator wants a request held.
    pub timeout: Duration,
    /// Time within which an answer earns its full worth; for streams the first event's.
    pub target_latency: Duration,
    /// 0 is the highest.
    pub priority: u32,
    /// Services and their weights; weights add up to more than 0.
    pub backends: Vec<(String, f64)>,
    /// The largest number of servers to which one try may be sent, or of failed runs of a batch item.
    pub attempts: u32,
    /// Whether a broken stream may be taken up with `Last-Event-Id`.
    pub resumable: bool,
    /// Time from a batch job's first send within which its results are due.
    pub completion_target: Duration,
    /// Time from that send after which an item may be given up.
    pub retention: Duration,
    /// Tokens that may wait on the route, over all gateways; 0 is no limit.
    pub max_queued_tokens: u64,
}

impl Route {
    /// Whether a request that may have run can be sent again.
    pub fn may_run_twice(&self) -> bool {
        self.route_type == RouteType::Idempotent || self.resumable
    }
}

/// A service: a pool of servers.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    pub name: String,
    pub health_path: String,
    /// Connections that a server takes from all callers together; 0 is not told.
    pub max_connections: u32,
    /// Requests that a server runs at once; 0 is not told.
    pub slots: u32,
    /// Tokens that a server's memory holds; 0 is not told.
    pub kv_cache_tokens: u64,
}

/// Bounds on what clients send and how long they take.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ClientLimits {
    pub max_header_bytes: usize,
    pub max_body_bytes: usize,
    pub header_timeout: Duration,
    pub idle_timeout: Duration,
}

/// A configuration that was checked.
#[derive(Clone, Debug)]
pub struct Configuration {
    pub generation: u64,
    pub limits: ClientLimits,
    services: HashMap<String, Service>,
    /// By host, the longest prefix first.
    routes: HashMap<String, Vec<Arc<Route>>>,
}

impl Configuration {
    /// Reads and checks a configuration.
    pub fn parse(text: &[u8]) -> Result<Configuration, Invalid> {
        let text = std::str::from_utf8(text).map_err(|e| Invalid::Unreadable(e.to_string()))?;
        Document::read(text)?.checked()
    }

    /// The route of a request, by its host and the path without the query.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let host = host.split(':').next().unwrap_or(host);
        let routes = match self.routes.get(host) {
            Some(routes) => routes,
            None => self.routes.get(&host.to_ascii_lowercase())?,
        };
        routes.iter().find(|route| path.starts_with(&route.path_prefix))
    }

    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.get(name)
    }

    pub fn services(&self) -> impl Iterator<Item = &Service> {
        self.services.values()
    }

    pub fn routes(&self) -> impl Iterator<Item = &Arc<Route>> {
        self.routes.values().flatten()
    }

    fn of(
        generation: u64,
        limits: ClientLimits,
        services: Vec<Service>,
        routes: Vec<Route>,
    ) -> Result<Configuration, Invalid> {
        let mut by_name = HashMap::new();
        for service in services {
            if let Some(twin) = by_name.insert(service.name.clone(), service) {
                return Err(Invalid::DuplicateService(twin.name));
            }
        }
        let mut places = HashSet::new();
        let mut by_host: HashMap<String, Vec<Arc<Route>>> = HashMap::new();
        for route in routes {
            if let Some((unknown, _)) = route.backends.iter().find(|(name, _)| !by_name.contains_key(name)) {
                return Err(Invalid::UnknownService(route.name, unknown.clone()));
            }
            let host = route.hostname.to_ascii_lowercase();
            if !places.insert((host.clone(), route.path_prefix.clone())) {
                return Err(Invalid::Duplicate(route.name));
            }
            by_host.entry(host).or_default().push(Arc::new(route));
        }
        for routes in by_host.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.path_prefix.len()));
        }
        Ok(Configuration { generation, limits, services: by_name, routes: by_host })
    }
}
