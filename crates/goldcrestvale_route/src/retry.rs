//! Retries: whether one is allowed, and which upstreams are left for it.

mod attempts;
mod budget;
mod window;

pub use attempts::{Attempts, Refusal, Result};
pub use budget::Budget;
pub use window::Window;
