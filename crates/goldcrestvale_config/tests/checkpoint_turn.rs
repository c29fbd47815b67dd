//! Checkpoints are written by one of many instances, and are restored exactly or rejected.

mod support;

use std::{sync::Arc, time::Duration};

use goldcrestvale_base::id::{Digest, Offset};
use goldcrestvale_config::{
    checkpoint::{Checkpoint, Error},
    chunk::{Assembler, Chunk},
    fold::Fold,
    prelude::*,
    schema::Table,
    start,
    sync::Comparison,
    writer::Schedule,
};
use proptest::{prelude::*, test_runner::RngSeed};
use support::{
    checkpoint_writers::{CheckpointWriters, SCHEDULE},
    *,
};

fn filled(customers: u64) -> (Log, Fold) {
    let mut log = Log::default();
    let mut fold = seeded(&mut log);
    for n in 0..customers {
        let data = put(Kind::Customer, &format!("c{n}"), None, customer(1_000 + n));
        log.append(id(1, n), &data);
    }
    log.read_into(&mut fold);
    (log, fold)
}

fn restore(checkpoint: &Checkpoint) -> goldcrestvale_config::checkpoint::Result<Fold> {
    checkpoint.try_restore(Arc::new(Table::default()))
}

#[test]
fn few_instances_start_the_same_checkpoint() {
    let (_, fold) = filled(900);
    let chunks = fold.checkpoint().chunks().len();
    assert!(chunks > 2, "the state takes several chunks");
    for count in [1, 4, 12, 340] {
        let mut started = 0;
        for seed in 0..5 {
            let mut group = CheckpointWriters::new(count, seed);
            let max_wait = SCHEDULE.interval + SCHEDULE.spread + Duration::from_secs(4);
            group.run(max_wait, &fold);
            assert!(group.writers.iter().all(|writer| writer.latest().is_some()));
            let found = group.writers[0].latest().expect("a checkpoint");
            assert_eq!(*found, fold.checkpoint());
            assert_eq!(
                group.stream.len(),
                group.started_count() + chunks - 1,
                "one writes the other chunks"
            );
            started += group.started_count();
            // The checkpoint expires without a change of the state: it is written again.
            group.run(max_wait, &fold);
            let others = group.stream.len() - group.started_count();
            assert_eq!(others, 2 * (chunks - 1), "it is written again once");
        }
        assert!(started <= 5 * 5, "{count} instances started {started} checkpoints in 5 runs");
    }
}

#[test]
fn one_of_many_simultaneous_writers_continues() {
    let (_, fold) = filled(900);
    let chunks = fold.checkpoint().chunks().len();
    let schedule = Schedule { spread: Duration::ZERO, ..SCHEDULE };
    for count in [2, 4, 12] {
        let mut group = CheckpointWriters::with_schedule(schedule, count, 1);
        group.run(SCHEDULE.interval + Duration::from_secs(4), &fold);
        assert_eq!(group.started_count(), count as usize);
        assert_eq!(group.stream.len(), count as usize + chunks - 1);
        assert_eq!(group.writers[0].latest(), Some(&fold.checkpoint()));
    }
}

#[test]
fn a_writer_that_dies_is_replaced() {
    let (_, fold) = filled(900);
    let chunks = fold.checkpoint().chunks().len();
    for count in 0..chunks {
        let mut group = CheckpointWriters::new(4, 7);
        group.run(SCHEDULE.interval, &fold);
        // The writer that starts dies after this number of chunks.
        group.allowance = vec![count; 4];
        while group.stream.is_empty() && count > 0 {
            group.run(Duration::from_secs(1), &fold);
        }
        group.run(Duration::from_secs(5), &fold);
        let dead = group.stream.first().map_or(0, |(writer, _)| writer.0 as usize - 1);
        group.alive[dead] = false;
        group.allowance = vec![usize::MAX; 4];
        group.run(2 * (SCHEDULE.spread + SCHEDULE.claim_timeout), &fold);
        let found = group.writers[0].latest();
        assert_eq!(found, Some(&fold.checkpoint()), "after {count} chunks");
    }
}

