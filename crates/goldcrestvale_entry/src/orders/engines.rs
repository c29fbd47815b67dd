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

/// The result of an action.
#[derive(Debug)]
pub(super) enum Outcome {
    /// The state of the engine was read.
    Read { engine: Upstream, desired: Desired, met: bool },
    /// The state of the engine could not be read.
    ReadFailed(Upstream),
    /// The engine answered an order.
    Answered(Upstream),
    /// The answer to an order was lost, or the engine rejected it.
    OrderLost(Upstream),
}

/// Executes an action for an engine, under a lease that is valid until `deadline`.
pub(super) async fn act(
    node: Arc<Node>,
    address: SocketAddr,
    desired: Option<Desired>,
    action: Action<Desired>,
    deadline: Instant,
) -> Outcome {
    match action {
        Action::Read(engine) => match desired {
            Some(desired) => read(&node, address, engine, desired).await,
            None => Outcome::ReadFailed(engine),
        },
        Action::Send { engine, fence, desired } => {
            // The process may have been suspended since the lease was checked.
            if node.clock.now() + node.settings.orders.delay > deadline {
                return Outcome::OrderLost(engine);
            }
            send(&node, address, engine, fence, desired).await
        }
    }
}

async fn read(node: &Node, address: SocketAddr, engine: Upstream, desired: Desired) -> Outcome {
    match node.engines.orders(address, node.settings.upstream.load_timeout).await {
        Ok(orders) => {
            let met = is_met(&desired, &orders);
            Outcome::Read { engine, desired, met }
        }
        Err(e) => {
            warn!(upstream:% = engine, error:% = e; "engine state cannot be read");
            Outcome::ReadFailed(engine)
        }
    }
}

async fn send(
    node: &Node,
    address: SocketAddr,
    engine: Upstream,
    fence: Offset,
    desired: Desired,
) -> Outcome {
    let token = node.settings.orders.token.clone();
    let order = Order { fence, token, desired };
    let timeout = node.settings.orders.delay;
    match node.engines.order(address, &order, timeout).await {
        Ok(()) => {
            info!(upstream:% = engine, fence = fence.0, desired:? = order.desired; "order accepted");
            Outcome::Answered(engine)
        }
        Err(e) => {
            let refused = matches!(e, Error::Refused { .. });
            warn!(upstream:% = engine, fence = fence.0, refused, error:% = e; "order not answered");
            Outcome::OrderLost(engine)
        }
    }
}

/// Returns whether an engine matches the desired state or is loading it.
fn is_met(desired: &Desired, orders: &Orders) -> bool {
    let matches = |held: &Held, desired: &Held| {
        let Held { model, version, layers, adapters } = desired;
        held.model == *model
            && held.version == *version
            && held.layers == *layers
            && adapters.iter().all(|adapter| held.adapters.contains(adapter))
    };
    match desired {
        Desired::Load(desired) => {
            orders.holds.iter().chain(&orders.loading).any(|held| matches(held, desired))
        }
        Desired::Unload(model) => {
            !orders.holds.iter().chain(&orders.loading).any(|held| held.model == *model)
        }
        Desired::Role(role) => orders.role == *role,
    }
}
