//! Leaving upstreams: any source suffices, the mark is sticky, and it reaches every instance.
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

/// Maximum time from the first instance that marks an upstream as leaving to the last.
const MAX_PROPAGATION: Duration = Duration::from_secs(3);

/// Lag of the platform's list.
const LIST_LAG: Duration = Duration::from_secs(30);

fn without_gossip(settings: Settings) -> Settings {
    settings.gossip(Duration::from_secs(3_600))
}

fn default_settings(settings: Settings) -> Settings {
    settings
}

/// Twelve instances of one failure domain, and two of another.
fn start_cluster(seed: u64, configure: fn(Settings) -> Settings) -> Cluster {
    let mut names = vec!["bole"; 12];
    names.extend(["yeka"; 2]);
    let mut cluster = Cluster::start(seed, &names, configure);
    cluster.run(5 * SECOND);
    let at = wall(cluster.now);
    for index in 0..names.len() {
        let (upstream, incarnation) = (upstream("engine-1"), "a1".into());
        cluster.feed(index, Event::IncarnationReported { upstream, incarnation, at });
    }
    cluster
}

fn all_marked(cluster: &Cluster) -> bool {
    cluster.alive().all(|index| cluster.is_leaving(index, "engine-1"))
}

/// Returns the incarnation that a source reports; the list and operators report none.
fn reported_incarnation(source: Source) -> Option<&'static str> {
    matches!(source, Source::Report | Source::Refusal).then_some("a1")
}

#[test]
fn each_source_alone_reaches_every_instance_at_once() {
    for source in SOURCES {
        // Without gossip, so that only the forwarded message can spread the mark.
        let mut cluster = start_cluster(1, without_gossip);
        let mark = mark("engine-1", reported_incarnation(source), source, cluster.now);
        cluster.feed(0, Event::Leaving(mark));
        let took = cluster.run_until(MAX_PROPAGATION, all_marked);
        assert!(took < 100 * MS, "{source:?} took {took:?}");
        cluster.run(600 * SECOND);
        assert!(all_marked(&cluster));
    }
}

#[test]
fn all_sources_together_cause_one_notice() {
    let mut cluster = start_cluster(2, without_gossip);
    for (index, source) in SOURCES.into_iter().enumerate() {
        let mark = mark("engine-1", reported_incarnation(source), source, cluster.now);
        cluster.feed(index, Event::Leaving(mark));
    }
    cluster.run(MAX_PROPAGATION);
    assert!(all_marked(&cluster));
    for index in 0..14 {
        let leaving = |notice: &Notice| matches!(notice, Notice::Leaving(_));
        let notices =
            cluster.notices.iter().filter(|sent| sent.node == index && leaving(&sent.notice));
        assert_eq!(notices.count(), 1, "instance {index}");
    }
}

#[test]
fn mark_reaches_all_in_time_despite_lost_messages_and_a_crash() {
    for seed in 0..8 {
        let mut cluster = start_cluster(10 + seed, default_settings);
        cluster.loss = 0.2;
        cluster.partition(&[11]);
        let mark = mark("engine-1", Some("a1"), Source::Refusal, cluster.now);
        cluster.feed(0, Event::Leaving(mark));
        cluster.run(MS / 2);
        cluster.kill(0);
        cluster.run(MAX_PROPAGATION);
        for index in (1..11).chain(12..14) {
            assert!(cluster.is_leaving(index, "engine-1"), "seed {seed}, instance {index}");
        }
    }
}

#[test]
fn late_joiner_and_rejoined_partition_receive_marks_on_connecting() {
    let mut cluster = start_cluster(3, without_gossip);
    cluster.partition(&[11]);
    cluster.kill(10);
    cluster.run(10 * SECOND);
    let mark = mark("engine-1", Some("a1"), Source::Report, cluster.now);
    cluster.feed(0, Event::Leaving(mark));
    cluster.run(10 * SECOND);
    assert!(!cluster.is_leaving(11, "engine-1"));
    cluster.partitions.clear();
    cluster.boot(10);
    cluster.list(10, &[0, 1, 2, 11]);
    let took = cluster.run_until(10 * SECOND, all_marked);
    assert!(took < 6 * SECOND, "{took:?}");
}

