//! Parts of digests.

use std::time::Instant;

use compact_str::CompactString;
use poplarvale_lib::protos::relay::{Digest, UsageRecord, digest};
use poplarvale_lib::relay::connectivity::ReachableSpan;
use poplarvale_lib::relay::demand::Work;
use poplarvale_lib::relay::limit::{AnnouncedLimit, Source};
use poplarvale_lib::relay::links::Results;
use poplarvale_lib::relay::load_reports::Load;
use poplarvale_lib::relay::membership::{Candidate, PERIOD, ZoneRoster};
use poplarvale_lib::relay::pace::{EndpointPace, Pace};
use poplarvale_lib::relay::quota::division::TeamDemands;
use poplarvale_lib::relay::quota::{Sum, TeamUse, name_hash};
use poplarvale_lib::relay::rollout::evidence::{Comparison, Key, VersionCounts};
use poplarvale_lib::relay::rollout::{MoveReport, Outcome};
use poplarvale_lib::relay::sent_uses::SentUse;

use crate::relay::crash;
use crate::relay::state::State;

/// One in so many digests lists all quarantined requests, not only the latest.
const FULL_EVERY: u64 = 4;
/// One in so many digests to other zones tells the paces of endpoints, which grow its rows by a fifth.
const PACES_EVERY: u64 = 4;
/// Endpoints of one report above which it tells no paces: with them it might not fit a datagram.
const MAX_PACED_ROWS: usize = 3000;

/// Whose observations a digest has.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Scope {
    /// Those of the sender.
    Own,
    /// Also those that the sender learned from others.
    Relayed,
}

/// What each digest tells of its sender.
pub(super) fn header(state: &State, now: Instant) -> Digest {
    let peers = state.peers.borrow();
    let location = peers.own_location();
    let span = state.connectivity.get().span();
    let progress = state.store_progress.borrow();
    Digest {
        name: state.settings.name.to_string(),
        incarnation: state.incarnation,
        sequence: state.next_digest(),
        wall_ms: State::wall_ms(),
        uptime_ms: state.started.elapsed().as_millis() as u64,
        zone: location.zone,
        memory: location.memory_mb,
        contact: span.map(|span| encode_contact(span, now)),
        period_ms: PERIOD.as_millis() as u32,
        watcher: peers.is_watcher(),
        closing: peers.is_closing(),
        blind: peers.is_blind(now),
        receiving: state.is_receiving(now),
        cut_off: cut_off(state),
        config_revision: progress.config_revision(),
        config_read: progress.config_read().unwrap_or_default(),
        link: own_link(state),
        follows: peers.followed(now).map_or(0, u32::from),
        holder: state.holder.get().map(|(address, token)| digest::Holder {
            address: address.into(),
            token,
        }),
        ..Digest::default()
    }
}

/// What the link of this host carries, in kilobytes a second; 0 if it is not known.
pub(crate) fn own_link(state: &State) -> u32 {
    (state.settings.capacity.link / 1000.0) as u32
}

/// Hashes of the services whose requests this daemon has others serve.
fn cut_off(state: &State) -> Vec<u32> {
    let (reach, links) = (state.reach.borrow(), state.links.borrow());
    let services = reach.cut_off().chain(links.impaired());
    let mut hashes: Vec<u32> = services.map(|service| name_hash(service)).collect();
    hashes.sort_unstable();
    hashes.dedup();
    hashes
}

/// Adds what concerns all daemons: crashes, limits, departures, states of version moves and the last
/// report of usage.
pub(super) fn shared(
    state: &State,
    message: &mut Digest,
    limits: Source,
    scope: Scope,
    now: Instant,
) {
    let relays = scope == Scope::Relayed;
    let full = message.sequence.is_multiple_of(FULL_EVERY);
    let crashes = state.crashes.borrow();
    let reported = crashes.report(full, relays, now).into_iter();
    message.crashes = reported.map(crash::to_digest).collect();
    message.cleared = crashes.report_cleared(now);
    let falls = crashes.report_falls(relays, now).into_iter();
    message.falls = falls.map(crash::encode_fall).collect();
    let table = state.endpoints.borrow();
    let limits = table.advertised_limits(limits, now).into_iter();
    message.limits = limits.map(|row| encode_limit(row, now)).collect();
    message.leaving = table.report_departures(relays, now);
    message.moves = if relays {
        moves_without_evidence(state)
    } else {
        encode_moves(state)
    };
    let usage = state.usage.borrow();
    message.fixed = usage.advertised(now).map(|report| UsageRecord {
        number: report.window,
        counts: report.counts.to_string(),
        era: report.era,
    });
}

