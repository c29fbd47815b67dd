//! Settings of an engine.

use std::net::{Ipv4Addr, SocketAddr};

use goldcrestvale_base::id::{Model, Upstream};
use goldcrestvale_upstream::message::{Accelerator, Held, Layers};

/// Settings of an engine.
#[derive(Debug, Clone, clap::Args)]
pub struct Settings {
    /// Address to serve.
    #[arg(long, default_value = "127.0.0.1:0")]
    pub address: SocketAddr,
    /// Name of the engine.
    #[arg(long, default_value = "engine-1")]
    pub name: Upstream,
    /// The model.
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
    /// One past the last layer held at start.
    #[arg(long, default_value_t = 12)]
    pub to: u32,
    /// Kind of accelerator.
    #[arg(long, value_parser = accelerator, default_value = "large")]
    pub accelerator: Accelerator,
}

fn accelerator(name: &str) -> Result<Accelerator, String> {
    serde_json::from_value(name.into()).map_err(|error| error.to_string())
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            address: (Ipv4Addr::LOCALHOST, 0).into(),
            name: "engine-1".parse().expect("a fixed name is valid"),
            model: "draft".parse().expect("a fixed name is valid"),
            version: "1".into(),
            depth: 12,
            from: 0,
            to: 12,
            accelerator: Accelerator::Large,
        }
    }
}

impl Settings {
    /// Returns what the engine holds at start.
    pub(super) fn holds(&self) -> Vec<Held> {
        let layers = Layers { from: self.from, to: self.to };
        if layers.is_empty() {
            return Vec::new();
        }
        let (model, version) = (self.model.clone(), self.version.clone());
        vec![Held { model, version, layers, adapters: Vec::new() }]
    }
}
