//! Requests of plain services: answered whole.

use std::time::Duration;

use bytes::Bytes;
use goldcrestvale_base::{
    id::{Service, Upstream},
    time::Instant,
};
use goldcrestvale_route::forward::Kind;
use http::{Response, StatusCode, header, response::Parts};
use http_body_util::BodyExt;

use crate::{
    body::{Body, full},
    error_response::Refusal,
    forward::Matched,
    port::{Dispatch, Port},
    send::{Sent, send},
    view::Plain,
};

/// How long an upstream is left alone that could not be reached or broke off.
const AVOID_BROKEN: Duration = Duration::from_millis(1_500);

/// How long an upstream is left alone that was full.
const AVOID_FULL: Duration = Duration::from_millis(60);

/// When a caller may come back whose request found no upstream with room.
const BACK: Duration = Duration::from_millis(60);

/// Share of the target after which a request that may be repeated is sent to another upstream, if
/// the first is silent.
const HEDGE: f64 = 1.5;

/// What came of one try.
enum Try {
    Whole(Box<Parts>, Bytes),
    NotRun(String),
    Broken(String),
    Silent,
}

pub(crate) async fn serve<P: Port>(mut matched: Matched<P>) -> Response<Body> {
    let service = match matched.gateway.table.load().pick(&matched.route, matched.gateway.draw()) {
        Some(service) => service.clone(),
        None => {
            let refusal = Refusal::not_run("no service", "the route names no service", BACK);
            return matched.trace.refuse(&refusal);
        }
    };
    let is_repeatable = matched.route.kind == Kind::Safe;
    let mut may_have_run = false;
    let mut failed: Option<(Box<Parts>, Bytes)> = None;
    let mut last = String::new();
    let mut sent = 0;
    while let Some(upstream) = pick(&matched, &service) {
        let now = matched.gateway.now();
        let time_left = matched.time_left(now);
        if time_left.is_zero() || matched.due <= now {
            break;
        }
        if sent == 0 {
            matched.gateway.count_first(&service);
        } else if sent >= matched.route.attempts || !matched.gateway.try_repeat(&service) {
            break;
        }
        matched.trace.tried.push(upstream.registration.upstream.clone());
        let another = is_repeatable && sent + 1 < matched.route.attempts;
        match attempt(&matched, &upstream, time_left, another).await {
            Try::Whole(head, body) if another && head.status.is_server_error() => {
                sent += 1;
                may_have_run = true;
                last = format!("answered {}", head.status);
                failed = Some((head, body));
            }
            Try::Whole(head, body) => return deliver(&mut matched, *head, body),
            Try::NotRun(why) => {
                // A refusal counts as an arrival at the service, an attempt to connect does not.
                sent += u32::from(!why.is_empty());
                last = why;
            }
            Try::Broken(why) => {
                sent += 1;
                may_have_run = true;
                last = why;
                if !is_repeatable {
                    break;
                }
            }
            Try::Silent => {
                sent += 1;
                may_have_run = true;
                last = "no answer".to_owned();
                if !is_repeatable {
                    break;
                }
            }
        }
    }
    if let Some((head, body)) = failed {
        return deliver(&mut matched, *head, body);
    }
    let now = matched.gateway.now();
    let refusal = match may_have_run {
        true if matched.time_left(now).is_zero() => Refusal::late(last),
        true => Refusal::may_have_run("upstream failed", last),
        false => Refusal::not_run("no upstream", last, BACK),
    };
    matched.trace.refuse(&refusal)
}

fn deliver<P: Port>(matched: &mut Matched<P>, mut head: Parts, body: Bytes) -> Response<Body> {
    matched.gateway.port.strip_hop_headers(&mut head.headers);
    if matched.parts.method != http::Method::HEAD {
        head.headers.remove(header::CONTENT_LENGTH);
    }
    matched.trace.end("answered", head.status, "");
    Response::from_parts(head, full(body))
}

/// Picks an upstream that was not tried: one that is not left alone, in the own domain, first.
fn pick<P: Port>(matched: &Matched<P>, service: &Service) -> Option<Plain> {
    let gateway = &matched.gateway;
    let now = gateway.now();
    let view = gateway.view.load();
    let tried = |upstream: &Upstream| matched.trace.tried.contains(upstream);
    let rank = |plain: &&Plain| {
        let away = plain.registration.domain != gateway.settings.domain;
        (plain.avoided_until > now, away, plain.registration.upstream.clone())
    };
    let upstreams = view.plain.get(service)?;
    upstreams.iter().filter(|plain| !tried(&plain.registration.upstream)).min_by_key(rank).cloned()
}

async fn attempt<P: Port>(
    matched: &Matched<P>,
    plain: &Plain,
    time_left: Duration,
    another: bool,
) -> Try {
    let gateway = &matched.gateway;
    let upstream = &plain.registration.upstream;
    let dispatch = Dispatch {
        time_left,
        upstream,
        customer: matched.customer_name(),
        chain: None,
        last_event: None,
    };
    let limit = match another {
        true => matched.route.target.mul_f64(HEDGE).min(time_left),
        false => time_left.min(matched.due.since(gateway.now())),
    };
    let whole = async {
        let address = plain.registration.address;
        let id = matched.ask.id.as_ref();
        let sent =
            send(gateway, address, &matched.parts, matched.body.clone(), &dispatch, id).await;
        match sent {
            Sent::Answered(opened, _) => {
                let (head, body, lease) = opened.into_parts();
                match body.collect().await {
                    Ok(body) => {
                        lease.return_to_pool();
                        Try::Whole(Box::new(head), body.to_bytes())
                    }
                    Err(e) => Try::Broken(format!("the answer broke off: {e}")),
                }
            }
            Sent::NotRun(status, _) => {
                let time = match status {
                    StatusCode::MISDIRECTED_REQUEST => AVOID_BROKEN,
                    _ => AVOID_FULL,
                };
                gateway.avoid(upstream, time, "refused");
                Try::NotRun(format!("{upstream} refused with {status}"))
            }
            Sent::Unsent(why) => {
                gateway.avoid(upstream, AVOID_BROKEN, &why);
                Try::NotRun(String::new())
            }
            Sent::Broken(why) => Try::Broken(why),
        }
    };
    let started: Instant = gateway.now();
    match tokio::time::timeout(limit, whole).await {
        Ok(tried) => tried,
        Err(_) => {
            let waited = gateway.now().since(started).as_millis();
            gateway.avoid(upstream, AVOID_BROKEN, &format!("silent for {waited} ms"));
            Try::Silent
        }
    }
}
