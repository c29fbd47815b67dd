//! Retries: when one is allowed, and where it may go.

mod attempts;
mod budget;
mod window;

pub use attempts::{Refusal, Result, Series};
pub use budget::Budget;
pub use window::Window;
