//! Types of the ids that link the tables.
//!
//! Operators choose the text ids; daemons generate the numeric ones. The upper half of a
//! request id is the incarnation of the daemon that issued it, so that any daemon knows
//! which one to ask for the answer.

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
/// Hash of a zone's name, as used in messages between daemons.
pub type ZoneHash = u32;
/// Region of availability zones.
pub type RegionId = CompactString;
/// Version that an endpoint runs.
pub type VersionId = CompactString;
/// Host in the cloud.
pub type HostId = CompactString;
/// One run of a daemon process; a random number chosen at start and never reused.
pub type Incarnation = u64;
/// Request, unique over all daemons.
pub type RequestId = u128;
/// One attempt of a request at an endpoint, unique over all daemons.
pub type AttemptId = u128;
/// Revision of the configuration in the platform's key-value service. Its upper bits are the
/// era of the service, so that revisions also increase when the service, restored from an older
/// copy, issues its own revision numbers again.
pub type Revision = u64;
/// Number of times that the platform's key-value service was restored from an older copy.
pub type Era = u32;

/// Number of bits of a revision below its era. The service's own revisions are far smaller.
const ERA_BITS: u32 = 40;

/// Combines an era with a revision number that the service issued in it.
pub fn revision_in(era: Era, number: u64) -> Revision {
    (u64::from(era) << ERA_BITS) | number
}

/// Era of a revision.
pub fn era_of(revision: Revision) -> Era {
    (revision >> ERA_BITS) as Era
}

/// The revision number as the service issued it, without the era.
pub fn without_era(revision: Revision) -> u64 {
    revision & ((1 << ERA_BITS) - 1)
}

/// Combines a daemon's incarnation and its counter into an id.
pub fn joined(incarnation: Incarnation, count: u64) -> u128 {
    (u128::from(incarnation) << 64) | u128::from(count)
}

/// Incarnation of the daemon that issued an id.
pub fn issuer(id: u128) -> Incarnation {
    (id >> 64) as Incarnation
}

/// Formats an id for callers and logs: 32 hexadecimal digits.
pub fn hex(id: u128) -> CompactString {
    compact_str::format_compact!("{id:032x}")
}

/// Parses an id from 32 hexadecimal digits.
pub fn from_hex(text: &str) -> Option<u128> {
    if text.len() == 32 {
        u128::from_str_radix(text, 16).ok()
    } else {
        None
    }
}
