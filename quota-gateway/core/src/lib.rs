//! Request decisions of the quota gateway: quotas, load shedding, load balancing and retries.
//!
//! Several gateways forward the requests of many customers to one service and enforce the customers' quotas.
//! A [`Gateway`] is one of them, as a state machine without I/O: the caller passes in events with the time at
//! which they happened, and performs the returned actions. It opens no socket, reads no clock and shares no
//! state, so the same code runs in the server, in the simulator adapter and in tests on a virtual clock.
//!
//! ```
//! use marblecroft_quota_gateway_core::*;
//! use std::time::Duration;
//!
//! let ms = Duration::from_millis;
//! let settings = Settings {
//!     gateways: 1,
//!     gateway_index: 0,
//!     zone: 0,
//!     classes: vec![Class { latency_target: ms(800), deadline: ms(3000), value: 1.0, effect: Effect::Safe }],
//!     plans: vec![Plan { rate: 5.0, burst: 10.0, price: 1.0, ..Plan::default() }],
//!     discovery: Discovery::Push,
//!     cancel: true,
//!     hedging: false,
//!     max_attempts: 3,
//!     max_retry_after: ms(500),
//!     tick: ms(2),
//!     meter_period: ms(0),
//!     max_units: 1.0,
//!     slow_start_initial_share: 0.2,
//!     slow_start_duration: ms(15_000),
//!     slow_start_overload_factor: 3.0,
//!     slow_start_window: ms(1500),
//!     cross_zone_price: 0.0,
//! };
//! let mut gateway = Gateway::new(settings, 7);
//! let mut actions = Vec::new();
//! let server = ServerInfo {
//!     id: ServerId(1),
//!     zone: 0,
//!     cell: 0,
//!     kind: 0,
//!     lifecycle: Lifecycle::Running,
//!     capacity: 1.0,
//!     started: None,
//! };
//! gateway.handle(Time(0), Event::Servers { scope: Scope::Full, servers: vec![server] }, &mut actions);
//! let request = NewRequest {
//!     id: RequestId(1),
//!     class: ClassId(0),
//!     plan: PlanId(0),
//!     customer: CustomerId(9),
//!     deadline: Time(3_000_000_000),
//!     units: 1.0,
//!     gateways: 1,
//!     is_retry: false,
//!     body_in_flight: false,
//! };
//! gateway.handle(Time(5), Event::Request(request), &mut actions);
//! assert!(actions.iter().any(|a| matches!(a, Action::Send { server: ServerId(1), .. })));
//! ```
#![forbid(unsafe_code)]

mod api;
mod arithmetic;
mod decisions;
mod failure_rate;
mod random;
mod rate;
mod state_transfer;
mod subsetting;
mod zone_round_robin;

pub use api::*;
pub use decisions::load_shedding::{Shedder, STEP_SECS as SHEDDER_STEP_SECS};
pub use decisions::Gateway;
pub use random::Random;
pub use state_transfer::StateSnapshot;
