//! A model of the agreement on one view ([`marblecroft_chain_replication::agreement`]): voters that may lose their disks and
//! otherwise forget nothing, proposers that start again and again, delayed requests and lost replies. At most one view is
//! decided, and more than half of its voters are left: a view may name a learner, whose disk may be lost too, so between two
//! losses voters have what they accepted decided. Each mutation below violates that, and the checker finds it.

use stateright::{Checker, Model, Property};
use std::collections::BTreeSet;

type ProposalNumber = u8;
type View = u8;

/// Voters, proposers (which are the first voters), and how often each proposer starts a proposal.
const VOTERS: usize = 3;
const PROPOSERS: usize = 2;
const PROPOSALS: u8 = 2;
/// Number of voters whose disks may be lost.
const MAX_LOSSES: usize = 1;
/// Added to a view that does not name the learner, as its disk was lost before; the other views name it in the place of the
/// last voter.
const WITHOUT_LEARNER: View = 100;

/// What differs from the program.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Mutation {
    None,
    /// A voter grants a proposal with a lower number than it has promised.
    LowerNumberGranted,
    /// A proposer proposes its own view although another was accepted.
    AcceptedIgnored,
    /// A voter forgets its promise when it is restarted.
    PromiseForgotten,
    /// A voter forgets what it has accepted when it is restarted.
    AcceptedForgotten,
    /// A proposer does not store its own promise, and uses a number twice.
    NumberReused,
    /// Both proposers have the same numbers.
    NumbersShared,
    /// A lost voter counts as one that has granted.
    LostVoterGrants,
    /// A voter retains its identity when it loses its disk.
    IdentityRetainedAfterDiskLoss,
    /// A second disk may be lost while a view is accepted by some and not decided.
    LossWhileUndecided,
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct Voter {
    promised: ProposalNumber,
    accepted: Option<(ProposalNumber, View)>,
    lost: bool,
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct Proposer {
    proposals: u8,
    /// Number of its proposal; 0 while it has none.
    number: ProposalNumber,
    names_learner: bool,
    /// Voters whose disk it knows to be lost.
    lost: BTreeSet<usize>,
    promised: BTreeSet<usize>,
    highest: Option<(ProposalNumber, View)>,
    /// The view that it proposes in phase 2.
    requested: Option<View>,
    accepted: BTreeSet<usize>,
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct State {
    voters: Vec<Voter>,
    proposers: Vec<Proposer>,
    /// Accept requests in flight, which may be delivered at any time and repeatedly.
    accept_requests: BTreeSet<(ProposalNumber, View)>,
    decided: BTreeSet<View>,
    /// A view was decided after half of its voters or more had lost their disks.
    decided_too_late: bool,
    losses: usize,
    learner_lost: bool,
    restarts: u8,
}

impl State {
    /// Voters of a view whose disks are lost.
    fn lost_voters(&self, view: View) -> usize {
        let names_learner = view < WITHOUT_LEARNER;
        let remaining = if names_learner { VOTERS - 1 } else { VOTERS };
        let lost = self.voters.iter().take(remaining).filter(|voter| voter.lost).count();
        lost + usize::from(names_learner && self.learner_lost)
    }

    /// Whether a voter that is left has accepted a view, and none is decided.
    fn has_undecided_view(&self) -> bool {
        self.decided.is_empty() && self.voters.iter().any(|voter| voter.accepted.is_some())
    }

    /// The time between two losses passes: no proposal and no request is left.
    fn pass_time_between_losses(&mut self) {
        self.accept_requests.clear();
        for proposer in &mut self.proposers {
            *proposer = Proposer { proposals: proposer.proposals, ..Proposer::default() };
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Action {
    Propose {
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
    /// A delayed accept request is delivered; nobody waits for the reply.
    DelayedAccept {
        voter: usize,
        number: ProposalNumber,
        view: View,
    },
    LoseDisk(usize),
    /// The learner loses its disk, and has another identity from then on.
    LoseLearner,
    Restart(usize),
}

/// The properties that must hold in every state.
const AT_MOST_ONE_DECISION: &str = "at most one view is decided";
const MAJORITY_LEFT: &str = "more than half of the voters of a decided view are left";

struct Agreement(Mutation);

impl Agreement {
    fn next_number(&self, proposer: usize, proposals: u8, promised: ProposalNumber) -> ProposalNumber {
        let own = if self.0 == Mutation::NumbersShared { 0 } else { proposer as u8 };
        if self.0 == Mutation::NumberReused {
            return PROPOSERS as u8 + own;
        }
        let rounds = (promised / PROPOSERS as u8).max(proposals) + 1;
        rounds * PROPOSERS as u8 + own
    }

    fn is_quorum(&self, granted: &BTreeSet<usize>, lost: &BTreeSet<usize>) -> bool {
        let majority = VOTERS / 2 + 1;
        if self.0 == Mutation::LostVoterGrants {
            return granted.union(lost).count() >= majority;
        }
        let all_others = granted.union(lost).count() == VOTERS;
        granted.len() >= majority || (!lost.is_empty() && lost.len() < majority && all_others)
    }

    fn grants(&self, voter: &Voter, number: ProposalNumber) -> bool {
        !voter.lost && (number >= voter.promised || self.0 == Mutation::LowerNumberGranted)
    }

    fn prepare(&self, state: &mut State, proposer: usize, voter: usize) {
        let number = state.proposers[proposer].number;
        if !self.grants(&state.voters[voter], number) {
            return;
        }
        let stores_promise = self.0 != Mutation::NumberReused || voter != proposer;
        if stores_promise {
            state.voters[voter].promised = number;
        }
        let accepted = state.voters[voter].accepted;
        let own = &mut state.proposers[proposer];
        own.promised.insert(voter);
        own.highest = own.highest.max(accepted);
        if own.requested.is_none() && self.is_quorum(&own.promised, &own.lost) {
            let accepted = own.highest.filter(|_| self.0 != Mutation::AcceptedIgnored);
            // Each of its proposals is for another view of its own.
            let own_view = proposer as View * 10 + own.proposals;
            let own_view = if own.names_learner { own_view } else { own_view + WITHOUT_LEARNER };
            let view = accepted.map_or(own_view, |accepted| accepted.1);
            own.requested = Some(view);
            state.accept_requests.insert((number, view));
        }
    }

    fn handle_accept(&self, voter: &mut Voter, number: ProposalNumber, view: View) -> bool {
        let grants = self.grants(voter, number);
        if grants {
            voter.promised = number;
            voter.accepted = Some((number, view));
        }
        grants
    }

    fn accept(&self, state: &mut State, proposer: usize, voter: usize) {
        let number = state.proposers[proposer].number;
        let Some(view) = state.proposers[proposer].requested else { return };
        if !self.handle_accept(&mut state.voters[voter], number, view) {
            return;
        }
        let own = &mut state.proposers[proposer];
        own.accepted.insert(voter);
        if self.is_quorum(&own.accepted, &own.lost) {
            let is_new = state.decided.insert(view);
            state.decided_too_late |= is_new && state.lost_voters(view) > VOTERS / 2;
        }
    }

    /// Whether another disk may be lost.
    fn may_lose(&self, state: &State) -> bool {
        let first = state.losses == 0 && !state.learner_lost;
        first || !state.has_undecided_view() || self.0 == Mutation::LossWhileUndecided
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
        for (index, proposer) in state.proposers.iter().enumerate() {
            if state.voters[index].lost && self.0 != Mutation::IdentityRetainedAfterDiskLoss {
                // A proposer that has lost its disk is no voter any more.
                continue;
            }
            if proposer.proposals < PROPOSALS {
                actions.push(Action::Propose { proposer: index, knows_lost: false });
                if state.losses > 0 {
                    actions.push(Action::Propose { proposer: index, knows_lost: true });
                }
            }
            if proposer.number == 0 {
                continue;
            }
            // Its own vote is the first of each phase.
            let own_promised = proposer.promised.contains(&index);
            let own_accepted = proposer.accepted.contains(&index);
            for voter in 0..VOTERS {
                if proposer.requested.is_none() && (voter == index || own_promised) {
                    actions.push(Action::Prepare { proposer: index, voter });
                }
                if proposer.requested.is_some() && (voter == index || own_accepted) {
                    actions.push(Action::Accept { proposer: index, voter });
                }
            }
        }
        if !state.learner_lost && self.may_lose(state) {
            actions.push(Action::LoseLearner);
        }
        for voter in 0..VOTERS {
            for &(number, view) in &state.accept_requests {
                actions.push(Action::DelayedAccept { voter, number, view });
            }
            if state.losses < MAX_LOSSES && !state.voters[voter].lost && self.may_lose(state) {
                actions.push(Action::LoseDisk(voter));
            }
            let is_forgetful = matches!(self.0, Mutation::PromiseForgotten | Mutation::AcceptedForgotten);
            if is_forgetful && state.restarts < 2 {
                actions.push(Action::Restart(voter));
            }
        }
    }

    fn next_state(&self, before: &State, action: Action) -> Option<State> {
        let mut state = before.clone();
        match action {
            Action::Propose { proposer, knows_lost } => {
                let proposals = state.proposers[proposer].proposals;
                let number = self.next_number(proposer, proposals, state.voters[proposer].promised);
                let lost = (0..VOTERS).filter(|voter| knows_lost && state.voters[*voter].lost).collect();
                let names_learner = !state.learner_lost;
                state.proposers[proposer] =
                    Proposer { proposals: proposals + 1, number, names_learner, lost, ..Proposer::default() };
            }
            Action::Prepare { proposer, voter } => self.prepare(&mut state, proposer, voter),
            Action::Accept { proposer, voter } => self.accept(&mut state, proposer, voter),
            Action::DelayedAccept { voter, number, view } => {
                self.handle_accept(&mut state.voters[voter], number, view);
            }
            Action::LoseLearner => {
                if state.losses > 0 {
                    state.pass_time_between_losses();
                }
                state.learner_lost = true;
            }
            Action::LoseDisk(voter) => {
                if state.learner_lost {
                    state.pass_time_between_losses();
                }
                state.losses += 1;
                let lost = self.0 != Mutation::IdentityRetainedAfterDiskLoss;
                state.voters[voter] = Voter { lost, ..Voter::default() };
            }
            Action::Restart(voter) => {
                state.restarts += 1;
                let restarted = &mut state.voters[voter];
                if self.0 == Mutation::PromiseForgotten {
                    restarted.promised = restarted.accepted.map_or(0, |accepted| accepted.0);
                } else {
                    restarted.accepted = None;
                }
            }
        }
        (state != *before).then_some(state)
    }

    fn properties(&self) -> Vec<Property<Agreement>> {
        vec![
            Property::always(AT_MOST_ONE_DECISION, |_, state: &State| state.decided.len() <= 1),
            Property::always(MAJORITY_LEFT, |_, state: &State| !state.decided_too_late),
            Property::sometimes("a view is decided", |_, state: &State| !state.decided.is_empty()),
            Property::sometimes("a view is decided after a disk was lost", |_, state: &State| {
                state.losses > 0 && !state.decided.is_empty()
            }),
        ]
    }
}

/// States of one search for a mutation; none needs more to be detected.
const MAX_STATES: usize = 6_000_000;

fn violates(mutation: Mutation) -> bool {
    let checker = Agreement(mutation).checker().threads(4).target_state_count(MAX_STATES).spawn_bfs().join();
    [AT_MOST_ONE_DECISION, MAJORITY_LEFT].iter().any(|name| checker.discovery(name).is_some())
}

#[test]
fn at_most_one_view_is_decided_in_every_history() {
    let checker = Agreement(Mutation::None).checker().threads(4).spawn_bfs().join();
    assert!(checker.is_done());
    println!("{} states", checker.unique_state_count());
    checker.assert_properties();
}

#[test]
fn every_mutation_is_detected() {
    let all = [
        Mutation::LowerNumberGranted,
        Mutation::AcceptedIgnored,
        Mutation::PromiseForgotten,
        Mutation::AcceptedForgotten,
        Mutation::NumberReused,
        Mutation::NumbersShared,
        Mutation::LostVoterGrants,
        Mutation::IdentityRetainedAfterDiskLoss,
        Mutation::LossWhileUndecided,
    ];
    let missed: Vec<Mutation> = all.into_iter().filter(|mutation| !violates(*mutation)).collect();
    assert!(missed.is_empty(), "not detected: {missed:?}");
}
