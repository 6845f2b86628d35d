//! Runs a cluster with its clients through a plan of faults, and checks that it recovers.

use crate::clients::{BatchClient, Gateway, ItemRunner, Operator};
use crate::cluster::{Cluster, ClusterSpec};
use crate::faults::Plan;
use std::collections::BTreeMap;
use std::time::Duration;
use tracing::info;

/// After the last fault the cluster serves again within this time.
pub const RECOVERY_TIME: Duration = Duration::from_secs(15);

/// The result of a run.
#[derive(Clone, Debug, Default)]
pub struct Verdict {
    /// The violations, by checker, in the order in which each found them; empty if the run passed.
    pub violations: Vec<String>,
    /// A digest of the instants of all events, equal for equal runs.
    pub trace: u64,
    /// How often each kind of event was observed.
    pub counts: BTreeMap<&'static str, u64>,
}

/// Adds the clients that every run has; operators think for `max_think_time_ms` at most between two tasks.
pub fn add_clients(cluster: &mut Cluster, max_think_time_ms: u64) {
    for name in 0..2 {
        cluster.add_client(Operator::new(name, max_think_time_ms));
    }
    for number in 0..3 {
        cluster.add_client(Gateway::new(number));
    }
    cluster.add_client(BatchClient::new(MAX_BATCH_THINK_TIME_MS));
    for number in 0..2 {
        cluster.add_client(ItemRunner::new(format!("gateway-{number}")));
    }
}

/// Upper bound of the time that a batch client thinks between two tasks, in milliseconds.
const MAX_BATCH_THINK_TIME_MS: u64 = 200;
/// Upper bound of the time that an operator thinks between two tasks, in milliseconds.
const MAX_OPERATOR_THINK_TIME_MS: u64 = 700;

/// Runs a cluster through a plan, until it must serve again, and checks that it does.
pub fn run(spec: ClusterSpec, plan: &Plan) -> Verdict {
    run_with(spec, plan, MAX_OPERATOR_THINK_TIME_MS)
}

/// Does the same as [`run`] with operators that think for `max_think_time_ms` at most between two tasks.
pub fn run_with(spec: ClusterSpec, plan: &Plan, max_think_time_ms: u64) -> Verdict {
    let mut cluster = Cluster::new(spec);
    add_clients(&mut cluster, max_think_time_ms);
    for (at, fault) in &plan.faults {
        cluster.fault_at(*at, *fault);
    }
    cluster.run_until(plan.quiet_from + RECOVERY_TIME);
    check_recovery(&mut cluster);
    cluster.describe().into_iter().for_each(|line| info!("{line}"));
    verdict(&cluster)
}

/// Checks that a cluster without faults serves: changes, reads, pulls and jobs proceed, and the newest configuration has
/// enough replicas.
pub fn check_recovery(cluster: &mut Cluster) {
    // Seconds within which each kind must proceed; reads are drawn less often than changes.
    const SERVICES: [(&str, u64); 4] =
        [("acknowledged", 8), ("pulled", 8), ("read", 30), ("results read", 30)];
    let started_at = cluster.now;
    let before = SERVICES.map(|(what, _)| cluster.checker.count_of(what));
    for ((what, seconds), before) in SERVICES.into_iter().zip(before) {
        let until = started_at + Duration::from_secs(seconds);
        while cluster.checker.count_of(what) == before
            && cluster.now < until
            && !cluster.checker.has_violation()
        {
            let next = cluster.now + Duration::from_secs(1);
            cluster.run_until(next);
        }
        if !cluster.checker.has_violation() && cluster.checker.count_of(what) == before {
            cluster.checker.report(format!("no longer served: {what}"));
        }
    }
    let newest = cluster.checker.configuration.newest_acknowledged(cluster.now);
    let (replicas, min_replicas) =
        (cluster.coordinators_with_generation(newest), cluster.spec.tolerated_machines + 1);
    if !cluster.checker.has_violation() && replicas < min_replicas {
        cluster
            .checker
            .report(format!("{replicas} replicas of generation {newest}, {min_replicas} are required"));
    }
}

/// Returns the result of a run so far.
pub fn verdict(cluster: &Cluster) -> Verdict {
    Verdict {
        violations: cluster.checker.violations(),
        trace: cluster.trace,
        counts: cluster.checker.counts(),
    }
}
