//! A simulation of instances that claim the same keys concurrently.

mod check;
pub(crate) mod cluster;
pub(crate) mod step;
