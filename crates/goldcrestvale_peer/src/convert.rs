//! Conversion between the messages of the membership and of the wire protocol.

use goldcrestvale_base::{
    content::Content,
    crash::{Crash, Progress, Suspect},
    customer_load::{Count, CustomerHash, CustomerLoad, ServiceHash},
    id::Offset,
    prompt::Part,
    retry_loan::{Ask, Grant, Return},
    time::Wall,
};
use goldcrestvale_member::{
    chain_limit::{ChainLimit, ChainLimits, Demand},
    customer_load::Loads,
    evidence::{self, Evidence, Hold, RequestHold},
    identity::Identity,
    in_flight::{Total, Totals, UpstreamHash},
    leaving::{Mark, Source},
    limit::{self, Parts},
    message::{Config, Heartbeat, MemberRecord, Message, Status},
    retry_loan::RetryLoans,
    silence::Silence,
};
use goldcrestvale_wire::{
    field::{self, Result},
    frame::VERSION,
    message as wire,
};

/// Encodes the identity of an instance.
pub(crate) fn encode_identity(identity: &Identity) -> wire::Hello {
    wire::Hello {
        incarnation: field::encode_incarnation(identity.incarnation),
        instance: identity.instance.to_string(),
        domain: identity.domain.to_string(),
        address: identity.address.to_string(),
        version: VERSION.into(),
    }
}

/// Decodes the identity of an instance.
pub(crate) fn decode_identity(hello: &wire::Hello) -> Result<Identity> {
    Ok(Identity {
        instance: field::text("instance", &hello.instance)?,
        incarnation: field::decode_incarnation(&hello.incarnation)?,
        domain: field::text("domain", &hello.domain)?,
        address: field::parse_address(&hello.address)?,
    })
}

/// Encodes a message of the membership.
pub fn encode(message: &Message) -> wire::Message {
    match message {
        Message::Heartbeat(heartbeat) => encode_heartbeat(heartbeat).into(),
        Message::Goodbye(incarnation) => {
            wire::Goodbye { incarnation: field::encode_incarnation(*incarnation) }.into()
        }
        Message::Members(known) => {
            wire::Members { known: known.iter().map(encode_known).collect() }.into()
        }
        Message::Leaving(marks) => {
            wire::Leaving { marks: marks.iter().map(encode_mark).collect() }.into()
        }
        Message::Use(usage) => encode_use(usage).into(),
        Message::InFlight(totals) => encode_sends(totals).into(),
        Message::Silent(silences) => {
            wire::Silent { upstreams: silences.iter().map(encode_silence).collect() }.into()
        }
        Message::Evidence(evidence) => encode_evidence(evidence).into(),
        Message::CustomerLoad(loads) => encode_loads(loads).into(),
        Message::ChainLimits(limits) => encode_chain_limits(limits).into(),
        Message::RetryLoans(loans) => encode_retry_loans(loans).into(),
    }
}

/// Decodes a message of the membership, or returns `None` for any other message.
///
/// # Errors
///
/// Fails if a field is malformed.
pub fn decode(message: &wire::Message) -> Result<Option<Message>> {
    Ok(Some(match message {
        wire::Message::Heartbeat(body) => Message::Heartbeat(decode_heartbeat(body)),
        wire::Message::Goodbye(body) => {
            Message::Goodbye(field::decode_incarnation(&body.incarnation)?)
        }
        wire::Message::Members(body) => {
            Message::Members(body.known.iter().map(decode_known).collect::<Result<_>>()?)
        }
        wire::Message::Leaving(body) => {
            Message::Leaving(body.marks.iter().map(decode_mark).collect::<Result<_>>()?)
        }
        wire::Message::Use(body) => Message::Use(decode_use(body)?),
        wire::Message::Sends(body) => Message::InFlight(decode_sends(body)),
        wire::Message::Silent(body) => {
            Message::Silent(body.upstreams.iter().map(decode_silence).collect::<Result<_>>()?)
        }
        wire::Message::Evidence(body) => Message::Evidence(decode_evidence(body)?),
        wire::Message::CustomerLoad(body) => Message::CustomerLoad(decode_loads(body)),
        wire::Message::ChainLimits(body) => Message::ChainLimits(decode_chain_limits(body)),
        wire::Message::RetryLoans(body) => Message::RetryLoans(decode_retry_loans(body)),
        _ => return Ok(None),
    }))
}

