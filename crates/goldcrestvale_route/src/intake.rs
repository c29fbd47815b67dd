//! What an instance holds for its callers: how much memory their requests may take, how many
//! connections they may keep open, and who gives way once either is used up.

mod budget;
mod connections;
mod machine;

pub use budget::{Budget, Decision, Owner, Ticket, Yielding};
pub use connections::{Connection, Connections, Opening};
pub use machine::Machine;
