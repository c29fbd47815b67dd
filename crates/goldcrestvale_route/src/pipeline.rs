//! Decides which engines hold which layers of a model, and which engines a stream passes through.
//!
//! Engines have different cards, and are lost, leave, restart empty and are added under full
//! traffic. Every engine is a large share of its chain, so the loss of one stops the chain until
//! its layers are held again.

mod activity;
mod backoff;
mod chain;
mod choice;
mod engine;
mod expected_cost;
mod failover;
mod group;
mod layout;
mod limit;
mod model;
mod peer_load;
mod place_share;
mod places;
mod reach;
mod repair;
mod request;
mod split;
mod stuck;

pub use activity::{Activity, STALL_TIMEOUT, probe_share};
pub use backoff::Backoff;
pub use chain::{Chain, Stage, alternate, find_chains};
pub use choice::{Choice, Load, Occupancy, Report};
pub use engine::Engine;
pub use failover::{Failover, paced_count};
pub use layout::{Placement, layout, replicas};
pub use limit::{Limit, SHARED_LIMIT_TTL};
pub use model::{Card, MeanRequest, Model, StepTime};
pub use peer_load::PeerLoad;
pub use place_share::{PlaceShare, demand_part};
pub use places::Places;
pub use reach::{is_partitioned, is_reachable};
pub use repair::{may_start_loads, rebalance, repair};
pub use request::{Request, Size};
pub use split::{split, stream_rate};
pub use stuck::stuck_timeout;
