//! Endpoint selection by cost, models of endpoint load and prefix caches, and
//! migration of streams away from endpoints that are leaving.
//!
//! Each module makes one kind of decision from its arguments alone, without
//! access to the world's tables or the clock, so that it can be read, tested and
//! embedded separately. [`View`] holds what a daemon knows about its endpoints
//! beyond the endpoint table; the systems `choose`, `dispatch` and `leaving` use it
//! in each tick.

mod backlog;
mod block_filter;
mod cost;
mod distance;
mod endpoint_load;
mod migration;
mod notice;
mod pick;
mod prefix_cache;
mod rendezvous;
mod route_latency;
mod view;

pub use backlog::Backlog;
pub use cost::{
    CROSS_REGION_S, CROSS_ZONE_S, Cost, PRICE_S, STREAM_S, TIE_S, predicted_wait, price_penalty,
};
pub use distance::{Distance, ZoneRegions};
pub use endpoint_load::{EndpointLoad, LoadReport};
pub use migration::{MIGRATION_MARGIN, Migration, Stream, ends_in_time, plan_migration};
pub use notice::{NOTICE_TTL, Notices};
pub use pick::{Criteria, Pick, Policy, has_candidate, pick};
pub use prefix_cache::{BLOCK_TOKENS, CacheEvent, CachedPrefix, MAX_BLOCKS, PrefixCache};
pub use rendezvous::{CHOICES, KEY_DEPTHS, LoadBound, choices, prefix_key, weight};
pub use route_latency::{MIN_SAMPLES, MIN_TAIL, RouteLatencies, RouteLatency};
pub use view::{EndpointInfo, Event, View};
