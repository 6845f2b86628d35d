//! A model of the chain under changing views ([`marblecroft_chain_replication::replica`]). Members miss
//! views, lose their disks, join and leave; messages are delayed, duplicated or lost. In every state, each
//! complete member of the newest view has all acknowledged operations. Each mutation below violates this
//! property, and the checker detects it. Views are decided one after the other, as `views_model.rs` shows.

use stateright::{Checker, Model, Property};
use std::collections::BTreeSet;

const NODES: u8 = 3;
const VIEWS: usize = 3;
/// The bounds of the two searches. A single search with both operations and lost disks has ten million
/// states.
const BOUNDS: [Bounds; 2] =
    [Bounds { operations: 2, disk_losses: 0 }, Bounds { operations: 1, disk_losses: 1 }];
/// Number of replicas that an operation needs before it is acknowledged.
const MIN_REPLICAS: usize = 2;

/// The number of operations and of lost disks in a search.
#[derive(Clone, Copy, Debug)]
struct Bounds {
    operations: u8,
    disk_losses: u8,
}

/// A fault in the protocol, which the model must detect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Mutation {
    None,
    /// A member that missed a view stays complete.
    CompleteAfterMissedView,
    /// Messages of older views are accepted.
    StaleViewAccepted,
    /// A delayed install replaces a newer state.
    DelayedInstallAccepted,
    /// The head acknowledges operations that only the head has stored.
    HeadAcknowledgesAlone,
    /// A member replies without waiting for its successor.
    ReplyWithoutSuccessor,
    /// A member that is not complete becomes the head of the next view.
    IncompleteHead,
    /// A learner is complete as soon as it joins.
    LearnerCompleteAtOnce,
    /// A member retains its identity when it loses its disk.
    IdentityRetainedAfterDiskLoss,
}

/// Identifies a member by its node and the number of times that the node has lost its disk.
type Identity = (u8, u8);
type Log = Vec<u8>;

#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct Node {
    disk_losses: u8,
    /// Number of the newest view that it has installed; 0 if there is none.
    view: usize,
    complete: bool,
    log: Log,
    /// The latest view in which it has reached its predecessor's state.
    synchronized_in_view: usize,
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
enum Message {
    Append {
        view: usize,
        to: Identity,
        log: Log,
    },
    Install {
        view: usize,
        to: Identity,
        log: Log,
    },
    /// From a member to its predecessor: the members from this one to the tail have this log.
    Accepted {
        view: usize,
        from: Identity,
        log: Log,
    },
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct State {
    nodes: Vec<Node>,
    /// The members of each view, in order.
    views: Vec<Vec<Identity>>,
    /// Messages in flight: each may be delivered late, repeatedly or never.
    messages: BTreeSet<Message>,
    proposed: u8,
    acknowledged: BTreeSet<u8>,
}

#[derive(Clone, Debug, PartialEq, Eq)]
enum Action {
    Propose(u8),
    Append(u8),
    Install(u8),
    Reply(u8),
    Acknowledge(u8),
    Deliver(Message),
    /// A message is dropped.
    Drop(Message),
    /// A view is decided that a node proposed, with itself as the head and these other members.
    Decide(u8, Vec<u8>),
    InstallView(u8, usize),
    LoseDisk(u8),
}

/// The property that must hold in every state.
const REPLICATED: &str = "complete members of the newest view have all acknowledged operations";

struct Chain {
    mutation: Mutation,
    bounds: Bounds,
}

impl Chain {
    fn identity(state: &State, node: u8) -> Identity {
        (node, state.nodes[usize::from(node)].disk_losses)
    }

