//! Draws a scenario from a site file: the operators publish their sites as ranges of values, and each seed
//! draws another day.
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
    day: Day,
    scale: Scale,
    load: Loads,
    net: Net,
    front: Front,
    clients: Clients,
    discovery: Discovery,
    tier: Vec<Tier>,
    class: Vec<Class>,
    tenant: Vec<Tenant>,
    fam: Family,
    #[serde(default)]
    rules: Rules,
    #[serde(default)]
    trouble: Vec<Trouble>,
}

#[derive(Deserialize)]
struct Day {
    length_s: Range,
    troubles: Range,
}

#[derive(Deserialize)]
struct Scale {
    servers: Range,
    balancers: Range,
}

/// The load of days without and with troubles, as shares of the fleet's capacity.
#[derive(Deserialize)]
struct Loads {
    quiet: Range,
    trouble: Range,
}

#[derive(Deserialize)]
struct Net {
    #[serde(default)]
    zones: Vec<String>,
}

#[derive(Deserialize)]
struct Front {
    notice_s: Range,
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
    notice_s: Range,
    add_s: Range,
}

#[derive(Deserialize)]
struct Rules {
    fall_multiple: f64,
    fall_ms: f64,
}

impl Default for Rules {
    fn default() -> Rules {
        Rules { fall_multiple: 2.0, fall_ms: 3000.0 }
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
    cold_from: Range,
    cold_s: Range,
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
    aim_ms: f64,
    deadline_ms: f64,
    effect: String,
}

#[derive(Deserialize)]
struct Tenant {
    name: String,
    share: Range,
}

#[derive(Deserialize)]
struct Family {
    #[serde(default)]
    skew: Option<Range>,
    #[serde(default)]
    counter: bool,
    #[serde(default)]
    counter_per_s: Option<Range>,
    #[serde(default)]
    meter_late_ms: Option<Range>,
    plan: Vec<FamilyPlan>,
}

#[derive(Deserialize)]
struct FamilyPlan {
    rate: Range,
    burst_s: Range,
    price: f64,
    over_cost: f64,
    #[serde(default)]
    open: Option<Range>,
    #[serde(default)]
    ceiling: Option<Range>,
}

#[derive(Deserialize)]
struct Trouble {
    name: String,
    #[serde(default)]
    len_s: Option<Range>,
    #[serde(default)]
    part: Option<Range>,
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
        let [least, most] = match range {
            Range::Fixed(value) => [value, value],
            Range::Between(bounds) => bounds,
        };
        match least <= most && least.is_finite() && most.is_finite() {
            true => Ok(least + (most - least) * self.rng.random::<f64>()),
            false => Err(invalid(name, format!("the range [{least}, {most}] is inverted or not finite"))),
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

    let figures = &mut drawn.site;
    figures.work_ms = sampler.sample(&format!("class {}.work_ms", safe.name), safe.work_ms)?;
    figures.work_cv = sampler.sample(&format!("class {}.cv", safe.name), safe.cv)?;
    figures.aim_ms = safe.aim_ms as u64;
    figures.deadline_ms = safe.deadline_ms as u64;
    figures.min_timeout_share = sampler.sample("clients.try_share", site.clients.min_timeout_share)?;
    figures.backoff_ms = sampler.sample_integer("clients.backoff_ms", site.clients.backoff_ms)?;
    figures.honour = sampler.sample("clients.honour", site.clients.honour)?;
    figures.notice_ms = (sampler.sample("front.notice_s", site.front.notice_s)? * 1000.0) as u64;
    figures.speed = sampler.sample("tier.kind.speed", machine.speed)? * machine.cores / 2.0;
    figures.speed_cv = sampler.sample("tier.kind.speed_cv", machine.speed_cv)?;
    figures.slots_per_core =
        sampler.sample_integer("tier.kind.slots_per_core", machine.slots_per_core)?.max(1) as u32;
    figures.queue_per_core =
        sampler.sample_integer("tier.kind.queue_per_core", machine.queue_per_core)? as u32;
    figures.thrash = sampler.sample("tier.kind.thrash", machine.thrash)?;
    figures.thrash_at = sampler.sample("tier.kind.thrash_at", machine.thrash_at)?;
    figures.error_rate = sampler.sample("tier.kind.error_rate", machine.error_rate)?;
    figures.drops_queued = machine.cancel.choose(&mut sampler.rng).is_some_and(|way| way == "queued");
    figures.cold_from = sampler.sample("tier.kind.cold_from", machine.cold_from)?;
    figures.cold_ms = (sampler.sample("tier.kind.cold_s", machine.cold_s)? * 1000.0) as u64;
    figures.fall_multiple = site.rules.fall_multiple;
    figures.fall_ms = site.rules.fall_ms as u64;
    figures.connections_per_core =
        sampler.sample_integer("tier.conn.cap_per_core", tier.conn.cap_per_core)? as u32;
    figures.handshake_us = sampler.sample_integer("tier.conn.handshake_us", tier.conn.handshake_us)?;
    figures.meter_late_ms = sampler.sample_or("fam.meter_late_ms", site.fam.meter_late_ms, 800.0)? as u64;
    figures.list_notice_ms = (sampler.sample("discovery.notice_s", site.discovery.notice_s)? * 1000.0) as u64;
    figures.list_add_ms = (sampler.sample("discovery.add_s", site.discovery.add_s)? * 1000.0) as u64;
    figures.counter_per_s = sampler.sample_or("fam.counter_per_s", site.fam.counter_per_s, 640.0)?;
    figures.skew = sampler.sample_or("fam.skew", site.fam.skew, 0.7)?;
    if site.tenant.len() != site.fam.plan.len() {
        return Err(invalid("fam.plan", "the number of plans differs from the number of tenants"));
    }
    let mut plans = Vec::new();
    for (tenant, plan) in site.tenant.iter().zip(&site.fam.plan) {
        let name = format!("fam.plan {}", tenant.name);
        plans.push(Plan {
            name: tenant.name.clone(),
            share: sampler.sample(&format!("tenant {}.share", tenant.name), tenant.share)?,
            rate: sampler.sample(&format!("{name}.rate"), plan.rate)?,
            burst_s: sampler.sample(&format!("{name}.burst_s"), plan.burst_s)?,
            price: plan.price,
            over_cost: plan.over_cost,
            open: sampler.sample_or(&format!("{name}.open"), plan.open, 0.0)? as u32,
            ceiling: sampler.sample_or(&format!("{name}.ceiling"), plan.ceiling, 0.0)?,
        });
    }
    figures.plans = plans;

    let fleet = &mut drawn.fleet;
    fleet.gateways = sampler.sample_integer("scale.balancers", site.scale.balancers)? as u32;
    fleet.pay_servers = sampler.sample_integer("scale.servers", site.scale.servers)? as u32;
    fleet.counter = site.fam.counter;
    if !site.net.zones.is_empty() {
        fleet.zones = site.net.zones.clone();
    }
    let troubled = sampler.sample_integer("day.troubles", site.day.troubles)?.min(site.trouble.len() as u64);
    let (name, busy) =
        if troubled == 0 { ("load.quiet", site.load.quiet) } else { ("load.trouble", site.load.trouble) };
    let share = sampler.sample(name, busy)?;
    let capacity_cores = 2.0 * f64::from(fleet.pay_servers) * drawn.site.speed;
    let load = &mut drawn.load;
    load.rate = (capacity_cores * share / (drawn.site.work_ms / 1000.0) * 10.0).round() / 10.0;
    load.duration_ms = (sampler.sample("day.length_s", site.day.length_s)? * 1000.0) as u64;
    load.customers = (load.rate * 0.7).ceil().max(1.0) as u32;
    let unsafe_share = sampler.sample(&format!("class {}.share", unsafe_class.name), unsafe_class.share)?;
    let safe_share = sampler.sample(&format!("class {}.share", safe.name), safe.share)?;
    load.unsafe_share = unsafe_share / (unsafe_share + safe_share);
    load.retries = sampler.sample_integer("clients.retries", site.clients.retries)? as u32;

    // The troubles start at different times and are limited in length, so that no two overlap.
    let mut names: Vec<&Trouble> = site.trouble.iter().collect();
    for i in 0..troubled {
        let at = (load.duration_ms as f64 * (0.2 + 0.7 * i as f64 / troubled as f64)) as u64;
        let most = (load.duration_ms as f64 * 0.6 / troubled as f64) as u64;
        let weights = names.choose_weighted(&mut sampler.rng, |trouble| trouble.weight.unwrap_or(1.0));
        let trouble = *weights.map_err(|error| invalid("trouble.weight", error.to_string()))?;
        names.retain(|other| !std::ptr::eq(*other, trouble));
        drawn.faults.extend(fault(trouble, at, most, sampler)?);
    }
    drawn.expect = None::<Expect>;
    Ok(drawn)
}

/// Returns the fault for a trouble of the site; `None` if the trouble is in the load and not in the
/// processes.
fn fault(
    trouble: &Trouble,
    at_ms: u64,
    most: u64,
    sampler: &mut RangeSampler,
) -> Result<Option<Fault>, SiteFileError> {
    let name = |field: &str| format!("trouble {}.{field}", trouble.name);
    let length = sampler.sample_or(&name("len_s"), trouble.len_s, 2.0)?;
    let part = sampler.sample_or(&name("part"), trouble.part, 0.3)?;
    let size = sampler.sample_or(&name("size"), trouble.size, 1.0)?;
    let for_ms = ((length * 1000.0) as u64).clamp(100, most.max(100));
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
    Ok(match trouble.name.as_str() {
        "balancer_crash" => Some(fault(FaultKind::Kill, Kind::Gateways, Some(part), for_ms)),
        "pauses" => Some(fault(
            FaultKind::Stop,
            Kind::PayServers,
            Some(part),
            (size as u64).clamp(50, 500).min(for_ms),
        )),
        "flush" => Some(Fault { for_ms: None, ..fault(FaultKind::Wipe, Kind::Counter, None, 1) }),
        // Other troubles change the load of some customers, which this program keeps steady.
        _ => None,
    })
}
