//! Scenarios for the bench, one day each: every kind of fault of coordinators and stores, alone, twice, and in pairs at the
//! same instant, with configuration changes in flight, and with every way to end a day.
//!
//! A scenario takes its traffic and its thresholds from a [`Template`], the first day of a site file; the rest is drawn from a
//! seed. The words of the TOML text are the bench's.

use fastrand::Rng;
use std::fmt::Write;

/// A kind of fault in the words of the bench: whether it takes `on`, its variants (`how`), and its further fields.
struct FaultKind {
    name: &'static str,
    on: bool,
    variants: &'static [&'static str],
    fields: &'static str,
}

const fn kind(
    name: &'static str,
    on: bool,
    variants: &'static [&'static str],
    fields: &'static str,
) -> FaultKind {
    FaultKind { name, on, variants, fields }
}

/// All kinds of faults.
const FAULT_KINDS: [FaultKind; 19] = [
    kind(
        "node_kill",
        true,
        &["", "power", "leader", "leader power race drain", "meet drain", "seed", "hard"],
        "count = 1, for_s = 3.2",
    ),
    kind(
        "node_freeze",
        true,
        &["", "leader race drain hard", "turn", "meet", "reader"],
        "count = 1, for_s = 3.6",
    ),
    kind(
        "core_cut",
        true,
        &[
            "",
            "leader race",
            "reset race drain hard",
            "refuse",
            "one_way",
            "all",
            "near",
            "oldest",
            "seeds",
            "both",
            "lure",
            "relieve",
            "behind",
            "split",
            "leader refuse meet",
            "reader one_way",
            "giver reset",
        ],
        "count = 1, for_s = 5.2",
    ),
    kind("replace_core", true, &["", "oldest", "planned"], "x = 1.0"),
    kind("after_ack_kill", true, &["", "kill", "timed", "taken"], "count = 1, for_s = 2.4"),
    kind("after_ack_wipe", true, &["", "oldest"], "count = 1, for_s = 2.2"),
    kind("herd_kill", true, &["", "off", "taken", "taken all"], "share = 1.0, for_s = 0.9"),
    kind("roll_term", true, &["", "busy"], "share = 1.0, x = 1.0, gap_s = 1.6"),
    kind("add_nodes", true, &[""], "count = 1"),
    kind("retire", false, &["", "wipe"], "for_s = 8.0"),
    kind("node_slow", true, &[""], "count = 1, x = 5.0, for_s = 4.0"),
    kind("disk_slow", true, &[""], "count = 1, x = 30.0, for_s = 4.0"),
    kind("disk_full", true, &[""], "count = 1, for_s = 4.0"),
    kind("disk_stall", true, &[""], "count = 1, for_s = 4.0"),
    kind("clock_step", false, &["back", "ahead"], "share = 0.4, x = 2000.0, for_s = 6.0"),
    kind("reset_conns", true, &[""], "share = 0.4, x = 0.6, for_s = 4.0"),
    kind("node_cut", false, &["", "all"], "share = 0.2, for_s = 4.0"),
    kind("seed_turnover", false, &[""], "gap_s = 1.0"),
    kind("hup", false, &[""], "share = 0.5, gap_s = 0.5"),
];

/// The ways to end a day, each with its variants.
const CLOSINGS: [(&str, &[&str]); 3] = [
    ("power_off_all", &["", "all", "taken", "all taken", "timed"]),
    ("wipe_after_ack", &["", "all", "oldest", "timed", "taken", "all taken"]),
    ("kill_all", &["", "timed", "taken"]),
];

/// When the first fault comes, in seconds from the start of traffic.
const FIRST_FAULT_AT_SECONDS: f64 = 9.0;
/// When it comes again, in scenarios that have it twice.
const SECOND_FAULT_AT_SECONDS: f64 = 19.5;

/// The lines of a day that all scenarios made of it share.
#[derive(Debug, PartialEq, Eq)]
pub struct Template {
    /// Its thresholds and its traffic.
    shared_lines: String,
}

