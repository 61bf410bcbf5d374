//! Integration tests of the daemon, gathered in one program.

mod relay_site;
mod site;
mod soak;
mod test_answer;
mod test_failures;
mod test_fleet;
mod test_leaving;
mod test_limits;
mod test_moves;
mod test_once;
mod test_operators;
mod test_path;
mod test_peers;
mod test_platform;
mod test_probe;
mod test_relay_answers;
mod test_relay_callers;
mod test_relay_cut;
mod test_relay_duties;
mod test_relay_end;
mod test_relay_log;
mod test_relay_rollout;
mod test_relay_store;
mod test_shares;
mod test_shutdown;
mod test_soak;
