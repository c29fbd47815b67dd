//! Limits of chains and loans of retries in the queue of a slow peer.

use goldcrestvale_peer::queue::{PushResult, Queue};
use goldcrestvale_wire::message::{ChainLimits, ConfigAsk, RetryLoans};

/// Guards against a connection that ends because limits fill the queue of a slow peer.
#[test]
fn limits_give_way() {
    let queue = Queue::new(2, 1_024);
    for _ in 0..2 {
        assert_eq!(queue.push(ChainLimits::default().into()), PushResult::Queued);
    }
    let displaced = PushResult::Displaced { dropped: 1 };
    assert_eq!(queue.push(ChainLimits::default().into()), displaced);
    assert_eq!(queue.push(ConfigAsk::default().into()), displaced);
}

/// Guards against a connection that ends because requests for retries fill the queue of a slow peer.
#[test]
fn loans_give_way() {
    let queue = Queue::new(1, 1_024);
    assert_eq!(queue.push(RetryLoans::default().into()), PushResult::Queued);
    assert_eq!(queue.push(ConfigAsk::default().into()), PushResult::Displaced { dropped: 1 });
}
