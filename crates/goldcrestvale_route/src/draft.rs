//! One draft in flight: sends steps, commits tokens, recovers lost stages.
//!
//! A [`Prompt`] starts a [`Draft`]; the draft takes an [`Event`] with the time and returns
//! [`Action`]s. It does no I/O and keeps no clock.
//!
//! # Steps and attempts
//!
//! Every step is named by request, attempt, position and stage, and an answer counts only if the
//! whole name is the awaited one. An attempt number is given to the stages that are placed
//! together and is never used again in the draft: the first chain has attempt 1, and stages that
//! replace lost ones get the next number. Stages that were not lost keep their number, and with
//! it the KV cache that their engines hold under that number; so the stages of one chain may
//! have different numbers. A stage keeps the stage number that it was placed with, also where a
//! lost stage before it is replaced by two. Names stay unique because the attempt is new
//! wherever a stage or its engine is.
//!
//! # Each layer exactly once for each token
//!
//! The computation that leads to a committed token is the tree of answers that were awaited when
//! they arrived: the last stage's answer, the input that it was computed from, and the KV cache
//! of every stage. In it, each layer runs exactly once for each position, in the order of the
//! layers, and on the output of the layer before. When the KV cache of a stage is lost, its
//! layers run again over the same inputs under a new attempt to rebuild the cache. The rebuilt
//! cache takes the place of the lost one in the computation of *later* tokens; tokens that are
//! committed are never computed from it, and the outputs of a rebuild for positions whose output
//! is already known are dropped. Runs for rebuilding are counted apart, in [`Stats::rebuilt()`].
//!
//! # Recovery
//!
//! A lost stage is rebuilt from the nearest boundary before it whose activations were retained
//! from position 0, at worst from the tokens themselves; stages after it keep their KV caches.
//! A stage whose engine is leaving is moved by exporting its KV cache, and rebuilt where that
//! fails; a stage whose engine is suspected is rebuilt elsewhere. Where no engine can replace a
//! lost stage the draft fails at once; a leaving or suspected engine is then kept.

mod action;
mod boundary;
mod budget;
mod event;
mod machine;
mod migration;
mod prompt;
mod recovery;
mod send;
mod settings;
mod stage_state;
mod stats;

pub use action::{Action, Actions, Error, Failure};
pub use event::{Event, Fault};
pub use machine::Draft;
pub use prompt::{Prompt, Result};
pub use settings::{Recovery, Settings};
pub use stats::Stats;
