//! Leaving upstreams: any source suffices, nothing takes it back, every instance learns of it.
#![allow(clippy::unwrap_used)]

mod cluster;

use std::time::Duration;

use cluster::{Cluster, MS, SECOND, mark, upstream, wall};
use goldcrestvale_base::time::{Instant, Wall};
use goldcrestvale_member::{
    leaving::{RETENTION, Set, UNSEEN_RETENTION},
    prelude::*,
};
use proptest::{prelude::*, test_runner::RngSeed};

const SOURCES: [Source; 4] = [Source::List, Source::Report, Source::Refusal, Source::Operator];

/// Longest time from the first instance that learns of it to the last.
const SPREAD: Duration = Duration::from_secs(3);

/// Lag of the platform's list.
const LIST_LAG: Duration = Duration::from_secs(30);

fn quiet_gossip(settings: Settings) -> Settings {
    settings.gossip(Duration::from_secs(3_600))
}

fn same(settings: Settings) -> Settings {
    settings
}

/// Twelve instances of one failure domain, and two of another.
fn domain(seed: u64, configure: fn(Settings) -> Settings) -> Cluster {
    let mut names = vec!["bole"; 12];
    names.extend(["yeka"; 2]);
    let mut cluster = Cluster::start(seed, &names, configure);
    cluster.run(5 * SECOND);
    let at = wall(cluster.now);
    for place in 0..names.len() {
        let (upstream, incarnation) = (upstream("engine-1"), "a1".into());
        cluster.feed(place, Event::IncarnationReported { upstream, incarnation, at });
    }
    cluster
}

fn all_know(cluster: &Cluster) -> bool {
    cluster.alive().all(|place| cluster.is_leaving(place, "engine-1"))
}

/// Incarnation that a source names; the list and operators name none.
fn named(source: Source) -> Option<&'static str> {
    matches!(source, Source::Report | Source::Refusal).then_some("a1")
}

#[test]
fn each_source_alone_reaches_every_instance_at_once() {
    for source in SOURCES {
        // Without gossip, so that only the message itself can spread it.
        let mut cluster = domain(1, quiet_gossip);
        let statement = mark("engine-1", named(source), source, cluster.now);
        cluster.feed(0, Event::Leaving(statement));
        let took = cluster.run_until(SPREAD, all_know);
        assert!(took < 100 * MS, "{source:?} took {took:?}");
        cluster.run(600 * SECOND);
        assert!(all_know(&cluster));
    }
}

#[test]
fn all_sources_together_are_told_once() {
    let mut cluster = domain(2, quiet_gossip);
    for (place, source) in SOURCES.into_iter().enumerate() {
        let statement = mark("engine-1", named(source), source, cluster.now);
        cluster.feed(place, Event::Leaving(statement));
    }
    cluster.run(SPREAD);
    assert!(all_know(&cluster));
    for place in 0..14 {
        let leaving = |notice: &Notice| matches!(notice, Notice::Leaving(_));
        let told = cluster.told.iter().filter(|told| told.node == place && leaving(&told.notice));
        assert_eq!(told.count(), 1, "instance {place}");
    }
}

#[test]
fn lost_messages_and_a_death_on_the_way_still_reach_all_in_time() {
    for seed in 0..8 {
        let mut cluster = domain(10 + seed, same);
        cluster.loss = 0.2;
        cluster.cut_off(&[11]);
        let statement = mark("engine-1", Some("a1"), Source::Refusal, cluster.now);
        cluster.feed(0, Event::Leaving(statement));
        cluster.run(MS / 2);
        cluster.kill(0);
        cluster.run(SPREAD);
        for place in (1..11).chain(12..14) {
            assert!(cluster.is_leaving(place, "engine-1"), "seed {seed}, instance {place}");
        }
    }
}

#[test]
fn a_late_joiner_and_a_healed_cut_learn_it_by_connecting() {
    let mut cluster = domain(3, quiet_gossip);
    cluster.cut_off(&[11]);
    cluster.kill(10);
    cluster.run(10 * SECOND);
    let statement = mark("engine-1", Some("a1"), Source::Report, cluster.now);
    cluster.feed(0, Event::Leaving(statement));
    cluster.run(10 * SECOND);
    assert!(!cluster.is_leaving(11, "engine-1"));
    cluster.cut.clear();
    cluster.boot(10);
    cluster.list(10, &[0, 1, 2, 11]);
    let took = cluster.run_until(10 * SECOND, all_know);
    assert!(took < 6 * SECOND, "{took:?}");
}

