//! The settings file of one process: lines of the form `key=value`, lists separated by commas.
//!
//! [`Settings::parse`] splits the text into fields, then converts and checks each known setting. Unknown keys
//! are ignored, so that one file can be used with several releases. An invalid value is rejected with an
//! [`Error`] that names the key, the value and what is allowed.
#![forbid(unsafe_code)]

mod error;
mod fields;
mod ports;
mod settings;

pub use error::Error;
pub use ports::PortRange;
pub use settings::{BindAddresses, Bounds, CloudApi, Limits, Settings, PATH_VARIABLE};
