//! The table of known settings, one row per key.

use std::net::SocketAddr;

use goldcrestvale_wire::key::Secret;

use super::{File, parse};

/// One known key of the settings file.
pub(super) struct Field {
    pub(super) section: &'static str,
    pub(super) key: &'static str,
    /// Description of a valid value.
    pub(super) expected: &'static str,
    pub(super) set: fn(&mut File, &str) -> parse::Result<()>,
}

const NAME: &str = "a name of letters, digits, '-', '_' and '.', as in bole-1";
const ADDRESS: &str = "an IP address and port, as in 127.0.0.1:8080";
const MILLIS: &str = "milliseconds from 1 to 86400000";
const COUNT: &str = "a whole number from 1 to 1000000";
const BYTES: &str = "bytes from 1024 to 1073741824";
const MEGABYTES: &str = "megabytes from 64 to 1000000";
const DESCRIPTORS: &str = "a whole number from 512 to 10000000";
const RATIO: &str = "a number from 0 to 1000";
const RETRIES: &str = "a number from 0 to 1000000";
const AUTO: &str = "auto or off";
const BOOL: &str = "true or false";
const SECONDS: &str = "seconds from 0.001 to 86400";
const HEADER_BYTES: &str = "bytes from 8192 to 1048576";

const SECRET: &str = "64 hexadecimal digits";
const SEEDS: &str = "addresses separated by commas, as in 10.0.0.1:7070, 10.0.0.2:7070";

/// Builds one row: section, key, expected value, target field and parser.
macro_rules! field {
    ($section:literal, $key:literal, $expected:expr, $($target:ident).+, $parse:expr) => {
        Field {
            section: $section,
            key: $key,
            expected: $expected,
            set: |file, value| {
                file.$($target).+ = $parse(value)?;
                Ok(())
            },
        }
    };
}

fn count<T: std::str::FromStr + PartialOrd + std::fmt::Display + From<u8> + TryFrom<u32>>(
    value: &str,
) -> parse::Result<T> {
    let max = T::try_from(1_000_000_u32).unwrap_or_else(|_| T::from(u8::MAX));
    parse::number(value, T::from(1)..=max)
}

fn some<T>(parse: fn(&str) -> parse::Result<T>) -> impl Fn(&str) -> parse::Result<Option<T>> {
    move |value| parse(value).map(Some)
}

fn bytes(value: &str) -> parse::Result<usize> {
    parse::number(value, 1_024..=1_073_741_824)
}

fn header_bytes(value: &str) -> parse::Result<u32> {
    parse::number(value, 8_192..=1_048_576)
}

fn descriptors(value: &str) -> parse::Result<u64> {
    parse::number(value, 512..=10_000_000)
}

fn token(value: &str) -> parse::Result<Option<String>> {
    parse::text(value).map(Some)
}

fn secret(value: &str) -> parse::Result<Option<Secret>> {
    // The parser's error would print the value, which may be a secret with a typo.
    value.parse().map(Some).map_err(|_| "is not a secret".to_owned())
}

fn seeds(value: &str) -> parse::Result<Vec<SocketAddr>> {
    let seeds = value.split(',').map(str::trim).filter(|seed| !seed.is_empty());
    seeds.map(parse::from_str).collect()
}

