//! Changes of the configuration, as operators send them.

use std::time::Duration;

/// The routes of a configuration in their order: name and text.
pub type Routes = Vec<(String, String)>;

/// What an operator changes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// All routes.
    Replace(Routes),
    /// Adds a route, or replaces the one of its name.
    Upsert(String, String),
    /// Removes the route of this name, if it is there.
    Remove(String),
}

/// A change that an operator sends.
#[derive(Clone, Debug)]
pub struct ConfigurationChange {
    /// The generation that it builds on.
    pub base: u64,
    /// The generation that it makes.
    pub generation: u64,
    /// The body of its request.
    pub body: String,
    /// Whether it changes single routes, rather than replaces all.
    pub is_update: bool,
    /// The routes that it may result in: several where several changes to its base generation were sent.
    pub(super) possible_routes: Vec<Routes>,
    /// When it was first acknowledged, since the start of the run.
    pub acknowledged_at: Option<Duration>,
    /// Whether it was rejected for good.
    pub rejected: bool,
}

/// Returns a configuration as operators write it.
pub(super) fn configuration(generation: u64, routes: &Routes) -> String {
    let routes: Vec<&str> = routes.iter().map(|route| route.1.as_str()).collect();
    format!(
        "{{\"generation\":{generation},\"routes\":[{}],\"services\":[{{\"name\":\"s\"}}],\"limits\":{{}}}}",
        routes.join(",")
    )
}

impl Change {
    /// Returns the routes after this change.
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
