//! The steps of a race.

use proptest::prelude::*;

pub(crate) const INSTANCES: usize = 3;
const KEYS: usize = 3;

/// How instances read the log; all but the first are wrong and must be found out.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) enum Reader {
    InOrder,
    /// Takes the acknowledgement of an append for the reading of it.
    AckFirst,
    /// Takes the oldest record that the log still holds for the first that it ever held.
    GuessStart,
}

#[derive(Debug, Clone)]
pub(crate) enum Step {
    Call { at: usize, key: usize, other_body: bool, deadline_ms: u64 },
    Append { at: usize, fate: Fate },
    Land,
    Read { at: usize, most: usize },
    Send { at: usize, fate: Fate },
    Ask { at: usize, reached: bool },
    Pause { at: usize },
    Wake { at: usize },
    Crash { at: usize, from_checkpoint: bool },
    LogOut { at: usize },
    LogBack { at: usize },
    Leave { at: usize, ticket: u64 },
    Advance { ms: u64 },
    Trim { keep: usize },
    OldPage { at: usize },
}

/// What becomes of a message.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) enum Fate {
    Done,
    AnswerLost,
    NeverArrived,
    /// Reported lost, and arrives later.
    Late,
}

pub(crate) fn fate() -> impl Strategy<Value = Fate> {
    prop_oneof![
        5 => Just(Fate::Done), 2 => Just(Fate::AnswerLost),
        1 => Just(Fate::NeverArrived), 1 => Just(Fate::Late),
    ]
}

pub(crate) fn step() -> impl Strategy<Value = Step> {
    let at = 0..INSTANCES;
    let deadline = prop_oneof![1 => 1..50_u64, 4 => 500..20_000_u64];
    let advance = prop_oneof![8 => 1..400_u64, 3 => 400..8_000_u64, 1 => Just(61_000_u64)];
    prop_oneof![
        8 => (at.clone(), 0..KEYS, prop::bool::weighted(0.1), deadline).prop_map(
            |(at, key, other_body, deadline_ms)| Step::Call { at, key, other_body, deadline_ms }
        ),
        8 => (at.clone(), fate()).prop_map(|(at, fate)| Step::Append { at, fate }),
        2 => Just(Step::Land),
        10 => (at.clone(), 1..6_usize).prop_map(|(at, most)| Step::Read { at, most }),
        6 => (at.clone(), fate()).prop_map(|(at, fate)| Step::Send { at, fate }),
        4 => (at.clone(), prop::bool::weighted(0.8))
            .prop_map(|(at, reached)| Step::Ask { at, reached }),
        1 => at.clone().prop_map(|at| Step::Pause { at }),
        2 => at.clone().prop_map(|at| Step::Wake { at }),
        1 => (at.clone(), any::<bool>())
            .prop_map(|(at, from_checkpoint)| Step::Crash { at, from_checkpoint }),
        1 => at.clone().prop_map(|at| Step::LogOut { at }),
        2 => at.clone().prop_map(|at| Step::LogBack { at }),
        1 => at.clone().prop_map(|at| Step::OldPage { at }),
        1 => (at, 0..30_u64).prop_map(|(at, ticket)| Step::Leave { at, ticket }),
        6 => advance.prop_map(|ms| Step::Advance { ms }),
        1 => (0..12_usize).prop_map(|keep| Step::Trim { keep }),
    ]
}
