//! Messages as datagrams: a version, the cluster's name, the message, and an authentication tag over all of
//! it.
//!
//! A datagram is authenticated before its message is parsed, so that only messages of members reach the
//! parser. Each message has exactly one encoding. Integers are little-endian, and strings are preceded by
//! their length in one byte.

use crate::record::{MemberState, Name, Record, MAX_INCARNATION, MAX_NAME_BYTES};
use hmac::{Hmac, KeyInit, Mac};
use sha2::Sha256;
use std::fmt;
use std::net::{Ipv4Addr, SocketAddrV4};

/// The maximum length of a datagram, in bytes. It leaves space for tunnel headers in a packet on common
/// links, so datagrams are not fragmented.
pub const MAX_DATAGRAM_BYTES: usize = 1400;
/// The maximum number of updates in a message.
pub const MAX_UPDATES: usize = 64;
/// The maximum length of the name of a cluster, in bytes.
pub const MAX_CLUSTER_NAME_BYTES: usize = 32;
/// The maximum number of valid keys: the key that signs and, during a key rotation, its predecessor or
/// successor.
pub const MAX_KEYS: usize = 2;
const VERSION: u8 = 1;
/// The length of the tag in bytes: HMAC-SHA-256 truncated to half its length, the minimum that RFC 2104
/// (section 5) recommends.
const TAG_BYTES: usize = 16;
/// The encoded length of an update without its name and zone: two lengths, address, incarnation, state and
/// suspector.
const UPDATE_OVERHEAD_BYTES: usize = 2 + 6 + 8 + 1 + 4;
/// The maximum encoded length of a message without its updates: version, cluster, tag, kind, number of
/// updates, sequence number, two names and two addresses.
const MAX_HEADER_BYTES: usize =
    1 + 1 + MAX_CLUSTER_NAME_BYTES + TAG_BYTES + 1 + 1 + 4 + 2 * (1 + MAX_NAME_BYTES) + 2 * 6;

/// The kind of a message, as defined by SWIM and Lifeguard.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Kind {
    /// A probe.
    Ping {
        /// The sequence number, which the response repeats.
        seq: u32,
        /// The member to probe. Another member at this address does not respond.
        target: Name,
    },
    /// The response to a ping or, from a helper, to a ping request.
    Ack {
        /// The sequence number of the ping or ping request.
        seq: u32,
    },
    /// A request to probe another member for the sender.
    PingReq {
        /// The sequence number, which the response repeats.
        seq: u32,
        /// The member to probe.
        target: Name,
        /// Its address.
        addr: SocketAddrV4,
    },
    /// A helper's notice that the target of a ping request has not acknowledged so far.
    Nack {
        /// The sequence number of the ping request.
        seq: u32,
    },
    /// A message that carries only updates.
    Gossip,
}

/// A gossiped claim about a member.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Update {
    /// The claim.
    pub record: Record,
    /// For a suspect, the [`Name::fingerprint`] of a member that suspects it, which distinguishes
    /// confirmations.
    pub suspected_by: u32,
}

/// A message from one member to another.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Message {
    /// The sender.
    pub from: Name,
    /// The address at which the sender receives responses.
    pub from_addr: SocketAddrV4,
    /// The kind of the message.
    pub kind: Kind,
    /// The piggybacked updates, at most [`MAX_UPDATES`].
    pub updates: Vec<Update>,
}

/// The reason why a datagram is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum DecodeError {
    /// It is shorter or longer than any valid datagram, or has bytes after its message.
    Length,
    /// It has another version.
    Version,
    /// It belongs to another cluster.
    Cluster,
    /// It was not signed with a valid key.
    Authentication,
    /// It is signed, but is not the encoding of a message.
    Malformed,
}

impl fmt::Display for DecodeError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            DecodeError::Length => "datagram of an invalid length",
            DecodeError::Version => "datagram of another version",
            DecodeError::Cluster => "datagram of another cluster",
            DecodeError::Authentication => "datagram not signed with a valid key",
            DecodeError::Malformed => "datagram without a valid message",
        })
    }
}

impl std::error::Error for DecodeError {}

/// Returns the encoded length of an update, in bytes.
pub fn encoded_len(update: &Update) -> usize {
    UPDATE_OVERHEAD_BYTES + update.record.name.as_str().len() + update.record.zone.as_str().len()
}

/// Returns the number of bytes that are left for further updates in a message.
pub fn remaining_bytes(message: &Message) -> usize {
    let used: usize = message.updates.iter().map(encoded_len).sum();
    (MAX_DATAGRAM_BYTES - MAX_HEADER_BYTES).saturating_sub(used)
}

/// Encodes and decodes the datagrams of one cluster.
pub struct Codec {
    cluster_name: Vec<u8>,
    /// The first key signs. A tag by any of them is valid.
    keys: Vec<Hmac<Sha256>>,
}

impl Codec {
    /// Returns the codec of a cluster, or `None` if the name is too long or the number of keys is not from 1
    /// to [`MAX_KEYS`]. The first key signs.
    pub fn new(cluster_name: &str, keys: &[&[u8]]) -> Option<Codec> {
        let is_valid = cluster_name.len() <= MAX_CLUSTER_NAME_BYTES && (1..=MAX_KEYS).contains(&keys.len());
        let keys: Option<Vec<_>> = keys.iter().map(|key| Hmac::new_from_slice(key).ok()).collect();
        keys.filter(|_| is_valid).map(|keys| Codec { cluster_name: cluster_name.as_bytes().to_vec(), keys })
    }

