//! Fleets of connected entry instances.
#![allow(dead_code, unreachable_pub)]

use std::io;

use goldcrestvale_standin::{
    caller::Caller,
    fleet::{Builder, Entry, Fleet, Programs},
};
use serde_json::{Value, json};

pub const ROUTER: &str = env!("CARGO_BIN_EXE_goldcrestvale");

/// Returns the settings of an instance that connects to peers.
pub fn settings(more: &str) -> String {
    let secret = "07".repeat(32);
    format!("[peer]\naddress = 127.0.0.1:0\nsecret = {secret}\nheartbeat_ms = 200\n{more}")
}

pub fn builder(entries: usize) -> Builder {
    let builder = Builder::new(Programs::beside(ROUTER));
    (1..=entries)
        .fold(builder, |builder, number| builder.entry(&format!("entry-{number}"), &settings("")))
}

/// Returns the peer address of an entry instance.
pub async fn address(entry: &mut Entry) -> io::Result<String> {
    let line = entry.process.wait_line("event=\"listening\"").await?;
    let address = line.split("peers=").nth(1).unwrap_or_default();
    let address: String = address.chars().filter(|c| !matches!(c, '"')).collect();
    Ok(address.split_whitespace().next().unwrap_or_default().to_owned())
}

/// Adds an entry instance with its peer address to the platform's list.
pub async fn list(fleet: &Fleet, entry: &mut Entry) -> io::Result<()> {
    let address = address(entry).await?;
    let listed = json!({
        "name": entry.name, "role": "entry", "pool": "entry", "address": address,
        "domain": "local", "state": "live",
    });
    Caller::default().post(fleet.platform.address, "/instances", &listed).await?;
    Ok(())
}

/// Adds all entry instances to the list and waits until they are connected.
pub async fn connect(fleet: &mut Fleet) -> io::Result<()> {
    let mut entries = std::mem::take(&mut fleet.entries);
    for entry in &mut entries {
        list(fleet, entry).await?;
    }
    fleet.entries = entries;
    let others = fleet.entries.len() - 1;
    for entry in 0..fleet.entries.len() {
        fleet.wait_dump(entry, |dump| links(dump) == others).await?;
    }
    Ok(())
}

pub fn links(dump: &Value) -> usize {
    dump["peers"]["links"].as_array().map_or(0, Vec::len)
}

pub fn is_leaving(dump: &Value, upstream: &str) -> bool {
    dump["upstreams"]["rows"][upstream]["leaving"] == json!(true)
}