    fn members<'a>(state: &'a State, node: &Node) -> &'a [Identity] {
        node.view.checked_sub(1).map_or(&[], |index| &state.views[index])
    }

    fn successor(state: &State, number: u8) -> Option<Identity> {
        let members = Self::members(state, &state.nodes[usize::from(number)]);
        let index = members.iter().position(|member| *member == Self::identity(state, number))?;
        members.get(index + 1).copied()
    }

    fn is_head(state: &State, number: u8) -> bool {
        let node = &state.nodes[usize::from(number)];
        node.complete && Self::members(state, node).first() == Some(&Self::identity(state, number))
    }

    fn install_view(&self, state: &mut State, number: u8, view: usize) {
        let identity = Self::identity(state, number);
        let is_member = state.views[view - 1].contains(&identity);
        let node = &mut state.nodes[usize::from(number)];
        if view <= node.view {
            return;
        }
        let is_next =
            node.complete && (view == node.view + 1 || self.mutation == Mutation::CompleteAfterMissedView);
        node.complete = is_member && (is_next || self.mutation == Mutation::LearnerCompleteAtOnce);
        node.view = view;
    }

    /// Whether a member accepts messages of a view. Installs the view if it is newer.
    fn accepts_view(&self, state: &mut State, view: usize, to: Identity) -> bool {
        let node = &state.nodes[usize::from(to.0)];
        if Self::identity(state, to.0) != to {
            return false;
        }
        if view < node.view {
            return self.mutation == Mutation::StaleViewAccepted;
        }
        self.install_view(state, to.0, view);
        true
    }

    fn deliver(&self, state: &mut State, message: Message) {
        match message {
            Message::Append { view, to, log } => {
                if !self.accepts_view(state, view, to) {
                    return;
                }
                let node = &mut state.nodes[usize::from(to.0)];
                if log.starts_with(&node.log) {
                    node.log = log;
                    node.complete = true;
                    node.synchronized_in_view = view;
                }
            }
            Message::Install { view, to, log } => {
                if !self.accepts_view(state, view, to) {
                    return;
                }
                let node = &mut state.nodes[usize::from(to.0)];
                let is_delayed = node.synchronized_in_view == view && log.len() <= node.log.len();
                if !is_delayed || self.mutation == Mutation::DelayedInstallAccepted {
                    node.log = log;
                    node.complete = true;
                    node.synchronized_in_view = view;
                }
            }
            Message::Accepted { .. } => {}
        }
    }

    /// Returns the longest log that all members from this one to the tail are known to have. A member that is
    /// not the head replies only for entries that its predecessor has sent it in its view.
    fn accepted_log(&self, state: &State, number: u8) -> Option<Log> {
        let node = &state.nodes[usize::from(number)];
        let is_synchronized = node.synchronized_in_view == node.view || Self::is_head(state, number);
        if !node.complete || !is_synchronized {
            return None;
        }
        let Some(successor) = Self::successor(state, number) else { return Some(node.log.clone()) };
        if self.mutation == Mutation::ReplyWithoutSuccessor {
            return Some(node.log.clone());
        }
        let logs = state.messages.iter().filter_map(|message| match message {
            Message::Accepted { view, from, log } if *view == node.view && *from == successor => Some(log),
            _ => None,
        });
        logs.filter(|log| node.log.starts_with(log)).max_by_key(|log| log.len()).cloned()
    }
}

impl Model for Chain {
    type State = State;
    type Action = Action;

    fn init_states(&self) -> Vec<State> {
        // The third node is a learner.
        let member = |number: u8| Node { view: 1, complete: number < 2, ..Node::default() };
        let mut nodes: Vec<Node> = (0..NODES).map(member).collect();
        nodes[2].view = 0;
        vec![State { nodes, views: vec![vec![(0, 0), (1, 0)]], ..State::default() }]
    }

    fn actions(&self, state: &State, actions: &mut Vec<Action>) {
        let newest = state.views.len();
        let disk_losses: u8 = state.nodes.iter().map(|node| node.disk_losses).sum();
        for number in 0..NODES {
            let node = &state.nodes[usize::from(number)];
            if Self::is_head(state, number) {
                if state.proposed < self.bounds.operations {
                    actions.push(Action::Propose(number));
                }
                actions.push(Action::Acknowledge(number));
            }
            if node.complete && Self::successor(state, number).is_some() {
                actions.push(Action::Append(number));
                actions.push(Action::Install(number));
            }
            if node.complete {
                actions.push(Action::Reply(number));
            }
            let may_become_head = node.complete || self.mutation == Mutation::IncompleteHead;
            if may_become_head && node.view == newest && newest < VIEWS {
                let others: Vec<u8> = (0..NODES).filter(|other| *other != number).collect();
                let chains = [vec![others[0]], vec![others[1]], others.clone()];
                actions.extend(chains.map(|others| Action::Decide(number, others)));
            }
            if node.view < newest {
                actions.push(Action::InstallView(number, newest));
            }
            if disk_losses < self.bounds.disk_losses {
                actions.push(Action::LoseDisk(number));
            }
        }
        actions.extend(state.messages.iter().cloned().map(Action::Deliver));
        // With fewer messages a drop leads to no new behaviour, as a message need not be delivered.
        if state.messages.len() == MAX_MESSAGES {
            actions.extend(state.messages.iter().cloned().map(Action::Drop));
        }
    }

