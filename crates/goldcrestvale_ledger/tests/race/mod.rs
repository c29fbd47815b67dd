//! A model of instances that race for keys.

mod check;
pub(crate) mod step;
pub(crate) mod world;
