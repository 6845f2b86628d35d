//! Divides the fleet's capacity fairly among firms, by distributed weighted max-min sharing
//! (`docs/fair-share.md`). No I/O and no clock: the caller passes the current instant to each call.
//!
//! The **level** is the rate that a firm of weight 1 may use, in units per second. No process sees every pair
//! of firm and gateway, so each gateway samples the demand of its firms as one function of the level. The
//! allocator adds these functions up, finds the level at which the sum equals the capacity, and publishes it
//! with a **grant** (units per second) for each gateway. A gateway derives the limits of its firms from both.
//!
//! The sum of the grants that gateways may still apply never exceeds the capacity by more than
//! [`allocator::SLACK`], even when messages are delayed or lost and gateways are partitioned. The only
//! exception is a gateway that keeps running while it is unreachable for longer than
//! [`allocator::GRANT_LIFETIME`].
//!
//! - [`decision`]: the published decision.
//! - [`demand_curve`]: demand as a function of the level, and its inverse.
//! - [`limiter`]: the limits of firms at one gateway.
//! - [`allocator`]: computes the level and the grants; runs in the process that owns the role.
#![forbid(unsafe_code)]

pub mod allocator;
pub mod decision;
pub mod demand_curve;
pub mod limiter;
mod token_bucket;
