//! Retries: when one is allowed, and where it may go.

mod attempts;
mod budget;
mod window;

pub use attempts::{Attempts, Refusal, Result};
pub use budget::Budget;
pub use window::Window;
