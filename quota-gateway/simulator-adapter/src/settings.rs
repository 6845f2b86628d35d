//! Decodes the settings object into the settings of the decision logic, and names and timeouts that only the
//! gateway uses.
//!
//! The private structs mirror the object field by field. The names in the `rename` attributes, or else the
//! field names in `PascalCase`, are part of the format. Durations are in nanoseconds. Unknown fields are
//! ignored.

use crate::settings_error::SettingsError;
use marblecroft_quota_gateway_core as decisions;
use serde::Deserialize;
use std::time::Duration;

/// Default timeout of a connection attempt, in nanoseconds.
const DEFAULT_CONNECT_TIMEOUT: u64 = 250_000_000;
/// Default idle timeout of connections to servers, in nanoseconds.
const DEFAULT_IDLE_TIMEOUT: u64 = 15_000_000_000;

/// The settings of one gateway, converted from the settings object.
#[derive(Clone, Debug, Deserialize)]
#[serde(try_from = "SettingsObject")]
pub struct GatewaySettings {
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
#[serde(rename = "BootInfo", rename_all = "PascalCase")]
struct SettingsObject {
    #[serde(rename = "FleetSize")]
    gateways: u32,
    #[serde(rename = "Me", default)]
    gateway_index: u32,
    #[serde(default)]
    zone: u32,
    #[serde(rename = "Profiles")]
    classes: Vec<ClassSettings>,
    #[serde(default)]
    plans: Vec<PlanSettings>,
    discovery: String,
    limits: LimitSettings,
    #[serde(rename = "Domain", default)]
    metering: MeteringSettings,
    #[serde(rename = "Rules")]
    slow_start: SlowStartSettings,
    #[serde(rename = "Fees", default)]
    prices: Prices,
    #[serde(default)]
    tick: u64,
    #[serde(rename = "Dcs", default)]
    zones: Vec<String>,
    #[serde(default)]
    kinds: Vec<String>,
}

/// A class of requests.
#[derive(Deserialize)]
#[serde(rename = "Profile", rename_all = "PascalCase")]
struct ClassSettings {
    #[serde(default)]
    name: String,
    #[serde(rename = "Aim")]
    latency_target: u64,
    deadline: u64,
    effect: String,
    #[serde(rename = "Group", default)]
    deduplication_scope: String,
    #[serde(rename = "KeyTtl", default)]
    deduplication_window: u64,
    #[serde(rename = "Importance")]
    value: f64,
}

/// A customer's plan.
#[derive(Deserialize, Default)]
#[serde(rename = "Plan", rename_all = "PascalCase", default)]
struct PlanSettings {
    name: String,
    #[serde(rename = "AtOnce")]
    max_in_flight: u32,
    burst: f64,
    #[serde(rename = "CapSlack")]
    rate_limit_slack: f64,
    #[serde(rename = "NeverOverDepth")]
    rate_limit_burst: f64,
    #[serde(rename = "NeverOverRate")]
    rate_limit: f64,
    #[serde(rename = "OverCost")]
    over_quota_cost: f64,
    #[serde(rename = "OverWorth")]
    over_quota_value: f64,
    rate: f64,
    #[serde(rename = "ValueFactor")]
    price: f64,
}

/// Limits on attempts and connections.
#[derive(Deserialize)]
#[serde(rename = "Limits", rename_all = "PascalCase")]
struct LimitSettings {
    #[serde(default)]
    cancel: bool,
    #[serde(rename = "SecondCopies", default)]
    hedging: bool,
    max_attempts: u32,
    #[serde(default)]
    max_retry_after: u64,
    #[serde(default = "default_connect_timeout")]
    connect_timeout: u64,
    #[serde(rename = "ConnIdle", default = "default_idle_timeout")]
    idle_timeout: u64,
}

fn default_connect_timeout() -> u64 {
    DEFAULT_CONNECT_TIMEOUT
}

fn default_idle_timeout() -> u64 {
    DEFAULT_IDLE_TIMEOUT
}

/// The metering of units.
#[derive(Deserialize, Default)]
#[serde(rename = "Domain", rename_all = "PascalCase", default)]
struct MeteringSettings {
    #[serde(rename = "Metering")]
    meter_period: u64,
    #[serde(rename = "UnitsTop")]
    max_units: f64,
}

/// The slow start of servers.
#[derive(Deserialize)]
#[serde(rename = "Rules", rename_all = "PascalCase")]
struct SlowStartSettings {
    #[serde(rename = "ColdFrom")]
    initial_share: f64,
    #[serde(rename = "RampTime")]
    duration: u64,
    overload_factor: f64,
    #[serde(rename = "Fall")]
    window: u64,
}

/// Prices.
#[derive(Deserialize, Default)]
#[serde(rename = "Fees", rename_all = "PascalCase", default)]
struct Prices {
    #[serde(rename = "CrossZone")]
    cross_zone_price: f64,
}

impl TryFrom<SettingsObject> for GatewaySettings {
    type Error = SettingsError;

