//! Runs a cluster with its clients through a plan of faults, and checks that it recovers.

use crate::clients::{BatchClient, Gateway, ItemRunner, Operator};
use crate::cluster::{Cluster, ClusterSpec};
use crate::faults::Plan;
use std::collections::BTreeMap;
use std::time::Duration;
use tracing::info;

/// Time after the last fault within which the cluster must serve again.
pub const RECOVERY_TIME: Duration = Duration::from_secs(15);

/// The result of a run.
#[derive(Clone, Debug, Default)]
pub struct Verdict {
    /// Violations, grouped by checker and in the order in which each reported them; empty if the run passed.
    pub violations: Vec<String>,
    /// Digest of the instants of all events; equal runs have equal digests.
    pub event_digest: u64,
    /// Number of observed events by kind.
    pub counts: BTreeMap<&'static str, u64>,
}

/// Adds the clients of a run. Operators pause after each reply for 50 ms plus a random time below
/// `think_time_spread_ms`.
pub fn add_clients(cluster: &mut Cluster, think_time_spread_ms: u64) {
    for id in 0..2 {
        cluster.add_client(Operator::new(id, think_time_spread_ms));
    }
    for number in 0..3 {
        cluster.add_client(Gateway::new(number));
    }
    cluster.add_client(BatchClient::new(BATCH_THINK_TIME_SPREAD_MS));
    for number in 0..2 {
        cluster.add_client(ItemRunner::new(format!("gateway-{number}")));
    }
}

/// Upper bound of the random part of the pause of a batch client after a reply, in milliseconds.
const BATCH_THINK_TIME_SPREAD_MS: u64 = 200;
/// Upper bound of the random part of the pause of an operator after a reply, in milliseconds.
const OPERATOR_THINK_TIME_SPREAD_MS: u64 = 700;

/// Runs a cluster through a plan of faults and the [`RECOVERY_TIME`], and checks that it serves again.
pub fn run(spec: ClusterSpec, plan: &Plan) -> Verdict {
    run_with(spec, plan, OPERATOR_THINK_TIME_SPREAD_MS)
}

/// Does the same as [`run`], with another upper bound of the random part of operators' pauses.
pub fn run_with(spec: ClusterSpec, plan: &Plan, think_time_spread_ms: u64) -> Verdict {
    let mut cluster = Cluster::new(spec);
    add_clients(&mut cluster, think_time_spread_ms);
    for (at, fault) in &plan.faults {
        cluster.schedule_fault(*at, *fault);
    }
    cluster.run_until(plan.fault_free_from + RECOVERY_TIME);
    check_recovery(&mut cluster);
    cluster.describe().into_iter().for_each(|line| info!("{line}"));
    verdict(&cluster)
}

/// Checks that a cluster without faults serves: changes, reads and pulls of the configuration and reads of
/// job results succeed, and the newest configuration has enough replicas.
pub fn check_recovery(cluster: &mut Cluster) {
    // Kinds of events, each with the seconds within which one must occur. Reads have more time, because
    // clients choose them less often than changes.
    const SERVICES: [(&str, u64); 4] =
        [("acknowledged", 8), ("pulled", 8), ("read", 30), ("results read", 30)];
    let started_at = cluster.now;
    let before = SERVICES.map(|(kind, _)| cluster.checker.count_of(kind));
    for ((kind, seconds), before) in SERVICES.into_iter().zip(before) {
        let until = started_at + Duration::from_secs(seconds);
        while cluster.checker.count_of(kind) == before
            && cluster.now < until
            && !cluster.checker.has_violation()
        {
            let next = cluster.now + Duration::from_secs(1);
            cluster.run_until(next);
        }
        if !cluster.checker.has_violation() && cluster.checker.count_of(kind) == before {
            cluster.checker.report(format!("no longer served: no event `{kind}` within {seconds} s"));
        }
    }
    let newest = cluster.checker.configuration.newest_acknowledged(cluster.now);
    let (replicas, min_replicas) =
        (cluster.coordinators_with_generation(newest), cluster.spec.tolerated_machines + 1);
    if !cluster.checker.has_violation() && replicas < min_replicas {
        cluster
            .checker
            .report(format!("generation {newest} has {replicas} replicas, {min_replicas} are required"));
    }
}

/// Returns the result of a run so far.
pub fn verdict(cluster: &Cluster) -> Verdict {
    Verdict {
        violations: cluster.checker.violations(),
        event_digest: cluster.event_digest,
        counts: cluster.checker.counts(),
    }
}
