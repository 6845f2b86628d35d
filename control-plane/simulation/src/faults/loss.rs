//! Account of the machines that count as lost, so that no more are lost at once than the deployment tolerates.

use crate::cluster::Cluster;
use std::time::Duration;

/// A machine counts as lost for this long after it is back.
pub const CATCH_UP_TIME: Duration = Duration::from_secs(5);

/// Lets a machine count as lost until it is back and has caught up.
pub(super) fn count_as_lost(cluster: &mut Cluster, machine: usize, restart_after: Duration) {
    let until = cluster.now + restart_after + CATCH_UP_TIME;
    let machine = &mut cluster.machines[machine];
    machine.counts_as_lost_until = machine.counts_as_lost_until.max(until);
}

/// Returns whether one more disk may be lost now, and counts it: no more machines are lost with it than are tolerated, and no
/// more disks since all machines were last healthy.
pub(super) fn may_lose_disk(cluster: &mut Cluster, machine: usize) -> bool {
    let role = cluster.machines[machine].role;
    let lost = cluster
        .lost_machines()
        .into_iter()
        .filter(|lost| *lost != machine && cluster.machines[*lost].role == role);
    let lost = lost.count();
    if lost == 0 && cluster.now >= cluster.machines[machine].counts_as_lost_until {
        cluster.disks_lost.insert(role, 0);
    }
    let disks_lost = cluster.disks_lost.entry(role).or_default();
    let may_lose = lost.max(*disks_lost) < cluster.spec.tolerated_machines
        && cluster.now >= cluster.machines[machine].counts_as_lost_until;
    if may_lose {
        *disks_lost += 1;
    }
    may_lose
}
