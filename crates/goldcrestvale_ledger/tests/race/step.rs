//! The steps of the simulation.

use proptest::prelude::*;

pub(crate) const INSTANCES: usize = 3;
const KEYS: usize = 3;

/// How instances read the log; all variants but the first are incorrect and must be detected.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) enum Reader {
    InOrder,
    /// Treats the acknowledgement of an append as if the records had been read.
    AckAsRead,
    /// Treats the oldest record that the log still contains as its first record ever.
    AssumeStart,
}

#[derive(Debug, Clone)]
pub(crate) enum Step {
    Call { instance: usize, key: usize, other_body: bool, deadline_ms: u64 },
    Append { instance: usize, delivery: Delivery },
    StoreDelayed,
    Read { instance: usize, max_records: usize },
    Dispatch { instance: usize, delivery: Delivery },
    QueryOwner { instance: usize, reached: bool },
    Pause { instance: usize },
    Resume { instance: usize },
    Crash { instance: usize, from_checkpoint: bool },
    LogUnavailable { instance: usize },
    LogAvailable { instance: usize },
    CallerGone { instance: usize, ticket: u64 },
    Advance { ms: u64 },
    Trim { keep: usize },
    ReadOldPage { instance: usize },
}

/// The outcome of a message.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) enum Delivery {
    Delivered,
    AnswerLost,
    NotDelivered,
    /// Reported as lost, but arrives later.
    Delayed,
}

pub(crate) fn delivery() -> impl Strategy<Value = Delivery> {
    prop_oneof![
        5 => Just(Delivery::Delivered), 2 => Just(Delivery::AnswerLost),
        1 => Just(Delivery::NotDelivered), 1 => Just(Delivery::Delayed),
    ]
}

pub(crate) fn step() -> impl Strategy<Value = Step> {
    let instance = 0..INSTANCES;
    let deadline = prop_oneof![1 => 1..50_u64, 4 => 500..20_000_u64];
    let advance = prop_oneof![8 => 1..400_u64, 3 => 400..8_000_u64, 1 => Just(61_000_u64)];
    prop_oneof![
        8 => (instance.clone(), 0..KEYS, prop::bool::weighted(0.1), deadline).prop_map(
            |(instance, key, other_body, deadline_ms)|
                Step::Call { instance, key, other_body, deadline_ms }
        ),
        8 => (instance.clone(), delivery())
            .prop_map(|(instance, delivery)| Step::Append { instance, delivery }),
        2 => Just(Step::StoreDelayed),
        10 => (instance.clone(), 1..6_usize)
            .prop_map(|(instance, max_records)| Step::Read { instance, max_records }),
        6 => (instance.clone(), delivery())
            .prop_map(|(instance, delivery)| Step::Dispatch { instance, delivery }),
        4 => (instance.clone(), prop::bool::weighted(0.8))
            .prop_map(|(instance, reached)| Step::QueryOwner { instance, reached }),
        1 => instance.clone().prop_map(|instance| Step::Pause { instance }),
        2 => instance.clone().prop_map(|instance| Step::Resume { instance }),
        1 => (instance.clone(), any::<bool>())
            .prop_map(|(instance, from_checkpoint)| Step::Crash { instance, from_checkpoint }),
        1 => instance.clone().prop_map(|instance| Step::LogUnavailable { instance }),
        2 => instance.clone().prop_map(|instance| Step::LogAvailable { instance }),
        1 => instance.clone().prop_map(|instance| Step::ReadOldPage { instance }),
        1 => (instance, 0..30_u64)
            .prop_map(|(instance, ticket)| Step::CallerGone { instance, ticket }),
        6 => advance.prop_map(|ms| Step::Advance { ms }),
        1 => (0..12_usize).prop_map(|keep| Step::Trim { keep }),
    ]
}
