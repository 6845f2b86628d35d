//! The settings object of the quota gateway, which a simulator's first message and a gateway's configuration file hold.
//!
//! The program of this package puts the decisions on a simulator's wire; the gateway uses the library alone.

mod settings;
mod settings_error;

pub use settings::Site;
pub use settings_error::SettingsError;
