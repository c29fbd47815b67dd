//! The cost of a link must not follow the load of the own host: a high cost hides slow engines.

use std::time::Duration;

use goldcrestvale_entry::{
    plans::{domain_link, link_cost},
    round_trip::RoundTrips,
};

const LINK: Duration = Duration::from_millis(1);

fn samples(millis: impl IntoIterator<Item = u64>) -> RoundTrips {
    let mut samples = RoundTrips::default();
    millis.into_iter().for_each(|millis| samples.record(Duration::from_millis(millis)));
    samples
}

#[test]
fn local_load_is_ignored() {
    // Round trips on a host with more busy processes than cores.
    let loaded = samples([24, 45, 3, 19, 38, 27, 11, 40]);
    assert_eq!(loaded.lowest(), Some(Duration::from_millis(3)));
    assert_eq!(link_cost(&loaded, LINK), LINK);
}

#[test]
fn few_samples_are_no_outlier() {
    assert_eq!(link_cost(&samples([45, 38]), LINK), LINK);
}

#[test]
fn first_samples_give_the_lowest() {
    // The first samples also contain the time to connect and to start.
    let links = [samples([31]), samples([24, 9]), samples([2]), samples([17])];
    assert_eq!(domain_link(&links.each_ref()), Duration::from_millis(2));
}

#[test]
fn full_windows_give_the_median() {
    let links = [1, 3, 40].map(|millis| samples([millis; 16]));
    assert_eq!(domain_link(&links.each_ref()), Duration::from_millis(3));
}

#[test]
fn distant_upstream_is_an_outlier() {
    let distant = samples((0..16).map(|sample| 20 + sample));
    assert_eq!(link_cost(&distant, LINK), Duration::from_millis(20));
}

#[test]
fn old_samples_expire() {
    let moved = samples([1].into_iter().chain([20; 16]));
    assert_eq!(link_cost(&moved, LINK), Duration::from_millis(20));
}
