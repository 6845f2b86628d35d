//! Draws a scenario from a site file: the operators publish their sites as ranges of values, and each seed
//! draws different values from them.
//!
//! Unknown keys are ignored, because the operators define the file's format, not this program. An inverted
//! range, or a value that is not a number where one is needed, is rejected with the name of its field.

use crate::deployment::{random_stream, RandomStream};
use crate::endpoint::Kind;
use crate::scenario::{Expect, Fault, FaultKind, Plan, Scenario, ScenarioError, Target};
use quick_error::quick_error;
use rand::seq::IndexedRandom;
use rand::Rng;
use rand_chacha::ChaCha8Rng;
use serde::Deserialize;

/// A value that is fixed, or drawn from a range.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(untagged)]
enum Range {
    Fixed(f64),
    Between([f64; 2]),
}

#[derive(Deserialize)]
struct SiteFile {
    #[serde(rename = "day")]
    scenario: ScenarioRanges,
    scale: Scale,
    load: Loads,
    net: Net,
    #[serde(rename = "front")]
    load_balancer: LoadBalancerRanges,
    clients: Clients,
    discovery: Discovery,
    tier: Vec<Tier>,
    class: Vec<Class>,
    tenant: Vec<Tenant>,
    #[serde(rename = "fam")]
    quotas: QuotaRanges,
    #[serde(default)]
    rules: Rules,
    #[serde(rename = "trouble", default)]
    faults: Vec<SiteFault>,
}

#[derive(Deserialize)]
struct ScenarioRanges {
    length_s: Range,
    #[serde(rename = "troubles")]
    fault_count: Range,
}

#[derive(Deserialize)]
struct Scale {
    servers: Range,
    balancers: Range,
}

/// The load of scenarios without and with faults, as shares of the fleet's capacity.
#[derive(Deserialize)]
struct Loads {
    #[serde(rename = "quiet")]
    without_faults: Range,
    #[serde(rename = "trouble")]
    with_faults: Range,
}

#[derive(Deserialize)]
struct Net {
    #[serde(default)]
    zones: Vec<String>,
}

#[derive(Deserialize)]
struct LoadBalancerRanges {
    #[serde(rename = "notice_s")]
    failure_detection_s: Range,
}

#[derive(Deserialize)]
struct Clients {
    retries: Range,
    #[serde(rename = "try_share")]
    min_timeout_share: Range,
    honour: Range,
    backoff_ms: Range,
}

#[derive(Deserialize)]
struct Discovery {
    #[serde(rename = "notice_s")]
    removal_delay_s: Range,
    #[serde(rename = "add_s")]
    add_delay_s: Range,
}

#[derive(Deserialize)]
struct Rules {
    #[serde(rename = "fall_multiple")]
    overload_multiple: f64,
    #[serde(rename = "fall_ms")]
    overload_window_ms: f64,
}

impl Default for Rules {
    fn default() -> Rules {
        Rules { overload_multiple: 2.0, overload_window_ms: 3000.0 }
    }
}

#[derive(Deserialize)]
struct Tier {
    kind: Vec<MachineKind>,
    conn: Connections,
}

#[derive(Deserialize)]
struct Connections {
    handshake_us: Range,
    cap_per_core: Range,
}

#[derive(Deserialize)]
struct MachineKind {
    cores: f64,
    speed: Range,
    speed_cv: Range,
    slots_per_core: Range,
    queue_per_core: Range,
    thrash: Range,
    thrash_at: Range,
    #[serde(rename = "cold_from")]
    initial_speed_share: Range,
    #[serde(rename = "cold_s")]
    warmup_s: Range,
    error_rate: Range,
    #[serde(default)]
    cancel: Vec<String>,
}

#[derive(Deserialize)]
struct Class {
    name: String,
    share: Range,
    work_ms: Range,
    cv: Range,
    #[serde(rename = "aim_ms")]
    latency_target_ms: f64,
    deadline_ms: f64,
    effect: String,
}

#[derive(Deserialize)]
struct Tenant {
    name: String,
    share: Range,
}

