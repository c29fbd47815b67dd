//! Admission of drafts and calls of services.

use goldcrestvale_base::time::Instant;
use goldcrestvale_route::admission::Request;

use super::auth::Caller;
use crate::{
    admission::{Admission, Slot},
    node::Node,
    refusal::Result,
};

/// The properties of a request that admission considers besides its caller.
#[derive(Debug, Clone, Copy)]
pub(super) struct Requirements {
    /// Priority, unless the caller requests another one.
    pub(super) priority: u8,
    /// Time by which the request must have ended.
    pub(super) deadline: Instant,
    /// Expected work, in the cost unit of the queue.
    pub(super) cost: u32,
}

/// Waits for a slot of a queue.
pub(super) async fn enter(
    node: &Node,
    queue: &Admission,
    caller: &Caller,
    requirements: Requirements,
) -> Result<Slot> {
    let config = node.config.load_full();
    let customer = config.customers.get(&caller.customer);
    let (weight, max_running) =
        customer.map_or((1, u32::MAX), |c| (c.body.weight, c.body.max_in_flight));
    let request = Request::new(caller.customer.clone(), requirements.deadline)
        .weight(weight)
        .max_running(max_running)
        .priority(caller.priority.unwrap_or(requirements.priority))
        .cost(requirements.cost);
    let enqueued = node.clock.now();
    let slot = queue.enter(request).await?;
    let waited = node.clock.now().since(enqueued);
    node.metrics.wait.record(waited.as_secs_f64(), &[]);
    Ok(slot)
}
