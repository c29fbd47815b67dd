//! The state machine of one draft: sends steps, commits tokens and recovers lost stages.
//!
//! A [`Prompt`] starts a [`Draft`]; the draft takes an [`Event`] with the time and returns
//! [`Action`]s. It does no I/O and reads no clock.
//!
//! # Steps and attempts
//!
//! A step is identified by request, attempt, position and stage, and an answer is accepted only
//! if all four match a pending step. An attempt number is given to stages that are planned
//! together and is never used again in the draft: the first chain has attempt 1, and stages that
//! replace lost ones get the next number. Stages that were not lost keep their number, and with
//! it the KV cache that their engines hold under that number, so the stages of one chain may
//! have different numbers. A stage keeps its stage number even if a lost stage before it is
//! replaced by two. Step names stay unique because a stage that is new or gets another engine
//! always has a new attempt.
//!
//! # Each layer runs exactly once per token
//!
//! A committed token is computed by a tree of accepted answers: the answer of the last stage, the
//! input that it was computed from, and the KV cache of every stage. In this tree, each layer
//! runs exactly once for each position, in layer order and on the output of the layer before.
//! When the KV cache of a stage is lost, its layers run again over the same inputs under a new
//! attempt to rebuild the cache. The rebuilt cache is used only for later tokens: committed
//! tokens are never computed from it, and the outputs of a rebuild for positions whose output is
//! already known are dropped. Layer runs for rebuilding are counted separately, in
//! [`Stats::rebuilt()`].
//!
//! # Recovery
//!
//! A lost stage is rebuilt from the nearest boundary before it whose activations were retained
//! from position 0, at worst from the tokens themselves; stages after it keep their KV caches.
//! A stage whose engine is leaving is migrated by exporting its KV cache, and rebuilt if that
//! fails; a stage whose engine is suspected is rebuilt on another engine. If no engine can
//! replace a lost stage, the draft fails at once; a leaving or suspected engine is kept in that
//! case.

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
