//! A controller: a candidate for the singleton roles that decide for the fleet (`docs/controller.md`).
//!
//! Reports of gateways come in through [`reports`] and are dispatched to the roles that are owned here. [`run_role`] steps the
//! [`decision_role`] of each and publishes its decisions under the lease's token.
//!
//! - [`config`]: the configuration file.
//! - [`reports`]: the reports of gateways, over persistent connections, bounded in number and in queue.
//! - [`decision_role`]: the interface of all roles.
//! - [`zone_failover_role`], [`fair_share_role`], [`shard_map_role`]: the roles.
//! - [`cell_client`]: requests to the cells of the shard map.
//! - [`create_role`]: the role of a name.
//! - [`run_role`]: the work of the owner of a role.
//! - [`shared`]: what all roles of a process share.
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
