//! Conversion of the change feed between the digest and the library's types. By it the daemons
//! that watch the store forward the changes of the registry to the others.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::time::{Duration, Instant};

use poplarvale_lib::protos::relay::digest;
use poplarvale_lib::relay::change_feed::{ChangeFeed, RegistryChange};
use poplarvale_lib::relay::listing::{ColdTime, Listing, MAX_COLD_TIME};
use poplarvale_lib::{Revision, ZoneId};

/// Why a change feed of another daemon is ignored.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub(super) enum FeedError {
    /// The port of an endpoint is out of range.
    #[error("the port of an endpoint is out of range")]
    Port,
    /// An endpoint is said to be cold for longer than any endpoint may be.
    #[error("the cold time of an endpoint is longer than {MAX_COLD_TIME:?}")]
    ColdTime,
}

pub(super) fn encode(feed: ChangeFeed, now: Instant) -> digest::News {
    digest::News {
        after: feed.after,
        revision: feed.revision,
        age_ms: u32::try_from(feed.age.as_millis()).unwrap_or(u32::MAX),
        orders: feed.config_revision,
        entries: feed
            .changes
            .into_iter()
            .map(|change| encode_change(change, now))
            .collect(),
        check: feed.checksum,
        evacuated: feed.evacuated.map(|zones| digest::Zones {
            names: zones.into_iter().map(String::from).collect(),
        }),
    }
}

/// Decodes a feed that was received at `now`.
pub(super) fn decode(message: digest::News, now: Instant) -> Result<ChangeFeed, FeedError> {
    let entries = message.entries.into_iter();
    let changes: Result<Vec<_>, _> = entries.map(|entry| decode_change(entry, now)).collect();
    Ok(ChangeFeed {
        after: message.after,
        revision: message.revision,
        age: Duration::from_millis(message.age_ms.into()),
        config_revision: message.orders,
        changes: changes?,
        checksum: message.check,
        evacuated: message
            .evacuated
            .map(|zones| zones.names.into_iter().map(ZoneId::from).collect()),
    })
}

fn encode_change((revision, change): (Revision, RegistryChange), now: Instant) -> digest::Entry {
    let (id, listing) = match change {
        RegistryChange::Put(listing) => {
            (listing.id.to_string(), Some(encode_listing(listing, now)))
        }
        RegistryChange::Removed(id) => (id.to_string(), None),
    };
    digest::Entry {
        revision,
        id,
        listing,
    }
}

fn decode_change(
    entry: digest::Entry,
    now: Instant,
) -> Result<(Revision, RegistryChange), FeedError> {
    let id = entry.id.into();
    let change = match entry.listing {
        None => RegistryChange::Removed(id),
        Some(listing) => RegistryChange::Put(Listing {
            id,
            service: listing.service.into(),
            address: SocketAddr::new(
                IpAddr::V4(Ipv4Addr::from(listing.ip)),
                u16::try_from(listing.port).map_err(|_range| FeedError::Port)?,
            ),
            zone: listing.zone.into(),
            version: listing.version.into(),
            slots: listing.slots,
            leaving: listing.leaving,
            spot: listing.spot,
            born: listing.born,
            count: listing.count,
            cold: decode_cold(listing.cold_ms, now)?,
        }),
    };
    Ok((entry.revision, change))
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

fn encode_cold(cold: ColdTime, now: Instant) -> u32 {
    let left = cold.until.saturating_duration_since(now).as_millis();
    u32::try_from(left).unwrap_or(u32::MAX)
}

fn encode_listing(listing: Listing, now: Instant) -> digest::Listing {
    let ip = match listing.address.ip() {
        IpAddr::V4(ip) => ip,
        // The platform's network has IPv4 addresses only.
        IpAddr::V6(_) => Ipv4Addr::UNSPECIFIED,
    };
    digest::Listing {
        service: listing.service.into(),
        ip: ip.into(),
        port: listing.address.port().into(),
        zone: listing.zone.into(),
        version: listing.version.into(),
        slots: listing.slots,
        leaving: listing.leaving,
        spot: listing.spot,
        born: listing.born,
        count: listing.count,
        cold_ms: listing.cold.map_or(0, |cold| encode_cold(cold, now)),
    }
}
