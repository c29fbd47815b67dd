//! Decides which route a request takes, for whom, and to which service.
//!
//! The load it answers: many routes and customers, looked up once a request, while new versions of
//! the configuration arrive in quick succession.

mod configuration;
mod table;

pub use configuration::{Bounds, Configuration, Customer, Kind, Pool, Route, Share};
pub use table::{Refusal, Result, Table};
