//! Load balancing: the table of model servers, and which of them a request goes to.
//!
//! A request passes here in this order: [`LoadBalancer::choose`] compares the servers; [`LoadBalancer::on_sent`] counts the
//! request at the one that was chosen, before anything is written, so that the next choice sees it;
//! [`LoadBalancer::on_reported_load`] and [`LoadBalancer::on_outcome`] take in what the response tells of the server; and
//! [`LoadBalancer::on_finished`] ends the count, however the attempt ended. Callers pair `on_sent` and `on_finished` by a
//! guard.
//!
//! | module | mechanism |
//! |---|---|
//! | `balancer` | the table of servers, and the order in which the mechanisms work together |
//! | `endpoint` | one server, and the estimate of its load |
//! | `outlier` | failure rate and ejection |
//! | `affinity` | rendezvous hashing of prompt prefixes |
//! | `choose` | the cost of a server, and the choice |
//! | `load_exchange` | load updates between the gateways of a zone |
//! | `zone_load` | load of other zones, by way of the stores |
//! | `freshness` | expiry of reports |

mod affinity;
mod balancer;
mod choose;
mod endpoint;
mod freshness;
mod load_exchange;
mod outlier;
mod zone_load;

pub use balancer::LoadBalancer;
pub use choose::PlacementRequest;
pub use endpoint::ReportedLoad;
pub use outlier::ServerOutcome;
