//! Settings of an engine.

use std::net::SocketAddr;

use clap::ArgAction;
use goldcrestvale_base::id::{Model, Upstream};
use goldcrestvale_upstream::message::{Accelerator, Held, Layers};

use crate::settings::builder;

/// Settings of an engine.
///
/// # Examples
///
/// ```
/// use goldcrestvale_standin::engine::Settings;
///
/// let last_half = Settings::default().with_from(6).with_to(12);
/// assert_eq!(last_half.depth, 12);
/// ```
#[derive(Debug, Clone, clap::Args)]
pub struct Settings {
    /// Address to serve.
    #[arg(long, default_value = "127.0.0.1:0")]
    pub address: SocketAddr,
    /// Name of the engine.
    #[arg(long, default_value = "engine-1")]
    pub name: Upstream,
    /// Name of the model.
    #[arg(long, default_value = "draft")]
    pub model: Model,
    /// Version of the weights held at start.
    #[arg(long, default_value = "1")]
    pub version: String,
    /// Number of layers of the model.
    #[arg(long, default_value_t = 12)]
    pub depth: u32,
    /// First layer held at start.
    #[arg(long, default_value_t = 0)]
    pub from: u32,
    /// One past the last layer held at start; no layers are held if it is not above the first.
    #[arg(long, default_value_t = 12)]
    pub to: u32,
    /// Kind of accelerator: large, medium or small.
    #[arg(long, value_parser = accelerator, default_value = "large")]
    pub accelerator: Accelerator,
    /// Factor on the modelled time of batches; 0 runs each step immediately.
    #[arg(long, default_value_t = 0.0)]
    pub time_scale: f64,
    /// Lag of the load report, in milliseconds.
    #[arg(long, default_value_t = 0)]
    pub load_lag_ms: u64,
    /// Size of the KV cache, in bytes, at which new requests are refused; 0 for no limit.
    #[arg(long, default_value_t = 0)]
    pub kv_bytes_max: u64,
    /// Time after which an unused KV cache is dropped, in milliseconds.
    #[arg(long, default_value_t = 60_000)]
    pub kv_idle_ms: u64,
    /// Number of blocks in the prefix cache; 0 disables it.
    #[arg(long, default_value_t = 1_024)]
    pub prefix_blocks: usize,
    /// Lag of cache events, in milliseconds.
    #[arg(long, default_value_t = 0)]
    pub event_lag_ms: u64,
    /// Fraction of cache events that are lost, from 0 to 1.
    #[arg(long, default_value_t = 0.0)]
    pub event_loss: f64,
    /// Random seed that selects the lost events.
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    /// Token that orders must carry; the sender is not checked if it is unset.
    #[arg(long)]
    pub order_token: Option<String>,
    /// Whether orders with an old fencing number are refused.
    #[arg(long, default_value_t = true, action = ArgAction::Set)]
    pub fenced: bool,
    /// Time between the answer to an order and its effect, in milliseconds.
    #[arg(long, default_value_t = 0)]
    pub order_delay_ms: u64,
    /// Size of the weights of a layer, in bytes.
    #[arg(long, default_value_t = 1_000_000)]
    pub layer_bytes: u64,
    /// Rate of the weight store, in bytes per second; 0 for no limit.
    #[arg(long, default_value_t = 0)]
    pub weights_rate: u64,
    /// Maximum time that requests in progress get after a signal to end, in milliseconds.
    #[arg(long, default_value_t = 0)]
    pub grace_ms: u64,
    /// Whether every layer run is recorded; disabled for long measurements.
    #[arg(long, default_value_t = true, action = ArgAction::Set)]
    pub record_runs: bool,
}

builder! {
    with_address(address: SocketAddr);
    with_name(name: Upstream);
    with_model(model: Model);
    with_version(version: String);
    with_depth(depth: u32);
    with_from(from: u32);
    with_to(to: u32);
    with_accelerator(accelerator: Accelerator);
    with_time_scale(time_scale: f64);
    with_load_lag_ms(load_lag_ms: u64);
    with_kv_bytes_max(kv_bytes_max: u64);
    with_kv_idle_ms(kv_idle_ms: u64);
    with_prefix_blocks(prefix_blocks: usize);
    with_event_lag_ms(event_lag_ms: u64);
    with_event_loss(event_loss: f64);
    with_seed(seed: u64);
    with_order_token(order_token: Option<String>);
    with_fenced(fenced: bool);
    with_order_delay_ms(order_delay_ms: u64);
    with_layer_bytes(layer_bytes: u64);
    with_weights_rate(weights_rate: u64);
    with_grace_ms(grace_ms: u64);
    with_record_runs(record_runs: bool);
}

fn accelerator(name: &str) -> Result<Accelerator, String> {
    serde_json::from_value(name.into()).map_err(|error| error.to_string())
}

impl Settings {
    /// Returns the layers that the engine holds at start.
    pub(super) fn initial_holdings(&self) -> Vec<Held> {
        let layers = Layers { from: self.from, to: self.to };
        if layers.is_empty() {
            return Vec::new();
        }
        let (model, version) = (self.model.clone(), self.version.clone());
        vec![Held { model, version, layers, adapters: Vec::new() }]
    }
}
