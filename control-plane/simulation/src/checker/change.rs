//! Changes of the configuration that operators send.

use std::time::Duration;

/// The routes of a configuration in order, each with its name and its JSON text.
pub type Routes = Vec<(String, String)>;

/// A change of the routes of a configuration.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// Replaces all routes.
    Replace(Routes),
    /// Adds a route, given by its name and JSON text, or replaces the route of this name.
    Upsert(String, String),
    /// Removes the route of this name, if it exists.
    Remove(String),
}

/// A change that an operator sends, and its outcome.
#[derive(Clone, Debug)]
pub struct ConfigurationChange {
    /// Generation that the change is based on.
    pub base: u64,
    /// Generation that the change creates.
    pub generation: u64,
    /// Body of the request.
    pub body: String,
    /// Whether it changes a single route instead of replacing all routes.
    pub is_update: bool,
    /// Routes that may result from it; several if several changes that create its base generation were sent.
    pub(super) possible_routes: Vec<Routes>,
    /// When it was first acknowledged, as time since the start of the run.
    pub acknowledged_at: Option<Duration>,
    /// Whether it was rejected with a final status (4xx).
    pub rejected: bool,
}

/// Returns a configuration in the JSON form that operators send.
pub(super) fn configuration(generation: u64, routes: &Routes) -> String {
    let routes: Vec<&str> = routes.iter().map(|route| route.1.as_str()).collect();
    format!(
        "{{\"generation\":{generation},\"routes\":[{}],\"services\":[{{\"name\":\"s\"}}],\"limits\":{{}}}}",
        routes.join(",")
    )
}

impl Change {
    /// Returns the routes that result from applying this change to `before`.
    pub(super) fn applied_to(&self, before: &Routes) -> Routes {
        let mut routes = before.clone();
        match self {
            Change::Replace(all) => routes = all.clone(),
            Change::Upsert(name, text) => match routes.iter_mut().find(|route| route.0 == *name) {
                Some(route) => route.1 = text.clone(),
                None => routes.push((name.clone(), text.clone())),
            },
            Change::Remove(name) => routes.retain(|route| route.0 != *name),
        }
        routes
    }

    /// Returns the body of the request.
    pub(super) fn body(&self, generation: u64) -> String {
        match self {
            Change::Replace(routes) => configuration(generation, routes),
            Change::Upsert(_, text) => {
                format!("{{\"generation\":{generation},\"upsert\":{{\"routes\":[{text}]}}}}")
            }
            Change::Remove(name) => {
                format!("{{\"generation\":{generation},\"remove\":{{\"routes\":[\"{name}\"]}}}}")
            }
        }
    }
}
