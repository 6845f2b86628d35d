//! A controller: a candidate for the singleton roles that make decisions for the fleet
//! (`docs/controller.md`).
//!
//! [`reports`] receives the reports of gateways and dispatches them to the roles that this process owns.
//! [`run_role`] drives the [`decision_role`] of each and publishes its decisions under the lease's fencing
//! token.
//!
//! - [`config`]: the configuration file.
//! - [`reports`]: the receiver of gateways' reports, with a limited number of connections and bounded queues.
//! - [`decision_role`]: the interface of all roles.
//! - [`zone_failover_role`], [`fair_share_role`], [`shard_map_role`]: the roles.
//! - [`cell_client`]: requests to the cells of the shard map.
//! - [`create_role`]: creates a role by its name.
//! - [`run_role`]: the main loop of the owner of a role.
//! - [`shared`]: state shared by all roles of a process.
//! - [`metrics`]: the metrics of the process.
#![forbid(unsafe_code)]

pub mod cell_client;
pub mod config;
pub mod create_role;
pub mod decision_role;
pub mod fair_share_role;
pub mod metrics;
pub mod reports;
pub mod run_role;
pub mod shard_map_role;
pub mod shared;
pub mod zone_failover_role;
