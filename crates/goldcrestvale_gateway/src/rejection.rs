//! What a refusal of a stream teaches.

use std::time::Duration;

use goldcrestvale_route::pipeline::Chain;
use http::StatusCode;
use log::{info, warn};

use crate::{
    failover::probe,
    forward::Matched,
    port::{Port, ResponseHead},
};

/// How long an engine is left alone that lacks the layers it should hold: until its next record.
const AVOID_MISSING: Duration = Duration::from_millis(1_500);

/// Why an engine is probed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Blame {
    /// It could not be reached, or broke off.
    Failure,
    /// It refused a stream.
    Refusal,
    /// It refused streams a moment ago as well.
    Refusals,
}

/// Learns from a refusal: what the chain holds, and what is wrong with the engine that is blamed.
pub(crate) fn blame<P: Port>(
    matched: &Matched<P>,
    line: &Chain,
    status: StatusCode,
    answer: &ResponseHead,
) {
    let gateway = &matched.gateway;
    if status == StatusCode::BAD_REQUEST {
        warn!(head:% = line.head().upstream, parts = line.stages.len(); "engine does not accept the chain");
        return;
    }
    let blamed = answer
        .at_fault
        .and_then(|address| line.stages.iter().find(|part| part.address == address))
        .unwrap_or_else(|| line.head());
    if status == StatusCode::MISDIRECTED_REQUEST {
        gateway.avoid(&blamed.upstream, AVOID_MISSING, "it lacks layers");
        return;
    }
    let head = &line.head().upstream;
    // The refused stream is counted.
    let streams = gateway.streams(head).saturating_sub(1);
    gateway.registry.limit(head, streams, gateway.now());
    if let Some(blame) = gateway.blame(&blamed.upstream) {
        info!(upstream:% = blamed.upstream, head:% = head, streams; "chain refused a stream");
        tokio::spawn(probe(gateway.clone(), blamed.upstream.clone(), blame));
    }
}
