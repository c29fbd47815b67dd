//! Decides where the layers of a model are held, and which engines a stream passes through.
//!
//! The load it answers: full traffic on mixed cards while engines are lost, leave, come back empty
//! and are added. Every engine is a large share of its chain, so the loss of one stops the chain
//! until its layers are held again.

mod choice;
mod engine;
mod layout;
mod line;
mod mend;
mod model;
mod pulse;
mod reach;
mod rescue;
mod strand;
mod surge;

pub use choice::{Choice, Held, Limit, Load};
pub use engine::Engine;
pub use layout::{Placement, balance, layout, replicas};
pub use line::{Line, Part, detour, find_lines};
pub use mend::{mend, widen};
pub use model::{Card, Model, Usual};
pub use pulse::{Pulse, SILENCE};
pub use reach::{is_cut_off, is_reached};
pub use rescue::{Rescue, paced};
pub use surge::Surge;
