//! Checks of fair shares and shards: every invariant holds on a valid history, and each one is violated by a
//! history that is corrupted for it. Also checks the drawing of cells and tenants from a scenario.

use marblecroft_fault_injection::checker::Finding;
use marblecroft_fault_injection::decisions::{DecisionChecker, DecisionFigures};
use marblecroft_fault_injection::deployment::{Deployment, Nanos, Quota, MS, SAFE, SECOND, UNSAFE};
use marblecroft_fault_injection::history::{Event, Outcome, Setup, ShardRecord, ShardStep, TimedEvent};
use marblecroft_fault_injection::scenario::Scenario;
use std::collections::BTreeMap;

const LENGTH: u64 = 30;
/// Firms with the weights 1 and 3. The lower half of the firm ids is shard 0.
const FIRMS: [u64; 2] = [5, (1 << 32) + 5];

struct HistoryBuilder {
    events: Vec<TimedEvent>,
    next: u64,
}

impl HistoryBuilder {
    fn at(&mut self, at: Nanos, event: Event) {
        self.events.push(TimedEvent { at, event });
    }

    /// Adds a request of a firm, which arrives at a server if `sent`. Returns its attempt and trace.
    fn request(&mut self, at: Nanos, customer: u32, class: u8, sent: bool) -> (u64, u64) {
        self.next += 1;
        let (request, trace, attempt) = (self.next as u32, 1_000_000 + self.next, 2_000_000 + self.next);
        self.at(at, Event::RequestStarted { request, customer, class, late: 0 });
        self.at(at, Event::AttemptStarted { request, trace, gateway: 0, timeout: SECOND, reuses_id: false });
        if sent {
            self.at(at + MS, Event::Arrived { attempt, trace, server: 0, connection: 1, gateway: 0 });
        }
        (attempt, trace)
    }

    /// Adds a pay run that is written at a cell under an epoch and acknowledged. Returns its trace.
    fn written(&mut self, at: Nanos, customer: u32, cell: u16, epoch: u64) -> u64 {
        let (attempt, trace) = self.request(at, customer, UNSAFE, true);
        let firm = FIRMS[customer as usize];
        self.at(at + 2 * MS, Event::ShardWrite { attempt, cell, firm, epoch, admitted: true });
        self.at(at + 3 * MS, Event::Ran { attempt });
        self.at(
            at + 50 * MS,
            Event::AttemptEnded { trace, outcome: Outcome::Served { attempt: Some(attempt) } },
        );
        trace
    }

    fn map(&mut self, at: Nanos, revision: u64, cell: u16, epoch: u64, step: ShardStep) {
        let shard = |first, cell, epoch, step, to| ShardRecord { first, cell, epoch, step, to };
        let shards = vec![
            shard(0, cell, epoch, step, if step == ShardStep::Stable { cell } else { 1 }),
            shard(1 << 32, 1, 1, ShardStep::Stable, 1),
        ];
        self.at(at, Event::ShardMapDecided { token: 3, revision, shards });
    }
}

fn check_history(
    corrupt: impl FnOnce(&mut HistoryBuilder),
) -> (BTreeMap<&'static str, Finding>, DecisionFigures) {
    let quota = |rate| Quota {
        name: String::new(),
        rate,
        burst: 4.0,
        price: 1.0,
        over_cost: 1.0,
        open: 0,
        rate_limit: 0.0,
        rate_limit_burst: 0.0,
        rate_limit_slack: 0.0,
    };
    let mut history = HistoryBuilder { events: Vec::new(), next: 0 };
    let setup = Setup {
        duration: LENGTH * SECOND,
        quotas: vec![quota(1.0), quota(3.0)],
        plans: vec![0, 1],
        coordinators: 3,
        zones: vec!["hall-a".to_owned()],
        controllers: 2,
        shares: true,
        demand_shift_at: Some(10 * SECOND),
        shard_map: true,
        fencing: true,
        cells: vec![0, 1],
        firms: FIRMS.to_vec(),
        ..Setup::default()
    };
    history.at(0, Event::Setup(Box::new(setup)));
    history.at(0, Event::SharesDecided { token: 2, revision: 1, level: 5.0, capacity: 20.0 });
    // The capacity is 20 a second and each firm requests 20, so their fair shares are 5 and 15.
    for second in 0..LENGTH {
        for n in 0..20 {
            let at = second * SECOND + n * 50 * MS;
            history.request(at, 0, SAFE, n < 5);
            history.request(at + 10 * MS, 1, SAFE, n < 15);
        }
    }
    // Shard 0 is migrated from cell 0 to cell 1 within 80 ms.
    history.map(0, 1, 0, 1, ShardStep::Stable);
    let before = history.written(SECOND, 0, 0, 1);
    for (ms, revision, epoch, step) in
        [(0, 2, 2, ShardStep::Fencing), (40, 3, 2, ShardStep::Drained), (60, 4, 2, ShardStep::Copied)]
    {
        history.map(5 * SECOND + ms * MS, revision, 0, epoch, step);
    }
    history.map(5 * SECOND + 80 * MS, 5, 1, 2, ShardStep::Stable);
    let after = history.written(8 * SECOND, 0, 1, 2);
    for trace in [before, after] {
        history.at(LENGTH * SECOND, Event::WriteLocations { trace, cells: vec![0, 1] });
    }
    corrupt(&mut history);
    history.events.sort_by_key(|event| event.at);
    let mut decided = DecisionChecker::default();
    history.events.iter().for_each(|event| decided.take(event));
    decided.findings()
}

