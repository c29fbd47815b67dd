//! Judges engines and links by the outcomes and times of their steps.
//!
//! A [`Monitor`] keeps one record an upstream. Failures in a row, or step times far above the
//! expected ones, eject an upstream for a time that doubles with each ejection; never more than
//! a share of the fleet is ejected at once. An ejection is a suspicion: whoever plans goes on with
//! ejected upstreams where no other holds the layers. Where most upstreams of a failure domain are slow
//! together, the link to the domain is suspected, and its upstreams become costly instead of
//! being ejected. Joiners and upstreams that return start slowly. Leaving is final for an
//! incarnation.

mod monitor;
mod outcome;
mod record;
mod settings;

pub use monitor::{Changes, Monitor};
pub use outcome::{Change, Outcome};
pub use settings::Settings;
