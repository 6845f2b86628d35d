//! Relays datagrams between processes. Each process has a public address that belongs to the harness: the
//! other processes send to that address, and receive datagrams from it.

use crate::endpoint::Endpoint;
use crate::harness::RunContext;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::rc::Rc;
use tokio::net::UdpSocket;
use tokio::task::spawn_local;

/// Maximum size of a datagram.
const MAX_DATAGRAM_BYTES: usize = 64 << 10;

struct Member {
    /// The socket of the public address.
    public: Rc<UdpSocket>,
    bound_addr: SocketAddr,
}

/// The processes that send each other datagrams.
#[derive(Default)]
pub struct Datagrams {
    members: RefCell<BTreeMap<Endpoint, Member>>,
}

impl Datagrams {
    /// Registers a process that is bound to this address, and returns its public address. A process that
    /// registers again after a restart keeps its public address.
    pub async fn register(
        self: &Rc<Self>,
        context: &Rc<RunContext>,
        endpoint: Endpoint,
        bound_addr: SocketAddr,
    ) -> io::Result<SocketAddr> {
        if let Some(member) = self.members.borrow_mut().get_mut(&endpoint) {
            member.bound_addr = bound_addr;
            return member.public.local_addr();
        }
        let public = Rc::new(UdpSocket::bind((Ipv4Addr::LOCALHOST, 0)).await?);
        let addr = public.local_addr()?;
        self.members.borrow_mut().insert(endpoint, Member { public: public.clone(), bound_addr });
        let (datagrams, context) = (self.clone(), context.clone());
        spawn_local(async move {
            let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
            loop {
                // An error here reports that an earlier datagram was sent to a closed port.
                let Ok((n, sender)) = public.recv_from(&mut buffer).await else { continue };
                datagrams.forward(&context, endpoint, sender, &buffer[..n]);
            }
        });
        Ok(addr)
    }

    /// Forwards a datagram that arrived at the public address of `to`.
    fn forward(&self, context: &Rc<RunContext>, to: Endpoint, sender: SocketAddr, bytes: &[u8]) {
        let members = self.members.borrow();
        // Datagrams from senders outside the fleet are dropped.
        let from = members
            .iter()
            .find(|(_, member)| member.bound_addr == sender)
            .map(|(endpoint, member)| (*endpoint, member));
        let (Some((from, sender_socket)), Some(target)) = (from, members.get(&to)) else { return };
        let copies = context.link_state(from, to).datagram(&mut *context.link_rng.borrow_mut());
        for delay in copies {
            let (sender_socket, bound_addr, bytes) =
                (sender_socket.public.clone(), target.bound_addr, bytes.to_vec());
            let at = context.now() + delay;
            let sleeper = context.clone();
            spawn_local(async move {
                if delay > 0 {
                    sleeper.sleep_until(at).await;
                }
                // A datagram that cannot be sent is lost.
                drop(sender_socket.send_to(&bytes, bound_addr).await);
            });
        }
    }
}
