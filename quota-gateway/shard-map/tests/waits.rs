//! Where cells do not fence: a move waits for gateways that go by its map, or for what they hold to lapse, and then for attempts.

use marblecroft_control_messages::published::Stamp;
use marblecroft_shard_map::map::{MigrationStep, ShardMap};
use marblecroft_shard_map::migration::CellOperation;
use marblecroft_shard_map::owner::{CellAnswer, Owner, TickOutput, Timing};
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

/// When a move that is ordered at 0 is drained. Gateways report each second; the last of three says so much later that it goes by
/// the new map, or never.
fn drained_at(last_says: Option<u64>) -> u64 {
    let mut owner = Owner::new(at(0), ShardMap::even(4, &[0, 1]), TIMING, Limits::default());
    let (before, after) = (Stamp { token: 3, revision: 1 }, Stamp { token: 3, revision: 2 });
    (0..3).for_each(|gateway| owner.on_applied(at(0), gateway, before));
    owner.on_operator_command(at(0), 0, 1).expect("it is at another one");
    for ms in (0..30_000).step_by(200) {
        if ms % 1000 == 0 {
            for gateway in 0..3 {
                let late = if gateway == 2 { last_says } else { Some(1000) };
                owner.on_applied(
                    at(ms),
                    gateway,
                    if late.is_some_and(|late| ms >= late) { after } else { before },
                );
            }
        }
        let TickOutput { operations: asks, is_map_changed: publish } = owner.tick(at(ms));
        if publish {
            let map = owner.map().clone();
            owner.on_published(at(ms), after, &map);
        }
        if asks.iter().any(|ask| matches!(ask, CellOperation::Copy { .. })) {
            return ms;
        }
    }
    30_000
}

#[test]
fn a_move_waits_for_the_last_gateway_and_the_longest_attempt_however_often_they_report() {
    // Clocks may run apart by a tenth.
    assert_eq!(drained_at(Some(1000)), 5400, "all have said so after a second");
    assert_eq!(drained_at(Some(6000)), 10_400, "the last one is late");
    assert_eq!(drained_at(None), 15_400, "what the last one holds has to lapse");
}

/// An owner that begins asks each cell to open what stands there, until it has said so: a cell that began anew knows of no book.
#[test]
fn cells_are_asked_to_open_what_stands_there() {
    let timing = Timing { fencing: true, ..TIMING };
    let mut owner = Owner::new(at(0), ShardMap::even(2, &[0, 1]), timing, Limits::default());
    let asks = owner.tick(at(0)).operations;
    let open = |ask: &CellOperation| matches!(ask, CellOperation::Open { epoch: 1, .. });
    assert!(asks.len() == 2 && asks.iter().all(open), "{asks:?}");
    owner.handle_answer(at(1), CellAnswer::Opened(0, 1));
    let asks = owner.tick(at(2)).operations;
    assert!(matches!(asks[..], [CellOperation::Open { cell: 1, .. }]), "{asks:?}");
    owner.handle_answer(at(3), CellAnswer::Opened(owner.map().shards[1].first, 1));
    assert!(owner.tick(at(4)).operations.is_empty());
    // A move opens its new cell itself.
    owner.on_operator_command(at(5), 0, 1).expect("it is at another one");
    owner.tick(at(6));
    assert_eq!(owner.map().shards[0].migration.map(|moving| moving.step), Some(MigrationStep::Fencing));
}