#[derive(Deserialize)]
struct QuotaRanges {
    #[serde(default)]
    skew: Option<Range>,
    #[serde(default)]
    counter: bool,
    #[serde(default)]
    counter_per_s: Option<Range>,
    #[serde(rename = "meter_late_ms", default)]
    meter_delay_ms: Option<Range>,
    plan: Vec<QuotaPlan>,
}

#[derive(Deserialize)]
struct QuotaPlan {
    rate: Range,
    burst_s: Range,
    price: f64,
    over_cost: f64,
    #[serde(default)]
    open: Option<Range>,
    #[serde(rename = "ceiling", default)]
    rate_limit_multiple: Option<Range>,
}

#[derive(Deserialize)]
struct SiteFault {
    name: String,
    #[serde(default)]
    len_s: Option<Range>,
    #[serde(rename = "part", default)]
    share: Option<Range>,
    #[serde(default)]
    size: Option<Range>,
    #[serde(default)]
    weight: Option<f64>,
}

quick_error! {
    /// A site file that no scenario can be drawn from. The text is one line that names the field.
    #[derive(Debug)]
    pub enum SiteFileError {
        /// The file is not TOML, or lacks a key or has a value of the wrong type.
        Syntax(line: usize, message: String) {
            display("line {}: {}", line, message)
        }
        /// A field has a value that is not allowed.
        Invalid(field: String, reason: String) {
            display("{}: {}", field, reason)
        }
        /// The drawn scenario cannot be used.
        Scenario(error: ScenarioError) {
            display("{}", error)
            source(error)
            from()
        }
        /// The scenario cannot be encoded.
        Encode(error: toml::ser::Error) {
            display("{}", error)
            source(error)
            from()
        }
    }
}

fn invalid(field: impl Into<String>, reason: impl Into<String>) -> SiteFileError {
    SiteFileError::Invalid(field.into(), reason.into())
}

/// Draws values from ranges. Errors name the range.
struct RangeSampler {
    rng: ChaCha8Rng,
}

impl RangeSampler {
    fn sample(&mut self, name: &str, range: Range) -> Result<f64, SiteFileError> {
        let [min, max] = match range {
            Range::Fixed(value) => [value, value],
            Range::Between(bounds) => bounds,
        };
        match min <= max && min.is_finite() && max.is_finite() {
            true => Ok(min + (max - min) * self.rng.random::<f64>()),
            false => Err(invalid(name, format!("the range [{min}, {max}] is inverted or not finite"))),
        }
    }

    fn sample_or(&mut self, name: &str, range: Option<Range>, default: f64) -> Result<f64, SiteFileError> {
        range.map_or(Ok(default), |range| self.sample(name, range))
    }

    fn sample_integer(&mut self, name: &str, range: Range) -> Result<u64, SiteFileError> {
        Ok(self.sample(name, range)?.floor().max(0.0) as u64)
    }
}

/// Draws a scenario from the ranges of a site file and returns it as the text of a scenario file.
///
/// # Errors
///
/// See [`SiteFileError`].
pub fn draw(text: &str, seed: u64) -> Result<String, SiteFileError> {
    let site: SiteFile = toml::from_str(text).map_err(|error| {
        let line = error.span().map_or(1, |span| text[..span.start].matches('\n').count() + 1);
        SiteFileError::Syntax(line, error.message().replace('\n', " "))
    })?;
    let mut sampler = RangeSampler { rng: random_stream(seed, RandomStream::Deployment) };
    let scenario = scenario(&site, &mut sampler)?;
    let text = toml::to_string(&scenario)?;
    // Parsed again to check that the drawn scenario is valid.
    Scenario::parse(&text)?;
    Ok(format!("# Drawn with seed {seed}.\n{text}"))
}

