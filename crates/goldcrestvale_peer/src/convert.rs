//! Conversion between the membership's messages and the wire's.

use goldcrestvale_base::{id::Offset, time::Wall};
use goldcrestvale_member::{
    identity::Identity,
    in_flight::{Total, Totals, UpstreamHash},
    leaving::{Mark, Source},
    limit::{self, Parts},
    message::{Config, Heartbeat, MemberRecord, Message, Status},
    silence::Silence,
};
use goldcrestvale_wire::{
    field::{self, Result},
    frame::VERSION,
    message as wire,
};

/// Writes who an instance is.
pub(crate) fn encode_identity(who: &Identity) -> wire::Hello {
    wire::Hello {
        incarnation: field::encode_incarnation(who.incarnation),
        instance: who.instance.to_string(),
        domain: who.domain.to_string(),
        address: who.address.to_string(),
        version: VERSION.into(),
    }
}

/// Reads who an instance is.
pub(crate) fn decode_identity(hello: &wire::Hello) -> Result<Identity> {
    Ok(Identity {
        instance: field::text("instance", &hello.instance)?,
        incarnation: field::decode_incarnation(&hello.incarnation)?,
        domain: field::text("domain", &hello.domain)?,
        address: field::parse_address(&hello.address)?,
    })
}

/// Writes a message of the membership.
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
        Message::Use(told) => encode_use(told).into(),
        Message::InFlight(told) => encode_sends(told).into(),
        Message::Silent(told) => {
            wire::Silent { upstreams: told.iter().map(encode_silence).collect() }.into()
        }
    }
}

/// Reads a message of the membership; `None` for the other messages of the protocol.
///
/// # Errors
///
/// Fails if a field is malformed.
pub fn decode(message: &wire::Message) -> Result<Option<Message>> {
    Ok(Some(match message {
        wire::Message::Heartbeat(told) => Message::Heartbeat(heartbeat(told)),
        wire::Message::Goodbye(told) => {
            Message::Goodbye(field::decode_incarnation(&told.incarnation)?)
        }
        wire::Message::Members(told) => {
            Message::Members(told.known.iter().map(known).collect::<Result<_>>()?)
        }
        wire::Message::Leaving(told) => {
            Message::Leaving(told.marks.iter().map(mark).collect::<Result<_>>()?)
        }
        wire::Message::Use(told) => Message::Use(used(told)?),
        wire::Message::Sends(told) => Message::InFlight(sends(told)),
        wire::Message::Silent(told) => {
            Message::Silent(told.upstreams.iter().map(silence).collect::<Result<_>>()?)
        }
        _ => return Ok(None),
    }))
}

fn encode_heartbeat(heartbeat: &Heartbeat) -> wire::Heartbeat {
    let Status { config, draining, schema, leads } = heartbeat.status;
    wire::Heartbeat {
        sequence: heartbeat.sequence,
        config_version: config.map_or(0, |config| config.version.0.saturating_add(1)),
        config_digest: config.map_or(0, |config| config.digest),
        draining,
        schema,
        leads,
    }
}

fn heartbeat(told: &wire::Heartbeat) -> Heartbeat {
    let version = told.config_version.checked_sub(1).map(Offset);
    let config = version.map(|version| Config { version, digest: told.config_digest });
    let (draining, schema, leads) = (told.draining, told.schema, told.leads);
    let status = Status { config, draining, schema, leads };
    Heartbeat { sequence: told.sequence, status }
}

fn encode_known(known: &MemberRecord) -> wire::Known {
    wire::Known { who: Some(encode_identity(&known.who)), age_ms: known.age_ms, gone: known.gone }
}

fn known(told: &wire::Known) -> Result<MemberRecord> {
    let who = told.who.as_ref().ok_or(field::Error { field: "who" })?;
    Ok(MemberRecord { who: decode_identity(who)?, age_ms: told.age_ms, gone: told.gone })
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

fn mark(told: &wire::Mark) -> Result<Mark> {
    let source = match told.source() {
        wire::Source::List => Source::List,
        wire::Source::Refusal => Source::Refusal,
        wire::Source::Operator => Source::Operator,
        wire::Source::Report | wire::Source::Other => Source::Report,
    };
    let incarnation = (!told.incarnation.is_empty()).then(|| told.incarnation.clone());
    Ok(Mark {
        upstream: field::text("upstream", &told.upstream)?,
        incarnation,
        source,
        as_of: Wall(told.as_of_ms),
    })
}

fn encode_use(told: &limit::Use) -> wire::Use {
    let customers = told.customers.iter().map(|used| wire::CustomerUse {
        customer: used.customer.to_string(),
        need: used.need.0,
        lent: used.lent.0,
    });
    wire::Use {
        sequence: told.sequence,
        echo: told.echo,
        hold_ms: told.hold_ms,
        customers: customers.collect(),
    }
}

fn used(told: &wire::Use) -> Result<limit::Use> {
    let customers = told.customers.iter().map(|used| {
        Ok(limit::CustomerUse {
            customer: field::text("customer", &used.customer)?,
            need: Parts(used.need),
            lent: Parts(used.lent),
        })
    });
    Ok(limit::Use {
        sequence: told.sequence,
        echo: told.echo,
        hold_ms: told.hold_ms,
        customers: customers.collect::<Result<_>>()?,
    })
}

fn encode_sends(told: &Totals) -> wire::Sends {
    wire::Sends {
        upstreams: told.totals.iter().map(|total| total.upstream.0).collect(),
        units: told.totals.iter().map(|total| total.units.into()).collect(),
    }
}

fn sends(told: &wire::Sends) -> Totals {
    let pairs = told.upstreams.iter().zip(&told.units);
    let totals = pairs.map(|(&upstream, &units)| Total {
        upstream: UpstreamHash(upstream),
        units: u32::try_from(units).unwrap_or(u32::MAX),
    });
    Totals { totals: totals.collect() }
}

fn encode_silence(silence: &Silence) -> wire::Silence {
    wire::Silence {
        upstream: silence.upstream.to_string(),
        left_ms: silence.left_ms,
        refuses: silence.refuses,
    }
}

fn silence(told: &wire::Silence) -> Result<Silence> {
    let upstream = field::text("upstream", &told.upstream)?;
    Ok(Silence { upstream, left_ms: told.left_ms, refuses: told.refuses })
}
