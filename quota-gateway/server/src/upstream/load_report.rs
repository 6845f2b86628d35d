//! The headers in which servers report a customer's metered use of its quota and their own load.

use hyper::header::{HeaderMap, HeaderName};
use marblecroft_quota_gateway_core::LoadReport;
use std::cell::Cell;
use tracing::warn;

const METER: HeaderName = HeaderName::from_static("x-meter");
const LOAD: HeaderName = HeaderName::from_static("endpoint-load-metrics");
/// The highest use of a quota that is accepted, in percent: a hundred times the quota.
const MAX_METER_PERCENT: f64 = 10_000.0;
/// The longest queue that a server may report, in requests.
const MAX_REPORTED_QUEUE: f64 = 100_000.0;
/// The highest processor utilization that a server may report: full use, and a margin for noise.
const MAX_REPORTED_UTILIZATION: f64 = 1.5;

/// Reads the headers. A malformed value is ignored; the first one is logged, for each header.
#[derive(Default)]
pub struct LoadReportReader {
    has_logged_meter: Cell<bool>,
    has_logged_load: Cell<bool>,
}

impl LoadReportReader {
    /// The customer's metered use as a fraction of its quota.
    pub fn metered_use(&self, headers: &HeaderMap) -> Option<f64> {
        read_header(&self.has_logged_meter, "meter", headers, METER, parse_percent)
    }

    /// The server's load; empty if it reports none.
    pub fn load_report(&self, headers: &HeaderMap) -> LoadReport {
        read_header(&self.has_logged_load, "load report", headers, LOAD, parse_load).unwrap_or_default()
    }
}

fn read_header<T>(
    has_logged: &Cell<bool>,
    what: &str,
    headers: &HeaderMap,
    name: HeaderName,
    parse: fn(&str) -> Option<T>,
) -> Option<T> {
    let value = headers.get(name)?;
    let parsed = value.to_str().ok().and_then(parse);
    if parsed.is_none() && !has_logged.replace(true) {
        warn!(what, value = ?value, "malformed {what} {value:?}, further ones are not logged");
    }
    parsed
}

fn parse_percent(text: &str) -> Option<f64> {
    let percent = text.trim().parse().ok();
    percent.filter(|percent| (0.0..=MAX_METER_PERCENT).contains(percent)).map(|percent| percent / 100.0)
}

/// Parses `TEXT queue=3,util=0.5`. One invalid field invalidates the report, because the others may be
/// corrupt as well.
fn parse_load(text: &str) -> Option<LoadReport> {
    let mut report = LoadReport::default();
    for pair in text.trim().strip_prefix("TEXT ")?.split(',') {
        let (name, value) = pair.split_once('=')?;
        let value: f64 = value.trim().parse().ok()?;
        let (field, max) = match name.trim() {
            "queue" => (&mut report.queue, MAX_REPORTED_QUEUE),
            "util" => (&mut report.utilization, MAX_REPORTED_UTILIZATION),
            _ if value.is_finite() => continue,
            _ => return None,
        };
        *field = Some(value).filter(|value| (0.0..=max).contains(value));
        (*field)?;
    }
    Some(report)
}
