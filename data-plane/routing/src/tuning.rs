//! The constants of placement, in one table: each with its name on the command line, its unit, its default, and the reason
//! for it. `marblecroft-data-plane gateway --tune NAME=VALUE` sets one for a trial; operators have no need of them.

use quick_error::quick_error;
use std::time::Duration;

quick_error! {
    /// Why a setting of the form `NAME=VALUE` is refused; the text is one line for the operator.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum TuningError {
        /// It has no `=`.
        NoValue(setting: String) {
            display("{setting}: expected NAME=VALUE")
        }
        /// Its value is not a number.
        NotANumber(setting: String) {
            display("{setting}: expected a number")
        }
        /// No constant has this name.
        UnknownName(name: String) {
            display("{name}: no such constant")
        }
    }
}

/// Defines [`Tuning`] from rows `"name on the command line" => field = default`.
macro_rules! tuning {
    ($($(#[$doc:meta])* $name:literal => $field:ident = $default:expr;)*) => {
        /// The constants of placement.
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
            /// Returns the field of a name on the command line.
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
    /// The half-life of a server's own report of its load, in milliseconds: what other gateways have there is taken to halve
    /// in this time.
    "told_half_life_ms" => reported_load_half_life_ms = 1500.0;
    /// The time for which a peer gateway's update of its load counts, in milliseconds. Updates come far more often.
    "peer_lasts_ms" => peer_load_ttl_ms = 1500.0;
    /// The time constant of the moving averages of load by zone, in milliseconds.
    "mean_memory_ms" => zone_average_time_constant_ms = 400.0;
    /// The time for which a report of the load of all gateways counts, in milliseconds. It comes every 250.
    "zone_lasts_ms" => cluster_load_ttl_ms = 1500.0;
    /// The penalty of a server in another zone, as a share of its slots.
    "other_zone_load" => other_zone_load = 0.2;
    /// The penalty of a server that probably has not cached the prompt's shared prefix, as a share of its slots.
    "not_kept_load" => cold_prefix_penalty = 0.08;
    /// The prompt tokens that a server is taken to prefill in a millisecond.
    "read_per_ms" => prefill_tokens_per_ms = 60.0;
    /// The prompt tokens to prefill that cost as much as all slots of the server: decoding stalls during prefill.
    "reading_scale_tokens" => prefill_scale_tokens = 8000.0;
    /// The upper bound of the random term, as a share of a server's slots. Servers that differ by less are chosen by chance.
    "chance_load" => jitter = 0.04;
    /// The half-life of a server's failure rate, in milliseconds, while it gets no requests.
    "failing_half_life_ms" => failure_rate_half_life_ms = 3000.0;
    /// The weight of one outcome in the failure rate.
    "failing_weight" => failure_rate_weight = 0.3;
    /// The penalty of a server at which all requests fail, as a share of its slots.
    "failing_load" => failure_penalty = 1.5;
    /// The least interval between two load updates to the gateways of the zone, in milliseconds; 0 turns them off.
    "notice_ms" => load_update_interval_ms = 30.0;
    /// The number of servers that share the prompts of one prefix. Truncated to a whole number.
    "keepers" => affine_servers = 3.0;
}

impl Tuning {
    /// Sets one constant, from `NAME=VALUE`.
    ///
    /// # Errors
    ///
    /// Where the setting has another form, or no constant has the name. All constants are then as before.
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

/// Returns a number of milliseconds as a duration; 0 for a negative one.
pub(crate) fn duration_from_ms(ms: f64) -> Duration {
    Duration::from_secs_f64(ms.max(0.0) / 1000.0)
}