fn encode_heartbeat(heartbeat: &Heartbeat) -> wire::Heartbeat {
    let Status { config, draining, schema, leads, relay_port } = heartbeat.status;
    wire::Heartbeat {
        sequence: heartbeat.sequence,
        config_version: config.map_or(0, |config| config.version.0.saturating_add(1)),
        config_digest: config.map_or(0, |config| config.digest),
        draining,
        schema,
        leads,
        relay_port: relay_port.unwrap_or_default().into(),
    }
}

fn decode_heartbeat(heartbeat: &wire::Heartbeat) -> Heartbeat {
    let version = heartbeat.config_version.checked_sub(1).map(Offset);
    let config = version.map(|version| Config { version, digest: heartbeat.config_digest });
    let (draining, schema, leads) = (heartbeat.draining, heartbeat.schema, heartbeat.leads);
    let relay_port = u16::try_from(heartbeat.relay_port).ok().filter(|port| *port > 0);
    let status = Status { config, draining, schema, leads, relay_port };
    Heartbeat { sequence: heartbeat.sequence, status }
}

fn encode_known(known: &MemberRecord) -> wire::Known {
    wire::Known { who: Some(encode_identity(&known.who)), age_ms: known.age_ms, gone: known.gone }
}

fn decode_known(known: &wire::Known) -> Result<MemberRecord> {
    let who = known.who.as_ref().ok_or(field::Error { field: "who" })?;
    Ok(MemberRecord { who: decode_identity(who)?, age_ms: known.age_ms, gone: known.gone })
}

fn encode_mark(mark: &Mark) -> wire::Mark {
    let source = match mark.source {
        Source::List => wire::Source::List,
        Source::Report => wire::Source::Report,
        Source::Refusal => wire::Source::Refusal,
        Source::Operator => wire::Source::Operator,
    };
    wire::Mark {
        upstream: mark.upstream.to_string(),
        incarnation: mark.incarnation.clone().unwrap_or_default(),
        source: source.into(),
        as_of_ms: mark.as_of.0,
    }
}

fn decode_mark(mark: &wire::Mark) -> Result<Mark> {
    let source = match mark.source() {
        wire::Source::List => Source::List,
        wire::Source::Refusal => Source::Refusal,
        wire::Source::Operator => Source::Operator,
        wire::Source::Report | wire::Source::Other => Source::Report,
    };
    let incarnation = (!mark.incarnation.is_empty()).then(|| mark.incarnation.clone());
    Ok(Mark {
        upstream: field::text("upstream", &mark.upstream)?,
        incarnation,
        source,
        as_of: Wall(mark.as_of_ms),
    })
}

fn encode_use(usage: &limit::Use) -> wire::Use {
    let customers = usage.customers.iter().map(|used| wire::CustomerUse {
        customer: used.customer.to_string(),
        need: used.need.0,
        lent: used.lent.0,
    });
    wire::Use {
        sequence: usage.sequence,
        echo: usage.echo,
        hold_ms: usage.hold_ms,
        customers: customers.collect(),
    }
}

fn decode_use(usage: &wire::Use) -> Result<limit::Use> {
    let customers = usage.customers.iter().map(|used| {
        Ok(limit::CustomerUse {
            customer: field::text("customer", &used.customer)?,
            need: Parts(used.need),
            lent: Parts(used.lent),
        })
    });
    Ok(limit::Use {
        sequence: usage.sequence,
        echo: usage.echo,
        hold_ms: usage.hold_ms,
        customers: customers.collect::<Result<_>>()?,
    })
}

fn encode_sends(totals: &Totals) -> wire::Sends {
    wire::Sends {
        upstreams: totals.totals.iter().map(|total| total.upstream.0).collect(),
        units: totals.totals.iter().map(|total| total.units.into()).collect(),
        tokens: match totals.totals.iter().any(|total| total.tokens.is_some()) {
            true => totals.totals.iter().map(|total| total.tokens.unwrap_or(0).into()).collect(),
            false => Vec::new(),
        },
    }
}

