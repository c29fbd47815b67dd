//! An immutable snapshot of the upstreams that this instance knows.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicU32, Ordering},
    },
};

use goldcrestvale_base::{
    id::{Domain, Upstream},
    time::{Instant, Wall},
};
use goldcrestvale_peer::snapshot::Snapshot;
use goldcrestvale_platform::message::{Listed, Listing, Role, State};
use goldcrestvale_route::balance::Load;
use goldcrestvale_upstream::message::{self, ServiceLoad};
use log::{info, warn};
use serde::Serialize;

use crate::round_trip::RoundTrips;

/// The newest load report of an upstream.
#[derive(Debug, Clone, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Report {
    /// The report of an engine.
    Engine(message::Load),
    /// The report of an instance of a plain service.
    Service(ServiceLoad),
}

impl Report {
    /// Returns whether the upstream reports that it is leaving.
    pub fn is_leaving(&self) -> bool {
        match self {
            Self::Engine(load) => load.leaving,
            Self::Service(load) => load.leaving,
        }
    }

    /// Returns the number of requests or steps that run or wait at the upstream.
    pub fn queued(&self) -> u32 {
        match self {
            Self::Engine(load) => load.running + load.waiting,
            Self::Service(load) => load.running + load.waiting,
        }
    }

    /// Returns the incarnation of the upstream that sent the report.
    pub fn incarnation(&self) -> &str {
        match self {
            Self::Engine(load) => &load.incarnation,
            Self::Service(load) => &load.incarnation,
        }
    }
}

/// One upstream.
#[derive(Debug, Clone, Serialize)]
pub struct Row {
    /// Name.
    pub name: Upstream,
    /// Whether the upstream is an engine or an instance of a service.
    pub role: Role,
    /// Group of engines, or name of the service's pool.
    pub pool: String,
    /// Address.
    pub address: SocketAddr,
    /// Failure domain.
    pub domain: Domain,
    /// Whether the upstream is leaving and receives no new work.
    pub leaving: bool,
    /// Newest report, with the time at which it was fetched.
    pub report: Option<(Instant, Report)>,
    /// Round-trip times of the link, from the fetches of load reports.
    pub link: RoundTrips,
    /// Requests and steps that this instance had in progress at the upstream when the report was
    /// fetched.
    pub own_then: u32,
    /// Requests and steps that this instance has in progress at the upstream.
    #[serde(skip)]
    pub in_progress: Arc<AtomicU32>,
    /// Positions of the steps that this instance has in progress at the upstream.
    #[serde(skip)]
    pub positions: Arc<AtomicU32>,
}

impl Row {
    fn new(name: Upstream, listed: &Listed) -> Self {
        info!(upstream:% = name, address:% = listed.address; "upstream is known");
        Self {
            name,
            role: listed.role.clone(),
            pool: listed.pool.clone(),
            address: listed.address,
            domain: listed.domain.clone(),
            leaving: listed.state == State::Leaving,
            report: None,
            link: RoundTrips::default(),
            own_then: 0,
            in_progress: Arc::default(),
            positions: Arc::default(),
        }
    }

    fn is_described_by(&self, listed: &Listed) -> bool {
        let own = (&self.role, &self.pool, &self.address, &self.domain);
        own == (&listed.role, &listed.pool, &listed.address, &listed.domain)
    }

    /// Counts a request or step in progress until the guard is dropped.
    pub fn enter(&self) -> Guard {
        self.enter_step(0)
    }

    /// Counts a step and its positions in progress until the guard is dropped.
    pub fn enter_step(&self, positions: u32) -> Guard {
        self.in_progress.fetch_add(1, Ordering::AcqRel);
        self.positions.fetch_add(positions, Ordering::AcqRel);
        Guard {
            in_progress: self.in_progress.clone(),
            total_positions: self.positions.clone(),
            positions,
        }
    }

    /// Returns the positions of the steps that this instance has in progress at the upstream.
    pub fn positions(&self) -> u32 {
        self.positions.load(Ordering::Acquire)
    }

    /// Returns the requests and steps that this instance has in progress at the upstream.
    pub fn in_progress(&self) -> u32 {
        self.in_progress.load(Ordering::Acquire)
    }

    /// Returns the estimated load, from the report and the work sent since.
    pub fn load(&self, peers: &Snapshot) -> Load {
        let (at, reported) = match &self.report {
            Some((at, report)) => (*at, report.queued()),
            None => (Instant::default(), 0),
        };
        let peer_work_growth = peers.peer_work_growth(&self.name, at);
        Load {
            reported,
            own_then: self.own_then,
            own_now: self.in_progress(),
            others_since: clamp(peer_work_growth),
        }
    }

    /// Returns the load report of an engine.
    pub fn engine(&self) -> Option<&message::Load> {
        match &self.report {
            Some((_, Report::Engine(load))) => Some(load),
            _ => None,
        }
    }
}

fn clamp(units: i64) -> i32 {
    i32::try_from(units).unwrap_or(if units < 0 { i32::MIN } else { i32::MAX })
}

/// Counts one request or step at an upstream as in progress until it is dropped.
#[derive(Debug)]
pub struct Guard {
    in_progress: Arc<AtomicU32>,
    total_positions: Arc<AtomicU32>,
    positions: u32,
}

impl Drop for Guard {
    fn drop(&mut self) {
        self.in_progress.fetch_sub(1, Ordering::AcqRel);
        self.total_positions.fetch_sub(self.positions, Ordering::AcqRel);
    }
}

/// All upstreams by name.
#[derive(Debug, Clone, Default, Serialize)]
pub struct Table {
    /// Time that the newest list described.
    #[serde(skip)]
    pub as_of: Wall,
    /// One row per upstream.
    pub rows: BTreeMap<Upstream, Arc<Row>>,
}

impl Table {
    /// Returns the engines that accept new work and whose report is known.
    pub fn iter_engines(&self) -> impl Iterator<Item = &Arc<Row>> {
        self.rows.values().filter(|row| !row.leaving && row.engine().is_some())
    }

    /// Returns the instances of a service pool that accept new work.
    pub fn iter_services<'a>(&'a self, pool: &'a str) -> impl Iterator<Item = &'a Arc<Row>> {
        let is_available =
            move |row: &&Arc<Row>| row.role == Role::Service && row.pool == pool && !row.leaving;
        self.rows.values().filter(is_available)
    }

    /// Returns the table with the instances of a list, or unchanged if the list is older. The rows of
    /// those that it describes as before keep their reports and counts.
    pub fn merge(&self, listing: &Listing) -> Self {
        if listing.as_of < self.as_of {
            return self.clone();
        }
        let mut rows = BTreeMap::new();
        for listed in &listing.instances {
            if listed.role == Role::Entry {
                continue;
            }
            let Ok(name) = listed.name.parse::<Upstream>() else {
                warn!(name = listed.name.as_str(); "the instance list holds an invalid name");
                continue;
            };
            let row = match self.rows.get(&name) {
                Some(old) if old.is_described_by(listed) => old.clone(),
                _ => Arc::new(Row::new(name.clone(), listed)),
            };
            rows.insert(name, row);
        }
        Self { as_of: listing.as_of, rows }
    }
}
