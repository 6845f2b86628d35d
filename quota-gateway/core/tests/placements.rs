//! Requests with a placement: in a cell, in another cell after their shard has moved, or unavailable.

mod common;

use common::*;
use marblecroft_quota_gateway_core::*;

fn harness() -> Harness {
    // Four cells of two servers each.
    Harness::new(settings(vec![class(Effect::Unsafe, 1.0)], vec![unlimited_plan()]), 8)
}

fn request_with_placement(harness: &mut Harness, id: u32, placement: Placement) -> Vec<Action> {
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
    harness.handle(Event::RequestWithPlacement(request, placement))
}

fn cell(server: Option<ServerId>) -> Option<u32> {
    server.map(|ServerId(id)| server_cell(id))
}

fn server_cell(id: u32) -> u32 {
    server(id).cell
}

/// The placement also takes precedence over zone shares that send first attempts to other zones.
#[test]
fn a_request_is_sent_only_to_its_cell() {
    let mut harness = harness();
    let half_share = |zone: u32| ZoneShare { zone, share: 0.5, max_rate: f64::INFINITY };
    for (id, zone_shares) in [(1, vec![]), (2, vec![half_share(0), half_share(1)])] {
        harness.handle(Event::ZoneShares(zone_shares));
        for n in 0..20 {
            let id = id * 100 + n;
            let actions = request_with_placement(&mut harness, id, Placement::Cell(3));
            assert_eq!(cell(sent_to(&actions)), Some(3));
            harness.advance(5);
            harness.finish_attempt(RequestId(id), 0, Status::Ok, 5);
        }
    }
    // A closed zone gets no requests with a placement either.
    harness.handle(Event::ZoneShares(vec![half_share(0)]));
    assert!(rejected(&request_with_placement(&mut harness, 900, Placement::Cell(3))));
}

#[test]
fn a_retry_follows_its_shard_to_another_cell() {
    let mut harness = harness();
    let first = request_with_placement(&mut harness, 1, Placement::Cell(0));
    assert_eq!(cell(sent_to(&first)), Some(0));
    harness.handle(Event::PlacementMoved { id: RequestId(1), cell: 2 });
    let again = harness.finish_attempt(RequestId(1), 0, Status::NotSent, 3);
    assert_eq!(cell(sent_to(&again)), Some(2), "it was not executed, so it may be sent again");
    // A request that may have been executed is not sent again, wherever its shard is.
    harness.handle(Event::PlacementMoved { id: RequestId(1), cell: 1 });
    assert!(failed(&harness.finish_attempt(RequestId(1), 1, Status::Reset, 3)));
}

#[test]
fn a_request_with_unavailable_placement_is_rejected_at_once_with_its_retry_after() {
    let mut harness = harness();
    let actions = request_with_placement(&mut harness, 1, Placement::Unavailable { retry_after: ms(400) });
    assert!(actions.contains(&Action::Reject { id: RequestId(1), retry_after: ms(400) }), "{actions:?}");
    assert_eq!(sent_to(&actions), None);
    // The quota is checked first: the retry-after is that of the quota.
    let plan = Plan { rate: 0.1, burst: 0.5, price: 1.0, over_quota_cost: 1.0, ..Plan::default() };
    let mut limited = Harness::new(settings(vec![class(Effect::Safe, 1.0)], vec![plan]), 4);
    let actions = request_with_placement(&mut limited, 1, Placement::Unavailable { retry_after: ms(400) });
    assert!(
        rejected(&actions) && !actions.contains(&Action::Reject { id: RequestId(1), retry_after: ms(400) })
    );
}
