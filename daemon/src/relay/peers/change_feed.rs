//! Conversion of the change feed between the digest and the library's types. By it the daemons
//! that watch the store forward the changes of the registry to the others.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::time::Duration;

use poplarvale_lib::Revision;
use poplarvale_lib::protos::relay::digest;
use poplarvale_lib::relay::change_feed::{ChangeFeed, RegistryChange};
use poplarvale_lib::relay::listing::Listing;

pub(super) fn encode(feed: ChangeFeed) -> digest::News {
    digest::News {
        after: feed.after,
        revision: feed.revision,
        age_ms: u32::try_from(feed.age.as_millis()).unwrap_or(u32::MAX),
        orders: feed.config_revision,
        entries: feed.changes.into_iter().map(encode_change).collect(),
        check: feed.checksum,
    }
}

/// `None` if the port of an entry is out of range.
pub(super) fn decode(message: digest::News) -> Option<ChangeFeed> {
    let changes: Option<Vec<_>> = message.entries.into_iter().map(decode_change).collect();
    Some(ChangeFeed {
        after: message.after,
        revision: message.revision,
        age: Duration::from_millis(message.age_ms.into()),
        config_revision: message.orders,
        changes: changes?,
        checksum: message.check,
    })
}

fn encode_change((revision, change): (Revision, RegistryChange)) -> digest::Entry {
    let (id, listing) = match change {
        RegistryChange::Put(listing) => (listing.id.to_string(), Some(encode_listing(listing))),
        RegistryChange::Removed(id) => (id.to_string(), None),
    };
    digest::Entry {
        revision,
        id,
        listing,
    }
}

fn decode_change(entry: digest::Entry) -> Option<(Revision, RegistryChange)> {
    let id = entry.id.into();
    let change = match entry.listing {
        None => RegistryChange::Removed(id),
        Some(listing) => RegistryChange::Put(Listing {
            id,
            service: listing.service.into(),
            address: SocketAddr::new(
                IpAddr::V4(Ipv4Addr::from(listing.ip)),
                u16::try_from(listing.port).ok()?,
            ),
            zone: listing.zone.into(),
            version: listing.version.into(),
            slots: listing.slots,
            leaving: listing.leaving,
            spot: listing.spot,
            born: listing.born,
            count: listing.count,
        }),
    };
    Some((entry.revision, change))
}

fn encode_listing(listing: Listing) -> digest::Listing {
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
    }
}