impl Template {
    /// Returns the template in the first day of a site file; `None` where there is no day.
    pub fn read(site: &str) -> Option<Template> {
        let day = site.split("\n[[day]]\n").nth(1)?;
        let mut shared_lines = String::new();
        let mut is_skipping = false;
        for line in day.lines() {
            let key = line.split('=').next().unwrap_or_default().trim();
            let is_list = matches!(key, "plan" | "faults") && line.ends_with('[');
            is_skipping |= is_list;
            if !is_skipping && !matches!(key, "name" | "seed" | "plan" | "faults" | "closing" | "light") {
                shared_lines.push_str(line);
                shared_lines.push('\n');
            }
            if is_skipping && line == "]" {
                is_skipping = false;
            }
        }
        Some(Template { shared_lines })
    }
}

/// Returns the line of one fault.
fn fault_line(kind: &FaultKind, variant: &str, role: &str, at: f64) -> String {
    let on = if kind.on { format!("on = \"{role}\", ") } else { String::new() };
    let how = if variant.is_empty() { String::new() } else { format!(", how = \"{variant}\"") };
    format!("  {{ at = {at:.2}, kind = \"{}\", {on}{}{how} }},\n", kind.name, kind.fields)
}

/// A kind of fault in one of its variants, and the role that it affects (empty where the kind takes none).
type FaultVariant = (&'static FaultKind, &'static str, &'static str);

/// Returns all kinds with all of their variants and roles.
fn all_faults() -> Vec<FaultVariant> {
    let mut all = Vec::new();
    for kind in &FAULT_KINDS {
        for role in if kind.on { &["core", "store"][..] } else { &[""][..] } {
            all.extend(kind.variants.iter().map(|variant| (kind, *variant, *role)));
        }
    }
    all
}

/// Returns the number of kinds with their variants and roles: as many scenarios have each of them once.
pub fn fault_variants() -> usize {
    all_faults().len()
}

/// A scenario for the bench.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Scenario {
    /// Its text for a site file.
    pub toml: String,
    /// One line about its faults.
    pub summary: String,
}

/// Returns scenario `number`, whose first fault is that of this number, drawn from a seed.
pub fn scenario(template: &Template, number: usize, seed: u64) -> Scenario {
    let mut rng = Rng::with_seed(seed.wrapping_mul(1_000_003) ^ number as u64);
    let all = all_faults();
    let (kind, variant, role) = all[number % all.len()];
    let at = FIRST_FAULT_AT_SECONDS + rng.f64();
    let mut faults = fault_line(kind, variant, role, at);
    let mut summary = format!("{} {role} {variant:?}", kind.name);
    match rng.u32(0..3) {
        0 => {
            faults += &fault_line(kind, variant, role, SECOND_FAULT_AT_SECONDS + rng.f64());
            summary += ", twice";
        }
        1 => {
            let (other, variant, role) = all[rng.usize(0..all.len())];
            faults += &fault_line(other, variant, role, at);
            let _ = write!(summary, ", with {} {role} {variant:?}", other.name);
        }
        _ => {}
    }
    if rng.bool() {
        faults += &format!("  {{ at = {:.2}, kind = \"ack_lost\", for_s = 12.0, x = 0.6 }},\n", at - 1.0);
        summary += ", acknowledgements lost";
    }
    let mut plan = String::new();
    for change in 0..14 {
        let at = 2.0 + 1.9 * f64::from(change) + rng.f64();
        let how = ["idle", "timeout", "weights", "route"][rng.usize(0..4)];
        plan += &format!("  {{ at = {at:.2}, kind = \"config_change\", how = \"{how}\" }},\n");
    }
    plan += "  { at = 8.80, kind = \"config_race\", count = 4, gap_s = 1.3 },\n";
    let mut toml = format!("[[day]]\nname = \"own-{seed}-{number}\"\nseed = {}\n", rng.u32(..));
    let (closing, variants) = CLOSINGS[rng.usize(0..CLOSINGS.len())];
    let how = variants[rng.usize(0..variants.len())];
    let _ = writeln!(toml, "closing = {{ kind = \"{closing}\", down_s = 1.2, how = \"{how}\" }}");
    let _ = write!(summary, ", ends with {closing} {how:?}");
    let _ = write!(toml, "faults = [\n{faults}]\nplan = [\n{plan}]\n{}", template.shared_lines);
    Scenario { toml, summary }
}
