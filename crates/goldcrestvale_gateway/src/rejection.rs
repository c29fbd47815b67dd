//! Evaluates rejections of streams.

use std::time::Duration;

use goldcrestvale_base::id::Service;
use goldcrestvale_route::pipeline::Chain;
use http::StatusCode;
use log::{info, warn};

use crate::{
    failover::probe,
    forward::Matched,
    port::{Port, ResponseHead},
};

/// How long an engine that lacks the layers of its stage is avoided: until its next record.
const AVOID_MISSING_LAYERS: Duration = Duration::from_millis(1_500);

/// The reason for probing an engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ProbeReason {
    /// It was unreachable or broke off an answer.
    Failure,
    /// It rejected a stream.
    Rejection,
    /// It rejected streams repeatedly within a short time.
    RepeatedRejections,
}

/// Records the limit of a chain that rejected a stream, and avoids or probes the engine at fault.
pub(crate) fn handle_rejection<P: Port>(
    matched: &Matched<P>,
    service: &Service,
    chain: &Chain,
    status: StatusCode,
    answer: &ResponseHead,
) {
    let gateway = &matched.gateway;
    if status == StatusCode::BAD_REQUEST {
        warn!(head:% = chain.head().upstream, parts = chain.stages.len(); "engine does not accept the chain");
        return;
    }
    let at_fault = answer
        .at_fault
        .and_then(|address| chain.stages.iter().find(|stage| stage.address == address))
        .unwrap_or_else(|| chain.head());
    if status == StatusCode::MISDIRECTED_REQUEST {
        gateway.avoid(&at_fault.upstream, AVOID_MISSING_LAYERS, "it lacks layers");
        return;
    }
    let head = &chain.head().upstream;
    // The rejected stream is still counted.
    let streams = gateway.stream_count(head).saturating_sub(1);
    gateway.registry.record_limit(chain, streams, gateway.now());
    gateway.share_limit(service, chain, streams);
    if let Some(reason) = gateway.record_rejection(&at_fault.upstream) {
        info!(upstream:% = at_fault.upstream, head:% = head, streams; "chain rejected a stream");
        tokio::spawn(probe(gateway.clone(), at_fault.upstream.clone(), reason));
    }
}
