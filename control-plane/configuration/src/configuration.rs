//! A valid configuration, and the lookup of routes and services.

use crate::error::ConfigurationError;
use crate::route::Route;
use crate::service::{ClientLimits, Service};
use std::collections::{HashMap, HashSet};
use std::sync::Arc;

/// A valid configuration.
#[derive(Clone, Debug)]
pub struct Configuration {
    /// The number that the operator has given the configuration; a later configuration has a higher number.
    pub generation: u64,
    /// Limits on clients.
    pub limits: ClientLimits,
    /// Services by name.
    services: HashMap<String, Service>,
    /// Routes by host in lower case; those of a host are sorted by path prefix, longest first.
    routes: HashMap<String, Vec<Arc<Route>>>,
}

impl Configuration {
    /// Creates a configuration from parts that are individually valid, and checks that they are consistent.
    pub(crate) fn new(
        generation: u64,
        limits: ClientLimits,
        services: Vec<Service>,
        routes: Vec<Route>,
    ) -> Result<Configuration, ConfigurationError> {
        let services = services_by_name(services)?;
        let routes = routes_by_host(routes, &services)?;
        Ok(Configuration { generation, limits, services, routes })
    }

    /// Returns the route with the longest prefix that matches a request's `Host` header and its path without
    /// the query.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let host = host.split(':').next().unwrap_or(host);
        // Most clients send the host in lower case, which avoids the copy.
        let routes = match self.routes.get(host) {
            Some(routes) => routes,
            None => self.routes.get(&host.to_ascii_lowercase())?,
        };
        routes.iter().find(|route| path.starts_with(&route.path_prefix))
    }

    /// Returns the service with this name.
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.get(name)
    }

    /// Returns all services, in no particular order.
    pub fn services(&self) -> impl Iterator<Item = &Service> {
        self.services.values()
    }

    /// Returns all routes, in no particular order.
    pub fn routes(&self) -> impl Iterator<Item = &Arc<Route>> {
        self.routes.values().flatten()
    }
}

fn services_by_name(services: Vec<Service>) -> Result<HashMap<String, Service>, ConfigurationError> {
    let mut by_name = HashMap::new();
    for service in services {
        if let Some(duplicate) = by_name.insert(service.name.clone(), service) {
            return Err(ConfigurationError::DuplicateService(duplicate.name));
        }
    }
    Ok(by_name)
}

fn routes_by_host(
    routes: Vec<Route>,
    services: &HashMap<String, Service>,
) -> Result<HashMap<String, Vec<Arc<Route>>>, ConfigurationError> {
    let mut hosts_and_prefixes = HashSet::new();
    let mut by_host: HashMap<String, Vec<Arc<Route>>> = HashMap::new();
    for route in routes {
        if let Some(unknown) = route.backends.iter().find(|backend| !services.contains_key(&backend.service))
        {
            return Err(ConfigurationError::UnknownService(route.name, unknown.service.clone()));
        }
        let host = route.hostname.to_ascii_lowercase();
        if !hosts_and_prefixes.insert((host.clone(), route.path_prefix.clone())) {
            return Err(ConfigurationError::DuplicateRoute(route.name));
        }
        by_host.entry(host).or_default().push(Arc::new(route));
    }
    for routes in by_host.values_mut() {
        routes.sort_by_key(|route| std::cmp::Reverse(route.path_prefix.len()));
    }
    Ok(by_host)
}
