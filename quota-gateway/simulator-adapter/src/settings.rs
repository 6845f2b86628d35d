//! Decodes the settings object into the settings of the decision logic, and names and timeouts that only the
//! gateway uses.
//!
//! The private structs mirror the object field by field. The field names in `PascalCase` are part of the
//! format. Durations are in nanoseconds. Unknown fields are ignored.

use crate::settings_error::SettingsError;
use marblecroft_quota_gateway_core as decisions;
use serde::Deserialize;
use std::time::Duration;

/// Default timeout of a connection attempt, in nanoseconds.
const DEFAULT_CONNECT_TIMEOUT: u64 = 250_000_000;
/// Default idle timeout of connections to servers, in nanoseconds.
const DEFAULT_IDLE_TIMEOUT: u64 = 15_000_000_000;

/// The settings of one gateway.
#[derive(Clone, Debug, Deserialize)]
#[serde(try_from = "BootInfo")]
pub struct Site {
    /// Settings of the decision logic.
    pub settings: decisions::Settings,
    /// Names of the request classes, in the order of [`decisions::Settings::classes`].
    pub classes: Vec<String>,
    /// Names of the customers' plans, in the order of [`decisions::Settings::plans`].
    pub plans: Vec<String>,
    /// Names of the zones, as server lists use them.
    pub zones: Vec<String>,
    /// Names of the kinds of machine, as server lists use them.
    pub kinds: Vec<String>,
    /// Time after which a connection attempt fails.
    pub connect_timeout: Duration,
    /// Time after which servers may close an idle connection.
    pub idle_timeout: Duration,
}

/// The settings object of one gateway.
#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct BootInfo {
    fleet_size: u32,
    #[serde(default)]
    me: u32,
    #[serde(default)]
    zone: u32,
    profiles: Vec<Profile>,
    #[serde(default)]
    plans: Vec<Plan>,
    discovery: String,
    limits: Limits,
    #[serde(default)]
    domain: Domain,
    rules: Rules,
    #[serde(default)]
    fees: Fees,
    #[serde(default)]
    tick: u64,
    #[serde(default)]
    dcs: Vec<String>,
    #[serde(default)]
    kinds: Vec<String>,
}

/// A class of requests.
#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct Profile {
    #[serde(default)]
    name: String,
    aim: u64,
    deadline: u64,
    effect: String,
    #[serde(default)]
    group: String,
    #[serde(default)]
    key_ttl: u64,
    importance: f64,
}

/// A customer's plan.
#[derive(Deserialize, Default)]
#[serde(rename_all = "PascalCase", default)]
struct Plan {
    name: String,
    at_once: u32,
    burst: f64,
    cap_slack: f64,
    never_over_depth: f64,
    never_over_rate: f64,
    over_cost: f64,
    over_worth: f64,
    rate: f64,
    value_factor: f64,
}

/// Limits on attempts and connections.
#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct Limits {
    #[serde(default)]
    cancel: bool,
    #[serde(default)]
    second_copies: bool,
    max_attempts: u32,
    #[serde(default)]
    max_retry_after: u64,
    #[serde(default = "default_connect_timeout")]
    connect_timeout: u64,
    #[serde(default = "default_idle_timeout")]
    conn_idle: u64,
}

fn default_connect_timeout() -> u64 {
    DEFAULT_CONNECT_TIMEOUT
}

fn default_idle_timeout() -> u64 {
    DEFAULT_IDLE_TIMEOUT
}

/// The metering of units.
#[derive(Deserialize, Default)]
#[serde(rename_all = "PascalCase", default)]
struct Domain {
    metering: u64,
    units_top: f64,
}

/// The slow start of servers.
#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct Rules {
    cold_from: f64,
    ramp_time: u64,
    overload_factor: f64,
    fall: u64,
}

/// Prices.
#[derive(Deserialize, Default)]
#[serde(rename_all = "PascalCase", default)]
struct Fees {
    cross_zone: f64,
}

