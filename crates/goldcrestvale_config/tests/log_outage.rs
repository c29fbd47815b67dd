//! The log is unavailable for a second, a minute or an hour, at each step of its use.

mod support;

use std::time::Duration;

use goldcrestvale_base::id::Offset;
use goldcrestvale_config::{
    fold::Fold,
    prelude::*,
    start,
    submission::{Answer, MAX_RETRY_TIME, Origin},
};
use rand_chacha::ChaCha8Rng;
use support::{
    checkpoint_writers::{CheckpointWriters, SCHEDULE},
    cluster::{Cluster, Fault},
    *,
};

const OUTAGES: [Duration; 3] =
    [Duration::from_secs(1), Duration::from_secs(60), Duration::from_secs(3_600)];

const TIMEOUT: Duration = Duration::from_secs(10);

/// Maximum time after an outage until every instance has every change in force.
const RECOVERY_TIME: Duration = Duration::from_secs(6);

fn no_fault(_: &mut ChaCha8Rng) -> Fault {
    Fault::None
}

/// The step of a change at which the outage begins.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Step {
    BeforeAppend,
    AfterAppend,
    AfterAnswer,
    AfterRead,
}

#[test]
fn an_outage_at_each_step_of_a_change() {
    for step in [Step::BeforeAppend, Step::AfterAppend, Step::AfterAnswer, Step::AfterRead] {
        for outage in OUTAGES {
            let name = format!("{step:?}, {outage:?}");
            let mut cluster = Cluster::new(3, 5);
            seeded(&mut cluster.log);
            cluster.run(Duration::from_secs(1), &mut no_fault);
            let before: Vec<_> =
                cluster.instances.iter().map(|instance| instance.fold.offer()).collect();
            let id = id(1, 1);
            let change = change(Kind::Service, "s", Some(2), service(9));
            let mut down = |_: &mut ChaCha8Rng| Fault::LostBefore;
            cluster.readable = step == Step::AfterRead;
            let mut first = |_: &mut ChaCha8Rng| match step {
                Step::BeforeAppend => Fault::LostBefore,
                Step::AfterAppend => Fault::LostAfter,
                Step::AfterAnswer | Step::AfterRead => Fault::None,
            };
            cluster.submit(0, id, &change, Origin::New, TIMEOUT, &mut first);
            if step == Step::AfterRead {
                while cluster.answer(&id).is_none() {
                    cluster.step(&mut down);
                }
                cluster.readable = false;
            }
            cluster.run(outage, &mut down);
            if step != Step::AfterRead {
                let kept = cluster.instances.iter().map(|instance| instance.fold.offer());
                assert!(kept.eq(before.iter().copied()), "{name}: the state changed");
            }
            cluster.readable = true;
            cluster.run(RECOVERY_TIME, &mut no_fault);
            let accepted = Answer::Accepted { version: Offset(3) };
            let expected = match step {
                Step::AfterRead => accepted.clone(),
                _ if outage < TIMEOUT => accepted.clone(),
                _ => Answer::Unknown { id },
            };
            assert_eq!(cluster.answer(&id), Some(&expected), "{name}");
            // The operator retries by the id, through another instance.
            let age = outage + RECOVERY_TIME;
            let origin = Origin::Repeat { age };
            cluster.submit(1, id, &change, origin, TIMEOUT, &mut no_fault);
            cluster.run(RECOVERY_TIME, &mut no_fault);
            let lost = step == Step::BeforeAppend && age > MAX_RETRY_TIME;
            let expected = if lost { Answer::Unknown { id } } else { accepted };
            assert_eq!(cluster.answer(&id), Some(&expected), "{name}");
            cluster.check();
            for instance in &cluster.instances {
                let timeout = instance.fold.snapshot().services["s"].body.timeout_ms;
                assert_eq!(timeout == 9, !lost, "{name}");
                assert!(!instance.fold.alarms().any(), "{name}");
            }
        }
    }
}

#[test]
fn an_outage_at_each_chunk_of_a_checkpoint() {
    let mut log = Log::default();
    let mut fold = seeded(&mut log);
    for n in 0..600 {
        log.append(id(1, n), &put(Kind::Customer, &format!("c{n}"), None, customer(n)));
    }
    log.read_into(&mut fold);
    let chunks = fold.checkpoint().chunks().len();
    assert!(chunks > 2);
    for outage in OUTAGES {
        for count in 0..=chunks {
            let mut group = CheckpointWriters::new(4, 9);
            group.run(SCHEDULE.interval, &fold);
            group.allowance = vec![count; 4];
            let end = group.now + SCHEDULE.spread;
            while group.stream.len() < count && group.now < end {
                group.run(Duration::from_secs(1), &fold);
            }
            group.available = false;
            group.run(outage, &fold);
            group.available = true;
            group.allowance = vec![usize::MAX; 4];
            // Chunks that were about to be appended are lost; the next writer writes a complete
            // checkpoint.
            group.run(2 * (SCHEDULE.spread + SCHEDULE.claim_timeout), &fold);
            let found = group.writers[3].latest();
            assert_eq!(found, Some(&fold.checkpoint()), "{outage:?} after {count} chunks");
        }
    }
}

#[test]
fn an_instance_starts_while_the_log_is_unavailable() {
    let mut log = Log::default();
    let mut peer = Node::new(seeded(&mut log));
    for outage in OUTAGES {
        // Without the log its state is empty, until a peer sends one.
        let mut fresh = Node::new(Fold::new());
        assert!(fresh.fold.snapshot().customers.is_empty());
        synchronise(&mut peer, &mut fresh);
        assert_same(&fresh.fold, &peer.fold, &format!("{outage:?}"));
        // The log returns with everything trimmed that was read before.
        log.trim(log.end());
        let next = peer.fold.head(&Kind::Service, "s").map(|version| version.0);
        let sequence = outage.as_secs();
        log.append(id(1, sequence), &put(Kind::Service, "s", next, service(sequence)));
        let resumed = Fold::new().try_resume(Offset(log.oldest as u64), None);
        assert!(matches!(resumed, Err(start::Error::Trimmed { .. })));
        for node in [&mut fresh, &mut peer] {
            log.read_into(&mut node.fold);
            assert_eq!(node.fold.snapshot().services["s"].body.timeout_ms, sequence);
        }
    }
}
