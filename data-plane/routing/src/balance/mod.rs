//! Load balancing: the table of model servers, and the choice of a server for each request.
//!
//! The calls for one request are, in order: [`LoadBalancer::choose`] compares the servers.
//! [`LoadBalancer::on_sent`] counts the request at the chosen server before anything is written, so
//! that the next choice takes it into account. [`LoadBalancer::on_reported_load`] and
//! [`LoadBalancer::on_outcome`] record the server's load and health from the response.
//! [`LoadBalancer::on_finished`] removes the request from the count, however the attempt ended.
//! Callers use a guard to pair `on_sent` with `on_finished`.
//!
//! | module | mechanism |
//! |---|---|
//! | `balancer` | table of servers, and the interaction of the mechanisms |
//! | `endpoint` | state of one server, and the estimate of its load |
//! | `outlier` | failure rate and ejection |
//! | `affinity` | rendezvous hashing of prompt prefixes |
//! | `choose` | cost of a server, and server selection |
//! | `load_exchange` | load updates between the gateways of a zone |
//! | `zone_load` | load of other zones, as reported by the stores |
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
