//! Figures of a steward, as a page in the usual text format.

use crate::work::Shared;
use marblecroft_control_messages::frame::DecodeError;
use marblecroft_singleton_roles::run::RoleMetrics;
use prometheus_client::encoding::{text, EncodeLabelSet};
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;
use std::rc::Rc;
use std::sync::atomic::AtomicU64;

#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
struct RoleLabels {
    duty: String,
}

#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
struct Why {
    why: &'static str,
}

/// The page as it is now.
pub fn page(shared: &Rc<Shared>, figures: &Rc<RoleMetrics>) -> String {
    let mut registry = Registry::with_prefix("marblecroft_controller");
    let owns = Family::<RoleLabels, Gauge>::default();
    for (duty, token) in figures.owned_roles.borrow().iter() {
        owns.get_or_create(&RoleLabels { duty: duty.clone() }).set(i64::try_from(*token).unwrap_or(i64::MAX));
    }
    registry.register("owns", "Duties that are owned here, by the token", owns);
    let refused = Family::<Why, Gauge>::default();
    for why in DecodeError::ALL {
        let count = shared.reports.refused.borrow().get(&why).copied().unwrap_or(0);
        refused.get_or_create(&Why { why: why.name() }).set(i64::try_from(count).unwrap_or(i64::MAX));
    }
    registry.register("reports_refused", "Reports that changed nothing, by cause", refused);
    let reports = &shared.reports;
    for (name, help, value) in [
        ("connections", "Gateways that are connected", reports.connections.get()),
        ("reports", "Reports that came", reports.come.get()),
        ("reports_dropped", "Reports that came faster than they were heard", reports.dropped.get()),
        ("report_bytes", "Bytes of reports", reports.bytes.get()),
        ("published", "Decisions published", shared.published.get()),
        (
            "late_decisions_refused",
            "Decisions refused, as another one owns the duty",
            figures.fenced_writes.get(),
        ),
        ("duties_gained", "Times that a duty was taken over here", figures.acquisitions.get()),
    ] {
        let gauge = Gauge::<i64>::default();
        gauge.set(i64::try_from(value).unwrap_or(i64::MAX));
        registry.register(name, help, gauge);
    }
    let longest = Gauge::<f64, AtomicU64>::default();
    longest.set(shared.longest.get().as_secs_f64());
    registry.register(
        "longest_decision_seconds",
        "The longest that a look at the reports has taken",
        longest,
    );
    let mut out = String::new();
    match text::encode(&mut out, &registry) {
        Ok(()) => out,
        // Into a string, so for want of memory alone.
        Err(e) => format!("# {e}\n"),
    }
}