fn decode_sends(sends: &wire::Sends) -> Totals {
    let pairs = sends.upstreams.iter().zip(&sends.units);
    let tokens = sends.tokens.iter().copied().chain(std::iter::repeat(0));
    let totals = pairs.zip(tokens).map(|((&upstream, &units), tokens)| Total {
        upstream: UpstreamHash(upstream),
        units: u32::try_from(units).unwrap_or(u32::MAX),
        tokens: (tokens > 0).then(|| u32::try_from(tokens).unwrap_or(u32::MAX)),
    });
    Totals { totals: totals.collect() }
}

fn encode_loads(loads: &Loads) -> wire::CustomerLoad {
    let loads = loads.loads.iter().map(|load| wire::CustomerCount {
        customer: load.customer.0,
        service: load.service.0,
        running: load.count.running,
        waiting: load.count.waiting,
    });
    wire::CustomerLoad { loads: loads.collect() }
}

fn decode_loads(loads: &wire::CustomerLoad) -> Loads {
    let loads = loads.loads.iter().map(|load| CustomerLoad {
        customer: CustomerHash(load.customer),
        service: ServiceHash(load.service),
        count: Count { running: load.running, waiting: load.waiting },
    });
    Loads { loads: loads.collect() }
}

fn encode_silence(silence: &Silence) -> wire::Silence {
    wire::Silence {
        upstream: silence.upstream.to_string(),
        left_ms: silence.left_ms,
        refuses: silence.refuses,
    }
}

fn decode_silence(silence: &wire::Silence) -> Result<Silence> {
    let upstream = field::text("upstream", &silence.upstream)?;
    Ok(Silence { upstream, left_ms: silence.left_ms, refuses: silence.refuses })
}

fn encode_evidence(evidence: &Evidence) -> wire::Evidence {
    let holds = evidence.holds.iter().map(|hold| wire::Hold {
        parts: hold.parts.iter().map(|part| part.0).collect(),
        left_ms: hold.left_ms,
    });
    let request_holds = evidence
        .request_holds
        .iter()
        .map(|hold| wire::RequestHold { request: hold.request.0, left_ms: hold.left_ms });
    wire::Evidence {
        crashes: evidence.crashes.iter().map(encode_crash).collect(),
        sound: evidence.sound.iter().map(|part| part.0).collect(),
        holds: holds.collect(),
        suspects: evidence.suspects.iter().map(encode_suspect).collect(),
        answered: evidence.answered.iter().map(|request| request.0).collect(),
        request_holds: request_holds.collect(),
    }
}

fn decode_evidence(evidence: &wire::Evidence) -> Result<Evidence> {
    let holds = evidence.holds.iter().map(|hold| Hold {
        parts: hold.parts.iter().copied().map(Part).collect(),
        left_ms: hold.left_ms,
    });
    let request_holds = evidence
        .request_holds
        .iter()
        .map(|hold| RequestHold { request: Content(hold.request), left_ms: hold.left_ms });
    Ok(Evidence {
        crashes: evidence.crashes.iter().map(decode_crash).collect::<Result<_>>()?,
        sound: evidence.sound.iter().copied().map(Part).collect(),
        holds: holds.collect(),
        suspects: evidence.suspects.iter().map(decode_suspect).collect::<Result<_>>()?,
        answered: evidence.answered.iter().copied().map(Content).collect(),
        request_holds: request_holds.collect(),
    })
}

fn encode_chain_limits(limits: &ChainLimits) -> wire::ChainLimits {
    let demands = limits.demands.iter().map(|demand| wire::Demand {
        service: demand.service.0,
        milli_streams: demand.milli_streams,
    });
    let limits = limits.limits.iter().map(|limit| wire::ChainLimit {
        upstream: limit.upstream.0,
        streams: limit.streams,
        token_capacity: limit.token_capacity,
        age_ms: limit.age_ms,
    });
    wire::ChainLimits { limits: limits.collect(), demands: demands.collect() }
}

