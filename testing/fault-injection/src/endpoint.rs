//! The processes and stand-ins of a fleet, which are the endpoints of its links.

use serde::{Deserialize, Serialize};
use std::fmt::{self, Display};

/// A kind of process or stand-in.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// All clients, and the load balancer in front of the gateways.
    Clients,
    /// Processes of the gateway.
    Gateways,
    /// Stand-ins for pay servers.
    PayServers,
    /// Processes of the discovery service, or the stand-in for the platform's discovery.
    #[serde(rename = "list_service")]
    DiscoveryService,
    /// Processes of the coordination service.
    Coordinators,
    /// The stand-in for the shared counter.
    Counter,
    /// Stand-ins for processes that compete for locks.
    Candidates,
    /// Processes of the controller.
    #[serde(rename = "stewards")]
    Controllers,
    /// Stand-ins for the stores of cells, which serve the controllers' calls.
    Cells,
}

impl Kind {
    /// All kinds.
    pub const ALL: [Kind; 9] = [
        Kind::Clients,
        Kind::Gateways,
        Kind::PayServers,
        Kind::DiscoveryService,
        Kind::Coordinators,
        Kind::Counter,
        Kind::Candidates,
        Kind::Controllers,
        Kind::Cells,
    ];

    /// Returns the kind's name in scenario files and reports.
    pub fn name(self) -> &'static str {
        match self {
            Kind::Clients => "clients",
            Kind::Gateways => "gateways",
            Kind::PayServers => "pay_servers",
            Kind::DiscoveryService => "list_service",
            Kind::Coordinators => "coordinators",
            Kind::Counter => "counter",
            Kind::Candidates => "candidates",
            Kind::Controllers => "stewards",
            Kind::Cells => "cells",
        }
    }
}

/// An endpoint of a link: a process or a stand-in.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Endpoint {
    /// All clients, and the load balancer in front of the gateways.
    Clients,
    /// A gateway, by its number.
    Gateway(u16),
    /// A pay server, by its number.
    PayServer(u16),
    /// A process of the discovery service, by its number.
    DiscoveryService(u16),
    /// The shared counter.
    Counter,
    /// A process of the coordination service, by its number.
    Coordinator(u16),
    /// A candidate for locks, or a client of registers, by its number.
    Candidate(u16),
    /// A process of the controller, by its number.
    Controller(u16),
    /// The store of a cell, by its number.
    Cell(u16),
}

impl Endpoint {
    /// Returns the kind of the endpoint.
    pub fn kind(self) -> Kind {
        match self {
            Endpoint::Clients => Kind::Clients,
            Endpoint::Gateway(_) => Kind::Gateways,
            Endpoint::PayServer(_) => Kind::PayServers,
            Endpoint::DiscoveryService(_) => Kind::DiscoveryService,
            Endpoint::Counter => Kind::Counter,
            Endpoint::Coordinator(_) => Kind::Coordinators,
            Endpoint::Candidate(_) => Kind::Candidates,
            Endpoint::Controller(_) => Kind::Controllers,
            Endpoint::Cell(_) => Kind::Cells,
        }
    }

    /// Returns a member of a kind by its number; `None` where the number is out of range.
    pub(crate) fn of(kind: Kind, index: u32) -> Option<Endpoint> {
        let index = u16::try_from(index).ok()?;
        Some(match kind {
            Kind::Clients => Endpoint::Clients,
            Kind::Gateways => Endpoint::Gateway(index),
            Kind::PayServers => Endpoint::PayServer(index),
            Kind::DiscoveryService => Endpoint::DiscoveryService(index),
            Kind::Counter => Endpoint::Counter,
            Kind::Coordinators => Endpoint::Coordinator(index),
            Kind::Candidates => Endpoint::Candidate(index),
            Kind::Controllers => Endpoint::Controller(index),
            Kind::Cells => Endpoint::Cell(index),
        })
    }
}

impl Display for Endpoint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Endpoint::Clients | Endpoint::Counter => f.write_str(self.kind().name()),
            Endpoint::Gateway(i)
            | Endpoint::PayServer(i)
            | Endpoint::DiscoveryService(i)
            | Endpoint::Coordinator(i)
            | Endpoint::Candidate(i)
            | Endpoint::Controller(i)
            | Endpoint::Cell(i) => {
                write!(f, "{}[{i}]", self.kind().name())
            }
        }
    }
}
