//! The log goes out for a second, a minute or an hour, at each step of what uses it.

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
    office::{Fault, Office},
    scribes::{SETTING, Scribes},
    *,
};

const OUTAGES: [Duration; 3] =
    [Duration::from_secs(1), Duration::from_secs(60), Duration::from_secs(3_600)];

const PATIENCE: Duration = Duration::from_secs(10);

/// Time after an outage within which every instance has every change in force.
const WITHIN: Duration = Duration::from_secs(6);

fn healthy(_: &mut ChaCha8Rng) -> Fault {
    Fault::None
}

/// Where an outage finds a change: what becomes of its append, and whether it was read.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Step {
    BeforeAppend,
    AfterAppend,
    AfterAnswer,
    AfterRead,
}

#[test]
fn a_change_at_each_step() {
    for step in [Step::BeforeAppend, Step::AfterAppend, Step::AfterAnswer, Step::AfterRead] {
        for outage in OUTAGES {
            let name = format!("{step:?}, {outage:?}");
            let mut office = Office::new(3, 5);
            seeded(&mut office.log);
            office.run(Duration::from_secs(1), &mut healthy);
            let before: Vec<_> = office.clerks.iter().map(|clerk| clerk.fold.offer()).collect();
            let id = id(1, 1);
            let change = change(Kind::Service, "s", Some(2), service(9));
            let mut down = |_: &mut ChaCha8Rng| Fault::LostBefore;
            office.readable = step == Step::AfterRead;
            let mut first = |_: &mut ChaCha8Rng| match step {
                Step::BeforeAppend => Fault::LostBefore,
                Step::AfterAppend => Fault::LostAfter,
                Step::AfterAnswer | Step::AfterRead => Fault::None,
            };
            office.submit(0, id, &change, Origin::New, PATIENCE, &mut first);
            if step == Step::AfterRead {
                while office.answer(&id).is_none() {
                    office.step(&mut down);
                }
                office.readable = false;
            }
            office.run(outage, &mut down);
            if step != Step::AfterRead {
                let kept = office.clerks.iter().map(|clerk| clerk.fold.offer());
                assert!(kept.eq(before.iter().copied()), "{name}: the state moves");
            }
            office.readable = true;
            office.run(WITHIN, &mut healthy);
            let accepted = Answer::Accepted { version: Offset(3) };
            let expected = match step {
                Step::AfterRead => accepted.clone(),
                _ if outage < PATIENCE => accepted.clone(),
                _ => Answer::Unknown { id },
            };
            assert_eq!(office.answer(&id), Some(&expected), "{name}");
            // The operator asks again by the id, through another instance.
            let age = outage + WITHIN;
            let origin = Origin::Repeat { age };
            office.submit(1, id, &change, origin, PATIENCE, &mut healthy);
            office.run(WITHIN, &mut healthy);
            let lost = step == Step::BeforeAppend && age > MAX_RETRY_TIME;
            let expected = if lost { Answer::Unknown { id } } else { accepted };
            assert_eq!(office.answer(&id), Some(&expected), "{name}");
            office.check();
            for clerk in &office.clerks {
                let timeout = clerk.fold.snapshot().services["s"].body.timeout_ms;
                assert_eq!(timeout == 9, !lost, "{name}");
                assert!(!clerk.fold.alarms().any(), "{name}");
            }
        }
    }
}

#[test]
fn a_checkpoint_at_each_chunk() {
    let mut log = Log::default();
    let mut fold = seeded(&mut log);
    for n in 0..600 {
        log.append(id(1, n), &put(Kind::Customer, &format!("c{n}"), None, customer(n)));
    }
    log.read_into(&mut fold);
    let chunks = fold.checkpoint().chunks().len();
    assert!(chunks > 2);
    for outage in OUTAGES {
        for stand in 0..=chunks {
            let mut scribes = Scribes::new(4, 9);
            scribes.run(SETTING.interval, &fold);
            scribes.allowance = vec![stand; 4];
            let end = scribes.now + SETTING.spread;
            while scribes.stream.len() < stand && scribes.now < end {
                scribes.run(Duration::from_secs(1), &fold);
            }
            scribes.up = false;
            scribes.run(outage, &fold);
            scribes.up = true;
            scribes.allowance = vec![usize::MAX; 4];
            // What was about to be appended is lost; the next turn writes a whole checkpoint.
            scribes.run(2 * (SETTING.spread + SETTING.claim_timeout), &fold);
            let found = scribes.writers[3].latest();
            assert_eq!(found, Some(&fold.checkpoint()), "{outage:?} after {stand} chunks");
        }
    }
}

#[test]
fn an_instance_that_starts_while_the_log_is_out() {
    let mut log = Log::default();
    let mut peer = Node::new(seeded(&mut log));
    for outage in OUTAGES {
        // Without the log it has nothing, and says nothing of what it cannot know.
        let mut fresh = Node::new(Fold::new());
        assert!(fresh.fold.snapshot().customers.is_empty());
        gossip(&mut peer, &mut fresh);
        assert_same(&fresh.fold, &peer.fold, &format!("{outage:?}"));
        // Back comes a log from which everything that was read is trimmed.
        log.trim(log.end());
        let next = peer.fold.head(&Kind::Service, "s").map(|version| version.0);
        let sequence = outage.as_secs();
        log.append(id(1, sequence), &put(Kind::Service, "s", next, service(sequence)));
        let proved = Fold::new().try_resume(Offset(log.oldest as u64), None);
        assert!(matches!(proved, Err(start::Error::Trimmed { .. })));
        for node in [&mut fresh, &mut peer] {
            log.read_into(&mut node.fold);
            assert_eq!(node.fold.snapshot().services["s"].body.timeout_ms, sequence);
        }
    }
}
