//! Days for the bench: every kind of trouble that strikes the machines that count, alone, twice, and in pairs at the same
//! moment, with changes of the configuration under way, and with every way to end a day.
//!
//! A day takes its traffic and its marks from the first day of a site file, and is drawn from a seed.

use fastrand::Rng;
use std::fmt::Write;

/// A kind of trouble, whether it takes `on`, its variants, and its further fields.
struct Kind {
    name: &'static str,
    on: bool,
    variants: &'static [&'static str],
    fields: &'static str,
}

const fn kind(name: &'static str, on: bool, variants: &'static [&'static str], fields: &'static str) -> Kind {
    Kind { name, on, variants, fields }
}

const KINDS: [Kind; 19] = [
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

const CLOSINGS: [(&str, &[&str]); 3] = [
    ("power_off_all", &["", "all", "taken", "all taken", "timed"]),
    ("wipe_after_ack", &["", "all", "oldest", "timed", "taken", "all taken"]),
    ("kill_all", &["", "timed", "taken"]),
];

/// When the first trouble strikes, in seconds from the start of traffic, and when the second one of its kind does.
const FIRST_AT: f64 = 9.0;
const AGAIN_AT: f64 = 19.5;

/// What a day of the site file gives to those that are made of it.
#[derive(Debug, PartialEq, Eq)]
pub struct Model {
    /// The lines that hold its marks and its traffic.
    kept: String,
}

impl Model {
    /// The first day of a site file; `None` where there is none.
    pub fn read(site: &str) -> Option<Model> {
        let day = site.split("\n[[day]]\n").nth(1)?;
        let mut kept = String::new();
        let mut skips = false;
        for line in day.lines() {
            let key = line.split('=').next().unwrap_or_default().trim();
            let is_list = matches!(key, "plan" | "faults") && line.ends_with('[');
            skips |= is_list;
            if !skips && !matches!(key, "name" | "seed" | "plan" | "faults" | "closing" | "light") {
                kept.push_str(line);
                kept.push('\n');
            }
            if skips && line == "]" {
                skips = false;
            }
        }
        Some(Model { kept })
    }
}

fn entry(kind: &Kind, variant: &str, role: &str, at: f64) -> String {
    let on = if kind.on { format!("on = \"{role}\", ") } else { String::new() };
    let how = if variant.is_empty() { String::new() } else { format!(", how = \"{variant}\"") };
    format!("  {{ at = {at:.2}, kind = \"{}\", {on}{}{how} }},\n", kind.name, kind.fields)
}

/// All kinds with all of their variants, and whom they strike.
fn all_faults() -> Vec<(&'static Kind, &'static str, &'static str)> {
    let mut all = Vec::new();
    for kind in &KINDS {
        for role in if kind.on { &["core", "store"][..] } else { &[""][..] } {
            all.extend(kind.variants.iter().map(|variant| (kind, *variant, *role)));
        }
    }
    all
}

/// Days that this many kinds, variants and machines make.
pub fn random_faults() -> usize {
    all_faults().len()
}

/// A day of the bench's form, and one line that says what strikes.
pub fn scenario(model: &Model, number: usize, seed: u64) -> (String, String) {
    let mut rng = Rng::with_seed(seed.wrapping_mul(1_000_003) ^ number as u64);
    let all = all_faults();
    let (kind, variant, role) = all[number % all.len()];
    let at = FIRST_AT + rng.f64();
    let mut faults = entry(kind, variant, role, at);
    let mut told = format!("{} {role} {variant:?}", kind.name);
    match rng.u32(0..3) {
        0 => {
            faults += &entry(kind, variant, role, AGAIN_AT + rng.f64());
            told += ", twice";
        }
        1 => {
            let (other, variant, role) = all[rng.usize(0..all.len())];
            faults += &entry(other, variant, role, at);
            let _ = write!(told, ", with {} {role} {variant:?}", other.name);
        }
        _ => {}
    }
    if rng.bool() {
        faults += &format!("  {{ at = {:.2}, kind = \"ack_lost\", for_s = 12.0, x = 0.6 }},\n", at - 1.0);
        told += ", acknowledgements lost";
    }
    let mut plan = String::new();
    for change in 0..14 {
        let at = 2.0 + 1.9 * f64::from(change) + rng.f64();
        let how = ["idle", "timeout", "weights", "route"][rng.usize(0..4)];
        plan += &format!("  {{ at = {at:.2}, kind = \"config_change\", how = \"{how}\" }},\n");
    }
    plan += "  { at = 8.80, kind = \"config_race\", count = 4, gap_s = 1.3 },\n";
    let mut text = format!("[[day]]\nname = \"own-{seed}-{number}\"\nseed = {}\n", rng.u32(..));
    let (closing, variants) = CLOSINGS[rng.usize(0..CLOSINGS.len())];
    let how = variants[rng.usize(0..variants.len())];
    let _ = writeln!(text, "closing = {{ kind = \"{closing}\", down_s = 1.2, how = \"{how}\" }}");
    let _ = write!(told, ", ends with {closing} {how:?}");
    let _ = write!(text, "faults = [\n{faults}]\nplan = [\n{plan}]\n{}", model.kept);
    (text, told)
}
