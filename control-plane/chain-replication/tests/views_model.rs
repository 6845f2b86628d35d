//! A model of the agreement on one view ([`marblecroft_chain_replication::agreement`]): voters whose disks may be lost or that forget
//! nothing, proposers that begin again and again, requests that come late and answers that are lost. At most one view is
//! decided, and more than half of its voters are left: a view may name a machine that joins, whose disk may be lost too, so
//! between two losses voters have what they accepted decided. Each mutation below breaks that, and the checker finds it.

use stateright::{Checker, Model, Property};
use std::collections::BTreeSet;

type Ballot = u8;
type View = u8;

/// Voters, proposers (who are the first voters), and how often each proposer begins.
const VOTERS: usize = 3;
const PROPOSERS: usize = 2;
const BEGINS: u8 = 2;
/// Disks of voters that may be lost.
const LOSSES: usize = 1;
/// Added to a view that does not name the machine that joins, as its disk was lost before; the others name it in the place
/// of the last voter.
const WITHOUT_JOINER: View = 100;

/// What is done otherwise than in the program.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Mutation {
    None,
    /// A voter grants a lower ballot than it has promised.
    LowerBallot,
    /// A proposer keeps to its own view although another was accepted.
    IgnoresAccepted,
    /// A voter forgets its promise when it is restarted.
    ForgetsPromise,
    /// A voter forgets what it has accepted when it is restarted.
    ForgetsAccepted,
    /// A proposer does not keep its own promise, and uses a ballot twice.
    BallotTwice,
    /// Both proposers have the same ballots.
    SharedBallots,
    /// A lost voter counts as one that has granted.
    LostCountsAsGranted,
    /// A voter whose disk was lost votes on as the same one.
    LostVotesOn,
    /// A second disk may be lost while a view is accepted by some and not decided.
    LeavesUndecided,
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct Voter {
    promised: Ballot,
    accepted: Option<(Ballot, View)>,
    lost: bool,
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct Proposer {
    begun: u8,
    /// 0 while it proposes nothing.
    ballot: Ballot,
    names_joiner: bool,
    /// Voters that it knows to be lost.
    lost: BTreeSet<usize>,
    promised: BTreeSet<usize>,
    highest: Option<(Ballot, View)>,
    /// What it asks to accept, once it may.
    asks: Option<View>,
    accepted: BTreeSet<usize>,
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct State {
    voters: Vec<Voter>,
    proposers: Vec<Proposer>,
    /// Requests to accept that are on their way, for ever.
    requests: BTreeSet<(Ballot, View)>,
    decided: BTreeSet<View>,
    /// A view was decided after half of its voters or more had lost their disks.
    decided_too_late: bool,
    losses: usize,
    joiner_lost: bool,
    restarts: u8,
}

impl State {
    /// Voters of a view whose disks are lost.
    fn lost_voters(&self, view: View) -> usize {
        let names_joiner = view < WITHOUT_JOINER;
        let stay = if names_joiner { VOTERS - 1 } else { VOTERS };
        let lost = self.voters.iter().take(stay).filter(|voter| voter.lost).count();
        lost + usize::from(names_joiner && self.joiner_lost)
    }

    /// Whether a voter that is left has accepted a view, and none is decided.
    fn has_undecided_view(&self) -> bool {
        self.decided.is_empty() && self.voters.iter().any(|voter| voter.accepted.is_some())
    }

    /// The time between two losses passes: what was under way is over.
    fn settle(&mut self) {
        self.requests.clear();
        for proposer in &mut self.proposers {
            *proposer = Proposer { begun: proposer.begun, ..Proposer::default() };
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Action {
    Begin {
        proposer: usize,
        knows_lost: bool,
    },
    Prepare {
        proposer: usize,
        voter: usize,
    },
    Accept {
        proposer: usize,
        voter: usize,
    },
    /// A request of an earlier time comes now; nobody waits for the answer.
    Late {
        voter: usize,
        ballot: Ballot,
        view: View,
    },
    LoseDisk(usize),
    /// The machine that joins loses its disk, and is another one.
    LoseJoiner,
    Restart(usize),
}

struct Agreement(Mutation);

impl Agreement {
    fn ballot(&self, proposer: usize, begun: u8, promised: Ballot) -> Ballot {
        let own = if self.0 == Mutation::SharedBallots { 0 } else { proposer as u8 };
        if self.0 == Mutation::BallotTwice {
            return PROPOSERS as u8 + own;
        }
        let rounds = (promised / PROPOSERS as u8).max(begun) + 1;
        rounds * PROPOSERS as u8 + own
    }

    fn is_enough(&self, granted: &BTreeSet<usize>, lost: &BTreeSet<usize>) -> bool {
        let majority = VOTERS / 2 + 1;
        if self.0 == Mutation::LostCountsAsGranted {
            return granted.union(lost).count() >= majority;
        }
        let all_left = granted.union(lost).count() == VOTERS;
        granted.len() >= majority || (!lost.is_empty() && lost.len() < majority && all_left)
    }

    fn grants(&self, voter: &Voter, ballot: Ballot) -> bool {
        !voter.lost && (ballot >= voter.promised || self.0 == Mutation::LowerBallot)
    }

    fn prepare(&self, state: &mut State, proposer: usize, voter: usize) {
        let ballot = state.proposers[proposer].ballot;
        if !self.grants(&state.voters[voter], ballot) {
            return;
        }
        let keeps = self.0 != Mutation::BallotTwice || voter != proposer;
        if keeps {
            state.voters[voter].promised = ballot;
        }
        let accepted = state.voters[voter].accepted;
        let own = &mut state.proposers[proposer];
        own.promised.insert(voter);
        own.highest = own.highest.max(accepted);
        if own.asks.is_none() && self.is_enough(&own.promised, &own.lost) {
            let found = own.highest.filter(|_| self.0 != Mutation::IgnoresAccepted);
            // Each time that it begins it would have another view.
            let own_view = proposer as View * 10 + own.begun;
            let own_view = if own.names_joiner { own_view } else { own_view + WITHOUT_JOINER };
            let view = found.map_or(own_view, |accepted| accepted.1);
            own.asks = Some(view);
            state.requests.insert((ballot, view));
        }
    }

    fn take_accept(&self, voter: &mut Voter, ballot: Ballot, view: View) -> bool {
        let grants = self.grants(voter, ballot);
        if grants {
            voter.promised = ballot;
            voter.accepted = Some((ballot, view));
        }
        grants
    }

    fn accept(&self, state: &mut State, proposer: usize, voter: usize) {
        let ballot = state.proposers[proposer].ballot;
        let Some(view) = state.proposers[proposer].asks else { return };
        if !self.take_accept(&mut state.voters[voter], ballot, view) {
            return;
        }
        let own = &mut state.proposers[proposer];
        own.accepted.insert(voter);
        if self.is_enough(&own.accepted, &own.lost) {
            let is_new = state.decided.insert(view);
            state.decided_too_late |= is_new && state.lost_voters(view) > VOTERS / 2;
        }
    }

    /// Whether another disk may be lost.
    fn may_lose(&self, state: &State) -> bool {
        let first = state.losses == 0 && !state.joiner_lost;
        first || !state.has_undecided_view() || self.0 == Mutation::LeavesUndecided
    }
}

impl Model for Agreement {
    type State = State;
    type Action = Action;

    fn init_states(&self) -> Vec<State> {
        vec![State {
            voters: vec![Voter::default(); VOTERS],
            proposers: vec![Proposer::default(); PROPOSERS],
            ..State::default()
        }]
    }

    fn actions(&self, state: &State, actions: &mut Vec<Action>) {
        for (number, proposer) in state.proposers.iter().enumerate() {
            if state.voters[number].lost && self.0 != Mutation::LostVotesOn {
                // A proposer that has lost its disk proposes no more.
                continue;
            }
            if proposer.begun < BEGINS {
                actions.push(Action::Begin { proposer: number, knows_lost: false });
                if state.losses > 0 {
                    actions.push(Action::Begin { proposer: number, knows_lost: true });
                }
            }
            if proposer.ballot == 0 {
                continue;
            }
            // Its own vote is the first of each phase.
            let own_promised = proposer.promised.contains(&number);
            let own_accepted = proposer.accepted.contains(&number);
            for voter in 0..VOTERS {
                if proposer.asks.is_none() && (voter == number || own_promised) {
                    actions.push(Action::Prepare { proposer: number, voter });
                }
                if proposer.asks.is_some() && (voter == number || own_accepted) {
                    actions.push(Action::Accept { proposer: number, voter });
                }
            }
        }
        if !state.joiner_lost && self.may_lose(state) {
            actions.push(Action::LoseJoiner);
        }
        for voter in 0..VOTERS {
            for &(ballot, view) in &state.requests {
                actions.push(Action::Late { voter, ballot, view });
            }
            if state.losses < LOSSES && !state.voters[voter].lost && self.may_lose(state) {
                actions.push(Action::LoseDisk(voter));
            }
            let forgets = matches!(self.0, Mutation::ForgetsPromise | Mutation::ForgetsAccepted);
            if forgets && state.restarts < 2 {
                actions.push(Action::Restart(voter));
            }
        }
    }

    fn next_state(&self, before: &State, action: Action) -> Option<State> {
        let mut state = before.clone();
        match action {
            Action::Begin { proposer, knows_lost } => {
                let begun = state.proposers[proposer].begun;
                let ballot = self.ballot(proposer, begun, state.voters[proposer].promised);
                let lost = (0..VOTERS).filter(|voter| knows_lost && state.voters[*voter].lost).collect();
                let names_joiner = !state.joiner_lost;
                state.proposers[proposer] =
                    Proposer { begun: begun + 1, ballot, names_joiner, lost, ..Proposer::default() };
            }
            Action::Prepare { proposer, voter } => self.prepare(&mut state, proposer, voter),
            Action::Accept { proposer, voter } => self.accept(&mut state, proposer, voter),
            Action::Late { voter, ballot, view } => {
                self.take_accept(&mut state.voters[voter], ballot, view);
            }
            Action::LoseJoiner => {
                if state.losses > 0 {
                    state.settle();
                }
                state.joiner_lost = true;
            }
            Action::LoseDisk(voter) => {
                if state.joiner_lost {
                    state.settle();
                }
                state.losses += 1;
                let lost = self.0 != Mutation::LostVotesOn;
                state.voters[voter] = Voter { lost, ..Voter::default() };
            }
            Action::Restart(voter) => {
                state.restarts += 1;
                let there = &mut state.voters[voter];
                if self.0 == Mutation::ForgetsPromise {
                    there.promised = there.accepted.map_or(0, |accepted| accepted.0);
                } else {
                    there.accepted = None;
                }
            }
        }
        (state != *before).then_some(state)
    }

    fn properties(&self) -> Vec<Property<Agreement>> {
        vec![
            Property::always("one view is decided", |_, state: &State| state.decided.len() <= 1),
            Property::always("a decided view has voters", |_, state: &State| !state.decided_too_late),
            Property::sometimes("a view is decided", |_, state: &State| !state.decided.is_empty()),
            Property::sometimes("a view is decided after a disk was lost", |_, state: &State| {
                state.losses > 0 && !state.decided.is_empty()
            }),
        ]
    }
}

/// A bound for mutations: none needs more states than this to be found.
const STATES_MOST: usize = 6_000_000;

fn violates(mutation: Mutation) -> bool {
    let checker = Agreement(mutation).checker().threads(4).target_state_count(STATES_MOST).spawn_bfs().join();
    ["one view is decided", "a decided view has voters"].iter().any(|name| checker.discovery(name).is_some())
}

#[test]
fn at_most_one_view_is_decided_in_all_orders() {
    let checker = Agreement(Mutation::None).checker().threads(4).spawn_bfs().join();
    assert!(checker.is_done());
    println!("{} states", checker.unique_state_count());
    checker.assert_properties();
}

#[test]
fn every_mutation_is_caught() {
    let all = [
        Mutation::LowerBallot,
        Mutation::IgnoresAccepted,
        Mutation::ForgetsPromise,
        Mutation::ForgetsAccepted,
        Mutation::BallotTwice,
        Mutation::SharedBallots,
        Mutation::LostCountsAsGranted,
        Mutation::LostVotesOn,
        Mutation::LeavesUndecided,
    ];
    let missed: Vec<Mutation> = all.into_iter().filter(|mutation| !violates(*mutation)).collect();
    assert!(missed.is_empty(), "not caught: {missed:?}");
}
