use super::*;
use marblecroft_log::Recovered;
use marblecroft_wire::{decode, encode};
use std::io;

#[derive(Default)]
struct Count(u64);

impl StateMachine for Count {
    type Operation = u64;
    type Output = u64;

    fn apply(&mut self, operation: u64) -> u64 {
        self.0 += operation;
        self.0
    }

    fn size_of(_: &u64) -> usize {
        8
    }

    fn snapshot(&self) -> Vec<u8> {
        encode(&self.0)
    }

    fn restore(snapshot: &[u8]) -> Option<Count> {
        decode(snapshot).ok().map(Count)
    }
}

struct Memory;

impl Storage for Memory {
    fn append(&mut self, _: &[&[u8]]) -> io::Result<()> {
        Ok(())
    }

    fn start_segment(&mut self, _: &[u8]) -> io::Result<()> {
        Ok(())
    }

    fn is_writable(&self) -> bool {
        true
    }

    fn record_bytes(&self) -> u64 {
        0
    }
}

/// Everybody holds everything.
struct Agreeable;

impl Transport for Agreeable {
    fn append(&self, _: &Member, _: &Append, _: Duration) -> Option<AppendReply> {
        Some(AppendReply::Held)
    }

    fn install(&self, _: &Member, _: &Install, _: Duration) -> Option<AppendReply> {
        Some(AppendReply::Held)
    }
}

fn member(identity: u64) -> Member {
    let address = SocketAddr::from(([10, 0, 0, identity as u8], 7000));
    Member { address, identity, node: String::new() }
}

fn view(number: u64, members: &[u64]) -> View {
    View { number, members: members.iter().copied().map(member).collect() }
}

fn head_of_three() -> Chain<Count, Memory, Agreeable> {
    let founding = Some(view(1, &[1, 2, 3]));
    let replica = Replica::open(Memory, Recovered::default(), Count::default(), 1, founding).expect("opens");
    let options = Options {
        heartbeat: Duration::ZERO,
        member_time: Duration::ZERO,
        install_time: Duration::ZERO,
        copies: 2,
        suspect_after: Duration::ZERO,
    };
    Chain::new(replica, Agreeable, options)
}

/// Between a head's ordering and its passing on, another thread learns of a view.
fn passes_after(learnt: &View) -> bool {
    let chain = head_of_three();
    let (_, replaced) = chain.order(&vec![5]).expect("ordered");
    chain.learn(learnt);
    chain.pass_on(true, Part::Head { replaced }).is_ok()
}

#[test]
fn a_head_acknowledges_nothing_under_a_view_that_it_does_not_head() {
    assert!(passes_after(&view(1, &[1, 2, 3])), "nothing has changed");
    assert!(passes_after(&view(2, &[1, 3])), "it heads the next view too");
    assert!(!passes_after(&view(2, &[2, 3])), "it was left out, and is no tail");
    assert!(!passes_after(&view(2, &[2, 3, 1])), "it is the tail now");
    assert!(!passes_after(&view(3, &[1, 2, 3])), "views that it missed may hold more");
}

#[test]
fn a_head_whose_state_was_replaced_acknowledges_nothing_of_before() {
    let chain = head_of_three();
    let (_, replaced) = chain.order(&vec![5]).expect("ordered");
    let position = Position { index: 7, hash: 7 };
    let state = Install { view: view(2, &[2, 1]), position, machine: Bytes(encode(&9u64)) };
    assert_eq!(chain.handle_install(&state), AppendReply::Held);
    chain.learn(&view(3, &[1, 2]));
    assert!(chain.is_head());
    assert!(chain.pass_on(true, Part::Head { replaced }).is_err());
}
