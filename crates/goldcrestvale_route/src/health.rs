//! Detects failed and slow engines and links from the outcomes and times of their steps.
//!
//! A [`Monitor`] keeps a record per upstream. Consecutive failures, or step times far above the
//! expected ones, eject an upstream for a time that doubles with each ejection. At most a share
//! of the fleet is ejected at once. An ejection is a suspicion: planning still uses ejected
//! upstreams where no other upstream holds the layers. If most upstreams of a failure domain are
//! slow together, the link to the domain is suspected, and its upstreams get a higher cost instead
//! of being ejected. Upstreams that join or return start slowly. Leaving is final for an
//! incarnation.

mod monitor;
mod outcome;
mod record;
mod settings;

pub use monitor::{Changes, Monitor};
pub use outcome::{Change, Outcome};
pub use settings::Settings;
