//! The constants of placement, in one table: each with its unit, and why it is what it is. `marblecroft gateway --tune
//! NAME=VALUE` sets one for a trial; operators have no need of them.

use std::time::Duration;

macro_rules! tuning {
    ($($(#[$doc:meta])* $name:ident = $default:expr;)*) => {
        /// The constants of placement.
        #[derive(Clone, Debug, PartialEq)]
        pub struct Tuning {
            $($(#[$doc])* pub $name: f64,)*
        }

        impl Default for Tuning {
            fn default() -> Tuning {
                Tuning { $($name: $default,)* }
            }
        }

        impl Tuning {
            /// Sets one constant, from "NAME=VALUE".
            pub fn set(&mut self, setting: &str) -> Result<(), String> {
                let (name, value) = setting.split_once('=').ok_or(format!("{setting}: expected NAME=VALUE"))?;
                let value: f64 = value.parse().map_err(|_| format!("{setting}: expected a number"))?;
                match name {
                    $(stringify!($name) => self.$name = value,)*
                    _ => return Err(format!("{name}: no such constant")),
                }
                Ok(())
            }
        }
    };
}

tuning! {
    /// What others have at a server is taken to halve in this time after it was told, in milliseconds.
    told_half_life_ms = 1500.0;
    /// What another gateway has told of its requests counts for this time, in milliseconds; gateways tell more often.
    peer_lasts_ms = 1500.0;
    /// Memory of the means that gateways tell of each zone, in milliseconds.
    mean_memory_ms = 400.0;
    /// What was told of all gateways counts for this time, in milliseconds; it comes every 250.
    zone_lasts_ms = 1500.0;
    /// Load, as a share of a server's slots, that a server of another zone is taken to have on top.
    other_zone_load = 0.2;
    /// Load, as a share of a server's slots, that one is taken to have on top that has probably not kept the shared parts.
    not_kept_load = 0.08;
    /// Tokens of prompts that a server is taken to read in a millisecond, while it does nothing else.
    read_per_ms = 60.0;
    /// So many tokens to read make a server as dear as if all its slots were taken: streams there pause while it reads.
    reading_scale_tokens = 8000.0;
    /// Load, as a share of a server's slots, up to which servers are chosen by chance.
    chance_load = 0.04;
    /// The share of requests that fail at a server halves in this time, in milliseconds, where it gets none.
    failing_half_life_ms = 3000.0;
    /// Weight of one outcome in the share of requests that fail.
    failing_weight = 0.3;
    /// Load, as a share of its slots, that a server is taken to have on top at which all requests fail.
    failing_load = 1.5;
    /// Pause between two notices to other gateways of the zone, in milliseconds; 0: none are sent.
    notice_ms = 30.0;
    /// Servers that a prompt's shared parts are spread over.
    keepers = 3.0;
}

/// Milliseconds as a time.
pub(crate) fn millis(value: f64) -> Duration {
    Duration::from_secs_f64(value.max(0.0) / 1000.0)
}
