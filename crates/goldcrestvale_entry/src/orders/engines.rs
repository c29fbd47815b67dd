use std::{net::SocketAddr, sync::Arc};

use goldcrestvale_base::{
    engine::{Desired, Held},
    id::{Offset, Upstream},
    time::Instant,
};
use goldcrestvale_ledger::lease::Action;
use goldcrestvale_upstream::{
    Error,
    message::{Order, Orders},
};
use log::{info, warn};

use crate::node::Node;

/// What came of an action.
#[derive(Debug)]
pub(super) enum Done {
    /// The engine was read.
    Read { engine: Upstream, desired: Desired, met: bool },
    /// The engine could not be read.
    Unread(Upstream),
    /// The engine answered an order.
    Answered(Upstream),
    /// The answer to an order was lost, or the engine refused it.
    Lost(Upstream),
}

/// Does an action for an engine, under a lease that lasts until an instant.
pub(super) async fn act(
    node: Arc<Node>,
    address: SocketAddr,
    desired: Option<Desired>,
    action: Action<Desired>,
    until: Instant,
) -> Done {
    match action {
        Action::Read(engine) => match desired {
            Some(desired) => read(&node, address, engine, desired).await,
            None => Done::Unread(engine),
        },
        Action::Send { engine, fence, desired } => {
            // The process may have been paused since the lease was looked at.
            if node.clock.now() + node.settings.orders.delay > until {
                return Done::Lost(engine);
            }
            send(&node, address, engine, fence, desired).await
        }
    }
}

async fn read(node: &Node, address: SocketAddr, engine: Upstream, desired: Desired) -> Done {
    match node.engines.orders(address, node.settings.upstream.load_timeout).await {
        Ok(orders) => {
            let met = is_met(&desired, &orders);
            Done::Read { engine, desired, met }
        }
        Err(e) => {
            warn!(upstream:% = engine, error:% = e; "engine cannot be read before an order");
            Done::Unread(engine)
        }
    }
}

async fn send(
    node: &Node,
    address: SocketAddr,
    engine: Upstream,
    fence: Offset,
    desired: Desired,
) -> Done {
    let token = node.settings.orders.token.clone();
    let order = Order { fence, token, desired };
    let limit = node.settings.orders.delay;
    match node.engines.order(address, &order, limit).await {
        Ok(()) => {
            info!(upstream:% = engine, fence = fence.0, desired:? = order.desired; "order taken");
            Done::Answered(engine)
        }
        Err(e) => {
            let refused = matches!(e, Error::Refused { .. });
            warn!(upstream:% = engine, fence = fence.0, refused, error:% = e; "order not answered");
            Done::Lost(engine)
        }
    }
}

/// Returns whether an engine holds what is desired, or is loading it.
fn is_met(desired: &Desired, orders: &Orders) -> bool {
    let same = |held: &Held, wanted: &Held| {
        let Held { model, version, layers, adapters } = wanted;
        held.model == *model
            && held.version == *version
            && held.layers == *layers
            && adapters.iter().all(|adapter| held.adapters.contains(adapter))
    };
    match desired {
        Desired::Load(wanted) => {
            orders.holds.iter().chain(&orders.loading).any(|held| same(held, wanted))
        }
        Desired::Unload(model) => {
            !orders.holds.iter().chain(&orders.loading).any(|held| held.model == *model)
        }
        Desired::Role(role) => orders.role == *role,
    }
}
