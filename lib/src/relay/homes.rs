//! Homes: regions that the requests of a route or team must not leave.
//!
//! A daemon that does not reach a service forwards requests for it to daemons of its own region or
//! of the homes only, so the body of a request stays there if its endpoint does. Where both the route and the team have homes, both bind. A
//! zone whose region is unknown is a home of nobody who has any.

use crate::{RegionId, ZoneId};

/// Sorted zones whose endpoints may get a request, by the homes of its route and its team;
/// `None` if neither has any. `regions` is the region of each zone, sorted by zone.
pub fn home_zones(
    regions: &[(ZoneId, RegionId)],
    route: &[RegionId],
    team: &[RegionId],
) -> Option<Vec<ZoneId>> {
    if route.is_empty() && team.is_empty() {
        return None;
    }
    let allows =
        |homes: &[RegionId], region| homes.is_empty() || homes.binary_search(region).is_ok();
    let zones = regions
        .iter()
        .filter(|(_, region)| allows(route, region) && allows(team, region));
    Some(zones.map(|(zone, _)| zone.clone()).collect())
}