#[test]
fn the_list_alone_suffices_though_it_lags_and_spares_the_next_life() {
    let mut set = Set::default();
    let engine = upstream("engine-1");
    let left = Instant(100_000_000);
    set.record_incarnation(Instant(0), Wall(0), &engine, "a1");
    // The list says so half a minute late; the old life is still there.
    let listed = mark("engine-1", None, Source::List, left);
    assert!(set.mark(left + LIST_LAG, &listed).is_some());
    assert!(set.contains(&engine));
    // The next life starts while the list still describes the old one.
    let started = left + LIST_LAG + SECOND;
    set.record_incarnation(started, wall(started), &engine, "a2");
    for second in 1..30 {
        let described = started + SECOND * second - LIST_LAG;
        let stale = mark("engine-1", None, Source::List, described);
        assert!(set.mark(started + SECOND * second, &stale).is_none());
        assert!(!set.contains(&engine), "after {second} s");
    }
    // Once the list describes the next life, it counts.
    let fresh = mark("engine-1", None, Source::List, started + SECOND);
    assert!(set.mark(started + LIST_LAG + SECOND, &fresh).is_some());
    assert!(set.contains(&engine));
}

#[test]
fn a_late_report_does_not_bring_an_ended_life_back() {
    let mut set = Set::default();
    let engine = upstream("engine-1");
    set.record_incarnation(Instant(0), Wall(0), &engine, "a1");
    set.record_incarnation(Instant(1), Wall(1), &engine, "a2");
    set.record_incarnation(Instant(2), Wall(2), &engine, "a1");
    assert!(
        set.mark(Instant(3), &mark("engine-1", Some("a1"), Source::Report, Instant(3))).is_none()
    );
    assert!(!set.contains(&engine));
    assert!(
        set.mark(Instant(4), &mark("engine-1", Some("a2"), Source::Report, Instant(4))).is_some()
    );
    assert!(set.contains(&engine));
}

#[test]
fn a_statement_before_the_first_report_counts_for_the_life_that_is_seen_next() {
    let mut set = Set::default();
    let engine = upstream("engine-1");
    let listed = mark("engine-1", None, Source::List, Instant(0));
    assert!(set.mark(Instant(0), &listed).is_some());
    assert!(set.contains(&engine));
    set.record_incarnation(Instant(1), Wall(1), &engine, "a1");
    assert!(set.contains(&engine));
    assert_eq!(set.sources(&engine), [Source::List]);
}

#[test]
fn marks_are_dropped_once_nothing_refers_to_them() {
    let mut set = Set::default();
    let (engine, unseen) = (upstream("engine-1"), upstream("engine-2"));
    set.record_incarnation(Instant(0), Wall(0), &engine, "a1");
    set.mark(Instant(0), &mark("engine-1", Some("a1"), Source::Report, Instant(0)));
    set.mark(Instant(0), &mark("engine-2", Some("b1"), Source::Report, Instant(0)));
    set.remove(Instant(0), &engine);
    set.sweep(Instant(0) + RETENTION - MS);
    assert!(set.contains(&engine) && set.contains(&unseen));
    set.sweep(Instant(0) + RETENTION);
    assert!(!set.contains(&engine) && set.contains(&unseen));
    set.sweep(Instant(0) + UNSEEN_RETENTION);
    assert_eq!(set.marks().count(), 0);
}

#[derive(Debug, Clone, Copy)]
enum Step {
    /// A source says that the present life leaves, or that it does not.
    Say { source: usize, leaving: bool },
    /// The upstream restarts.
    Restart,
    /// Time passes.
    Wait(u64),
    /// A report of the life before comes late.
    LateReport,
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => (0..SOURCES.len(), any::<bool>())
            .prop_map(|(source, leaving)| Step::Say { source, leaving }),
        1 => Just(Step::Restart),
        2 => (1_u64..40_000).prop_map(Step::Wait),
        1 => Just(Step::LateReport),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 512,
        rng_seed: RngSeed::Fixed(21),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Sources contradict each other and flap; a life that any called leaving stays so.
    #[test]
    fn leaving_is_sticky_for_a_life_and_never_passes_to_the_next(
        steps in prop::collection::vec(step(), 1..60),
    ) {
        let mut set = Set::default();
        let engine = upstream("engine-1");
        let (mut now, mut life, mut leaving) = (Instant(50_000_000), 0, false);
        set.record_incarnation(now, wall(now), &engine, "life-0");
        for step in steps {
            match step {
                // A source that says the opposite has nothing to tell the set.
                Step::Say { leaving: false, .. } => {}
                Step::Say { source, leaving: true } => {
                    let name = format!("life-{life}");
                    let named = named(SOURCES[source]).map(|_| name.as_str());
                    set.mark(now, &mark("engine-1", named, SOURCES[source], now));
                    leaving = true;
                }
                Step::Restart => {
                    life += 1;
                    now = now + MS;
                    set.record_incarnation(now, wall(now), &engine, &format!("life-{life}"));
                    leaving = false;
                }
                Step::Wait(span) => now = now + MS * u32::try_from(span).unwrap(),
                Step::LateReport if life > 0 => {
                    let late = format!("life-{}", life - 1);
                    set.record_incarnation(now, wall(now), &engine, &late);
                    set.mark(now, &mark("engine-1", Some(&late), Source::Report, now));
                }
                Step::LateReport => {}
            }
            set.sweep(now);
            prop_assert_eq!(set.contains(&engine), leaving, "after {:?}", step);
        }
    }
}