/// All version moves, with what this daemon itself observed lately.
fn encode_moves(state: &State) -> Vec<digest::Move> {
    let rollouts = state.rollouts.borrow();
    let reports = rollouts.reports(state.unix_ms());
    reports.map(encode_move).collect()
}

/// All version moves, without evidence: it counts for the daemon that saw it, which sends it itself.
pub(crate) fn moves_without_evidence(state: &State) -> Vec<digest::Move> {
    let rollouts = state.rollouts.borrow();
    let moves = rollouts.reports(state.unix_ms()).map(|report| {
        encode_move(MoveReport {
            comparisons: Vec::new(),
            ..report
        })
    });
    moves.collect()
}

/// Adds the counts of runs and the evidence of version moves. Counts of all windows that are kept
/// if `all` is set, otherwise of the last two.
pub(super) fn runs(state: &State, message: &mut Digest, all: bool, now: Instant) {
    let usage = state.usage.borrow();
    let current = state.usage_window(now);
    let windows = usage.mine();
    let windows = windows.filter(|(number, _)| all || number + 1 >= current);
    let windows = windows.map(|(number, counts)| digest::Window {
        number,
        counts: counts.iter().map(encode_count).collect(),
    });
    message.windows = windows.collect();
    message.moves = encode_moves(state);
}

/// What this daemon admitted and has in progress, and remembers it under the digest's number.
pub(super) fn own_use(state: &State, sequence: u64, now: Instant) -> digest::Use {
    let quota = state.quota.borrow();
    let loads = state.endpoints.borrow().local_load();
    let results = state.links.borrow().own_results(now);
    let demands = quota.own_demands(now);
    let since = now.checked_sub(PERIOD).unwrap_or(now);
    let message = digest::Use {
        daemons: 1,
        teams: encode_teams(quota.team_uses(now), &demands),
        endpoints: encode_loads(state, &loads, |pace| pace.heard_since(since)),
        period_ms: PERIOD.as_millis() as u32,
        services: encode_work(state.demand.borrow().local_rates(now)),
        results: encode_results(&results),
        ..digest::Use::default()
    };
    state.sent_uses.borrow_mut().push(SentUse {
        sequence,
        teams: quota.all_uses(now),
        demands,
        loads,
        results,
    });
    message
}

/// Sums of this daemon's zone, for the digest of this number.
pub(super) fn zone_use(state: &State, sequence: u64, now: Instant) -> digest::Use {
    let zone = state.peers.borrow().own_location().zone;
    let sum = state.quota.borrow().zone_sum(zone, now);
    let services = encode_work(state.demand.borrow().zone_rates(zone, now));
    let results = state.links.borrow().zone_results(zone, now);
    let loads = state.endpoints.borrow().zone_load(zone);
    digest::Use {
        services,
        results: encode_results(&results),
        ..encode_sum(state, sum, &loads, |pace| {
            let is_due = sequence.is_multiple_of(PACES_EVERY);
            let mean = pace.zone_mean(now).filter(|_| is_due);
            mean.filter(|pace| !pace.is_usual())
        })
    }
}

/// Sums of all daemons.
pub(super) fn fleet_use(state: &State, now: Instant) -> digest::Use {
    let sum = state.quota.borrow().fleet_sum(now);
    let results = state.links.borrow().fleet_results(now);
    let loads = state.endpoints.borrow().fleet_load();
    digest::Use {
        results: encode_results(&results),
        ..encode_sum(state, sum, &loads, |pace| {
            pace.fleet_mean(now).filter(|pace| !pace.is_usual())
        })
    }
}

fn encode_sum(
    state: &State,
    sum: Sum,
    loads: &[(u32, Load)],
    pace: impl Fn(&EndpointPace) -> Option<Pace>,
) -> digest::Use {
    digest::Use {
        daemons: sum.coverage.daemons,
        silent: sum.coverage.unresponsive,
        age_ms: sum.coverage.age.as_millis() as u32,
        uptime_ms: sum.uptime.as_millis() as u64,
        teams: encode_teams(sum.uses, &sum.demands),
        endpoints: encode_loads(state, loads, pace),
        period_ms: PERIOD.as_millis() as u32,
        services: Vec::new(),
        results: Vec::new(),
    }
}

fn encode_results(results: &[(u32, Results)]) -> Vec<digest::ServiceResults> {
    let rows = results.iter().map(|(service, row)| digest::ServiceResults {
        service: *service,
        attempts: row.attempts,
        answered: row.answered,
    });
    rows.collect()
}

