//! News of the store as daemons tell it to one another.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::time::Duration;

use poplarvale_lib::Revision;
use poplarvale_lib::protos::relay::digest;
use poplarvale_lib::relay::change_feed::{ChangeFeed, RegistryChange};
use poplarvale_lib::relay::listing::Listing;

pub(super) fn tell(news: ChangeFeed) -> digest::News {
    digest::News {
        after: news.after,
        revision: news.revision,
        age_ms: u32::try_from(news.age.as_millis()).unwrap_or(u32::MAX),
        orders: news.config_revision,
        entries: news.changes.into_iter().map(tell_entry).collect(),
        check: news.checksum,
    }
}

/// `None` if it holds an entry with an impossible address.
pub(super) fn hear(told: digest::News) -> Option<ChangeFeed> {
    let entries: Option<Vec<_>> = told.entries.into_iter().map(hear_entry).collect();
    Some(ChangeFeed {
        after: told.after,
        revision: told.revision,
        age: Duration::from_millis(told.age_ms.into()),
        config_revision: told.orders,
        changes: entries?,
        checksum: told.check,
    })
}

fn tell_entry((revision, entry): (Revision, RegistryChange)) -> digest::Entry {
    let (id, listing) = match entry {
        RegistryChange::Put(listing) => (listing.id.to_string(), Some(tell_listing(listing))),
        RegistryChange::Removed(id) => (id.to_string(), None),
    };
    digest::Entry {
        revision,
        id,
        listing,
    }
}

fn hear_entry(told: digest::Entry) -> Option<(Revision, RegistryChange)> {
    let id = told.id.into();
    let entry = match told.listing {
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
    Some((told.revision, entry))
}

fn tell_listing(listing: Listing) -> digest::Listing {
    let ip = match listing.address.ip() {
        IpAddr::V4(ip) => ip,
        // The platform's network has no others.
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
