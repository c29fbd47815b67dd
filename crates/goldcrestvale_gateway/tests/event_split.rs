//! Splitting of byte streams into complete events.

use goldcrestvale_gateway::Splitter;
use proptest::prelude::*;

fn stream(from: u64, to: u64) -> Vec<u8> {
    let events = (from..=to).map(|id| format!("id: {id}\ndata: token {id}\n\n"));
    events.collect::<String>().into_bytes()
}

#[test]
fn duplicate_events_are_dropped() {
    let mut splitter = Splitter::new(Some(4));
    assert_eq!(&splitter.push(&stream(3, 6))[..], &stream(5, 6)[..]);
    assert_eq!(splitter.last_id(), Some(6));
}

#[test]
fn events_after_gap_are_withheld() {
    let mut splitter = Splitter::new(None);
    splitter.push(&stream(1, 3));
    assert!(splitter.push(&stream(5, 6)).is_empty());
    assert!(splitter.has_gap());
    splitter.discard_partial();
    assert_eq!(&splitter.push(&stream(4, 4))[..], &stream(4, 4)[..]);
}

#[test]
fn lines_without_id_pass_through() {
    let mut splitter = Splitter::new(None);
    let bytes = b": comment\n\nid:1\ndata: a\n\n";
    assert_eq!(&splitter.push(bytes)[..], &bytes[..]);
    assert_eq!(splitter.last_id(), Some(1));
}

proptest! {
    // However the bytes are split into pieces, and wherever the stream breaks off and resumes, the
    // caller gets every event once and in order.
    #[test]
    fn events_survive_any_splits_and_breaks(
        events in 1_u64..30,
        cuts in prop::collection::vec(1_usize..40, 1..40),
        breaks in prop::collection::vec(0_usize..400, 0..4),
    ) {
        let mut splitter = Splitter::new(None);
        let mut received = Vec::new();
        for at in breaks.into_iter().map(Some).chain([None]) {
            let missing = stream(splitter.last_id().unwrap_or(0) + 1, events);
            let sent = &missing[..at.unwrap_or(missing.len()).min(missing.len())];
            let mut sizes = cuts.iter().cycle();
            let mut unread = sent;
            while !unread.is_empty() {
                let (piece, remainder) = unread
                    .split_at((*sizes.next().unwrap_or(&1)).min(unread.len()));
                received.extend_from_slice(&splitter.push(piece));
                unread = remainder;
            }
            splitter.discard_partial();
        }
        prop_assert_eq!(received, stream(1, events));
    }
}
