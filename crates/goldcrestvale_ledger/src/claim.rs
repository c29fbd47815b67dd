//! Claims of idempotency keys: their records, their fold, and the life cycle of a claim at its
//! owner.

mod checkpoint;
mod entry;
mod fold;
mod lifecycle;
mod owners;
mod record;
mod window;

pub use checkpoint::{Checkpoint, Error, Result};
pub use entry::{Fingerprint, Owner, Standing};
pub use fold::{Fold, Holding, Outcome};
pub use lifecycle::{
    Abandoned, Claim, Delegated, Dispatched, Lost, OwnerAnswer, Pending, Settled, Unanswered, Won,
};
pub use record::{Abandonment, Intent, Kind, Record, SCHEMA, Settlement};
pub use window::{MAX_SKEW, Refusal, Window};
