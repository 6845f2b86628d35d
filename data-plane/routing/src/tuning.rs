//! The placement constants in one table: command-line name, unit, default and reason for each.
//! `marblecroft-data-plane gateway --tune NAME=VALUE` overrides one for experiments; operators do
//! not need to change them.

use quick_error::quick_error;
use std::time::Duration;

quick_error! {
    /// Reason for rejecting a setting of the form `NAME=VALUE`, as one line for the operator.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum TuningError {
        /// The setting has no `=`.
        NoValue(setting: String) {
            display("{setting}: expected NAME=VALUE")
        }
        /// The value is not a number.
        NotANumber(setting: String) {
            display("{setting}: expected a number")
        }
        /// No constant has this name.
        UnknownName(name: String) {
            display("{name}: no such constant")
        }
    }
}

/// Defines [`Tuning`] from rows of the form `"command-line name" => field = default`.
macro_rules! tuning {
    ($($(#[$doc:meta])* $name:literal => $field:ident = $default:expr;)*) => {
        /// The placement constants.
        #[derive(Clone, Debug, PartialEq)]
        pub struct Tuning {
            $($(#[$doc])* pub $field: f64,)*
        }

        impl Default for Tuning {
            fn default() -> Tuning {
                Tuning { $($field: $default,)* }
            }
        }

        impl Tuning {
            /// Returns the field for a command-line name.
            fn field_mut(&mut self, name: &str) -> Option<&mut f64> {
                match name {
                    $($name => Some(&mut self.$field),)*
                    _ => None,
                }
            }
        }
    };
}

tuning! {
    /// Half-life of a server's own load report, in milliseconds. The estimated load from other
    /// gateways on the server halves in this time.
    "told_half_life_ms" => reported_load_half_life_ms = 1500.0;
    /// Time for which a peer gateway's load update is valid, in milliseconds. Updates are sent far
    /// more often.
    "peer_lasts_ms" => peer_load_ttl_ms = 1500.0;
    /// Time constant of the moving averages of load by zone, in milliseconds.
    "mean_memory_ms" => zone_average_time_constant_ms = 400.0;
    /// Time for which a report of the load of all gateways is valid, in milliseconds. Reports
    /// arrive every 250 ms.
    "zone_lasts_ms" => cluster_load_ttl_ms = 1500.0;
    /// Penalty for a server in another zone, as a share of its slots.
    "other_zone_load" => other_zone_load = 0.2;
    /// Penalty for a server that probably has not cached the prompt's shared prefix, as a share of
    /// its slots.
    "not_kept_load" => prefix_cache_miss_penalty = 0.08;
    /// Assumed number of prompt tokens that a server prefills per millisecond.
    "read_per_ms" => prefill_tokens_per_ms = 60.0;
    /// Number of prompt tokens still to be prefilled that cost as much as all slots of the server,
    /// because decoding stalls during prefill.
    "reading_scale_tokens" => prefill_scale_tokens = 8000.0;
    /// Upper bound of the random term, as a share of a server's slots. The choice between servers
    /// whose costs differ by less than this is random.
    "chance_load" => jitter = 0.04;
    /// Half-life of a server's failure rate while it receives no requests, in milliseconds.
    "failing_half_life_ms" => failure_rate_half_life_ms = 3000.0;
    /// Weight of one outcome in the failure rate.
    "failing_weight" => failure_rate_weight = 0.3;
    /// Penalty for a server at which all requests fail, as a share of its slots.
    "failing_load" => failure_penalty = 1.5;
    /// Minimum interval between two load updates to the other gateways of the zone, in
    /// milliseconds; 0 disables the updates.
    "notice_ms" => load_update_interval_ms = 30.0;
    /// Number of servers that share the prompts of one prefix; the fractional part is ignored.
    "keepers" => affine_servers = 3.0;
}

impl Tuning {
    /// Sets one constant from `NAME=VALUE`.
    ///
    /// # Errors
    ///
    /// Returns an error if the setting is malformed or no constant has the name. In this case no
    /// constant is changed.
    ///
    /// ```
    /// let mut tuning = marblecroft_routing::tuning::Tuning::default();
    /// tuning.set("keepers=2").unwrap();
    /// assert_eq!(tuning.affine_servers, 2.0);
    /// ```
    pub fn set(&mut self, setting: &str) -> Result<(), TuningError> {
        let no_value = || TuningError::NoValue(setting.to_owned());
        let (name, value) = setting.split_once('=').ok_or_else(no_value)?;
        let value = value.parse().map_err(|_| TuningError::NotANumber(setting.to_owned()))?;
        let field = self.field_mut(name).ok_or_else(|| TuningError::UnknownName(name.to_owned()))?;
        *field = value;
        Ok(())
    }
}

/// Converts milliseconds to a duration; negative values become 0.
pub(crate) fn duration_from_ms(ms: f64) -> Duration {
    Duration::from_secs_f64(ms.max(0.0) / 1000.0)
}
