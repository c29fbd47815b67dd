//! Retries: whether one is allowed, and which upstreams are left for it.

mod attempts;
mod budget;
mod exclusions;
mod loans;
mod runs;
mod share;
mod window;

pub use attempts::{Attempts, Refusal, Result};
pub use budget::Budget;
pub use exclusions::Exclusions;
pub use loans::{Loans, Round};
pub use runs::{Run, Runs};
pub use share::Share;
pub use window::Window;
