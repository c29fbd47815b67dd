//! Clients of model engines and of plain services.
//!
//! [`engine::Engine`] calls engines over HTTP/2 and [`service::Service`] calls plain services over
//! HTTP/1.1, both through [`pool::Pool`]. Every failure carries a verdict: a request is `NotRun`
//! only while the transport still holds it unsent, which [`exchange_body::ExchangeBody`] enforces
//! through ownership. The messages are in [`message`]; `docs/INTERFACES.md` specifies the
//! protocols.

mod connection;
pub mod engine;
pub mod error;
pub mod exchange_body;
pub mod message;
pub mod pool;
pub mod prefix;
pub mod service;
pub mod status;

pub use error::{Error, Result};

/// Re-exports the most commonly used types.
pub mod prelude {
    pub use crate::{
        engine::Engine,
        message::{Layers, Load, Order, Step, StepAnswer, StepInput, StepOutput},
        pool::{Limits, Pool},
        service::{Answer, Call, Service},
    };
}
