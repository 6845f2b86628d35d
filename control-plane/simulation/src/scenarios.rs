//! Generates scenarios for the test bench, one day each: every kind of fault of coordinators and stores,
//! alone, twice, or together with another fault at the same instant, with configuration changes in flight,
//! and with every way to end a day.
//!
//! A scenario takes its traffic and its thresholds from a [`Template`], the first day of a site file; the
//! rest is drawn from a seed. The test bench defines the keys and values of the TOML text.

use fastrand::Rng;
use std::fmt::Write;

/// A kind of fault under its name in the test bench, with its variants (values of `how`) and its other fields
/// in TOML.
struct FaultKind {
    name: &'static str,
    /// Whether it takes the field `on`, the role that it affects.
    takes_role: bool,
    variants: &'static [&'static str],
    fields: &'static str,
}

const fn fault_kind(
    name: &'static str,
    takes_role: bool,
    variants: &'static [&'static str],
    fields: &'static str,
) -> FaultKind {
    FaultKind { name, takes_role, variants, fields }
}

/// All kinds of faults.
const FAULT_KINDS: [FaultKind; 19] = [
    fault_kind(
        "node_kill",
        true,
        &["", "power", "leader", "leader power race drain", "meet drain", "seed", "hard"],
        "count = 1, for_s = 3.2",
    ),
    fault_kind(
        "node_freeze",
        true,
        &["", "leader race drain hard", "turn", "meet", "reader"],
        "count = 1, for_s = 3.6",
    ),
    fault_kind(
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
    fault_kind("replace_core", true, &["", "oldest", "planned"], "x = 1.0"),
    fault_kind("after_ack_kill", true, &["", "kill", "timed", "taken"], "count = 1, for_s = 2.4"),
    fault_kind("after_ack_wipe", true, &["", "oldest"], "count = 1, for_s = 2.2"),
    fault_kind("herd_kill", true, &["", "off", "taken", "taken all"], "share = 1.0, for_s = 0.9"),
    fault_kind("roll_term", true, &["", "busy"], "share = 1.0, x = 1.0, gap_s = 1.6"),
    fault_kind("add_nodes", true, &[""], "count = 1"),
    fault_kind("retire", false, &["", "wipe"], "for_s = 8.0"),
    fault_kind("node_slow", true, &[""], "count = 1, x = 5.0, for_s = 4.0"),
    fault_kind("disk_slow", true, &[""], "count = 1, x = 30.0, for_s = 4.0"),
    fault_kind("disk_full", true, &[""], "count = 1, for_s = 4.0"),
    fault_kind("disk_stall", true, &[""], "count = 1, for_s = 4.0"),
    fault_kind("clock_step", false, &["back", "ahead"], "share = 0.4, x = 2000.0, for_s = 6.0"),
    fault_kind("reset_conns", true, &[""], "share = 0.4, x = 0.6, for_s = 4.0"),
    fault_kind("node_cut", false, &["", "all"], "share = 0.2, for_s = 4.0"),
    fault_kind("seed_turnover", false, &[""], "gap_s = 1.0"),
    fault_kind("hup", false, &[""], "share = 0.5, gap_s = 0.5"),
];

/// The ways to end a day, each with its variants.
const CLOSINGS: [(&str, &[&str]); 3] = [
    ("power_off_all", &["", "all", "taken", "all taken", "timed"]),
    ("wipe_after_ack", &["", "all", "oldest", "timed", "taken", "all taken"]),
    ("kill_all", &["", "timed", "taken"]),
];

/// Earliest instant of the first fault, in seconds from the start of traffic; up to one second is added at
/// random.
const FIRST_FAULT_AT_SECONDS: f64 = 9.0;
/// Earliest instant of its repetition, in scenarios that inject it twice; up to one second is added at
/// random.
const SECOND_FAULT_AT_SECONDS: f64 = 19.5;

/// The lines of a day that are the same in all scenarios generated from it.
#[derive(Debug, PartialEq, Eq)]
pub struct Template {
    /// TOML lines that set thresholds and traffic.
    shared_lines: String,
}

impl Template {
    /// Returns the template from the first day of a site file, or `None` if there is no day.
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

/// Returns the TOML line of one fault.
fn fault_line(kind: &FaultKind, variant: &str, role: &str, at: f64) -> String {
    let on = if kind.takes_role { format!("on = \"{role}\", ") } else { String::new() };
    let how = if variant.is_empty() { String::new() } else { format!(", how = \"{variant}\"") };
    format!("  {{ at = {at:.2}, kind = \"{}\", {on}{}{how} }},\n", kind.name, kind.fields)
}

/// A kind of fault, one of its variants, and the role that it affects (empty if the kind takes none).
type FaultVariant = (&'static FaultKind, &'static str, &'static str);

/// Returns all combinations of kind, variant and role.
fn all_faults() -> Vec<FaultVariant> {
    let mut all = Vec::new();
    for kind in &FAULT_KINDS {
        for role in if kind.takes_role { &["core", "store"][..] } else { &[""][..] } {
            all.extend(kind.variants.iter().map(|variant| (kind, *variant, *role)));
        }
    }
    all
}

/// Returns the number of combinations of kind, variant and role. In as many consecutive scenarios, each
/// combination is the first fault once.
pub fn fault_variant_count() -> usize {
    all_faults().len()
}

/// A scenario for the test bench.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Scenario {
    /// The scenario as TOML text of a site file.
    pub toml: String,
    /// One line that describes its faults.
    pub summary: String,
}

/// Returns the scenario of a number. The number selects the first fault; the rest is drawn from the seed and
/// the number.
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
