//! The metrics of the process, in the Prometheus text format.

use crate::shared::Shared;
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
struct CauseLabels {
    why: &'static str,
}

/// Renders the current metrics.
pub fn render(shared: &Rc<Shared>, role_metrics: &Rc<RoleMetrics>) -> String {
    let mut registry = Registry::with_prefix("marblecroft_controller");
    register_roles(&mut registry, role_metrics);
    register_rejected_reports(&mut registry, shared);
    register_counts(&mut registry, shared, role_metrics);
    let longest = Gauge::<f64, AtomicU64>::default();
    longest.set(shared.longest_decision.get().as_secs_f64());
    registry.register(
        "longest_decision_seconds",
        "The longest that a look at the reports has taken",
        longest,
    );
    let mut page = String::new();
    match text::encode(&mut page, &registry) {
        Ok(()) => page,
        // Encoding into memory fails only if memory is exhausted.
        Err(e) => format!("# {e}\n"),
    }
}

fn register_roles(registry: &mut Registry, role_metrics: &RoleMetrics) {
    let owns = Family::<RoleLabels, Gauge>::default();
    for (role, token) in role_metrics.owned_roles.borrow().iter() {
        owns.get_or_create(&RoleLabels { duty: role.clone() }).set(gauge_value(*token));
    }
    registry.register("owns", "Duties that are owned here, by the token", owns);
}

fn register_rejected_reports(registry: &mut Registry, shared: &Shared) {
    let rejected = Family::<CauseLabels, Gauge>::default();
    for cause in DecodeError::ALL {
        let count = shared.reports.rejected.borrow().get(&cause).copied().unwrap_or(0);
        rejected.get_or_create(&CauseLabels { why: cause.name() }).set(gauge_value(count));
    }
    registry.register("reports_refused", "Reports that changed nothing, by cause", rejected);
}

fn register_counts(registry: &mut Registry, shared: &Shared, role_metrics: &RoleMetrics) {
    let reports = &shared.reports;
    for (name, help, value) in [
        ("connections", "Gateways that are connected", reports.connections.get()),
        ("reports", "Reports that came", reports.received.get()),
        ("reports_dropped", "Reports that came faster than they were heard", reports.dropped.get()),
        ("report_bytes", "Bytes of reports", reports.bytes.get()),
        ("published", "Decisions published", shared.published_decisions.get()),
        (
            "late_decisions_refused",
            "Decisions refused, as another one owns the duty",
            role_metrics.fenced_writes.get(),
        ),
        ("duties_gained", "Times that a duty was taken over here", role_metrics.acquisitions.get()),
    ] {
        let gauge = Gauge::<i64>::default();
        gauge.set(gauge_value(value));
        registry.register(name, help, gauge);
    }
}

fn gauge_value(value: u64) -> i64 {
    i64::try_from(value).unwrap_or(i64::MAX)
}
