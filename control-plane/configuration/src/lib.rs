//! The operator's configuration: routes, services and limits on clients.
//!
//! [`Configuration::parse`] parses the JSON and checks each part individually, and then whether the parts are
//! consistent; no part of an invalid configuration is used. [`Configuration::route`] finds the route of a
//! request. An [`Update`] changes named items of a configuration and results in the text of a new one, which
//! is parsed and checked like any other.
//!
//! Modules: `document` contains the JSON and its defaults, `configuration` the checks of consistency and the
//! lookup, `route` and `service` the parts, `update` the changes, [`syntax`] the JSON scanner that `document`
//! and `update` use, and `error` the reasons for rejections.
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
