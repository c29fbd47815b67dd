//! Lookup of the route, the customer and the service of a request.
//!
//! Routes and customers can be many, are looked up once per request, and are replaced by new
//! versions of the configuration in quick succession.

mod change_set;
mod configuration;
mod level;
mod table;

pub use change_set::{ChangeSet, Error, Segment};
pub use configuration::{Bounds, Configuration, Customer, Kind, Pool, Route, Share};
pub use level::{Level, MAX_PRIORITY};
pub use table::{Refusal, Result, Table};
