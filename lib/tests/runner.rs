//! Integration tests of the library, gathered in one program.

#[path = "traces/driver.rs"]
mod driver;
#[path = "traces/fleet.rs"]
mod fleet;
#[path = "traces/generate.rs"]
mod generate;

mod relay_engines;
mod rollout_fleet;
mod test_claims;
mod test_claims_races;
mod test_code;
mod test_config;
mod test_docs;
mod test_gossip;
mod test_gossip_fleet;
mod test_http1;
mod test_load;
mod test_load_parts;
mod test_load_schedules;
mod test_load_shares;
mod test_moves;
mod test_moves_evidence;
mod test_moves_faults;
mod test_relay_admit;
mod test_relay_answer_times;
mod test_relay_attempts;
mod test_relay_brittle;
mod test_relay_budget;
mod test_relay_catalog_update;
mod test_relay_change_feed;
mod test_relay_connectivity;
mod test_relay_crash;
mod test_relay_division;
mod test_relay_endpoint_table;
mod test_relay_engine;
mod test_relay_era_start;
mod test_relay_evacuation;
mod test_relay_fair_share;
mod test_relay_fleet;
mod test_relay_handling;
mod test_relay_limit;
mod test_relay_links;
mod test_relay_membership;
mod test_relay_pace;
mod test_relay_quarantine;
mod test_relay_quota;
mod test_relay_reachability;
mod test_relay_refresh;
mod test_relay_reserve;
mod test_relay_rollout;
mod test_relay_rollout_troubles;
mod test_relay_selection;
mod test_relay_shared;
mod test_relay_shutdown;
mod test_relay_slow_start;
mod test_relay_startup;
mod test_relay_stream;
mod test_routing;
mod test_routing_cache;
mod test_routing_leaving;
mod test_settings;
mod test_store;
mod test_table;
