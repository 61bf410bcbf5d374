//! Names of the ids that tie the tables together.
//!
//! Operators choose the text ids; the numbers are drawn by daemons. A request
//! id carries the incarnation of the daemon that gave it out in its upper half,
//! so that any daemon can tell whom to ask for the answer.

use compact_str::CompactString;

/// Customer in the operators' list.
pub type CustomerId = CompactString;
/// Plan in the operators' list.
pub type PlanId = CompactString;
/// Service that endpoints serve.
pub type ServiceId = CompactString;
/// Model that a model service offers.
pub type ModelId = CompactString;
/// One endpoint process.
pub type EndpointId = CompactString;
/// Availability zone.
pub type ZoneId = CompactString;
/// Hash of a zone's name, as daemons tell it to one another.
pub type ZoneHash = u32;
/// Region of availability zones.
pub type RegionId = CompactString;
/// Version that an endpoint runs.
pub type VersionId = CompactString;
/// Host of the cloud.
pub type HostId = CompactString;
/// One life of a daemon process; drawn at start and never used again.
pub type Incarnation = u64;
/// Request, unique over all daemons.
pub type RequestId = u128;
/// One sending of a request to an endpoint, unique over all daemons.
pub type AttemptId = u128;
/// Revision of the configuration in the platform's key-value service. Its upper bits are the
/// service's era, so revisions rise also where the service gives them out again.
pub type Revision = u64;
/// How often the platform's key-value service came back from an older copy.
pub type Era = u32;

/// Bits of a revision below its era. The service's own revisions are far smaller.
const ERA_BITS: u32 = 40;

/// A revision that the service gave out in an era.
pub fn revision_in(era: Era, bare: u64) -> Revision {
    (u64::from(era) << ERA_BITS) | bare
}

/// Era of a revision.
pub fn era_of(revision: Revision) -> Era {
    (revision >> ERA_BITS) as Era
}

/// A revision as the service gave it out.
pub fn bare(revision: Revision) -> u64 {
    revision & ((1 << ERA_BITS) - 1)
}

/// Joins a daemon's incarnation and its own count to an id.
pub fn joined(incarnation: Incarnation, count: u64) -> u128 {
    (u128::from(incarnation) << 64) | u128::from(count)
}

/// Incarnation that gave an id out.
pub fn issuer(id: u128) -> Incarnation {
    (id >> 64) as Incarnation
}

/// An id as callers and logs see it: 32 hexadecimal digits.
pub fn hex(id: u128) -> CompactString {
    compact_str::format_compact!("{id:032x}")
}

/// Reads an id from 32 hexadecimal digits.
pub fn from_hex(text: &str) -> Option<u128> {
    if text.len() == 32 {
        u128::from_str_radix(text, 16).ok()
    } else {
        None
    }
}