    /// Returns the datagram of a message.
    pub fn encode(&self, message: &Message) -> Vec<u8> {
        let mut out = vec![VERSION, self.cluster_name.len() as u8];
        out.extend_from_slice(&self.cluster_name);
        put_message(&mut out, message);
        if let Some(key) = self.keys.first() {
            let tag = key.clone().chain_update(&out).finalize().into_bytes();
            out.extend_from_slice(&tag[..TAG_BYTES]);
        }
        out
    }

    /// Returns the message of a datagram, or why it is rejected.
    pub fn decode(&self, datagram: &[u8]) -> Result<Message, DecodeError> {
        if datagram.len() > MAX_DATAGRAM_BYTES || datagram.len() < 2 + TAG_BYTES {
            return Err(DecodeError::Length);
        }
        if datagram[0] != VERSION {
            return Err(DecodeError::Version);
        }
        let (signed, tag) = datagram.split_at(datagram.len() - TAG_BYTES);
        let cluster_name = signed[2..].get(..usize::from(signed[1])).ok_or(DecodeError::Length)?;
        if cluster_name != self.cluster_name {
            return Err(DecodeError::Cluster);
        }
        // The tag is verified before the message is parsed.
        if !self.keys.iter().any(|key| key.clone().chain_update(signed).verify_truncated_left(tag).is_ok()) {
            return Err(DecodeError::Authentication);
        }
        let mut reader = Reader { remaining: &signed[2 + cluster_name.len()..] };
        let message = reader.message().ok_or(DecodeError::Malformed)?;
        if reader.remaining.is_empty() {
            Ok(message)
        } else {
            Err(DecodeError::Length)
        }
    }
}

fn put_message(out: &mut Vec<u8>, message: &Message) {
    put_name(out, &message.from);
    put_addr(out, message.from_addr);
    let (kind, seq) = match &message.kind {
        Kind::Ping { seq, .. } => (0, *seq),
        Kind::Ack { seq } => (1, *seq),
        Kind::PingReq { seq, .. } => (2, *seq),
        Kind::Nack { seq } => (3, *seq),
        Kind::Gossip => (4, 0),
    };
    out.push(kind);
    out.extend_from_slice(&seq.to_le_bytes());
    if let Kind::Ping { target, .. } | Kind::PingReq { target, .. } = &message.kind {
        put_name(out, target);
    }
    if let Kind::PingReq { addr, .. } = &message.kind {
        put_addr(out, *addr);
    }
    out.push(message.updates.len() as u8);
    for update in &message.updates {
        put_update(out, update);
    }
}

fn put_update(out: &mut Vec<u8>, update: &Update) {
    let Update { record, suspected_by } = update;
    put_name(out, &record.name);
    put_name(out, &record.zone);
    put_addr(out, record.addr);
    out.extend_from_slice(&record.incarnation.to_le_bytes());
    out.push(record.state as u8);
    out.extend_from_slice(&suspected_by.to_le_bytes());
}

fn put_name(out: &mut Vec<u8>, name: &Name) {
    out.push(name.as_str().len() as u8);
    out.extend_from_slice(name.as_str().as_bytes());
}

fn put_addr(out: &mut Vec<u8>, addr: SocketAddrV4) {
    out.extend_from_slice(&addr.ip().octets());
    out.extend_from_slice(&addr.port().to_le_bytes());
}

/// A cursor that yields `None` instead of reading beyond the end.
struct Reader<'a> {
    remaining: &'a [u8],
}

impl Reader<'_> {
    fn bytes<const N: usize>(&mut self) -> Option<[u8; N]> {
        let (head, remaining) = self.remaining.split_first_chunk::<N>()?;
        self.remaining = remaining;
        Some(*head)
    }

    fn text(&mut self) -> Option<Name> {
        let [length] = self.bytes()?;
        let (text, remaining) = self.remaining.split_at_checked(usize::from(length))?;
        self.remaining = remaining;
        Name::new(std::str::from_utf8(text).ok()?)
    }

    fn member_name(&mut self) -> Option<Name> {
        self.text().filter(|name| !name.as_str().is_empty())
    }

    fn addr(&mut self) -> Option<SocketAddrV4> {
        let ip: [u8; 4] = self.bytes()?;
        let port = u16::from_le_bytes(self.bytes()?);
        Some(SocketAddrV4::new(Ipv4Addr::from(ip), port))
            .filter(|addr| port > 0 && !addr.ip().is_unspecified())
    }

    fn update(&mut self) -> Option<Update> {
        let (name, zone, addr) = (self.member_name()?, self.text()?, self.addr()?);
        let incarnation = Some(u64::from_le_bytes(self.bytes()?)).filter(|&n| n <= MAX_INCARNATION)?;
        let [state] = self.bytes()?;
        let state = [MemberState::Alive, MemberState::Suspect, MemberState::Failed, MemberState::Left]
            .get(usize::from(state))
            .copied()?;
        let suspected_by = u32::from_le_bytes(self.bytes()?);
        Some(Update { record: Record { name, addr, zone, incarnation, state }, suspected_by })
    }

    fn message(&mut self) -> Option<Message> {
        let (from, from_addr) = (self.member_name()?, self.addr()?);
        let [kind] = self.bytes()?;
        let seq = u32::from_le_bytes(self.bytes()?);
        let kind = match kind {
            0 => Kind::Ping { seq, target: self.member_name()? },
            1 => Kind::Ack { seq },
            2 => Kind::PingReq { seq, target: self.member_name()?, addr: self.addr()? },
            3 => Kind::Nack { seq },
            4 if seq == 0 => Kind::Gossip,
            _ => return None,
        };
        let [count] = self.bytes()?;
        let count = Some(usize::from(count)).filter(|&count| count <= MAX_UPDATES)?;
        let updates: Option<Vec<Update>> = (0..count).map(|_| self.update()).collect();
        Some(Message { from, from_addr, kind, updates: updates? })
    }
}
