//! Datagrams between processes through the lab: each process knows every other one by an address of the lab's, and hears
//! from it under that address too.

use crate::endpoint::End;
use crate::shell::World;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::rc::Rc;
use tokio::net::UdpSocket;
use tokio::task::spawn_local;

/// No datagram is longer.
const DATAGRAM_MOST: usize = 64 << 10;

struct Member {
    /// By which the others know it.
    public: Rc<UdpSocket>,
    real: SocketAddr,
}

/// All processes that send each other datagrams.
#[derive(Default)]
pub struct Datagrams {
    members: RefCell<BTreeMap<End, Member>>,
}

impl Datagrams {
    /// A process that sends and takes datagrams at this address, now or again; the address by which the others know it,
    /// which stays the same.
    pub async fn join(
        self: &Rc<Self>,
        world: &Rc<World>,
        end: End,
        real: SocketAddr,
    ) -> io::Result<SocketAddr> {
        if let Some(member) = self.members.borrow_mut().get_mut(&end) {
            member.real = real;
            return member.public.local_addr();
        }
        let public = Rc::new(UdpSocket::bind((Ipv4Addr::LOCALHOST, 0)).await?);
        let addr = public.local_addr()?;
        self.members.borrow_mut().insert(end, Member { public: public.clone(), real });
        let (all, world) = (self.clone(), world.clone());
        spawn_local(async move {
            let mut buffer = vec![0; DATAGRAM_MOST];
            loop {
                // An error here is the word that an earlier datagram met a closed port.
                let Ok((n, sender)) = public.recv_from(&mut buffer).await else { continue };
                all.pass(&world, end, sender, &buffer[..n]);
            }
        });
        Ok(addr)
    }

    /// Passes on what came at `to`'s public address.
    fn pass(&self, world: &Rc<World>, to: End, sender: SocketAddr, bytes: &[u8]) {
        let members = self.members.borrow();
        // Strangers are not the fleet's.
        let from =
            members.iter().find(|(_, member)| member.real == sender).map(|(end, member)| (*end, member));
        let (Some((from, by)), Some(target)) = (from, members.get(&to)) else { return };
        let copies = world.path(from, to).datagram(&mut *world.chance.borrow_mut());
        for delay in copies {
            let (by, real, bytes) = (by.public.clone(), target.real, bytes.to_vec());
            let at = world.now() + delay;
            let timer = world.clone();
            spawn_local(async move {
                if delay > 0 {
                    timer.sleep_until(at).await;
                }
                // What cannot be sent is lost, as datagrams are.
                drop(by.send_to(&bytes, real).await);
            });
        }
    }
}