    fn next_state(&self, before: &State, action: Action) -> Option<State> {
        let mut state = before.clone();
        match action {
            Action::Propose(number) => {
                let operation = state.proposed;
                state.proposed += 1;
                state.nodes[usize::from(number)].log.push(operation);
            }
            Action::Append(number) | Action::Install(number) => {
                let node = &state.nodes[usize::from(number)];
                let (view, to, log) = (node.view, Self::successor(&state, number)?, node.log.clone());
                let message = match action {
                    Action::Append(_) => Message::Append { view, to, log },
                    _ => Message::Install { view, to, log },
                };
                state.messages.insert(message);
            }
            Action::Reply(number) => {
                let log = self.accepted_log(&state, number)?;
                let (view, from) = (state.nodes[usize::from(number)].view, Self::identity(&state, number));
                state.messages.insert(Message::Accepted { view, from, log });
            }
            Action::Acknowledge(number) => {
                let node = &state.nodes[usize::from(number)];
                let has_enough_replicas = Self::members(&state, node).len() >= MIN_REPLICAS;
                let accepted = match self.mutation {
                    Mutation::HeadAcknowledgesAlone => node.log.clone(),
                    _ => self.accepted_log(&state, number).filter(|_| has_enough_replicas)?,
                };
                state.acknowledged.extend(accepted);
            }
            Action::Deliver(message) => self.deliver(&mut state, message),
            Action::Drop(message) => {
                state.messages.remove(&message);
            }
            Action::Decide(number, others) => {
                let members = std::iter::once(number).chain(others);
                let members: Vec<Identity> = members.map(|node| Self::identity(&state, node)).collect();
                state.views.push(members);
                let newest = state.views.len();
                if self.mutation == Mutation::IncompleteHead {
                    state.nodes[usize::from(number)].complete = true;
                }
                self.install_view(&mut state, number, newest);
            }
            Action::InstallView(number, view) => self.install_view(&mut state, number, view),
            Action::LoseDisk(number) => {
                let node = &mut state.nodes[usize::from(number)];
                let disk_losses = node.disk_losses + 1;
                if self.mutation == Mutation::IdentityRetainedAfterDiskLoss {
                    // The log is lost, and the identity and the view are retained.
                    node.log.clear();
                } else {
                    *node = Node { disk_losses, ..Node::default() };
                }
            }
        }
        (state != *before).then_some(state)
    }

    fn properties(&self) -> Vec<Property<Chain>> {
        vec![
            Property::always(REPLICATED, |_, state: &State| {
                let newest = state.views.len();
                let counts = |node: &&Node| node.complete && node.view == newest;
                state
                    .nodes
                    .iter()
                    .filter(counts)
                    .all(|node| state.acknowledged.iter().all(|operation| node.log.contains(operation)))
            }),
            Property::sometimes(
                "all operations are acknowledged and the last view is installed",
                |chain: &Chain, state: &State| {
                    state.acknowledged.len() == usize::from(chain.bounds.operations)
                        && state.views.len() == VIEWS
                        && state.nodes.iter().any(|node| node.complete && node.view == VIEWS)
                },
            ),
        ]
    }

    fn within_boundary(&self, state: &State) -> bool {
        state.messages.len() <= MAX_MESSAGES
    }
}

/// Maximum number of messages in flight.
const MAX_MESSAGES: usize = 2;
/// Maximum number of states of one breadth-first search, including those that are reached again. The
/// environment variable `MODEL_STATES` sets another bound: with 100,000,000 both searches are exhaustive.
const MAX_STATES: usize = 3_000_000;

fn max_states() -> usize {
    let configured = std::env::var("MODEL_STATES").ok().and_then(|states| states.parse().ok());
    configured.unwrap_or(MAX_STATES)
}

fn search(mutation: Mutation, bounds: Bounds) -> impl Checker<Chain> {
    let chain = Chain { mutation, bounds };
    chain.checker().threads(4).target_state_count(max_states()).spawn_bfs().join()
}

fn violates(mutation: Mutation) -> bool {
    let finds_violation = |bounds| search(mutation, bounds).discovery(REPLICATED).is_some();
    BOUNDS.into_iter().any(finds_violation)
}

#[test]
fn complete_members_of_the_newest_view_have_all_acknowledged_operations() {
    for bounds in BOUNDS {
        let checker = search(Mutation::None, bounds);
        println!("{bounds:?}: {} states", checker.unique_state_count());
        checker.assert_no_discovery(REPLICATED);
        if max_states() > MAX_STATES {
            checker.assert_properties();
        }
    }
}

#[test]
fn every_mutation_is_detected() {
    let all = [
        Mutation::CompleteAfterMissedView,
        Mutation::StaleViewAccepted,
        Mutation::DelayedInstallAccepted,
        Mutation::HeadAcknowledgesAlone,
        Mutation::ReplyWithoutSuccessor,
        Mutation::IncompleteHead,
        Mutation::LearnerCompleteAtOnce,
        Mutation::IdentityRetainedAfterDiskLoss,
    ];
    let missed: Vec<Mutation> = all.into_iter().filter(|mutation| !violates(*mutation)).collect();
    assert!(missed.is_empty(), "not detected: {missed:?}");
}
