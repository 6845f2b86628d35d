//! Tracks the machines that count as lost, so that the number of machines lost at the same time does not
//! exceed the number that the deployment tolerates.

use crate::cluster::Cluster;
use std::time::Duration;

/// Time after the end of a fault for which a machine still counts as lost, because it must catch up.
pub const CATCH_UP_TIME: Duration = Duration::from_secs(5);

/// Counts a machine as lost until `restart_after` and then the time to catch up have passed.
pub(super) fn count_as_lost(cluster: &mut Cluster, machine: usize, restart_after: Duration) {
    let until = cluster.now + restart_after + CATCH_UP_TIME;
    let machine = &mut cluster.machines[machine];
    machine.counts_as_lost_until = machine.counts_as_lost_until.max(until);
}

/// Returns whether one more disk may be lost now, and if so counts it as lost. With this disk, the number of
/// lost machines of the role and the number of disks that the role has lost since all of its machines were
/// last healthy must not exceed the tolerated number.
pub(super) fn reserve_disk_loss(cluster: &mut Cluster, machine: usize) -> bool {
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