#[test]
fn lagging_list_alone_suffices_and_does_not_mark_the_next_incarnation() {
    let mut set = Set::default();
    let engine = upstream("engine-1");
    let left = Instant(100_000_000);
    set.record_incarnation(Instant(0), Wall(0), &engine, "a1");
    // The list reports it half a minute late; the old incarnation is still current.
    let listed = mark("engine-1", None, Source::List, left);
    assert!(set.mark(left + LIST_LAG, &listed).is_some());
    assert!(set.contains(&engine));
    // The next incarnation starts while the list still describes the old one.
    let started = left + LIST_LAG + SECOND;
    set.record_incarnation(started, wall(started), &engine, "a2");
    for second in 1..30 {
        let described = started + SECOND * second - LIST_LAG;
        let stale = mark("engine-1", None, Source::List, described);
        assert!(set.mark(started + SECOND * second, &stale).is_none());
        assert!(!set.contains(&engine), "after {second} s");
    }
    // Once the list describes the next incarnation, its report applies.
    let fresh = mark("engine-1", None, Source::List, started + SECOND);
    assert!(set.mark(started + LIST_LAG + SECOND, &fresh).is_some());
    assert!(set.contains(&engine));
}

#[test]
fn delayed_report_does_not_revive_an_ended_incarnation() {
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
fn mark_before_the_first_report_applies_to_the_next_reported_incarnation() {
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
fn marks_are_removed_after_their_retention() {
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
    /// A source reports that the current incarnation is leaving, or that it is not.
    Report { source: usize, leaving: bool },
    /// The upstream restarts.
    Restart,
    /// Time passes.
    Wait(u64),
    /// A report of the previous incarnation arrives late.
    DelayedReport,
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => (0..SOURCES.len(), any::<bool>())
            .prop_map(|(source, leaving)| Step::Report { source, leaving }),
        1 => Just(Step::Restart),
        2 => (1_u64..40_000).prop_map(Step::Wait),
        1 => Just(Step::DelayedReport),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 512,
        rng_seed: RngSeed::Fixed(21),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Sources contradict each other and flap; an incarnation that any source reported as leaving
    /// stays so.
    #[test]
    fn leaving_is_sticky_for_an_incarnation_and_never_passes_to_the_next(
        steps in prop::collection::vec(step(), 1..60),
    ) {
        let mut set = Set::default();
        let engine = upstream("engine-1");
        let (mut now, mut restarts, mut leaving) = (Instant(50_000_000), 0, false);
        set.record_incarnation(now, wall(now), &engine, "incarnation-0");
        for step in steps {
            match step {
                // The set has no input for a source that reports the opposite.
                Step::Report { leaving: false, .. } => {}
                Step::Report { source, leaving: true } => {
                    let name = format!("incarnation-{restarts}");
                    let reported = reported_incarnation(SOURCES[source]).map(|_| name.as_str());
                    set.mark(now, &mark("engine-1", reported, SOURCES[source], now));
                    leaving = true;
                }
                Step::Restart => {
                    restarts += 1;
                    now = now + MS;
                    set.record_incarnation(
                        now,
                        wall(now),
                        &engine,
                        &format!("incarnation-{restarts}"),
                    );
                    leaving = false;
                }
                Step::Wait(millis) => now = now + MS * u32::try_from(millis).unwrap(),
                Step::DelayedReport if restarts > 0 => {
                    let delayed = format!("incarnation-{}", restarts - 1);
                    set.record_incarnation(now, wall(now), &engine, &delayed);
                    set.mark(now, &mark("engine-1", Some(&delayed), Source::Report, now));
                }
                Step::DelayedReport => {}
            }
            set.sweep(now);
            prop_assert_eq!(set.contains(&engine), leaving, "after {:?}", step);
        }
    }
}
