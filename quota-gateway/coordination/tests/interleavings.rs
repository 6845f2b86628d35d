//! Two holders, one lock, one resource, in all interleavings of a small system: calls and answers that are late, holders that
//! stop between check and effect, clocks that run apart, sessions that end, a restore from an older copy. The state machine,
//! the leases and the fence are the real ones.

use marblecroft_coordination::fencing::FencedResource;
use marblecroft_coordination::lease::{HeldLease, Instant, Leases};
use marblecroft_coordination::state::{ClientId, Command, Done, Op, SessionId, State, Token};
use stateright::{Checker, Model, Property};
use std::time::Duration;

/// What a deliberately broken service does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Mutation {
    None,
    /// The resource lets everything pass.
    NoTokenCheck,
    /// The holder counts its time from the answer.
    DeadlineFromTheAnswer,
    /// A restored service goes on with the tokens of its copy.
    TokensResetAtRestore,
    /// A leader that begins ends sessions at once, as it has not heard from them.
    NewLeaderGivesNoTime,
    /// The holder takes the service's time for its own.
    NoMarginForDrift,
}

const TTL: Duration = Duration::from_millis(2200);
/// A step of true time by the service's clock, and by the holders', which run as slow as is allowed.
const SERVICE_STEP: Duration = Duration::from_millis(1100);
const HOLDER_STEP: Duration = Duration::from_millis(1000);
/// A restored service is told to go on above this.
const FLOOR: Token = 1000;

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Phase {
    Idle,
    /// The call has left at this instant.
    Asked(Instant),
    /// The service has granted it; the answer is on its way.
    Granted(Instant, Token),
    Has(HeldLease),
    /// A renewal has left.
    Renewing(HeldLease, Instant),
    Renewed(HeldLease, Instant),
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Holder {
    phase: Phase,
    session: Option<SessionId>,
    /// An effect that has left after the check and not arrived; and how many may still leave.
    effect: Option<Token>,
    effects: u8,
    calls: u64,
    /// How often it may still ask for the lock, and for more time.
    asks: u8,
    renewals: u8,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct World {
    steps: u8,
    state: State,
    leases: Leases,
    copy: Vec<u8>,
    restored: bool,
    /// There was a change of leader.
    led: bool,
    holders: [Holder; 2],
    fence: FencedResource,
    /// The token of the last effect that was taken, and whether one ever came under a lower one.
    last: Token,
    backwards: bool,
    granted: Vec<(usize, Token)>,
}

#[derive(Clone, Debug, PartialEq, Eq)]
enum Step {
    Time,
    Ask(usize),
    Serve(usize),
    Answer(usize),
    Act(usize),
    Arrive(usize),
    End,
    /// Another process leads from now on.
    NewLeader,
    Restore,
}

struct System {
    mutation: Mutation,
    steps: u8,
}

impl World {
    fn service_now(&self) -> Instant {
        SERVICE_STEP * u32::from(self.steps)
    }

    fn holder_now(&self) -> Instant {
        HOLDER_STEP * u32::from(self.steps)
    }

    fn call(&mut self, holder: usize, op: Op) -> Option<Done> {
        let it = &mut self.holders[holder];
        it.calls += 1;
        let client = ClientId(holder as u64);
        let command = Command::Call { client, number: it.calls, done: it.calls - 1, op };
        self.state.apply(&command)?.ok()
    }

    fn may_act(&self, holder: usize) -> Option<Token> {
        match &self.holders[holder].phase {
            Phase::Has(held) | Phase::Renewing(held, _) | Phase::Renewed(held, _) => {
                held.act(self.holder_now())
            }
            _ => None,
        }
    }
}

impl System {
    /// The service takes up a holder's call.
    fn serve(&self, world: &mut World, holder: usize) {
        let now = world.service_now();
        match world.holders[holder].phase.clone() {
            Phase::Asked(asked) => {
                let open = Op::Open { ttl_ms: TTL.as_millis() as u32, name: "holder".to_owned() };
                let live = world.holders[holder].session.filter(|id| world.leases.renewed(now, *id));
                let session = live.or_else(|| match world.call(holder, open) {
                    Some(Done::Opened(id)) => {
                        world.leases.opened(now, id, TTL);
                        Some(id)
                    }
                    _ => None,
                });
                world.holders[holder].session = session;
                let Some(session) = session else { return };
                let acquire = Op::Acquire { session, lock: "resource".to_owned(), wait: false };
                world.holders[holder].phase = match world.call(holder, acquire) {
                    Some(Done::Granted(token)) => {
                        world.granted.push((holder, token));
                        Phase::Granted(asked, token)
                    }
                    _ => Phase::Idle,
                };
            }
            Phase::Renewing(held, asked) => {
                let live = world.holders[holder].session.is_some_and(|id| world.leases.renewed(now, id));
                // Without an answer the holder goes on until its deadline.
                world.holders[holder].phase =
                    if live { Phase::Renewed(held, asked) } else { Phase::Has(held) };
            }
            _ => {}
        }
    }

    fn answer(&self, world: &mut World, holder: usize) {
        let now = world.holder_now();
        let counted = |asked| if self.mutation == Mutation::DeadlineFromTheAnswer { now } else { asked };
        // Long enough to make up for the margin.
        let ttl = if self.mutation == Mutation::NoMarginForDrift { TTL.mul_f64(1.1 / 0.99) } else { TTL };
        let phase = &mut world.holders[holder].phase;
        *phase = match phase.clone() {
            Phase::Granted(asked, token) => {
                Phase::Has(HeldLease::granted_at_request(counted(asked), ttl, token))
            }
            Phase::Renewed(held, asked) => Phase::Has(held.renewed(counted(asked), ttl)),
            other => other,
        };
    }
}

impl Model for System {
    type State = World;
    type Action = Step;

    fn init_states(&self) -> Vec<World> {
        let holder = Holder {
            phase: Phase::Idle,
            session: None,
            effect: None,
            effects: 2,
            calls: 0,
            asks: 2,
            renewals: 1,
        };
        let state = State::default();
        vec![World {
            steps: 0,
            copy: state.snapshot().expect("a snapshot"),
            state,
            leases: Leases::default(),
            restored: false,
            led: false,
            holders: [holder.clone(), holder],
            fence: FencedResource::default(),
            last: 0,
            backwards: false,
            granted: Vec::new(),
        }]
    }

    fn actions(&self, world: &World, actions: &mut Vec<Step>) {
        if world.steps < self.steps {
            actions.push(Step::Time);
        }
        if world.leases.over(world.service_now()).next().is_some() {
            actions.push(Step::End);
        }
        if !world.led && world.granted.len() == 1 {
            actions.push(Step::NewLeader);
        }
        if !world.restored && world.granted.len() == 1 {
            actions.push(Step::Restore);
        }
        for (i, holder) in world.holders.iter().enumerate() {
            match &holder.phase {
                Phase::Idle if holder.asks > 0 => actions.push(Step::Ask(i)),
                Phase::Has(held) if holder.renewals > 0 && held.act(world.holder_now()).is_some() => {
                    actions.push(Step::Ask(i));
                }
                Phase::Asked(_) | Phase::Renewing(..) => actions.push(Step::Serve(i)),
                Phase::Granted(..) | Phase::Renewed(..) => actions.push(Step::Answer(i)),
                _ => {}
            }
            match holder.effect {
                Some(_) => actions.push(Step::Arrive(i)),
                None if holder.effects > 0 && world.may_act(i).is_some() => actions.push(Step::Act(i)),
                None => {}
            }
        }
    }

    fn next_state(&self, world: &World, step: Step) -> Option<World> {
        let mut world = world.clone();
        match step {
            Step::Time => {
                world.steps += 1;
                // A holder whose time is over knows it, and asks anew.
                for i in 0..2 {
                    if matches!(world.holders[i].phase, Phase::Has(_)) && world.may_act(i).is_none() {
                        world.holders[i].phase = Phase::Idle;
                    }
                }
            }
            Step::Ask(i) => {
                let now = world.holder_now();
                let holder = &mut world.holders[i];
                holder.phase = match holder.phase {
                    Phase::Has(held) => {
                        holder.renewals -= 1;
                        Phase::Renewing(held, now)
                    }
                    _ => {
                        holder.asks -= 1;
                        Phase::Asked(now)
                    }
                };
            }
            Step::Serve(i) => self.serve(&mut world, i),
            Step::Answer(i) => self.answer(&mut world, i),
            Step::Act(i) => {
                world.holders[i].effect = world.may_act(i);
                world.holders[i].effects -= 1;
            }
            Step::Arrive(i) => {
                let token = world.holders[i].effect.take()?;
                let admitted = world.fence.admit(token).is_ok() || self.mutation == Mutation::NoTokenCheck;
                if admitted {
                    world.backwards |= token < world.last;
                    world.last = token;
                }
            }
            Step::End => {
                let sessions: Vec<SessionId> = world.leases.over(world.service_now()).collect();
                sessions.iter().for_each(|id| world.leases.ended(*id));
                world.state.apply(&Command::End { sessions });
            }
            Step::NewLeader => {
                world.led = true;
                let full = self.mutation != Mutation::NewLeaderGivesNoTime;
                let sessions: Vec<SessionId> = world.state.sessions().map(|(id, _)| id).collect();
                let ttl = if full { TTL } else { Duration::ZERO };
                world.leases = Leases::begin(world.service_now(), sessions.into_iter().map(|id| (id, ttl)));
            }
            Step::Restore => {
                // Everything is lost but a copy from before the first grant. Who held before has no session in it.
                world.restored = true;
                world.state = State::restore(&world.copy).ok()?;
                if self.mutation != Mutation::TokensResetAtRestore {
                    world.state.apply(&Command::Floor { token: FLOOR });
                }
                world.leases = Leases::default();
                for holder in &mut world.holders {
                    (holder.session, holder.calls) = (None, 0);
                }
            }
        }
        Some(world)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("no effect under a lower token after a higher one", |_, world: &World| {
                !world.backwards
            }),
            Property::always("no token is given to two", |_, world: &World| {
                let given = &world.granted;
                (1..given.len())
                    .all(|i| given[..i].iter().all(|(who, token)| *token != given[i].1 || *who == given[i].0))
            }),
            // A restore is the one thing that no deadline helps against: tokens alone do.
            Property::always("only one may act", |_, world: &World| {
                world.restored || world.may_act(0).is_none() || world.may_act(1).is_none()
            }),
            Property::sometimes("both have acted", |_, world: &World| {
                world.last > 1
                    && world.granted.iter().any(|(i, _)| *i == 0)
                    && world.granted.iter().any(|(i, _)| *i == 1)
            }),
        ]
    }
}

/// The properties that a mutation breaks.
fn broken(mutation: Mutation) -> Vec<&'static str> {
    let system = System { mutation, steps: 3 }.checker().threads(2);
    // All of it where nothing may be found; a broken one shows it near the beginning.
    let bounded = if mutation == Mutation::None { system } else { system.target_state_count(600_000) };
    let checker = bounded.spawn_bfs().join();
    let mut names: Vec<&'static str> = checker.discoveries().into_keys().collect();
    names.retain(|name| *name != "both have acted");
    if mutation == Mutation::None {
        println!(
            "{} states, {} of them different, {} deep",
            checker.state_count(),
            checker.unique_state_count(),
            checker.max_depth()
        );
        assert!(checker.discoveries().contains_key("both have acted"), "it never comes to anything");
    }
    names.sort_unstable();
    names
}

#[test]
fn all_interleavings_keep_what_is_promised() {
    assert_eq!(broken(Mutation::None), Vec::<&str>::new());
}

#[test]
fn each_mutation_is_caught() {
    for (mutation, property) in [
        (Mutation::NoTokenCheck, "no effect under a lower token after a higher one"),
        (Mutation::DeadlineFromTheAnswer, "only one may act"),
        (Mutation::TokensResetAtRestore, "no token is given to two"),
        (Mutation::NewLeaderGivesNoTime, "only one may act"),
        (Mutation::NoMarginForDrift, "only one may act"),
    ] {
        let broken = broken(mutation);
        assert!(broken.contains(&property), "{mutation:?} broke {broken:?}");
    }
}
