//! Requests that what the fleet decides binds: to a cell, to another one once what they write has moved, or to nowhere now.

mod common;

use common::*;
use marblecroft_quota_gateway_core::*;

fn harness() -> Harness {
    // Four cells of two servers each.
    Harness::new(settings(vec![class(Effect::Unsafe, 1.0)], vec![unlimited_plan()]), 8)
}

fn placed(harness: &mut Harness, id: u32, place: Placement) -> Vec<Action> {
    let request = NewRequest {
        id: RequestId(id),
        class: ClassId(0),
        plan: PlanId(0),
        customer: CustomerId(1),
        deadline: Time(harness.now + 3_000_000_000),
        units: 1.0,
        gateways: 2,
        is_retry: false,
        body_in_flight: false,
    };
    harness.handle(Event::RequestWithPlacement(request, place))
}

fn cell(server: Option<ServerId>) -> Option<u32> {
    server.map(|ServerId(id)| server_cell(id))
}

fn server_cell(id: u32) -> u32 {
    server(id).cell
}

/// Also where the fleet sends first attempts to other zones: what is written goes where it is kept.
#[test]
fn a_request_goes_to_its_cell_alone() {
    let mut harness = harness();
    let shares = |zone: u32| ZoneShare { zone, share: 0.5, max_rate: f64::INFINITY };
    for (id, lanes) in [(1, vec![]), (2, vec![shares(0), shares(1)])] {
        harness.handle(Event::ZoneShares(lanes));
        for n in 0..20 {
            let id = id * 100 + n;
            let actions = placed(&mut harness, id, Placement::Cell(3));
            assert_eq!(cell(sent_to(&actions)), Some(3));
            harness.advance(5);
            harness.finish_attempt(RequestId(id), 0, Status::Ok, 5);
        }
    }
    // A zone that nothing may be sent to takes no writes either.
    harness.handle(Event::ZoneShares(vec![shares(0)]));
    assert!(rejected(&placed(&mut harness, 900, Placement::Cell(3))));
}

#[test]
fn a_rejected_request_goes_where_its_shard_has_moved() {
    let mut harness = harness();
    let first = placed(&mut harness, 1, Placement::Cell(0));
    assert_eq!(cell(sent_to(&first)), Some(0));
    harness.handle(Event::PlacementMoved { id: RequestId(1), cell: 2 });
    let again = harness.finish_attempt(RequestId(1), 0, Status::NotSent, 3);
    assert_eq!(cell(sent_to(&again)), Some(2), "it never ran, so it may be written once more");
    // What may have run is not sent again, wherever its book is.
    harness.handle(Event::PlacementMoved { id: RequestId(1), cell: 1 });
    assert!(failed(&harness.finish_attempt(RequestId(1), 1, Status::Reset, 3)));
}

#[test]
fn a_request_without_placement_is_rejected_at_once_with_retry_advice() {
    let mut harness = harness();
    let actions = placed(&mut harness, 1, Placement::Unavailable { retry_after: ms(400) });
    assert!(actions.contains(&Action::Reject { id: RequestId(1), retry_after: ms(400) }), "{actions:?}");
    assert_eq!(sent_to(&actions), None);
    // The quota goes before: what it refuses is told by it.
    let plan = Plan { rate: 0.1, burst: 0.5, price: 1.0, over_quota_cost: 1.0, ..Plan::default() };
    let mut poor = Harness::new(settings(vec![class(Effect::Safe, 1.0)], vec![plan]), 4);
    let actions = placed(&mut poor, 1, Placement::Unavailable { retry_after: ms(400) });
    assert!(
        rejected(&actions) && !actions.contains(&Action::Reject { id: RequestId(1), retry_after: ms(400) })
    );
}
