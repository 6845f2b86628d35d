//! The clients of a simulated cluster: operators, gateways that pull, and clients and runners of batch jobs.
//!
//! Each client records its requests and responses in the [checker](crate::checker).

mod batch_client;
mod gateway;
mod head_follower;
mod item_runner;
mod operator;

pub use batch_client::BatchClient;
pub use gateway::Gateway;
pub use item_runner::ItemRunner;
pub use operator::Operator;
