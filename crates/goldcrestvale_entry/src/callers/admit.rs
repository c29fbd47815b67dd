//! Asking for admission of drafts and calls.

use goldcrestvale_base::time::Instant;
use goldcrestvale_route::admission::Request;

use super::auth::Caller;
use crate::{
    admission::{Admission, Slot},
    node::Node,
    refusal::Result,
};

/// What admission needs to know of a request besides its caller.
#[derive(Debug, Clone, Copy)]
pub(super) struct Need {
    /// Priority, unless the caller asks for another one.
    pub(super) priority: u8,
    /// When the request must have ended.
    pub(super) until: Instant,
    /// Expected work, in the unit of the queue.
    pub(super) cost: u32,
}

/// Waits for a slot in a queue.
pub(super) async fn enter(
    node: &Node,
    queue: &Admission,
    caller: &Caller,
    need: Need,
) -> Result<Slot> {
    let config = node.config.load_full();
    let customer = config.customers.get(&caller.customer);
    let (weight, most) = customer.map_or((1, u32::MAX), |c| (c.body.weight, c.body.max_in_flight));
    let ask = Request::new(caller.customer.clone(), need.until)
        .weight(weight)
        .max_running(most)
        .priority(caller.priority.unwrap_or(need.priority))
        .cost(need.cost);
    let asked = node.clock.now();
    let slot = queue.enter(ask).await?;
    let waited = node.clock.now().since(asked);
    node.metrics.wait.record(waited.as_secs_f64(), &[]);
    Ok(slot)
}