#[test]
fn a_corrupted_checkpoint_is_rejected() {
    let (_, fold) = filled(3);
    let good = fold.checkpoint();
    let table: [(&str, Checkpoint); 4] = [
        (
            "text",
            Checkpoint {
                text: good.text.replace("weight\":1", "weight\":2").into(),
                ..good.clone()
            },
        ),
        ("digest", Checkpoint { digest: Digest::of(b"other"), ..good.clone() }),
        ("version", Checkpoint { version: good.version.next(), ..good.clone() }),
        ("half", Checkpoint { text: good.text[..good.text.len() / 2].into(), ..good.clone() }),
    ];
    for (name, corrupted) in table {
        assert!(restore(&corrupted).is_err(), "{name}");
        let mut other = Fold::new();
        assert!(other.try_advance(&corrupted).is_err(), "{name}");
        assert_eq!(other.version(), Offset(0), "{name}");
        let resumed = other.try_resume(Offset(1), Some(&corrupted));
        assert!(matches!(resumed, Err(start::Error::Unrestored { .. })), "{name}");
        assert!(other.try_resume(Offset(0), Some(&corrupted)).is_ok(), "the log is complete");
    }
    assert!(matches!(
        restore(&Checkpoint { digest: Digest::of(b"other"), ..good.clone() }),
        Err(Error::Mismatch { .. })
    ));
    let mut assembler = Assembler::default();
    let mut chunks = good.chunks();
    chunks[0].text.insert(3, ' ');
    assert!(chunks.into_iter().all(|chunk| assembler.add(chunk).is_none()));
}

#[test]
fn a_start_on_a_trimmed_log_needs_a_checkpoint() {
    let (mut log, fold) = filled(3);
    let checkpoint = fold.checkpoint();
    let resume = |oldest: u64, found: Option<&Checkpoint>| {
        let mut fold = Fold::new();
        fold.try_resume(Offset(oldest), found).map(|()| fold.version().0)
    };
    let at = checkpoint.version.0;
    assert_eq!(resume(0, None).ok(), Some(0));
    assert_eq!(resume(at, Some(&checkpoint)).ok(), Some(at));
    assert!(matches!(resume(1, None), Err(start::Error::Trimmed { .. })));
    assert!(matches!(resume(at + 1, Some(&checkpoint)), Err(start::Error::Trimmed { .. })));
    let later = log.append(id(2, 1), &put(Kind::Service, "t", None, service(1)));
    log.trim(later);
    let mut restored = restore(&checkpoint).expect("restores");
    log.read_into(&mut restored);
    assert!(restored.snapshot().services.contains_key("t"));
}

#[test]
fn an_old_checkpoint_does_not_revert_the_state() {
    let (mut log, mut fold) = filled(3);
    let old = fold.checkpoint();
    log.append(id(2, 1), &put(Kind::Service, "t", None, service(1)));
    log.read_into(&mut fold);
    let digest = fold.digest();
    assert!(!fold.try_advance(&old).expect("is ignored"));
    assert_eq!((fold.digest(), fold.alarms().any()), (digest, false));
    let forged = Checkpoint { digest: Digest::of(b"other"), ..fold.checkpoint() };
    assert!(!fold.try_advance(&forged).expect("is ignored"));
    assert_eq!((fold.digest(), fold.alarms().divergences), (digest, 1));
    // A complete checkpoint is compared like the offer of a peer.
    let compared = fold.compare(old.version, |digest| digest == forged.digest);
    assert_eq!(compared, Comparison::Diverged);
    assert_eq!(fold.alarms().divergences, 2);
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 40,
        rng_seed: RngSeed::Fixed(12),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn chunks_in_any_order_repeated_and_mixed(
        order in Just((0..64_usize).collect::<Vec<_>>()).prop_shuffle(),
        repeats in prop::collection::vec(0..64_usize, 0..20),
    ) {
        let (mut log, mut fold) = filled(500);
        let first = fold.checkpoint();
        log.append(id(2, 1), &put(Kind::Service, "t", None, service(1)));
        log.read_into(&mut fold);
        let second = fold.checkpoint();
        let chunks: Vec<Chunk> = first.chunks().into_iter().chain(second.chunks()).collect();
        let mut assembler = Assembler::default();
        let picked = repeats.iter().chain(&order).filter_map(|index| chunks.get(*index));
        let found: Vec<_> = picked.filter_map(|chunk| assembler.add(chunk.clone())).collect();
        prop_assert!(found.windows(2).all(|pair| pair[0].version <= pair[1].version));
        prop_assert_eq!(found.last(), Some(&second));
        prop_assert!(found.iter().all(|checkpoint| *checkpoint == first || *checkpoint == second));
    }
}
