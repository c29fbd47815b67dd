//! Decides where the layers of a model are held, and which engines a stream passes through.
//!
//! The load it answers: full traffic on mixed cards while engines are lost, leave, come back empty
//! and are added. Every engine is a large share of its chain, so the loss of one stops the chain
//! until its layers are held again.

mod activity;
mod chain;
mod choice;
mod engine;
mod failover;
mod group;
mod layout;
mod model;
mod peer_load;
mod reach;
mod repair;

pub use activity::{Pulse, SILENCE};
pub use chain::{Line, Part, detour, find_lines};
pub use choice::{Choice, Held, Limit, Load};
pub use engine::Engine;
pub use failover::{Rescue, paced};
pub use layout::{Placement, balance, layout, replicas};
pub use model::{Card, Model, Usual};
pub use peer_load::Surge;
pub use reach::{is_cut_off, is_reached};
pub use repair::{mend, widen};
