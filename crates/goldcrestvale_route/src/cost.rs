//! Estimates how many tokens a new stream reads and writes.
//!
//! Prompts and answers of one service differ by a factor of ten and more. Counted alike, a few long
//! streams on one chain exceed its memory while another chain has room. The estimates let the
//! choice of a chain weigh each stream by its expected size.

mod estimate;
mod estimator;
mod moments;

pub use estimate::Estimate;
pub use estimator::{Answer, Estimator, MAX_ENTRIES, Query};
