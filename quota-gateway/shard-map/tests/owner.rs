//! The owner's waits if cells do not fence, and its requests to open shards if they do.

use marblecroft_control_messages::published::Stamp;
use marblecroft_shard_map::map::{MigrationStep, ShardMap};
use marblecroft_shard_map::migration::CellOperation;
use marblecroft_shard_map::owner::{CellAcknowledgement, Owner, TickOutput, Timing};
use marblecroft_shard_map::plan::Limits;
use std::time::Duration;

fn at(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

const TIMING: Timing = Timing {
    fencing: false,
    gateways: 3,
    map_ttl: Duration::from_millis(10_000),
    max_attempt: Duration::from_millis(4000),
    step_timeout: Duration::from_millis(5000),
};

/// Returns the time at which a migration that is commanded at 0 is drained. Three gateways report once a
/// second. The first two apply the new map after 1 s, and the last one at `last_applies_at`, or never.
fn drained_at(last_applies_at: Option<u64>) -> u64 {
    let mut owner = Owner::new(at(0), ShardMap::even(4, &[0, 1]), TIMING, Limits::default());
    let (old_stamp, new_stamp) = (Stamp { token: 3, revision: 1 }, Stamp { token: 3, revision: 2 });
    (0..3).for_each(|gateway| owner.on_applied(at(0), gateway, old_stamp));
    owner.on_operator_command(at(0), 0, 1).expect("the shard is at another cell");
    for ms in (0..30_000).step_by(200) {
        if ms % 1000 == 0 {
            for gateway in 0..3 {
                let applies_at = if gateway == 2 { last_applies_at } else { Some(1000) };
                owner.on_applied(
                    at(ms),
                    gateway,
                    if applies_at.is_some_and(|applies_at| ms >= applies_at) { new_stamp } else { old_stamp },
                );
            }
        }
        let TickOutput { operations, is_map_changed } = owner.tick(at(ms));
        if is_map_changed {
            let map = owner.map().clone();
            owner.on_published(at(ms), new_stamp, &map);
        }
        if operations.iter().any(|operation| matches!(operation, CellOperation::Copy { .. })) {
            return ms;
        }
    }
    30_000
}

#[test]
fn a_migration_waits_for_the_last_gateway_and_the_longest_attempt_despite_repeated_reports() {
    // Each wait is a tenth longer, because the rates of clocks may differ by that much.
    assert_eq!(drained_at(Some(1000)), 5400, "all gateways apply the map after 1 s");
    assert_eq!(drained_at(Some(6000)), 10_400, "the last gateway applies the map after 6 s");
    assert_eq!(
        drained_at(None),
        15_400,
        "the last gateway never applies the map, so its old map has to expire"
    );
}

/// A restarted cell has no epochs and rejects all writes. A new owner therefore requests each cell to open
/// its shards until the cell has acknowledged that.
#[test]
fn a_new_owner_requests_cells_to_open_their_shards() {
    let timing = Timing { fencing: true, ..TIMING };
    let mut owner = Owner::new(at(0), ShardMap::even(2, &[0, 1]), timing, Limits::default());
    let operations = owner.tick(at(0)).operations;
    let is_open = |operation: &CellOperation| matches!(operation, CellOperation::Open { epoch: 1, .. });
    assert!(operations.len() == 2 && operations.iter().all(is_open), "{operations:?}");
    owner.handle_acknowledgement(at(1), CellAcknowledgement::Opened(0, 1));
    let operations = owner.tick(at(2)).operations;
    assert!(matches!(operations[..], [CellOperation::Open { cell: 1, .. }]), "{operations:?}");
    owner.handle_acknowledgement(at(3), CellAcknowledgement::Opened(owner.map().shards[1].first, 1));
    assert!(owner.tick(at(4)).operations.is_empty());
    // No such request is needed for a migration, which opens its new cell in its last step.
    owner.on_operator_command(at(5), 0, 1).expect("the shard is at another cell");
    owner.tick(at(6));
    assert_eq!(owner.map().shards[0].migration.map(|migration| migration.step), Some(MigrationStep::Fencing));
}
