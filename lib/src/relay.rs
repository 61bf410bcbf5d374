//! Decisions of the relay, a reverse proxy that passes requests byte for byte to endpoints.
//!
//! A daemon relays requests between callers and the endpoints of a platform that keeps its
//! configuration and its list of endpoints in a key-value store. An adapter decodes the data of
//! the platform into the types of [`catalog`] and [`listing`]; the connections of the daemon
//! execute what the other modules decide. Nothing here reads from a socket or a clock.

pub mod admit;
pub mod answer_times;
pub mod attempts;
pub mod breaker;
pub mod brittle;
pub mod budget;
pub mod catalog;
pub mod catalog_log;
pub mod catalog_update;
pub mod change_feed;
pub mod clock;
pub mod connectivity;
pub mod crash;
pub mod demand;
pub(crate) mod departures;
pub mod duty;
pub mod endpoint_table;
pub mod engine;
pub mod era_start;
pub mod evacuation;
pub mod fair_share;
pub mod fleet;
pub mod handling;
pub mod homes;
pub mod limit;
pub mod links;
pub mod listing;
pub mod load_reports;
pub mod max_min;
pub mod membership;
pub mod pace;
pub mod prefix_cache;
pub mod quota;
pub mod reachability;
pub mod refresh;
pub mod request;
pub(crate) mod rests;
pub mod rollout;
pub mod selection;
pub mod sent_uses;
pub mod settings;
pub mod sharers;
pub mod shutdown;
pub mod silence;
pub mod slow_start;
pub mod sse;
pub mod startup;
pub(crate) mod token_bucket;
pub(crate) mod tombstones;
pub mod usage;
