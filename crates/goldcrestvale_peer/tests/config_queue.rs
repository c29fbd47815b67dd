//! Parts of configurations in the queue of a peer.

use goldcrestvale_peer::queue::{PushResult, Queue};
use goldcrestvale_wire::message::{ConfigAsk, ConfigState, Heartbeat, Message};

fn part(part: u32) -> Message {
    ConfigState { part, parts: 600, ..ConfigState::default() }.into()
}

/// Guards against peers that count as dead because their heartbeats wait behind a configuration.
#[test]
fn heartbeats_pass_a_configuration() {
    let queue = Queue::new(256, 1 << 20);
    for number in 0..600 {
        assert_eq!(queue.push(part(number)), PushResult::Queued);
    }
    let heartbeat = Message::from(Heartbeat::default());
    assert_eq!(queue.push(heartbeat.clone()), PushResult::Queued);
    assert_eq!(queue.len(), 601);
    assert_eq!(queue.try_pop(), Some(heartbeat));
    let parts: Vec<Message> = std::iter::from_fn(|| queue.try_pop()).collect();
    assert_eq!(parts, (0..600).map(part).collect::<Vec<_>>());
}

#[test]
fn parts_are_bounded_by_their_bytes() {
    let queue = Queue::new(256, 1_024);
    let pushed = (0..100).map(|number| queue.push(part(number)));
    assert!(pushed.last() == Some(PushResult::Full));
    assert_eq!(queue.push(ConfigAsk::default().into()), PushResult::Full);
}