fn scenario(site: &SiteFile, sampler: &mut RangeSampler) -> Result<Scenario, SiteFileError> {
    let mut drawn = Scenario::default();
    let tier = site.tier.first().ok_or_else(|| invalid("tier", "the site has no tier"))?;
    let machine = tier.kind.first().ok_or_else(|| invalid("tier.kind", "the tier has no kind of machine"))?;
    let safe = site
        .class
        .iter()
        .find(|class| class.effect == "safe")
        .ok_or_else(|| invalid("class", "no class has the effect \"safe\""))?;
    let unsafe_class = site.class.iter().find(|class| class.effect == "unsafe");
    let unsafe_class = unsafe_class.ok_or_else(|| invalid("class", "no class has the effect \"unsafe\""))?;

    let parameters = &mut drawn.site;
    parameters.work_ms = sampler.sample(&format!("class {}.work_ms", safe.name), safe.work_ms)?;
    parameters.work_cv = sampler.sample(&format!("class {}.cv", safe.name), safe.cv)?;
    parameters.latency_target_ms = safe.latency_target_ms as u64;
    parameters.deadline_ms = safe.deadline_ms as u64;
    parameters.min_timeout_share = sampler.sample("clients.try_share", site.clients.min_timeout_share)?;
    parameters.backoff_ms = sampler.sample_integer("clients.backoff_ms", site.clients.backoff_ms)?;
    parameters.honour = sampler.sample("clients.honour", site.clients.honour)?;
    parameters.failure_detection_ms =
        (sampler.sample("front.notice_s", site.load_balancer.failure_detection_s)? * 1000.0) as u64;
    parameters.speed = sampler.sample("tier.kind.speed", machine.speed)? * machine.cores / 2.0;
    parameters.speed_cv = sampler.sample("tier.kind.speed_cv", machine.speed_cv)?;
    parameters.slots_per_core =
        sampler.sample_integer("tier.kind.slots_per_core", machine.slots_per_core)?.max(1) as u32;
    parameters.queue_per_core =
        sampler.sample_integer("tier.kind.queue_per_core", machine.queue_per_core)? as u32;
    parameters.thrash = sampler.sample("tier.kind.thrash", machine.thrash)?;
    parameters.thrash_at = sampler.sample("tier.kind.thrash_at", machine.thrash_at)?;
    parameters.error_rate = sampler.sample("tier.kind.error_rate", machine.error_rate)?;
    parameters.drops_queued = machine.cancel.choose(&mut sampler.rng).is_some_and(|way| way == "queued");
    parameters.initial_speed_share = sampler.sample("tier.kind.cold_from", machine.initial_speed_share)?;
    parameters.warmup_ms = (sampler.sample("tier.kind.cold_s", machine.warmup_s)? * 1000.0) as u64;
    parameters.overload_multiple = site.rules.overload_multiple;
    parameters.overload_window_ms = site.rules.overload_window_ms as u64;
    parameters.connections_per_core =
        sampler.sample_integer("tier.conn.cap_per_core", tier.conn.cap_per_core)? as u32;
    parameters.handshake_us = sampler.sample_integer("tier.conn.handshake_us", tier.conn.handshake_us)?;
    parameters.meter_delay_ms =
        sampler.sample_or("fam.meter_late_ms", site.quotas.meter_delay_ms, 800.0)? as u64;
    parameters.discovery_removal_delay_ms =
        (sampler.sample("discovery.notice_s", site.discovery.removal_delay_s)? * 1000.0) as u64;
    parameters.discovery_add_delay_ms =
        (sampler.sample("discovery.add_s", site.discovery.add_delay_s)? * 1000.0) as u64;
    parameters.counter_per_s = sampler.sample_or("fam.counter_per_s", site.quotas.counter_per_s, 640.0)?;
    parameters.skew = sampler.sample_or("fam.skew", site.quotas.skew, 0.7)?;
    if site.tenant.len() != site.quotas.plan.len() {
        return Err(invalid("fam.plan", "the number of plans differs from the number of tenants"));
    }
    let mut plans = Vec::new();
    for (tenant, plan) in site.tenant.iter().zip(&site.quotas.plan) {
        let name = format!("fam.plan {}", tenant.name);
        plans.push(Plan {
            name: tenant.name.clone(),
            share: sampler.sample(&format!("tenant {}.share", tenant.name), tenant.share)?,
            rate: sampler.sample(&format!("{name}.rate"), plan.rate)?,
            burst_s: sampler.sample(&format!("{name}.burst_s"), plan.burst_s)?,
            price: plan.price,
            over_cost: plan.over_cost,
            open: sampler.sample_or(&format!("{name}.open"), plan.open, 0.0)? as u32,
            rate_limit_multiple: sampler.sample_or(
                &format!("{name}.ceiling"),
                plan.rate_limit_multiple,
                0.0,
            )?,
        });
    }
    parameters.plans = plans;

    let fleet = &mut drawn.fleet;
    fleet.gateways = sampler.sample_integer("scale.balancers", site.scale.balancers)? as u32;
    fleet.pay_servers = sampler.sample_integer("scale.servers", site.scale.servers)? as u32;
    fleet.counter = site.quotas.counter;
    if !site.net.zones.is_empty() {
        fleet.zones = site.net.zones.clone();
    }
    let fault_count =
        sampler.sample_integer("day.troubles", site.scenario.fault_count)?.min(site.faults.len() as u64);
    let (name, busy) = if fault_count == 0 {
        ("load.quiet", site.load.without_faults)
    } else {
        ("load.trouble", site.load.with_faults)
    };
    let share = sampler.sample(name, busy)?;
    let capacity_cores = 2.0 * f64::from(fleet.pay_servers) * drawn.site.speed;
    let load = &mut drawn.load;
    load.rate = (capacity_cores * share / (drawn.site.work_ms / 1000.0) * 10.0).round() / 10.0;
    load.duration_ms = (sampler.sample("day.length_s", site.scenario.length_s)? * 1000.0) as u64;
    load.customers = (load.rate * 0.7).ceil().max(1.0) as u32;
    let unsafe_share = sampler.sample(&format!("class {}.share", unsafe_class.name), unsafe_class.share)?;
    let safe_share = sampler.sample(&format!("class {}.share", safe.name), safe.share)?;
    load.unsafe_share = unsafe_share / (unsafe_share + safe_share);
    load.retries = sampler.sample_integer("clients.retries", site.clients.retries)? as u32;

    // The faults start at different times and are limited in length, so that no two overlap.
    let mut remaining: Vec<&SiteFault> = site.faults.iter().collect();
    for i in 0..fault_count {
        let at = (load.duration_ms as f64 * (0.2 + 0.7 * i as f64 / fault_count as f64)) as u64;
        let max_ms = (load.duration_ms as f64 * 0.6 / fault_count as f64) as u64;
        let chosen =
            remaining.choose_weighted(&mut sampler.rng, |site_fault| site_fault.weight.unwrap_or(1.0));
        let site_fault = *chosen.map_err(|error| invalid("trouble.weight", error.to_string()))?;
        remaining.retain(|other| !std::ptr::eq(*other, site_fault));
        drawn.faults.extend(fault(site_fault, at, max_ms, sampler)?);
    }
    drawn.expect = None::<Expect>;
    Ok(drawn)
}

