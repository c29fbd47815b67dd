//! Connections beyond the maximum: which one gives way.

use std::{collections::BTreeSet, time::Duration};

use goldcrestvale_base::time::Instant;
use goldcrestvale_route::intake::{Connection, Connections, Machine, Opening};
use proptest::prelude::*;

fn at(millis: u64) -> Instant {
    Instant(0) + Duration::from_millis(millis)
}

fn open(connections: &mut Connections, millis: u64) -> Connection {
    match connections.open(at(millis)) {
        Opening::Open(connection) => connection,
        other => panic!("no place: {other:?}"),
    }
}

#[test]
fn silent_connection_gives_way_first() {
    let mut connections = Connections::new(3);
    let idle = open(&mut connections, 0);
    connections.set_busy(idle);
    connections.set_idle(idle, at(10));
    let silent = open(&mut connections, 20);
    let busy = open(&mut connections, 30);
    connections.set_busy(busy);
    assert_eq!(connections.open(at(1_000)), Opening::Wait(silent));
    assert_eq!(connections.open(at(1_000)), Opening::Wait(idle));
    assert_eq!(connections.open(at(1_000)), Opening::Full);
    connections.close(silent);
    assert!(matches!(connections.open(at(1_000)), Opening::Open(_)));
}

#[test]
fn new_connection_may_send_its_request() {
    let mut connections = Connections::new(1);
    let silent = open(&mut connections, 0);
    assert_eq!(connections.open(at(100)), Opening::Full);
    assert_eq!(connections.open(at(600)), Opening::Wait(silent));
}

#[test]
fn multiplexed_connections_have_a_maximum() {
    let mut connections = Connections::new(4).with_multiplexed(1);
    let silent = open(&mut connections, 0);
    let first = open(&mut connections, 0);
    let second = open(&mut connections, 0);
    assert_eq!(connections.multiplex(at(0), first), Opening::Open(first));
    assert_eq!(connections.multiplex(at(0), first), Opening::Open(first));
    assert_eq!(connections.multiplex(at(0), second), Opening::Full);
    // Only another multiplexed connection gives way.
    assert_eq!(connections.multiplex(at(1_000), second), Opening::Wait(first));
    assert_eq!(connections.multiplex(at(1_000), second), Opening::Full);
    connections.close(first);
    assert_eq!(connections.multiplex(at(1_000), second), Opening::Open(second));
    connections.set_busy(second);
    assert_eq!(connections.multiplex(at(2_000), silent), Opening::Full);
    assert_eq!((connections.len(), connections.multiplexed()), (2, 1));
}

#[test]
fn machine_bounds_connections() {
    let table = [
        (160_000_000, 4_100, 976, 19, 487),
        (260_000_000, 4_200, 1_586, 30, 500),
        (390_000_000, 6_150, 2_380, 46, 743),
        (64_000_000, 100, 1, 1, 1),
    ];
    for (memory_bytes, descriptors, connections, multiplexed, peers) in table {
        let machine = Machine { memory_bytes, descriptors };
        assert_eq!(machine.connections(), connections, "{machine:?}");
        assert_eq!(machine.multiplexed_connections(), multiplexed, "{machine:?}");
        assert_eq!(machine.peer_connections(), peers, "{machine:?}");
    }
}

#[derive(Debug, Clone, Copy)]
enum Step {
    Open,
    Multiplex(usize),
    Busy(usize),
    Idle(usize),
    Close(usize),
    Pass(u64),
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = prop_oneof![
        3 => Just(Step::Open),
        2 => any::<usize>().prop_map(Step::Multiplex),
        2 => any::<usize>().prop_map(Step::Busy),
        2 => any::<usize>().prop_map(Step::Idle),
        2 => any::<usize>().prop_map(Step::Close),
        1 => (0..2_000_u64).prop_map(Step::Pass),
    ];
    prop::collection::vec(step, 1..200)
}

proptest! {
    #[test]
    fn drawn_orders(max in 1..8_usize, max_multiplexed in 0..4_usize, steps in steps()) {
        let mut connections = Connections::new(max).with_multiplexed(max_multiplexed);
        let mut multiplexed: BTreeSet<Connection> = BTreeSet::new();
        let mut open: BTreeSet<Connection> = BTreeSet::new();
        let mut busy: BTreeSet<Connection> = BTreeSet::new();
        let mut closing: BTreeSet<Connection> = BTreeSet::new();
        let mut now = 0;
        for step in steps {
            let nth = |index: usize| open.iter().nth(index % open.len().max(1)).copied();
            match step {
                Step::Open => match connections.open(at(now)) {
                    Opening::Open(connection) => {
                        prop_assert!(open.insert(connection));
                    }
                    Opening::Wait(connection) => {
                        prop_assert!(open.len() == max && open.contains(&connection));
                        prop_assert!(!busy.contains(&connection));
                        prop_assert!(closing.insert(connection));
                    }
                    Opening::Full => prop_assert_eq!(open.len(), max),
                },
                Step::Multiplex(index) => if let Some(connection) = nth(index) {
                    match connections.multiplex(at(now), connection) {
                        Opening::Open(granted) => {
                            prop_assert_eq!(granted, connection);
                            multiplexed.insert(connection);
                        }
                        Opening::Wait(other) => {
                            prop_assert!(multiplexed.contains(&other) && other != connection);
                            prop_assert!(!busy.contains(&other));
                            prop_assert!(closing.insert(other));
                        }
                        Opening::Full => prop_assert_eq!(multiplexed.len(), max_multiplexed),
                    }
                },
                Step::Busy(index) => if let Some(connection) = nth(index) {
                    connections.set_busy(connection);
                    if !closing.contains(&connection) {
                        busy.insert(connection);
                    }
                },
                Step::Idle(index) => if let Some(connection) = nth(index) {
                    connections.set_idle(connection, at(now));
                    busy.remove(&connection);
                },
                Step::Close(index) => if let Some(connection) = nth(index) {
                    connections.close(connection);
                    open.remove(&connection);
                    busy.remove(&connection);
                    closing.remove(&connection);
                    multiplexed.remove(&connection);
                },
                Step::Pass(millis) => now += millis,
            }
            prop_assert_eq!(connections.len(), open.len());
            prop_assert!(open.len() <= max);
            prop_assert_eq!(connections.multiplexed(), multiplexed.len());
            prop_assert!(multiplexed.len() <= max_multiplexed);
        }
    }
}
