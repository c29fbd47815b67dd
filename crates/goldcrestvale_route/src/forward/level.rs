//! Service levels: what the routes of a service promise their callers.

use std::{
    collections::{BTreeSet, HashMap},
    sync::Arc,
    time::Duration,
};

use goldcrestvale_base::id::Service;

use super::{Customer, Kind, Route};

/// Least urgent priority; larger values count as this one.
pub const MAX_PRIORITY: u8 = 9;

goldcrestvale_base::domain! {
    copy
    /// What a stream route promises its callers.
    pub struct Level {
        /// Priority; 0 is the highest.
        pub priority: u8,
        /// Target time to the first event.
        pub target: Duration,
        /// Maximum pause between events that still counts as on time.
        pub target_gap: Option<Duration>,
    }
}

impl Level {
    /// Returns the level of a route.
    pub fn of(route: &Route) -> Self {
        Self {
            priority: route.priority.min(MAX_PRIORITY),
            target: route.target,
            target_gap: route.target_gap,
        }
    }
}

/// Returns the distinct levels of the stream routes of each service, the most urgent first.
pub(super) fn levels(routes: &[Arc<Route>]) -> HashMap<Service, Vec<Level>> {
    let mut levels: HashMap<Service, BTreeSet<Level>> = HashMap::new();
    for route in routes.iter().filter(|route| route.kind == Kind::Stream) {
        for share in route.split.iter().filter(|share| share.weight > 0) {
            levels.entry(share.service.clone()).or_default().insert(Level::of(route));
        }
    }
    levels.into_iter().map(|(service, set)| (service, set.into_iter().collect())).collect()
}

/// The priority of a stream: that of its customer, or of its route if the customer has none, then that
/// of its route.
pub(super) type Precedence = (u8, u8);

/// Returns the precedence of a stream. Streams of customers that are equally urgent are ordered by
/// their routes.
pub(super) fn precedence(customer: Option<u8>, route: u8) -> Precedence {
    let route = route.min(MAX_PRIORITY);
    (customer.map_or(route, |customer| customer.min(MAX_PRIORITY)), route)
}

/// Returns the distinct precedences at a service with these levels, the most urgent first.
pub(super) fn precedences(levels: &[Level], customers: &[Customer]) -> Vec<Precedence> {
    let by_customer: BTreeSet<Option<u8>> =
        customers.iter().map(|customer| customer.priority).chain([None]).collect();
    let pairs = levels
        .iter()
        .flat_map(|level| by_customer.iter().map(|customer| precedence(*customer, level.priority)));
    pairs.collect::<BTreeSet<_>>().into_iter().collect()
}
