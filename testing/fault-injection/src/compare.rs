//! Comparison of two runs, or of two folders of runs with the spread over their seeds.

use crate::error::RecordingError;
use crate::figures::Summary;
use crate::harness::run::{HISTORY, SUMMARY};
use crate::verdict::check_run;
use serde_json::Value;
use std::collections::BTreeMap;
use std::fs;
use std::path::Path;

/// Returns the summary of the run in a folder, or those of the runs in its subfolders.
fn runs(dir: &Path) -> Result<Vec<Summary>, RecordingError> {
    let unreadable = |error| RecordingError::File(dir.to_owned(), error);
    if dir.join(HISTORY).is_file() {
        return Ok(vec![summary(dir)?]);
    }
    let mut runs = Vec::new();
    for entry in fs::read_dir(dir).map_err(unreadable)? {
        let path = entry.map_err(unreadable)?.path();
        if path.join(HISTORY).is_file() {
            runs.push(summary(&path)?);
        }
    }
    match runs.is_empty() {
        true => Err(RecordingError::NoRun(dir.to_owned())),
        false => Ok(runs),
    }
}

fn summary(dir: &Path) -> Result<Summary, RecordingError> {
    let path = dir.join(SUMMARY);
    match fs::read(&path) {
        Ok(text) => serde_json::from_slice(&text).map_err(|error| RecordingError::Summary(path, error)),
        Err(_) => Ok(check_run(dir)?.0.summary),
    }
}

/// Returns all figures of a run by name.
fn figures(summary: &Summary) -> BTreeMap<String, f64> {
    let mut figures = BTreeMap::new();
    flatten("", &serde_json::json!(summary), &mut figures);
    figures.remove("seed");
    let requests = summary.requests.max(1) as f64;
    figures.insert("served_share".to_owned(), summary.served as f64 / requests);
    figures
}

fn flatten(prefix: &str, value: &Value, into: &mut BTreeMap<String, f64>) {
    match value {
        Value::Object(fields) => fields.iter().for_each(|(name, value)| {
            let name = if prefix.is_empty() { name.clone() } else { format!("{prefix}.{name}") };
            flatten(&name, value, into);
        }),
        Value::Number(number) => drop(number.as_f64().map(|number| into.insert(prefix.to_owned(), number))),
        Value::Bool(holds) => drop(into.insert(prefix.to_owned(), f64::from(u8::from(*holds)))),
        _ => {}
    }
}

/// Returns the minimum, median and maximum of a figure over the runs that have it.
fn quantiles_over(runs: &[BTreeMap<String, f64>], name: &str) -> Option<(f64, f64, f64)> {
    let mut values: Vec<f64> = runs.iter().filter_map(|run| run.get(name).copied()).collect();
    values.sort_by(f64::total_cmp);
    Some((*values.first()?, values[values.len() / 2], *values.last()?))
}

/// Returns a table of the figures of two runs, or of two folders of runs.
///
/// # Errors
///
/// A folder does not contain a run, or contains one that cannot be read.
pub fn compare(one: &Path, other: &Path) -> Result<String, RecordingError> {
    let sides = [runs(one)?, runs(other)?];
    let figures_of_runs: Vec<Vec<_>> = sides.iter().map(|runs| runs.iter().map(figures).collect()).collect();
    let mut names: Vec<&String> = figures_of_runs.iter().flatten().flat_map(|run| run.keys()).collect();
    names.sort();
    names.dedup();
    let mut table = format!(
        "{:<38} {:>30} {:>30}\n",
        "median (min to max)",
        format!("{} runs", sides[0].len()),
        format!("{} runs", sides[1].len())
    );
    for name in names {
        let cell = |runs: &[BTreeMap<String, f64>]| match quantiles_over(runs, name) {
            Some((min, median, max)) if min == max => format!("{median:.4}"),
            Some((min, median, max)) => format!("{median:.4} ({min:.4} to {max:.4})"),
            None => "-".to_owned(),
        };
        table += &format!("{name:<38} {:>30} {:>30}\n", cell(&figures_of_runs[0]), cell(&figures_of_runs[1]));
    }
    Ok(table)
}
