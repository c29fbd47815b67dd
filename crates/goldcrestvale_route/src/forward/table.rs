//! Lookup of routes and customers.

use std::{collections::HashMap, sync::Arc};

use goldcrestvale_base::id::Service;
use snafu::Snafu;

use super::{
    Bounds, Configuration, Customer, Level, MAX_PRIORITY, Pool, Route,
    level::{Precedence, levels, precedence, precedences},
};

/// The result of a lookup.
pub type Result<T> = std::result::Result<T, Refusal>;

/// The reason why a request cannot be routed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Snafu)]
pub enum Refusal {
    /// No route has the host and a prefix of the path.
    #[snafu(display("no route matches the host and path"))]
    NoRoute,
    /// The credential is missing, or no customer has it.
    #[snafu(display("the credential is missing or unknown"))]
    Credential,
}

/// A version of the configuration, indexed for lookups.
///
/// # Examples
///
/// ```
/// use goldcrestvale_route::forward::{Refusal, Table};
///
/// let table = Table::default();
/// assert_eq!(table.find("a.example", "/x/").unwrap_err(), Refusal::NoRoute);
/// ```
#[derive(Debug, Clone, Default)]
pub struct Table {
    version: u64,
    /// Routes by host, longest prefix first.
    hosts: HashMap<String, Vec<Arc<Route>>>,
    pools: HashMap<Service, Arc<Pool>>,
    customers: Option<HashMap<String, Arc<Customer>>>,
    levels: HashMap<Service, Vec<Level>>,
    precedences: HashMap<Service, Vec<Precedence>>,
    source: Option<Arc<Configuration>>,
}

impl Table {
    /// Indexes a version of the configuration.
    pub fn new(configuration: impl Into<Arc<Configuration>>) -> Self {
        let configuration = configuration.into();
        let levels = levels(&configuration.routes);
        let customers = configuration.customers.as_deref().unwrap_or_default();
        let precedences = levels
            .iter()
            .map(|(service, levels)| (service.clone(), precedences(levels, customers)))
            .collect();
        let mut hosts: HashMap<String, Vec<Arc<Route>>> = HashMap::new();
        for route in &configuration.routes {
            hosts.entry(route.host.to_ascii_lowercase()).or_default().push(route.clone());
        }
        for routes in hosts.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
        }
        let pools = configuration.pools.iter().cloned();
        let customers = configuration.customers.as_ref().map(|customers| {
            let mut by_credential = HashMap::new();
            for customer in customers.iter().cloned().map(Arc::new) {
                let credentials = customer.credentials.iter().cloned();
                by_credential.extend(credentials.map(|credential| (credential, customer.clone())));
            }
            by_credential
        });
        Self {
            version: configuration.version,
            hosts,
            pools: pools.map(|pool| (pool.service.clone(), Arc::new(pool))).collect(),
            customers,
            levels,
            precedences,
            source: Some(configuration),
        }
    }

    /// Returns the indexed configuration; `None` before the first version.
    pub fn source(&self) -> Option<&Arc<Configuration>> {
        self.source.as_ref()
    }

    /// Returns the limits on what callers may send; `None` before the first version.
    pub fn bounds(&self) -> Option<&Bounds> {
        self.source.as_ref().map(|source| &source.bounds)
    }

    /// Returns the version of the configuration; 0 before the first one.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns the upstream pool of a service.
    pub fn pool(&self, service: &Service) -> Option<&Arc<Pool>> {
        self.pools.get(service)
    }

    /// Returns the distinct service levels of the stream routes of a service, the most urgent first.
    ///
    /// Streams of a service with a single level are all alike to their callers. Priorities,
    /// customers' shares and expected sizes only count where there are two levels or more.
    pub fn service_levels(&self, service: &Service) -> &[Level] {
        self.levels.get(service).map_or(&[], Vec::as_slice)
    }

    /// Returns the rank of a stream at a service, 0 for the most urgent one. A customer's priority
    /// goes before the route's, and the route's decides between customers that are equally urgent.
    pub fn rank(&self, service: &Service, customer: Option<&Customer>, route: &Route) -> u8 {
        let own = precedence(customer.and_then(|customer| customer.priority), route.priority);
        let precedences = self.precedences.get(service).map_or(&[][..], Vec::as_slice);
        let ahead = precedences.partition_point(|other| *other < own);
        u8::try_from(ahead).unwrap_or(MAX_PRIORITY).min(MAX_PRIORITY)
    }

    /// Finds the route with the longest prefix of a path; a port in the host is ignored.
    ///
    /// # Errors
    ///
    /// Fails with [`Refusal::NoRoute`] if none matches.
    pub fn find(&self, host: &str, path: &str) -> Result<&Arc<Route>> {
        let host = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let routes = match self.hosts.get(host) {
            Some(routes) => Some(routes),
            None => self.hosts.get(&host.to_ascii_lowercase()),
        };
        let matching = |route: &&Arc<Route>| path.starts_with(&route.prefix);
        routes.and_then(|routes| routes.iter().find(matching)).ok_or(Refusal::NoRoute)
    }

    /// Finds the customer of a request; `None` if the route needs no credential.
    ///
    /// # Errors
    ///
    /// Fails with [`Refusal::Credential`] if a credential is needed and is missing or unknown.
    pub fn customer(
        &self,
        route: &Route,
        credential: Option<&str>,
    ) -> Result<Option<&Arc<Customer>>> {
        let Some(customers) = &self.customers else { return Ok(None) };
        match credential.and_then(|credential| customers.get(credential)) {
            Some(customer) => Ok(Some(customer)),
            None if route.public => Ok(None),
            None => Err(Refusal::Credential),
        }
    }

    /// Picks the service of a request by weight; `point` is a random number in `0..1`.
    pub fn pick<'r>(&self, route: &'r Route, point: f64) -> Option<&'r Service> {
        let total: u32 = route.split.iter().map(|share| share.weight).sum();
        let mut remaining = point * f64::from(total);
        for share in &route.split {
            remaining -= f64::from(share.weight);
            if remaining < 0.0 {
                return Some(&share.service);
            }
        }
        route.split.last().map(|share| &share.service)
    }
}