fn encode_work(rates: Vec<(u32, Work)>) -> Vec<digest::ServiceWork> {
    let rows = rates
        .into_iter()
        .map(|(service, work)| digest::ServiceWork {
            service,
            read: work.read as u32,
            write: work.write as u32,
        });
    rows.collect()
}

/// Both are sorted by team.
fn encode_teams(uses: Vec<TeamUse>, demands: &TeamDemands) -> Vec<digest::TeamUse> {
    let kinds = |team: u32| {
        let at = demands.binary_search_by_key(&team, |row| row.0);
        at.map_or_else(|_| Vec::new(), |at| demands[at].1.to_row())
    };
    let rows = uses.into_iter().map(|row| digest::TeamUse {
        kinds: kinds(row.team),
        team: row.team,
        units: row.units as u32,
        rate: row.rate as u32,
        total: row.total,
        asked: row.demand as u32,
    });
    rows.collect()
}

/// Loads with the paces of their endpoints, of which `pace` reads what is told.
fn encode_loads(
    state: &State,
    loads: &[(u32, Load)],
    pace: impl Fn(&EndpointPace) -> Option<Pace>,
) -> Vec<digest::EndpointUse> {
    let table = state.endpoints.borrow();
    let has_room = loads.len() <= MAX_PACED_ROWS;
    let rows = loads.iter().map(|(endpoint, load)| digest::EndpointUse {
        endpoint: *endpoint,
        requests: load.requests,
        tokens: load.tokens as u32,
        pace: table
            .pace(*endpoint)
            .filter(|_| has_room)
            .and_then(&pace)
            .map_or(0, Pace::percent),
    });
    rows.collect()
}

/// Daemons that run, and watchers.
pub(crate) fn roster(zones: ZoneRoster, candidates: Vec<Candidate>) -> digest::Roster {
    let zones = zones.into_iter().map(|(zone, daemons)| digest::ZoneRoster {
        zone,
        daemons: daemons.into_iter().map(u32::from).collect(),
    });
    let candidates = candidates.into_iter().map(|row| digest::Candidate {
        address: row.address.into(),
        zone: row.location.zone,
        memory: row.location.memory_mb,
        watcher: row.is_watcher,
        link: 0,
    });
    digest::Roster {
        zones: zones.collect(),
        candidates: candidates.collect(),
    }
}

fn encode_limit((endpoint, limit): (u32, AnnouncedLimit), now: Instant) -> digest::EndpointLimit {
    let age = now.saturating_duration_since(limit.at).as_millis();
    digest::EndpointLimit {
        endpoint,
        rate: limit.rate.map(|rate| rate as f32),
        age_ms: u32::try_from(age).unwrap_or(u32::MAX),
    }
}

fn encode_contact(span: ReachableSpan, now: Instant) -> digest::Contact {
    let age = |at: Instant| now.saturating_duration_since(at).as_millis();
    let age = |at| u32::try_from(age(at)).unwrap_or(u32::MAX);
    digest::Contact {
        since_ms: age(span.since),
        heard_ms: age(span.last_answer),
    }
}

fn encode_move(report: MoveReport) -> digest::Move {
    let side = |side: VersionCounts| digest::Side {
        all: side.requests,
        bad: side.failures,
        time: side.time_s as f32,
        slow: side.slow,
    };
    let seen = |(key, comparison): (Key, Comparison)| digest::Seen {
        route: key.route,
        period: key.period,
        endpoint: key.endpoint,
        old: Some(side(comparison.old)),
        new: Some(side(comparison.new)),
    };
    let outcome = |outcome: Outcome| match outcome {
        Outcome::Running => digest::Outcome::Running,
        Outcome::Completed => digest::Outcome::Completed,
        Outcome::RolledBack => digest::Outcome::RolledBack,
    };
    digest::Move {
        service: report.order.service.to_string(),
        target: report.order.target.to_string(),
        revision: report.order.revision,
        begin_ms: report.begin,
        finish_ms: report.finish,
        outcome: outcome(report.outcome).into(),
        stored: report.stored.map(|stored| outcome(stored).into()),
        seen: report.comparisons.into_iter().map(seen).collect(),
        tried_ms: report.tried,
        doubted_ms: report.doubted,
        fresh: report.is_fresh,
        carried: report.is_carried,
    }
}

fn encode_count((team, runs): &(CompactString, u32)) -> digest::Count {
    digest::Count {
        team: team.to_string(),
        runs: *runs,
    }
}