/// All known settings; keys of one section are adjacent.
pub(super) const FIELDS: &[Field] = &[
    field!("instance", "name", NAME, entry.instance.name, parse::from_str),
    field!("instance", "domain", NAME, entry.instance.domain, parse::from_str),
    field!("machine", "memory_mb", MEGABYTES, entry.machine.memory_bytes, parse::megabytes),
    field!("machine", "descriptors", DESCRIPTORS, entry.machine.descriptors, descriptors),
    field!("callers", "address", ADDRESS, entry.callers.address, parse::from_str),
    field!("callers", "header_bytes", HEADER_BYTES, entry.callers.header_bytes, header_bytes),
    field!("callers", "body_bytes", BYTES, entry.callers.body_bytes, bytes),
    field!("callers", "header_timeout_ms", MILLIS, entry.callers.header_timeout, parse::millis),
    field!("callers", "body_timeout_ms", MILLIS, entry.callers.body_timeout, parse::millis),
    field!("callers", "idle_timeout_ms", MILLIS, entry.callers.idle_timeout, parse::millis),
    field!("callers", "connections", COUNT, entry.callers.connections, count),
    field!("callers", "http2_connections", COUNT, entry.callers.http2_connections, count),
    field!("callers", "streams", COUNT, entry.callers.streams, count),
    field!("operators", "address", ADDRESS, entry.operators.address, parse::from_str),
    field!("operators", "token", "a secret text", entry.operators.token, token),
    field!("platform", "address", ADDRESS, entry.platform.address, parse::from_str),
    field!("platform", "timeout_ms", MILLIS, entry.platform.timeout, parse::millis),
    field!("platform", "poll_ms", MILLIS, entry.platform.poll, parse::millis),
    field!("platform", "list_interval_ms", MILLIS, entry.platform.list_interval, parse::millis),
    field!(
        "config",
        "checkpoint_interval_ms",
        MILLIS,
        entry.config.checkpoint_interval,
        parse::millis
    ),
    field!("peer", "address", ADDRESS, entry.peer.address, parse::from_str),
    field!("peer", "secret", SECRET, entry.peer.secret, secret),
    field!("peer", "accepted_secret", SECRET, entry.peer.accepted_secret, secret),
    field!("peer", "seeds", SEEDS, entry.peer.seeds, seeds),
    field!("peer", "instances", COUNT, entry.peer.instances, count),
    field!("peer", "heartbeat_ms", MILLIS, entry.peer.heartbeat, parse::millis),
    field!("peer", "limit_hold_ms", MILLIS, entry.peer.limit_hold, parse::millis),
    field!("peer", "frame_bytes", BYTES, entry.peer.frame_bytes, bytes),
    field!("peer", "queue_bytes", BYTES, entry.peer.queue_bytes, bytes),
    field!("peer", "connections", COUNT, entry.peer.connections, count),
    field!("peer", "ask_timeout_ms", MILLIS, entry.peer.ask_timeout, parse::millis),
    field!("upstream", "connect_timeout_ms", MILLIS, entry.upstream.connect_timeout, parse::millis),
    field!("upstream", "load_interval_ms", MILLIS, entry.upstream.load_interval, parse::millis),
    field!("upstream", "load_timeout_ms", MILLIS, entry.upstream.load_timeout, parse::millis),
    field!("upstream", "step_timeout_ms", MILLIS, entry.upstream.step_timeout, parse::millis),
    field!("upstream", "answer_bytes", BYTES, entry.upstream.answer_bytes, bytes),
    field!("draft", "deadline_ms", MILLIS, entry.draft.deadline, parse::millis),
    field!("draft", "max_tokens", COUNT, entry.draft.max_tokens, count),
    field!("admission", "draft_slots", COUNT, entry.admission.draft_slots, count),
    field!("admission", "service_slots", COUNT, entry.admission.service_slots, count),
    field!("admission", "waiting", COUNT, entry.admission.waiting, count),
    field!("claims", "window_ms", MILLIS, entry.claims.window, parse::millis),
    field!("claims", "calls", COUNT, entry.claims.calls, count),
    field!("claims", "appends_per_second", COUNT, entry.claims.appends_per_second, count),
    field!("claims", "answer_bytes", BYTES, entry.claims.answer_bytes, bytes),
    field!("orders", "token", "a secret text", entry.orders.token, parse::text),
    field!("orders", "lease_ms", MILLIS, entry.orders.lease, parse::millis),
    field!("orders", "delay_ms", MILLIS, entry.orders.delay, parse::millis),
    field!("orders", "loads", COUNT, entry.orders.loads, count),
    field!("stop", "notice_ms", MILLIS, entry.stop.notice, parse::millis),
    field!("stop", "timeout_ms", MILLIS, entry.stop.timeout, parse::millis),
    field!("log", "level", "off, error, warn, info, debug or trace", logging.level, parse::level),
    field!("gateway", "store", ADDRESS, gateway.store, some(parse::from_str)),
    field!("gateway", "ready", ADDRESS, gateway.ready, some(parse::from_str)),
    field!("gateway", "metrics", ADDRESS, gateway.metrics, some(parse::from_str)),
    field!("gateway", "threads", COUNT, gateway.threads, count),
    field!("gateway", "retry_ratio", RATIO, gateway.retry.ratio, parse::ratio),
    field!("gateway", "retry_floor", RETRIES, gateway.retry.floor, parse::retries),
    field!("gateway", "retry_span_s", SECONDS, gateway.retry.span, parse::seconds),
    field!("gateway", "cost_routing", AUTO, gateway.cost_routing, parse::mode),
    field!("gateway", "contention", AUTO, gateway.contention, parse::mode),
    field!("gateway", "chain_limits", AUTO, gateway.chain_limits, parse::mode),
    field!("gateway", "retry_loans", AUTO, gateway.retry_loans, parse::mode),
    field!("gateway", "heartbeat_ms", MILLIS, gateway.heartbeat, parse::millis),
    field!("gateway", "configuration_bound_ms", MILLIS, gateway.configuration_bound, parse::millis),
    field!("gateway", "first_start", BOOL, gateway.first_start, parse::boolean),
    field!("gateway", "grace_s", SECONDS, gateway.grace, parse::seconds),
    field!("log", "format", "text or json", logging.format, parse::format),
    field!("log", "output", "stdout or stderr", logging.output, parse::output),
];