#[test]
fn violations_of_share_and_shard_invariants_are_detected() {
    let (findings, figures) = check_history(|_| {});
    assert!(findings.values().all(|finding| finding.holds == Some(true)), "{findings:?}");
    assert!(figures.shares.share_error.is_some_and(|error| error < 0.01), "{figures:?}");
    assert_eq!(figures.shares.time_to_fair_shares_ms, Some(0));
    assert_eq!((figures.shards.moves, figures.shards.max_move_downtime_ms), (Some(1), Some(80)));
    assert_eq!(figures.shards.late_writes_refused, Some(0));
    type Corruption = fn(&mut HistoryBuilder);
    let cases: [(&str, Corruption); 5] = [
        ("shares_within_capacity", |s| {
            for n in 0..200 {
                s.request(2 * SECOND + n * 2 * MS, 0, SAFE, true);
            }
        }),
        ("share_floor", |s| {
            // From 20 s on no request of the firm with the lower weight is sent on.
            let light: Vec<u64> = s
                .events
                .iter()
                .filter(|at| at.at >= 20 * SECOND)
                .filter_map(|at| match at.event {
                    Event::RequestStarted { request, customer: 0, .. } => {
                        Some(1_000_000 + u64::from(request))
                    }
                    _ => None,
                })
                .collect();
            s.events.retain(|at| !matches!(&at.event, Event::Arrived { trace, .. } if light.contains(trace)));
        }),
        ("no_write_to_moved_range", |s| {
            let trace = s.written(6 * SECOND, 0, 0, 1);
            s.at(LENGTH * SECOND, Event::WriteLocations { trace, cells: vec![0, 1] });
        }),
        ("written_once", |s| {
            let trace = s.written(9 * SECOND, 0, 1, 2);
            let attempt = 9;
            s.at(9 * SECOND, Event::Arrived { attempt, trace, server: 0, connection: 1, gateway: 0 });
            let (cell, firm, epoch) = (0, FIRMS[0], 2);
            s.at(9 * SECOND + MS, Event::ShardWrite { attempt, cell, firm, epoch, admitted: true });
            s.at(9 * SECOND + 2 * MS, Event::Ran { attempt });
            s.at(LENGTH * SECOND, Event::WriteLocations { trace, cells: vec![0, 1] });
        }),
        ("nothing_lost_in_moves", |s| {
            let trace = s.written(2 * SECOND, 0, 0, 1);
            s.at(LENGTH * SECOND, Event::WriteLocations { trace, cells: vec![0] });
        }),
    ];
    for (name, corrupt) in cases {
        let (findings, _) = check_history(corrupt);
        let broken: Vec<_> =
            findings.iter().filter(|(_, f)| f.holds == Some(false)).map(|(name, _)| *name).collect();
        assert_eq!(broken, [name]);
    }
    // A write under the old epoch before the shard is drained is valid: it is copied with the shard.
    let (findings, _) = check_history(|s| {
        let trace = s.written(5 * SECOND + 10 * MS, 0, 0, 1);
        s.at(LENGTH * SECOND, Event::WriteLocations { trace, cells: vec![0, 1] });
    });
    assert_eq!(findings["no_write_to_moved_range"].holds, Some(true));
}

#[test]
fn cells_lie_within_one_zone_and_tenants_weights_set_their_quotas() {
    let text = "[fleet]\ncoordinators = 3\nstewards = 2\npay_servers = 18\ncells = 6\n\
                [tenants]\nfirms = 12\nweights = [1, 2]\ngreedy = 2\nshift_at_ms = 5000\n[load]\nrate = 40.0";
    let scenario = Scenario::parse(text).expect("valid scenario");
    let deployment = Deployment::draw(&scenario, 3).expect("drawn deployment");
    let mut sizes = BTreeMap::new();
    for server in &deployment.servers {
        assert_eq!(scenario.zone_of_cell(server.cell), server.zone);
        *sizes.entry(server.cell).or_insert(0) += 1;
    }
    assert_eq!(sizes, (0..6).map(|cell| (cell, 3)).collect());
    let weight = |i: usize| deployment.quotas[deployment.customers[i].plan].rate;
    assert!((weight(1) / weight(0) - 2.0).abs() < 1e-9);
    for moved in [false, true] {
        let demand = deployment.customers.iter().map(|c| if moved { c.after_shift.0 } else { c.weight });
        let all: f64 = demand.sum();
        assert!((all - 1.0).abs() < 1e-9, "{all}");
    }
    assert_eq!(deployment.customers.iter().filter(|customer| customer.greedy).count(), 2);
}
