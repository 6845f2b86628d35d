//! The operator's configuration: routes, services and limits on clients.
//!
//! [`Configuration::parse`] parses the JSON and checks each part by itself, and then their relations; nothing of an invalid
//! configuration is used. [`Configuration::route`] finds the route of a request. An [`Update`] changes named items of a
//! configuration and results in the text of a new one, which is parsed and checked like any other.
//!
//! Modules: `document` is the JSON and its defaults, `configuration` the relations and the lookup, `route` and `service` the
//! parts, `update` the changes, [`syntax`] the scanner below both, and `error` the reasons for rejections.
#![forbid(unsafe_code)]

mod configuration;
mod document;
mod error;
mod route;
mod service;
pub mod syntax;
mod update;

pub use configuration::Configuration;
pub use error::{ConfigurationError, UpdateError};
pub use route::{Route, RouteType, WeightedBackend};
pub use service::{ClientLimits, Service};
pub use update::Update;