/// Returns the scenario's fault for a fault of the site, or `None` if the site's fault affects only the load.
fn fault(
    site_fault: &SiteFault,
    at_ms: u64,
    max_ms: u64,
    sampler: &mut RangeSampler,
) -> Result<Option<Fault>, SiteFileError> {
    let name = |field: &str| format!("trouble {}.{field}", site_fault.name);
    let length = sampler.sample_or(&name("len_s"), site_fault.len_s, 2.0)?;
    let share = sampler.sample_or(&name("part"), site_fault.share, 0.3)?;
    let size = sampler.sample_or(&name("size"), site_fault.size, 1.0)?;
    let for_ms = ((length * 1000.0) as u64).clamp(100, max_ms.max(100));
    let fault = |kind, target, share: Option<f64>, for_ms| Fault {
        at_ms,
        kind,
        target: Target::All(target),
        share,
        count: None,
        from: None,
        one_way: false,
        for_ms: Some(for_ms),
        reset: false,
        delay_ms: None,
        jitter_ms: None,
        probability: None,
    };
    Ok(match site_fault.name.as_str() {
        "balancer_crash" => Some(fault(FaultKind::Kill, Kind::Gateways, Some(share), for_ms)),
        "pauses" => Some(fault(
            FaultKind::Stop,
            Kind::PayServers,
            Some(share),
            (size as u64).clamp(50, 500).min(for_ms),
        )),
        "flush" => Some(Fault { for_ms: None, ..fault(FaultKind::Wipe, Kind::Counter, None, 1) }),
        // The other faults of a site change the load of some customers. The load of a scenario is constant.
        _ => None,
    })
}
