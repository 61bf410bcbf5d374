//! Encodes parts of the configuration for other daemons: compressed messages.

use std::io::{self, Read as _, Write as _};
use std::time::Duration;

use bytes::Bytes;
use flate2::Compression;
use flate2::read::DeflateDecoder;
use flate2::write::DeflateEncoder;
use poplarvale_lib::protos::relay::{ConfigPart, config_part as wire};
use poplarvale_lib::relay::catalog::{
    Backend, CallerLimits, ColdRate, Engine, RetryPolicy, Route, Scaling, Service, Team, Unit,
};
use poplarvale_lib::relay::catalog_update::{CatalogPart, Header};
use prost::Message as _;

/// Largest decompressed part that is read.
const MAX_PART_BYTES: u64 = 8 * 1024 * 1024;

/// Why a part cannot be decoded.
#[derive(Debug, thiserror::Error)]
pub(super) enum PartError {
    #[error("a part could not be decompressed: {0}")]
    Compression(#[from] io::Error),
    #[error("a part could not be decoded: {0}")]
    Format(#[from] prost::DecodeError),
    #[error("a value in a part is out of range")]
    Range,
}

/// Encodes a part.
pub(super) fn encode(part: &CatalogPart) -> Bytes {
    let message = ConfigPart {
        base: part.base,
        revision: part.revision,
        version: part.version,
        index: part.index,
        count: part.count,
        header: part.header.as_ref().map(encode_header),
        removed: part
            .removed
            .iter()
            .map(|(host, prefix)| wire::Key {
                host: host.to_string(),
                prefix: prefix.to_string(),
            })
            .collect(),
        routes: part.routes.iter().map(encode_route).collect(),
    };
    let mut encoder = DeflateEncoder::new(Vec::new(), Compression::fast());
    let written = encoder.write_all(&message.encode_to_vec());
    let bytes = written.and_then(|()| encoder.finish());
    Bytes::from(bytes.expect("writing to memory does not fail"))
}

/// Decodes a part.
pub(super) fn decode(bytes: &[u8]) -> Result<CatalogPart, PartError> {
    let mut plain = Vec::new();
    DeflateDecoder::new(bytes)
        .take(MAX_PART_BYTES)
        .read_to_end(&mut plain)?;
    let message = ConfigPart::decode(&*plain)?;
    let routes: Result<Vec<Route>, PartError> =
        message.routes.into_iter().map(decode_route).collect();
    Ok(CatalogPart {
        base: message.base,
        revision: message.revision,
        version: message.version,
        index: message.index,
        count: message.count,
        header: message.header.map(decode_header).transpose()?,
        removed: message
            .removed
            .into_iter()
            .map(|key| (key.host.into(), key.prefix.into()))
            .collect(),
        routes: routes?,
    })
}

fn nanos(time: Duration) -> u64 {
    u64::try_from(time.as_nanos()).unwrap_or(u64::MAX)
}

fn strings(texts: &[impl ToString]) -> Vec<String> {
    texts.iter().map(ToString::to_string).collect()
}

fn encode_route(route: &Route) -> wire::Route {
    let retry = match route.retry_policy {
        RetryPolicy::Idempotent => wire::Retry::Idempotent,
        RetryPolicy::NonIdempotent => wire::Retry::NonIdempotent,
        RetryPolicy::ResumableStream => wire::Retry::ResumableStream,
        RetryPolicy::NonIdempotentStream => wire::Retry::NonIdempotentStream,
    };
    let backend = |row: &Backend| wire::Backend {
        service: row.service.to_string(),
        weight: row.weight,
    };
    wire::Route {
        name: route.name.to_string(),
        host: route.host.to_string(),
        prefix: route.prefix.to_string(),
        retry: retry.into(),
        timeout: nanos(route.timeout),
        target: nanos(route.target),
        pause_target: route.pause_target.map(nanos),
        rank: route.rank.into(),
        backends: route.backends.iter().map(backend).collect(),
        attempts: route.attempts,
        public: route.public,
        regions: strings(&route.regions),
    }
}

fn decode_route(message: wire::Route) -> Result<Route, PartError> {
    let retry_policy = match wire::Retry::try_from(message.retry) {
        Ok(wire::Retry::Idempotent) => RetryPolicy::Idempotent,
        Ok(wire::Retry::NonIdempotent) => RetryPolicy::NonIdempotent,
        Ok(wire::Retry::ResumableStream) => RetryPolicy::ResumableStream,
        Ok(wire::Retry::NonIdempotentStream) => RetryPolicy::NonIdempotentStream,
        Err(_) => return Err(PartError::Range),
    };
    let backend = |row: wire::Backend| Backend {
        service: row.service.into(),
        weight: row.weight,
    };
    Ok(Route {
        name: message.name.into(),
        host: message.host.into(),
        prefix: message.prefix.into(),
        retry_policy,
        timeout: Duration::from_nanos(message.timeout),
        target: Duration::from_nanos(message.target),
        pause_target: message.pause_target.map(Duration::from_nanos),
        rank: decode_rank(message.rank)?,
        backends: message.backends.into_iter().map(backend).collect(),
        attempts: message.attempts,
        public: message.public,
        regions: message.regions.into_iter().map(Into::into).collect(),
    })
}

fn decode_rank(rank: u32) -> Result<u8, PartError> {
    u8::try_from(rank).map_err(|_range| PartError::Range)
}

fn encode_header(header: &Header) -> wire::Header {
    let key = |(key, team): &(compact_str::CompactString, usize)| wire::ApiKey {
        key: key.to_string(),
        team: *team as u32,
    };
    let limits = &header.limits;
    wire::Header {
        services: header.services.iter().map(encode_service).collect(),
        teams: header.teams.iter().map(encode_team).collect(),
        keys: header.keys.iter().map(key).collect(),
        limits: Some(wire::Limits {
            header_bytes: limits.header_bytes as u64,
            body_bytes: limits.body_bytes as u64,
            header_timeout: nanos(limits.header_timeout),
            idle_timeout: nanos(limits.idle_timeout),
        }),
    }
}

fn decode_header(message: wire::Header) -> Result<Header, PartError> {
    let teams: Result<Vec<Team>, PartError> = message.teams.into_iter().map(decode_team).collect();
    let teams = teams?;
    let key = |row: wire::ApiKey| {
        let team = row.team as usize;
        let is_known = team < teams.len();
        is_known
            .then(|| (row.key.into(), team))
            .ok_or(PartError::Range)
    };
    let keys: Result<Vec<_>, PartError> = message.keys.into_iter().map(key).collect();
    let limits = message.limits.ok_or(PartError::Range)?;
    Ok(Header {
        services: message.services.into_iter().map(decode_service).collect(),
        keys: keys?,
        teams,
        limits: CallerLimits {
            header_bytes: limits.header_bytes as usize,
            body_bytes: limits.body_bytes as usize,
            header_timeout: Duration::from_nanos(limits.header_timeout),
            idle_timeout: Duration::from_nanos(limits.idle_timeout),
        },
    })
}

fn encode_service(service: &Service) -> wire::Service {
    let engine = |engine: &Engine| wire::Engine {
        slots: engine.slots,
        kv_tokens: engine.kv_tokens,
        event_tokens: engine.event_tokens,
    };
    let scaling = |scaling: &Scaling| wire::Scaling {
        min: scaling.min,
        max: scaling.max,
        boot_time: nanos(scaling.boot_time),
        reclaimable_price: scaling.reclaimable_price,
        zones: scaling
            .zones
            .iter()
            .map(|(zone, price)| wire::ZonePrice {
                zone: zone.to_string(),
                price: *price,
            })
            .collect(),
    };
    wire::Service {
        name: service.name.to_string(),
        health: service.health.to_string(),
        connections: service.connections,
        engine: service.engine.as_ref().map(engine),
        scaling: service.scaling.as_ref().map(scaling),
        cold: service.cold.map(|cold| wire::Cold {
            time: nanos(cold.time),
            rate: cold.rate,
        }),
    }
}

fn decode_service(message: wire::Service) -> Service {
    let engine = |engine: wire::Engine| Engine {
        slots: engine.slots,
        kv_tokens: engine.kv_tokens,
        event_tokens: engine.event_tokens,
    };
    let scaling = |scaling: wire::Scaling| Scaling {
        min: scaling.min,
        max: scaling.max,
        boot_time: Duration::from_nanos(scaling.boot_time),
        reclaimable_price: scaling.reclaimable_price,
        zones: scaling
            .zones
            .into_iter()
            .map(|row| (row.zone.into(), row.price))
            .collect(),
    };
    Service {
        name: message.name.into(),
        health: message.health.into(),
        connections: message.connections,
        engine: message.engine.map(engine),
        scaling: message.scaling.map(scaling),
        cold: message.cold.map(|cold| ColdRate {
            time: Duration::from_nanos(cold.time),
            rate: cold.rate,
        }),
        // `Catalog::sort` derives it from the routes.
        target: None,
    }
}

fn encode_team(team: &Team) -> wire::Team {
    wire::Team {
        name: team.name.to_string(),
        rank: team.rank.map(u32::from),
        rate: team.rate,
        burst: team.burst,
        plain_tokens: match team.unit {
            Unit::Requests => None,
            Unit::Tokens(plain) => Some(plain),
        },
        regions: strings(&team.regions),
    }
}

fn decode_team(message: wire::Team) -> Result<Team, PartError> {
    Ok(Team {
        name: message.name.into(),
        rank: message.rank.map(decode_rank).transpose()?,
        rate: message.rate,
        burst: message.burst,
        unit: message.plain_tokens.map_or(Unit::Requests, Unit::Tokens),
        regions: message.regions.into_iter().map(Into::into).collect(),
    })
}
