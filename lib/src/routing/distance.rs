//! Network distance between availability zones.

use crate::ids::{RegionId, ZoneId};
use crate::routing::cost::{CROSS_REGION_S, CROSS_ZONE_S};
use crate::table::{Row, Table};

/// Distance of an endpoint from this daemon.
#[proc_macros::kind]
pub enum Distance {
    /// Same availability zone.
    Zone,
    /// Another availability zone of the same region.
    Region,
    /// Another region.
    Far,
}

impl Distance {
    /// All distances, nearest first.
    pub const ALL: [Self; 3] = [Self::Zone, Self::Region, Self::Far];

    /// Seconds that it adds to the cost.
    pub fn seconds(self) -> f64 {
        match self {
            Self::Zone => 0.0,
            Self::Region => CROSS_ZONE_S,
            Self::Far => CROSS_REGION_S,
        }
    }
}

#[proc_macros::row]
struct ZoneRegion {
    zone: ZoneId,
    region: RegionId,
}

impl Row for ZoneRegion {
    type Id = ZoneId;
    fn id(&self) -> &ZoneId {
        &self.zone
    }
}

/// Regions of the availability zones.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ZoneRegions {
    regions: Table<ZoneRegion>,
}

impl ZoneRegions {
    /// Sets the region of a zone.
    pub fn set(&mut self, zone: ZoneId, region: RegionId) {
        self.regions.insert(ZoneRegion { zone, region });
    }

    /// Distance from a zone and its region to another zone. A zone whose region
    /// is unknown counts as one of the same region.
    pub fn distance(&self, zone: &ZoneId, region: &RegionId, to: &ZoneId) -> Distance {
        if zone == to {
            return Distance::Zone;
        }
        match self.regions.get(to) {
            Some(known) if known.region != *region => Distance::Far,
            _ => Distance::Region,
        }
    }
}
