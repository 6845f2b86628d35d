//! Messages as datagrams: a version, the cluster's name, the message and an authentication code over all of it.

use crate::record::{Name, Record, State, MAX_INCARNATION, MAX_NAME_BYTES};
use hmac::{Hmac, KeyInit, Mac};
use sha2::Sha256;
use std::net::{Ipv4Addr, SocketAddrV4};

/// A datagram is at most this long, so that it passes any way in one piece.
pub const MAX_DATAGRAM_BYTES: usize = 1400;
/// What is said of members in one message.
pub const MAX_UPDATES: usize = 64;
/// The longest name of a cluster, in bytes.
pub const MAX_CLUSTER_NAME_BYTES: usize = 32;
const VERSION: u8 = 1;
/// Bytes of the code: half of what HMAC-SHA-256 gives, which RFC 2104 holds for enough.
const CODE: usize = 16;
/// Keys that count at once: the one that signs, and that of before or after it.
pub const MAX_KEYS: usize = 2;
/// What is said of one member, beside its name and zone: two lengths, address, incarnation, state, who says it.
const UPDATE_FRAME: usize = 2 + 6 + 8 + 1 + 4;
/// What a message takes at most beside what it says of members: version, the cluster's and the code, kind, number of
/// updates, sequence, two names with their lengths and two addresses.
const MAX_MESSAGE_BYTES: usize =
    1 + 1 + MAX_CLUSTER_NAME_BYTES + CODE + 1 + 1 + 4 + 2 * (1 + MAX_NAME_BYTES) + 2 * 6;

#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Kind {
    Ping {
        seq: u32,
        target: Name,
    },
    Ack {
        seq: u32,
    },
    /// Probe another on the sender's behalf.
    PingReq {
        seq: u32,
        target: Name,
        addr: SocketAddrV4,
    },
    /// A helper has no answer either.
    Nack {
        seq: u32,
    },
    /// Nothing but what it says of members.
    News,
}

/// What is said of a member, and, of a suspect, by whom it is suspected.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Update {
    pub record: Record,
    pub by: u32,
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Message {
    pub from: Name,
    pub from_addr: SocketAddrV4,
    pub kind: Kind,
    pub updates: Vec<Update>,
}

/// Why a datagram is dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Dropped {
    /// Shorter or longer than any, or than it says.
    Length,
    Version,
    Cluster,
    /// Signed by no key that counts.
    Code,
    /// Well signed, and nothing that a member says.
    Impossible,
}

/// Bytes that something said of a member takes.
pub fn length(update: &Update) -> usize {
    UPDATE_FRAME + update.record.name.as_str().len() + update.record.zone.as_str().len()
}

/// Bytes that are left for what is said of members.
pub fn remaining_bytes(message: &Message) -> usize {
    let said: usize = message.updates.iter().map(length).sum();
    (MAX_DATAGRAM_BYTES - MAX_MESSAGE_BYTES).saturating_sub(said)
}

/// The keys and the name of a cluster.
pub struct Cluster {
    name: Vec<u8>,
    /// The first one signs; any of them counts.
    keys: Vec<Hmac<Sha256>>,
}

impl Cluster {
    /// `None` where the name is too long, or there is no key or too many.
    pub fn new(name: &str, keys: &[&[u8]]) -> Option<Cluster> {
        let fits = name.len() <= MAX_CLUSTER_NAME_BYTES && (1..=MAX_KEYS).contains(&keys.len());
        let keys: Option<Vec<_>> = keys.iter().map(|key| Hmac::new_from_slice(key).ok()).collect();
        keys.filter(|_| fits).map(|keys| Cluster { name: name.as_bytes().to_vec(), keys })
    }

    pub fn encode(&self, message: &Message) -> Vec<u8> {
        let mut out = vec![VERSION, self.name.len() as u8];
        out.extend_from_slice(&self.name);
        put_name(&mut out, &message.from);
        put_addr(&mut out, message.from_addr);
        let (kind, seq) = match &message.kind {
            Kind::Ping { seq, .. } => (0, *seq),
            Kind::Ack { seq } => (1, *seq),
            Kind::PingReq { seq, .. } => (2, *seq),
            Kind::Nack { seq } => (3, *seq),
            Kind::News => (4, 0),
        };
        out.push(kind);
        out.extend_from_slice(&seq.to_le_bytes());
        if let Kind::Ping { target, .. } | Kind::PingReq { target, .. } = &message.kind {
            put_name(&mut out, target);
        }
        if let Kind::PingReq { addr, .. } = &message.kind {
            put_addr(&mut out, *addr);
        }
        out.push(message.updates.len() as u8);
        for Update { record, by } in &message.updates {
            put_name(&mut out, &record.name);
            put_name(&mut out, &record.zone);
            put_addr(&mut out, record.addr);
            out.extend_from_slice(&record.incarnation.to_le_bytes());
            out.push(record.state as u8);
            out.extend_from_slice(&by.to_le_bytes());
        }
        if let Some(key) = self.keys.first() {
            let code = key.clone().chain_update(&out).finalize().into_bytes();
            out.extend_from_slice(&code[..CODE]);
        }
        out
    }

