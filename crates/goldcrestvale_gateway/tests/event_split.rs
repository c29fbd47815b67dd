//! Splitting of streams into whole events.

use goldcrestvale_gateway::Splitter;
use proptest::prelude::*;

fn stream(from: u64, to: u64) -> Vec<u8> {
    let events = (from..=to).map(|id| format!("id: {id}\ndata: token {id}\n\n"));
    events.collect::<String>().into_bytes()
}

#[test]
fn repeats_are_dropped() {
    let mut splitter = Splitter::new(Some(4));
    assert_eq!(&splitter.push(&stream(3, 6))[..], &stream(5, 6)[..]);
    assert_eq!(splitter.last_id(), Some(6));
}

#[test]
fn gap_stops() {
    let mut splitter = Splitter::new(None);
    splitter.push(&stream(1, 3));
    assert!(splitter.push(&stream(5, 6)).is_empty());
    assert!(splitter.has_gap());
    splitter.discard_partial();
    assert_eq!(&splitter.push(&stream(4, 4))[..], &stream(4, 4)[..]);
}

#[test]
fn lines_without_id_pass() {
    let mut splitter = Splitter::new(None);
    let bytes = b": comment\n\nid:1\ndata: a\n\n";
    assert_eq!(&splitter.push(bytes)[..], &bytes[..]);
    assert_eq!(splitter.last_id(), Some(1));
}

proptest! {
    // However the bytes are cut, and wherever the stream breaks off and goes on, the caller gets
    // every event once and in order.
    #[test]
    fn any_cuts_and_breaks(
        events in 1_u64..30,
        cuts in prop::collection::vec(1_usize..40, 1..40),
        breaks in prop::collection::vec(0_usize..400, 0..4),
    ) {
        let mut splitter = Splitter::new(None);
        let mut got = Vec::new();
        for at in breaks.into_iter().map(Some).chain([None]) {
            let rest = stream(splitter.last_id().unwrap_or(0) + 1, events);
            let sent = &rest[..at.unwrap_or(rest.len()).min(rest.len())];
            let mut sizes = cuts.iter().cycle();
            let mut left = sent;
            while !left.is_empty() {
                let (piece, more) = left.split_at((*sizes.next().unwrap_or(&1)).min(left.len()));
                got.extend_from_slice(&splitter.push(piece));
                left = more;
            }
            splitter.discard_partial();
        }
        prop_assert_eq!(got, stream(1, events));
    }
}
