//! The upstreams on which a request may have run.

use goldcrestvale_route::retry::{Run, Runs};

fn run(name: &str) -> Run {
    Run {
        upstream: name.parse().expect("a name"),
        address: "127.0.0.1:7201".parse().expect("an address"),
        born_ms: None,
    }
}

#[test]
fn rejected_send_is_no_run() {
    let mut runs = Runs::default();
    runs.insert(run("a"));
    runs.insert(run("a"));
    runs.remove(&run("a").upstream);
    assert_eq!(runs.remaining(2), 1);
    assert!(!runs.is_empty());
}

// A stream was given up after its upstreams had ended, although the route allowed further ones.
#[test]
fn ended_upstreams_do_not_count() {
    let mut runs = Runs::default();
    for name in ["a", "b"] {
        runs.insert(run(name));
        runs.record_end(&run(name));
        assert_eq!(runs.remaining(1), 1);
    }
    assert!(!runs.is_empty());
    runs.record_end(&run("c"));
    runs.insert(run("c"));
    assert_eq!(runs.remaining(1), 0);
}

#[test]
fn third_end_counts() {
    // The request itself may end its upstreams.
    let mut runs = Runs::default();
    for name in ["a", "b", "c"] {
        runs.insert(run(name));
        runs.record_end(&run(name));
    }
    assert_eq!(runs.remaining(1), 0);
    assert_eq!(runs.remaining(2), 1);
}

#[test]
fn restarted_upstream_counts() {
    // An upstream that restarted under its name is another one.
    let mut runs = Runs::default();
    let [before, after] = [1, 2].map(|born_ms| Run { born_ms: Some(born_ms), ..run("a") });
    runs.insert(before.clone());
    runs.insert(after);
    runs.record_end(&before);
    assert_eq!(runs.remaining(2), 1);
}
