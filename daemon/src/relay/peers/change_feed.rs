//! Conversion of the change feed between the digest and the library's types. By it the daemons
//! that watch the store forward the changes of the registry to the others.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::time::{Duration, Instant};

use poplarvale_lib::ZoneId;
use poplarvale_lib::protos::relay::digest;
use poplarvale_lib::relay::change_feed::{ChangeFeed, Pull, RegistryChange};
use poplarvale_lib::relay::listing::{ColdTime, Listing, MAX_COLD_TIME};

/// Why a change feed of another daemon is ignored.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub(super) enum FeedError {
    /// The port of an endpoint is out of range.
    #[error("the port of an endpoint is out of range")]
    Port,
    /// An endpoint is of a kind that the feed does not have.
    #[error("an endpoint is of a kind that is not listed")]
    Kind,
    /// An endpoint is said to be cold for longer than any endpoint may be.
    #[error("the cold time of an endpoint is longer than {MAX_COLD_TIME:?}")]
    ColdTime,
}

pub(super) fn encode(feed: ChangeFeed, now: Instant) -> digest::News {
    let mut kinds = Vec::new();
    let entries = feed
        .changes
        .into_iter()
        .map(|(revision, change)| encode_change(revision, change, &mut kinds, now))
        .collect();
    digest::News {
        after: feed.after,
        revision: feed.revision,
        age_ms: millis(feed.age),
        orders: feed.config_revision,
        check: feed.checksum,
        evacuated: feed.evacuated.map(|zones| digest::Zones {
            names: zones.into_iter().map(String::from).collect(),
        }),
        newest: feed.newest,
        snapshot: feed.is_snapshot,
        grace_ms: millis(feed.grace),
        kinds,
        entries,
    }
}

/// Decodes a feed that was received at `now`.
pub(super) fn decode(message: digest::News, now: Instant) -> Result<ChangeFeed, FeedError> {
    let entries = message.entries.into_iter();
    let changes: Result<Vec<_>, _> = entries
        .map(|entry| {
            let revision = entry.revision;
            decode_change(entry, &message.kinds, now).map(|change| (revision, change))
        })
        .collect();
    Ok(ChangeFeed {
        after: message.after,
        revision: message.revision,
        newest: message.newest,
        is_snapshot: message.snapshot,
        age: Duration::from_millis(message.age_ms.into()),
        config_revision: message.orders,
        changes: changes?,
        checksum: message.check,
        grace: Duration::from_millis(message.grace_ms.into()),
        evacuated: message
            .evacuated
            .map(|zones| zones.names.into_iter().map(ZoneId::from).collect()),
    })
}

pub(super) fn encode_pull(pull: Pull) -> digest::Pull {
    digest::Pull {
        revision: pull.revision,
        partial: pull.is_partial,
    }
}

pub(super) fn decode_pull(message: digest::Pull) -> Pull {
    Pull {
        revision: message.revision,
        is_partial: message.partial,
    }
}

fn millis(time: Duration) -> u32 {
    u32::try_from(time.as_millis()).unwrap_or(u32::MAX)
}

fn encode_change(
    revision: u64,
    change: RegistryChange,
    kinds: &mut Vec<digest::Kind>,
    now: Instant,
) -> digest::Entry {
    let listing = match change {
        RegistryChange::Put(listing) => listing,
        RegistryChange::Removed(id) => {
            return digest::Entry {
                revision,
                id: id.into(),
                ..digest::Entry::default()
            };
        }
    };
    let ip = match listing.address.ip() {
        IpAddr::V4(ip) => ip,
        // The platform's network has IPv4 addresses only.
        IpAddr::V6(_) => Ipv4Addr::UNSPECIFIED,
    };
    let cold_left = listing
        .cold
        .map(|cold| cold.until.saturating_duration_since(now));
    let kind = digest::Kind {
        service: listing.service.into(),
        zone: listing.zone.into(),
        version: listing.version.into(),
        slots: listing.slots,
        leaving: listing.leaving,
        spot: listing.spot,
    };
    let at = kinds.iter().position(|known| *known == kind);
    let at = at.unwrap_or_else(|| {
        kinds.push(kind);
        kinds.len() - 1
    });
    digest::Entry {
        revision,
        id: listing.id.into(),
        kind: at as u32 + 1,
        ip: ip.into(),
        port: listing.address.port().into(),
        born: listing.born,
        count: listing.count,
        cold_ms: cold_left.map_or(0, millis),
    }
}

fn decode_change(
    entry: digest::Entry,
    kinds: &[digest::Kind],
    now: Instant,
) -> Result<RegistryChange, FeedError> {
    let Some(at) = entry.kind.checked_sub(1) else {
        return Ok(RegistryChange::Removed(entry.id.into()));
    };
    let kind = kinds.get(at as usize).ok_or(FeedError::Kind)?;
    Ok(RegistryChange::Put(Listing {
        id: entry.id.into(),
        service: kind.service.as_str().into(),
        address: SocketAddr::new(
            IpAddr::V4(Ipv4Addr::from(entry.ip)),
            u16::try_from(entry.port).map_err(|_range| FeedError::Port)?,
        ),
        zone: kind.zone.as_str().into(),
        version: kind.version.as_str().into(),
        slots: kind.slots,
        leaving: kind.leaving,
        spot: kind.spot,
        born: entry.born,
        count: entry.count,
        cold: decode_cold(entry.cold_ms, now)?,
    }))
}

/// Cold time that a daemon tells of an endpoint. It is not cut: a daemon that tells a longer one
/// than it may have read is faulty.
fn decode_cold(left_ms: u32, now: Instant) -> Result<Option<ColdTime>, FeedError> {
    let left = Duration::from_millis(left_ms.into());
    if left > MAX_COLD_TIME {
        return Err(FeedError::ColdTime);
    }
    Ok(ColdTime::after(left, now))
}