    fn try_from(mut object: SettingsObject) -> Result<GatewaySettings, SettingsError> {
        Ok(GatewaySettings {
            classes: object.classes.iter().map(|class| class.name.clone()).collect(),
            plans: object.plans.iter().map(|plan| plan.name.clone()).collect(),
            zones: std::mem::take(&mut object.zones),
            kinds: std::mem::take(&mut object.kinds),
            connect_timeout: Duration::from_nanos(object.limits.connect_timeout),
            idle_timeout: Duration::from_nanos(object.limits.idle_timeout),
            settings: decision_settings(object)?,
        })
    }
}

/// Converts the object to the settings of the decision logic.
fn decision_settings(object: SettingsObject) -> Result<decisions::Settings, SettingsError> {
    Ok(decisions::Settings {
        gateways: object.gateways,
        gateway_index: object.gateway_index,
        zone: object.zone,
        classes: object.classes.into_iter().map(class).collect::<Result<_, _>>()?,
        plans: object.plans.into_iter().map(plan).collect(),
        discovery: discovery(&object.discovery)?,
        cancel: object.limits.cancel,
        hedging: object.limits.hedging,
        max_attempts: object.limits.max_attempts,
        max_retry_after: Duration::from_nanos(object.limits.max_retry_after),
        tick: Duration::from_nanos(object.tick),
        meter_period: Duration::from_nanos(object.metering.meter_period),
        max_units: object.metering.max_units,
        slow_start_initial_share: object.slow_start.initial_share,
        slow_start_duration: Duration::from_nanos(object.slow_start.duration),
        slow_start_overload_factor: object.slow_start.overload_factor,
        slow_start_window: Duration::from_nanos(object.slow_start.window),
        cross_zone_price: object.prices.cross_zone_price,
    })
}

fn discovery(name: &str) -> Result<decisions::Discovery, SettingsError> {
    match name {
        "push" => Ok(decisions::Discovery::Push),
        "ask" => Ok(decisions::Discovery::Subscribe),
        unknown => Err(SettingsError::UnknownDiscovery(unknown.to_owned())),
    }
}

fn class(class: ClassSettings) -> Result<decisions::Class, SettingsError> {
    Ok(decisions::Class {
        latency_target: Duration::from_nanos(class.latency_target),
        deadline: Duration::from_nanos(class.deadline),
        value: class.value,
        effect: effect(&class)?,
    })
}

fn effect(class: &ClassSettings) -> Result<decisions::Effect, SettingsError> {
    // The scope is validated for every class, even if its effect does not use the scope.
    let group = deduplication_scope(&class.deduplication_scope)?;
    match class.effect.as_str() {
        "read_like" => Ok(decisions::Effect::Safe),
        "idempotency_key" => {
            Ok(decisions::Effect::Keyed { group, window: Duration::from_nanos(class.deduplication_window) })
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

fn plan(plan: PlanSettings) -> decisions::Plan {
    decisions::Plan {
        rate: plan.rate,
        burst: plan.burst,
        max_in_flight: plan.max_in_flight,
        rate_limit: plan.rate_limit,
        rate_limit_burst: plan.rate_limit_burst,
        rate_limit_slack: plan.rate_limit_slack,
        price: plan.price,
        over_quota_value: plan.over_quota_value,
        over_quota_cost: plan.over_quota_cost,
    }
}
