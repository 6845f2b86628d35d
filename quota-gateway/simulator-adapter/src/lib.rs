//! The settings object of the quota gateway. It is part of a simulator's `Init` event and of a gateway's
//! configuration file.
//!
//! The program of this package connects the gateway's decision logic to a simulator. The gateway uses only
//! the library.

mod settings;
mod settings_error;

pub use settings::GatewaySettings;
pub use settings_error::SettingsError;
