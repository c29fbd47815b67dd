//! Retries: when one is allowed, and where it may go.

mod budget;
mod series;
mod window;

pub use budget::Budget;
pub use series::{Refusal, Result, Series};
pub use window::Window;
