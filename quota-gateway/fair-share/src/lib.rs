//! Fair shares of the fleet's capacity among firms, by distributed weighted max-min sharing (`docs/fair-share.md`). No I/O and no
//! clock: each call is given the instant.
//!
//! No process sees every pair of firm and gateway. A gateway samples the demand of its firms as one function of the level (units
//! per second and weight). The allocator adds these functions up, finds the level at which the sum meets the capacity, and
//! publishes it with a **grant** for each gateway. A gateway derives the limits of its firms from both. The sum of the grants
//! that gateways may still apply never exceeds the capacity by more than [`allocator::SLACK`], whatever is partitioned, delayed
//! or lost; only a gateway that was unreachable for [`allocator::GRANT_LIFETIME`] and still runs is an exception.
//!
//! - [`decision`]: what is published.
//! - [`demand_curve`]: demand as a function of the level, and its inverse.
//! - [`limiter`]: the limits of firms at one gateway.
//! - [`allocator`]: the level and the grants, at the owner of the role.
#![forbid(unsafe_code)]

pub mod allocator;
pub mod decision;
pub mod demand_curve;
pub mod limiter;
mod token_bucket;
