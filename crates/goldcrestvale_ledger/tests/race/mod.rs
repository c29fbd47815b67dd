//! A model of instances that race for keys.

mod check;
pub(crate) mod cluster;
pub(crate) mod step;