impl TryFrom<BootInfo> for Site {
    type Error = SettingsError;

    fn try_from(mut boot: BootInfo) -> Result<Site, SettingsError> {
        Ok(Site {
            classes: boot.profiles.iter().map(|profile| profile.name.clone()).collect(),
            plans: boot.plans.iter().map(|plan| plan.name.clone()).collect(),
            zones: std::mem::take(&mut boot.dcs),
            kinds: std::mem::take(&mut boot.kinds),
            connect_timeout: Duration::from_nanos(boot.limits.connect_timeout),
            idle_timeout: Duration::from_nanos(boot.limits.conn_idle),
            settings: decision_settings(boot)?,
        })
    }
}

/// Converts the object to the settings of the decision logic.
fn decision_settings(boot: BootInfo) -> Result<decisions::Settings, SettingsError> {
    Ok(decisions::Settings {
        gateways: boot.fleet_size,
        gateway_index: boot.me,
        zone: boot.zone,
        classes: boot.profiles.into_iter().map(class).collect::<Result<_, _>>()?,
        plans: boot.plans.into_iter().map(plan).collect(),
        discovery: discovery(&boot.discovery)?,
        cancel: boot.limits.cancel,
        hedging: boot.limits.second_copies,
        max_attempts: boot.limits.max_attempts,
        max_retry_after: Duration::from_nanos(boot.limits.max_retry_after),
        tick: Duration::from_nanos(boot.tick),
        meter_period: Duration::from_nanos(boot.domain.metering),
        max_units: boot.domain.units_top,
        slow_start_initial_share: boot.rules.cold_from,
        slow_start_duration: Duration::from_nanos(boot.rules.ramp_time),
        slow_start_overload_factor: boot.rules.overload_factor,
        slow_start_window: Duration::from_nanos(boot.rules.fall),
        cross_zone_price: boot.fees.cross_zone,
    })
}

fn discovery(name: &str) -> Result<decisions::Discovery, SettingsError> {
    match name {
        "push" => Ok(decisions::Discovery::Push),
        "ask" => Ok(decisions::Discovery::Subscribe),
        unknown => Err(SettingsError::UnknownDiscovery(unknown.to_owned())),
    }
}

fn class(profile: Profile) -> Result<decisions::Class, SettingsError> {
    Ok(decisions::Class {
        latency_target: Duration::from_nanos(profile.aim),
        deadline: Duration::from_nanos(profile.deadline),
        value: profile.importance,
        effect: effect(&profile)?,
    })
}

fn effect(profile: &Profile) -> Result<decisions::Effect, SettingsError> {
    // The scope is validated for every class, even if its effect does not use the scope.
    let group = deduplication_scope(&profile.group)?;
    match profile.effect.as_str() {
        "read_like" => Ok(decisions::Effect::Safe),
        "idempotency_key" => {
            Ok(decisions::Effect::Keyed { group, window: Duration::from_nanos(profile.key_ttl) })
        }
        "non_idempotent" => Ok(decisions::Effect::Unsafe),
        unknown => Err(SettingsError::UnknownEffect(unknown.to_owned())),
    }
}

fn deduplication_scope(name: &str) -> Result<decisions::DeduplicationScope, SettingsError> {
    match name {
        "" | "all" => Ok(decisions::DeduplicationScope::All),
        "zone" => Ok(decisions::DeduplicationScope::Zone),
        "cell" => Ok(decisions::DeduplicationScope::Cell),
        unknown => Err(SettingsError::UnknownGroup(unknown.to_owned())),
    }
}

fn plan(plan: Plan) -> decisions::Plan {
    decisions::Plan {
        rate: plan.rate,
        burst: plan.burst,
        max_in_flight: plan.at_once,
        rate_limit: plan.never_over_rate,
        rate_limit_burst: plan.never_over_depth,
        rate_limit_slack: plan.cap_slack,
        price: plan.value_factor,
        over_quota_value: plan.over_worth,
        over_quota_cost: plan.over_cost,
    }
}