fn decode_chain_limits(limits: &wire::ChainLimits) -> ChainLimits {
    let demands = limits.demands.iter().map(|demand| Demand {
        service: ServiceHash(demand.service),
        milli_streams: demand.milli_streams,
    });
    let limits = limits.limits.iter().map(|limit| ChainLimit {
        upstream: UpstreamHash(limit.upstream),
        streams: limit.streams,
        token_capacity: limit.token_capacity,
        age_ms: limit.age_ms,
    });
    ChainLimits { limits: limits.collect(), demands: demands.collect() }
}

fn encode_retry_loans(loans: &RetryLoans) -> wire::RetryLoans {
    let asks = loans.asks.iter().map(|ask| wire::RetryAsk {
        service: ask.service.0,
        sequence: ask.sequence,
        milli_retries: ask.milli_retries,
    });
    let grants = loans.grants.iter().map(|grant| wire::RetryGrant {
        service: grant.service.0,
        sequence: grant.sequence,
        milli_retries: grant.milli_retries,
        hold_ms: grant.hold_ms,
    });
    let returns = loans.returns.iter().map(|unused| wire::RetryReturn {
        service: unused.service.0,
        sequence: unused.sequence,
        milli_retries: unused.milli_retries,
    });
    wire::RetryLoans { asks: asks.collect(), grants: grants.collect(), returns: returns.collect() }
}

fn decode_retry_loans(loans: &wire::RetryLoans) -> RetryLoans {
    let asks = loans.asks.iter().map(|ask| Ask {
        service: ServiceHash(ask.service),
        sequence: ask.sequence,
        milli_retries: ask.milli_retries,
    });
    let grants = loans.grants.iter().map(|grant| Grant {
        service: ServiceHash(grant.service),
        sequence: grant.sequence,
        milli_retries: grant.milli_retries,
        hold_ms: grant.hold_ms,
    });
    let returns = loans.returns.iter().map(|unused| Return {
        service: ServiceHash(unused.service),
        sequence: unused.sequence,
        milli_retries: unused.milli_retries,
    });
    RetryLoans { asks: asks.collect(), grants: grants.collect(), returns: returns.collect() }
}

fn encode_suspect(suspect: &evidence::Suspect) -> wire::SuspectRequest {
    let ends = suspect.ends.iter().map(|end| wire::End {
        upstream: end.upstream.to_string(),
        born_ms: end.born_ms.unwrap_or_default(),
        age_ms: end.age_ms,
    });
    wire::SuspectRequest { request: suspect.request.0, ends: ends.collect() }
}

fn decode_suspect(suspect: &wire::SuspectRequest) -> Result<evidence::Suspect> {
    let ends = suspect.ends.iter().map(|end| {
        Ok(evidence::End {
            upstream: field::text("upstream", &end.upstream)?,
            born_ms: (end.born_ms != 0).then_some(end.born_ms),
            age_ms: end.age_ms,
        })
    });
    Ok(evidence::Suspect { request: Content(suspect.request), ends: ends.collect::<Result<_>>()? })
}

fn encode_crash(crash: &Crash) -> wire::Crash {
    let suspects = crash.suspects.iter().map(|suspect| wire::Suspect {
        request: suspect.request.0,
        parts: suspect.parts.iter().map(|part| part.0).collect(),
        begun: suspect.progress == Progress::Begun,
    });
    wire::Crash {
        upstream: crash.upstream.to_string(),
        born_ms: crash.born_ms.unwrap_or_default(),
        suspects: suspects.collect(),
    }
}

fn decode_crash(crash: &wire::Crash) -> Result<Crash> {
    let suspects = crash.suspects.iter().map(|suspect| Suspect {
        request: Content(suspect.request),
        parts: suspect.parts.iter().copied().map(Part).collect(),
        progress: if suspect.begun { Progress::Begun } else { Progress::Waiting },
    });
    Ok(Crash {
        upstream: field::text("upstream", &crash.upstream)?,
        born_ms: (crash.born_ms != 0).then_some(crash.born_ms),
        suspects: suspects.collect(),
    })
}
