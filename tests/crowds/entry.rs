//! An entry instance of the product's own interface.

use std::net::SocketAddr;

use goldcrestvale_standin::fleet::{Builder, CREDENTIAL, CUSTOMER, Fleet, Programs, SERVICE};
use serde_json::json;

use super::{
    Bounds, Front, Target,
    usage::{Usage, Watch},
};

/// Memory of the machine, in megabytes, and its descriptors; the settings name neither.
const MEMORY_MB: u64 = 256;
const DESCRIPTORS: u64 = 4_096;

/// Limits as on the users' machines; the other settings have their defaults.
const SETTINGS: &str = "[callers]\nbody_bytes = 4194304\nbody_timeout_ms = 60000\n";

/// Length of a large answer.
const LARGE_ANSWER: usize = 7 << 20;

/// A deployment with one entry instance and one service.
pub struct Entry {
    fleet: Fleet,
    watch: Watch,
}

impl Entry {
    /// Starts the deployment and waits until the instance is ready.
    pub async fn start() -> Self {
        let fleet = Builder::new(Programs::beside(env!("CARGO_BIN_EXE_goldcrestvale")))
            .service("booking-1")
            .entry("entry-1", SETTINGS)
            .start()
            .await
            .unwrap();
        let service = json!({
            "pool": SERVICE, "timeout_ms": 60_000,
            "methods": [{ "method": "GET", "path": "/", "idempotent": true }],
        });
        fleet.put(0, "service", SERVICE, &service).await.unwrap();
        let customer = json!({
            "credential": goldcrestvale::base::id::Digest::of(CREDENTIAL.as_bytes()),
            "weight": 1, "max_in_flight": 100_000,
        });
        fleet.put(0, "customer", CUSTOMER, &customer).await.unwrap();
        let watch = Watch::new(fleet.entries[0].process.id());
        let entry = Self { fleet, watch };
        entry.check_answer().await;
        entry
    }
}

impl Front for Entry {
    fn address(&self) -> SocketAddr {
        self.fleet.entries[0].callers
    }

    fn head(&self, target: Target) -> String {
        let path = match target {
            Target::Ordinary => "/now".to_owned(),
            Target::Slow => "/slow?delay_ms=1000".to_owned(),
            Target::Large => format!("/large?answer_bytes={LARGE_ANSWER}"),
        };
        format!(
            "GET /services/{SERVICE}{path} HTTP/1.1\r\nhost: local\r\n\
             goldcrestvale-customer: {CUSTOMER}\r\nauthorization: Bearer {CREDENTIAL}\r\n"
        )
    }

    fn usage(&self) -> Usage {
        self.watch.usage()
    }

    fn bounds(&self) -> Bounds {
        Bounds { memory_bytes: MEMORY_MB * 1_000_000, descriptors: DESCRIPTORS }
    }
}