    pub fn decode(&self, datagram: &[u8]) -> Result<Message, Dropped> {
        if datagram.len() > MAX_DATAGRAM_BYTES || datagram.len() < 2 + CODE {
            return Err(Dropped::Length);
        }
        if datagram[0] != VERSION {
            return Err(Dropped::Version);
        }
        let (said, code) = datagram.split_at(datagram.len() - CODE);
        let cluster = said[2..].get(..usize::from(said[1])).ok_or(Dropped::Length)?;
        if cluster != self.name {
            return Err(Dropped::Cluster);
        }
        // Before anything else is read of it.
        if !self.keys.iter().any(|key| key.clone().chain_update(said).verify_truncated_left(code).is_ok()) {
            return Err(Dropped::Code);
        }
        let mut rest = Rest(&said[2 + cluster.len()..]);
        let message = rest.message().ok_or(Dropped::Impossible)?;
        if rest.0.is_empty() {
            Ok(message)
        } else {
            Err(Dropped::Length)
        }
    }
}

fn put_name(out: &mut Vec<u8>, name: &Name) {
    out.push(name.as_str().len() as u8);
    out.extend_from_slice(name.as_str().as_bytes());
}

fn put_addr(out: &mut Vec<u8>, addr: SocketAddrV4) {
    out.extend_from_slice(&addr.ip().octets());
    out.extend_from_slice(&addr.port().to_le_bytes());
}

/// What is left to be read. Nothing is read beyond its end.
struct Rest<'a>(&'a [u8]);

impl Rest<'_> {
    fn bytes<const N: usize>(&mut self) -> Option<[u8; N]> {
        let (head, rest) = self.0.split_first_chunk::<N>()?;
        self.0 = rest;
        Some(*head)
    }

    fn name(&mut self, may_be_empty: bool) -> Option<Name> {
        let [length] = self.bytes()?;
        let (name, rest) = self.0.split_at_checked(usize::from(length))?;
        self.0 = rest;
        let name = std::str::from_utf8(name).ok()?;
        Name::new(name).filter(|_| may_be_empty || !name.is_empty())
    }

    fn addr(&mut self) -> Option<SocketAddrV4> {
        let ip: [u8; 4] = self.bytes()?;
        let port = u16::from_le_bytes(self.bytes()?);
        Some(SocketAddrV4::new(Ipv4Addr::from(ip), port))
            .filter(|addr| port > 0 && !addr.ip().is_unspecified())
    }

    fn update(&mut self) -> Option<Update> {
        let (name, zone, addr) = (self.name(false)?, self.name(true)?, self.addr()?);
        let incarnation = Some(u64::from_le_bytes(self.bytes()?)).filter(|&n| n <= MAX_INCARNATION)?;
        let [state] = self.bytes()?;
        let state =
            [State::Alive, State::Suspect, State::Failed, State::Left].get(usize::from(state)).copied()?;
        let by = u32::from_le_bytes(self.bytes()?);
        Some(Update { record: Record { name, addr, zone, incarnation, state }, by })
    }

    fn message(&mut self) -> Option<Message> {
        let (from, from_addr) = (self.name(false)?, self.addr()?);
        let [kind] = self.bytes()?;
        let seq = u32::from_le_bytes(self.bytes()?);
        let kind = match kind {
            0 => Kind::Ping { seq, target: self.name(false)? },
            1 => Kind::Ack { seq },
            2 => Kind::PingReq { seq, target: self.name(false)?, addr: self.addr()? },
            3 => Kind::Nack { seq },
            4 if seq == 0 => Kind::News,
            _ => return None,
        };
        let [count] = self.bytes()?;
        let count = Some(usize::from(count)).filter(|&count| count <= MAX_UPDATES)?;
        let updates: Option<Vec<Update>> = (0..count).map(|_| self.update()).collect();
        Some(Message { from, from_addr, kind, updates: updates? })
    }
}
