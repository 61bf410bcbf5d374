//! Applies what other daemons report to the shared state.

use std::net::Ipv4Addr;
use std::time::{Duration, Instant};

use compact_str::CompactString;
use poplarvale_lib::Revision;
use poplarvale_lib::protos::relay::{Digest, UsageRecord, digest};
use poplarvale_lib::relay::change_feed::Pull;
use poplarvale_lib::relay::connectivity::ReachableSpan;
use poplarvale_lib::relay::demand::Work;
use poplarvale_lib::relay::endpoint_table::Changed;
use poplarvale_lib::relay::limit::{AnnouncedLimit, Source};
use poplarvale_lib::relay::links::{self, Results, ServiceResults};
use poplarvale_lib::relay::load_reports::{self, Load, Reporter};
use poplarvale_lib::relay::membership::{
    Candidate, Location, MISSED_PERIODS, PERIOD, Peers, Statement,
};
use poplarvale_lib::relay::pace::Pace;
use poplarvale_lib::relay::quota::division::{self, Demands, TeamDemands};
use poplarvale_lib::relay::quota::{Coverage, PeerReport, Quota, TeamUse};
use poplarvale_lib::relay::rollout::evidence::{Comparison, Key, VersionCounts};
use poplarvale_lib::relay::rollout::{MoveChange, MoveReport, Order, Outcome};
use poplarvale_lib::relay::usage::Report;

use super::change_feed;
use crate::relay::catalog::timeline::{self, Source as ConfigSource};
use crate::relay::crash;
use crate::relay::state::State;
use crate::relay::watch::{apply_feed, log_changes};

/// Shortest and longest time between two reports that a daemon may state.
const MAX_PERIOD: Duration = Duration::from_secs(8);
/// One in so many digests that this daemon gets by mistake is answered with who watches the zone.
const ANSWER_EVERY: u64 = 4;

/// What the sender of a digest is to be answered.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct Replies {
    /// Who runs and who watches.
    pub(super) roster: bool,
    /// The changes of the registry that it misses.
    pub(super) page: Option<Pull>,
    /// That this daemon misses changes.
    pub(super) pull: bool,
}

/// Applies a digest to the shared state, unless a newer one of its sender was received before.
pub(super) fn apply_digest(state: &State, from: Ipv4Addr, digest: Digest) -> Replies {
    let now = Instant::now();
    let name = CompactString::from(digest.name.as_str());
    let contact = digest
        .contact
        .and_then(|contact| decode_contact(contact, now));
    if !record_sender(state, from, &digest, contact, now) {
        return Replies::default();
    }
    if let Some(span) = contact {
        end_doubt(state, &name, span, now);
    }
    record_config(state, &name, digest.config_revision);
    state.clock.borrow_mut().record(&name, digest.wall_ms, now);
    merge_holder(state, digest.holder);
    merge_left(state, &digest.left, &name);
    merge_departures(state, &digest.leaving, &name, now);
    let (own_zone, is_watcher) = {
        let peers = state.peers.borrow();
        (peers.own_location().zone, peers.is_watcher())
    };
    let is_local = digest.zone == own_zone;
    if is_local && digest.receiving {
        state.peer_receiving.set(Some(now));
    }
    let source = if is_local && digest.own.is_some() {
        Source::Zone
    } else {
        Source::Fleet
    };
    for limit in &digest.limits {
        merge_limit(state, &name, limit, source, now);
    }
    for fall in digest.falls {
        crash::merge_fall(state, &name, fall);
    }
    for row in digest.crashes {
        crash::merge(state, &name, row);
    }
    for fingerprint in digest.cleared {
        crash::merge_cleared(state, &name, fingerprint, is_watcher);
    }
    for message in digest.moves {
        merge_move(state, &name, message);
    }
    if let Some(record) = digest.fixed {
        merge_finalized(state, record, &name, now);
    }
    merge_runs(state, &name, digest.incarnation, digest.windows);
    let sender = Sender {
        name: &name,
        address: from,
        zone: digest.zone,
        incarnation: digest.incarnation,
        uptime: Duration::from_millis(digest.uptime_ms),
    };
    // The sender takes this daemon for a watcher.
    let is_mistaken = !is_watcher && (digest.own.is_some() || digest.zone_use.is_some());
    let is_mistaken = is_mistaken && digest.sequence.is_multiple_of(ANSWER_EVERY);
    if let Some(own) = digest.own.filter(|_| is_local && is_watcher) {
        merge_own(state, &sender, digest.sequence, &own, now);
    }
    if let Some(zone_use) = digest.zone_use.filter(|_| !is_local && is_watcher) {
        merge_zone(state, &sender, &zone_use, now);
    }
    if let Some(fleet_use) = digest.fleet_use.filter(|_| is_local && !is_watcher) {
        merge_fleet(state, &sender, digest.seen, &fleet_use, now);
    }
    Replies {
        roster: digest.asks || is_mistaken,
        page: digest.pull.map(change_feed::decode_pull),
        pull: digest
            .news
            .is_some_and(|news| merge_feed(state, &name, news, now)),
    }
}

/// Records who sent a digest and whom it lists; `false` if the digest is outdated.
fn record_sender(
    state: &State,
    from: Ipv4Addr,
    digest: &Digest,
    store: Option<ReachableSpan>,
    now: Instant,
) -> bool {
    let mut peers = state.peers.borrow_mut();
    let name = CompactString::from(digest.name.as_str());
    if !peers.record_digest(from, &name, digest.incarnation, digest.sequence, now) {
        return false;
    }
    let statement = Statement {
        location: Location {
            zone: digest.zone,
            memory_mb: digest.memory,
        },
        store,
        period: period(digest.period_ms),
        is_watcher: digest.watcher,
        is_closing: digest.closing,
        is_blind: digest.blind,
        follows: (digest.follows != 0).then(|| Ipv4Addr::from(digest.follows)),
        config_read: digest.config_read,
    };
    if peers.update(from, statement, now) {
        // This daemon may have to take its place.
        state.digest_due.notify_one();
    }
    peers.record_link(from, digest.link, now);
    peers.set_cut_off(from, &digest.cut_off, now);
    if let Some(roster) = &digest.roster {
        let former = peers.parents(now);
        merge_roster(&mut peers, roster, now);
        if !state.start.is_ready() && peers.parents(now) != former {
            // This daemon asks the watchers of its zone for what it lacks.
            state.digest_due.notify_one();
        }
    }
    true
}

/// Merges daemons that another one lists as running.
pub(crate) fn merge_roster(peers: &mut Peers, roster: &digest::Roster, now: Instant) {
    let zones = roster.zones.iter().map(|row| {
        let daemons = row.daemons.iter().copied().map(Ipv4Addr::from);
        (row.zone, daemons.collect())
    });
    let candidates = roster.candidates.iter().map(|row| Candidate {
        address: row.address.into(),
        location: Location {
            zone: row.zone,
            memory_mb: row.memory,
        },
        is_watcher: row.watcher,
    });
    let candidates: Vec<Candidate> = candidates.collect();
    peers.merge_roster(&zones.collect(), &candidates, now);
}

/// Records the newest change of the operators that another daemon was told of. The digest may also
/// have told that its sender has a change that this daemon waits for.
fn record_config(state: &State, name: &CompactString, revision: Revision) {
    let mut progress = state.store_progress.borrow_mut();
    progress.record_config_change(revision);
    let lacks_any = progress.needs_config();
    drop(progress);
    if lacks_any {
        timeline::told(state, revision, ConfigSource::Daemon(name));
        state.config_due.notify_one();
    }
}

/// Time until the next report, as stated by its sender.
fn period(millis: u32) -> Duration {
    Duration::from_millis(millis.into()).clamp(PERIOD, MAX_PERIOD)
}

/// Records who holds the duties; the higher fencing token does.
fn merge_holder(state: &State, holder: Option<digest::Holder>) {
    let Some(holder) = holder else { return };
    let known = state.holder.get();
    if known.is_none_or(|known| known.1 < holder.token) {
        let address = Ipv4Addr::from(holder.address);
        state.holder.set(Some((address, holder.token)));
    }
}

/// Marks endpoints as leaving. A watcher passes that on to its zone and to the others.
fn merge_left(state: &State, left: &[u32], name: &str) {
    if left.is_empty() {
        return;
    }
    let found = state.endpoints.borrow_mut().mark_leaving(left);
    if found.is_empty() {
        return;
    }
    log::debug!(
        "board: {name} reports that {} endpoints leave.",
        found.len()
    );
    let changes: Vec<_> = found.into_iter().map(|id| (id, Changed::Left)).collect();
    log_changes(state, &changes);
    if state.peers.borrow().is_watcher() {
        state.left_endpoints.borrow_mut().extend(left);
        state.digest_due.notify_one();
    }
}

/// Merges the endpoints that announced to another daemon that they leave.
fn merge_departures(state: &State, leaving: &[u32], name: &str, now: Instant) {
    if leaving.is_empty() {
        return;
    }
    let mut table = state.endpoints.borrow_mut();
    let found = table.merge_departures(leaving, now);
    drop(table);
    if found.is_empty() {
        return;
    }
    log::debug!(
        "board: {} endpoints announced to {name} that they leave.",
        found.len()
    );
    let changes: Vec<_> = found.into_iter().map(|id| (id, Changed::Left)).collect();
    log_changes(state, &changes);
    if state.peers.borrow().is_watcher() {
        state.digest_due.notify_one();
    }
}

/// Sender of a report.
#[derive(Debug)]
struct Sender<'d> {
    name: &'d CompactString,
    address: Ipv4Addr,
    zone: u32,
    incarnation: u64,
    uptime: Duration,
}

impl Sender<'_> {
    fn report(&self, uses: Vec<TeamUse>, coverage: Coverage, now: Instant) -> PeerReport {
        PeerReport {
            name: self.name.clone(),
            zone: self.zone,
            incarnation: self.incarnation,
            received: now,
            started: now.checked_sub(self.uptime).unwrap_or(now),
            coverage,
            uses,
        }
    }
}

/// Merges what a daemon of this zone reports of itself.
fn merge_own(state: &State, sender: &Sender<'_>, sequence: u64, own: &digest::Use, now: Instant) {
    let mut peers = state.peers.borrow_mut();
    peers.record_use(sender.address, sequence, now);
    let report = sender.report(decode_teams(&own.teams), Coverage::default(), now);
    let timeout = period(own.period_ms) * MISSED_PERIODS;
    let reporter = Reporter::Daemon(sender.zone, sender.name.clone());
    let mut quota = state.quota.borrow_mut();
    quota.merge_report(&report, timeout);
    quota.merge_demands(&reporter, decode_demands(&own.teams));
    drop(quota);
    merge_demand(state, reporter.clone(), &own.services, now);
    merge_results(state, reporter.clone(), decode_results(&own.results), now);
    merge_endpoints(state, reporter, &own.endpoints, now);
}

fn decode_coverage(message: &digest::Use) -> Coverage {
    Coverage {
        daemons: message.daemons,
        unresponsive: message.silent,
        age: Duration::from_millis(message.age_ms.into()),
    }
}

/// Merges the sums of another zone.
fn merge_zone(state: &State, sender: &Sender<'_>, zone_use: &digest::Use, now: Instant) {
    let mut report = sender.report(
        decode_teams(&zone_use.teams),
        decode_coverage(zone_use),
        now,
    );
    report.started = now
        .checked_sub(Duration::from_millis(zone_use.uptime_ms))
        .unwrap_or(now);
    let timeout = period(zone_use.period_ms) * MISSED_PERIODS;
    let reporter = Reporter::Zone(sender.zone);
    let mut quota = state.quota.borrow_mut();
    quota.merge_zone(&report, timeout);
    quota.merge_demands(&reporter, decode_demands(&zone_use.teams));
    drop(quota);
    merge_demand(state, reporter.clone(), &zone_use.services, now);
    merge_results(
        state,
        reporter.clone(),
        decode_results(&zone_use.results),
        now,
    );
    merge_endpoints(state, reporter, &zone_use.endpoints, now);
}

/// Merges the sums of the fleet, less what they have of this daemon itself: the watcher got its
/// digest of the number `seen` last, or none if that is 0.
fn merge_fleet(
    state: &State,
    sender: &Sender<'_>,
    seen: u64,
    fleet_use: &digest::Use,
    now: Instant,
) {
    if state.peers.borrow().followed(now) != Some(sender.address) {
        return;
    }
    let sent_uses = state.sent_uses.borrow();
    let own = sent_uses.get(seen);
    if seen != 0 && own.is_none() {
        log::debug!("peers: {} has nothing new of this daemon.", sender.name);
        return;
    }
    let mut coverage = decode_coverage(fleet_use);
    let (mut uses, mut loads) = (
        decode_teams(&fleet_use.teams),
        decode_loads(&fleet_use.endpoints),
    );
    let mut results = decode_results(&fleet_use.results);
    let mut demands = decode_demands(&fleet_use.teams);
    if let Some(own) = own {
        coverage.daemons = coverage.daemons.saturating_sub(1);
        uses = Quota::without_own(uses, &own.teams);
        loads = load_reports::without_own(loads, &own.loads);
        results = links::without_own(results, &own.results);
        demands = division::without_own(demands, &own.demands);
    }
    let mut report = sender.report(uses, coverage, now);
    // Totals with and without this daemon's part count from different values.
    report.incarnation ^= u64::from(own.is_some());
    report.started = now
        .checked_sub(Duration::from_millis(fleet_use.uptime_ms))
        .unwrap_or(now);
    let timeout = period(fleet_use.period_ms) * MISSED_PERIODS;
    let mut quota = state.quota.borrow_mut();
    quota.merge_fleet(&report, timeout);
    quota.merge_demands(&Reporter::Fleet, demands);
    drop(quota);
    let mut table = state.endpoints.borrow_mut();
    table.merge_paces(&Reporter::Fleet, &decode_paces(&fleet_use.endpoints), now);
    table.apply_report(Reporter::Fleet, loads, now);
    drop(table);
    merge_results(state, Reporter::Fleet, results, now);
}

fn decode_teams(rows: &[digest::TeamUse]) -> Vec<TeamUse> {
    let row = |row: &digest::TeamUse| TeamUse {
        team: row.team,
        units: f64::from(row.units),
        total: row.total,
        rate: f64::from(row.rate),
        demand: f64::from(row.asked),
    };
    let mut uses: Vec<TeamUse> = rows.iter().map(row).collect();
    uses.sort_by_key(|row| row.team);
    uses
}

fn decode_demands(rows: &[digest::TeamUse]) -> TeamDemands {
    let known = rows.iter().filter(|row| !row.kinds.is_empty());
    let row = |row: &digest::TeamUse| (row.team, Demands::from_row(&row.kinds));
    let mut demands: TeamDemands = known.map(row).collect();
    demands.sort_by_key(|row| row.0);
    demands
}

/// Merges what is in progress at endpoints, and their paces.
fn merge_endpoints(state: &State, reporter: Reporter, rows: &[digest::EndpointUse], now: Instant) {
    let mut table = state.endpoints.borrow_mut();
    table.merge_paces(&reporter, &decode_paces(rows), now);
    table.apply_report(reporter, decode_loads(rows), now);
}

/// Paces by hash of the endpoint's id; 0 stands for a usual or unknown one.
fn decode_paces(rows: &[digest::EndpointUse]) -> Vec<(u32, Pace)> {
    let row = |row: &digest::EndpointUse| Some((row.endpoint, Pace::from_percent(row.pace)?));
    rows.iter().filter_map(row).collect()
}

fn decode_loads(rows: &[digest::EndpointUse]) -> Vec<(u32, Load)> {
    let mut loads: Vec<(u32, Load)> = rows.iter().map(decode_load).collect();
    loads.sort_by_key(|row| row.0);
    loads
}

/// Merges the runs that another daemon counted.
fn merge_runs(state: &State, name: &CompactString, incarnation: u64, windows: Vec<digest::Window>) {
    let mut usage = state.usage.borrow_mut();
    for window in windows {
        let row = |count: digest::Count| (CompactString::from(count.team), count.runs);
        let counts = window.counts.into_iter().map(row).collect();
        usage.merge(window.number, (name.clone(), incarnation), counts);
    }
}

fn merge_demand(state: &State, reporter: Reporter, services: &[digest::ServiceWork], now: Instant) {
    let work = services.iter().map(|row| {
        let work = Work {
            read: f64::from(row.read),
            write: f64::from(row.write),
        };
        (row.service, work)
    });
    let mut demand = state.demand.borrow_mut();
    demand.merge(reporter, work.collect(), now);
}

fn merge_results(state: &State, reporter: Reporter, results: ServiceResults, now: Instant) {
    state.links.borrow_mut().merge(reporter, results, now);
}

fn decode_results(rows: &[digest::ServiceResults]) -> ServiceResults {
    let row = |row: &digest::ServiceResults| {
        let results = Results {
            attempts: row.attempts,
            answered: row.answered.min(row.attempts),
        };
        (row.service, results)
    };
    let mut results: ServiceResults = rows.iter().map(row).collect();
    results.sort_by_key(|row| row.0);
    results
}

fn decode_load(row: &digest::EndpointUse) -> (u32, Load) {
    let load = Load {
        requests: row.requests,
        tokens: f64::from(row.tokens),
    };
    (row.endpoint, load)
}

/// Merges the limit that an endpoint announced to another daemon.
fn merge_limit(
    state: &State,
    name: &str,
    limit: &digest::EndpointLimit,
    source: Source,
    now: Instant,
) {
    let Some(at) = now.checked_sub(Duration::from_millis(limit.age_ms.into())) else {
        return;
    };
    let rate = limit.rate.map(f64::from);
    if rate.is_some_and(|rate| !rate.is_finite() || rate < 0.0) {
        log::warn!("limit: ignored an endpoint limit from {name} that is not a valid rate.");
        return;
    }
    let announced = AnnouncedLimit { rate, at };
    if state
        .endpoints
        .borrow_mut()
        .merge_limit(limit.endpoint, announced, source)
    {
        log::info!(
            endpoint = limit.endpoint, now:? = rate;
            "limit: an endpoint announced a new limit, {name} reports."
        );
    }
}

/// Ends the grace of doubtful endpoints, or shortens it, if another daemon could reach the store
/// while this one could not.
fn end_doubt(state: &State, name: &str, span: ReachableSpan, now: Instant) {
    let Some(since) = state.connectivity.get().available_since(span) else {
        return;
    };
    let available = now.saturating_duration_since(since);
    for id in state
        .endpoints
        .borrow_mut()
        .registry_healthy_since(since, now)
    {
        log::info!(
            well_ms = available.as_millis() as u64;
            "board: endpoint {id} leaves, the store was available as {name} reports."
        );
    }
}

/// The times by this daemon's clock; `None` if one lies before the start of its host.
fn decode_contact(contact: digest::Contact, now: Instant) -> Option<ReachableSpan> {
    let at = |age: u32| now.checked_sub(Duration::from_millis(age.into()));
    Some(ReachableSpan {
        since: at(contact.since_ms)?,
        last_answer: at(contact.heard_ms)?,
    })
}

fn decode_move(message: digest::Move) -> MoveReport {
    let side = |side: Option<digest::Side>| {
        side.map_or(VersionCounts::default(), |side| VersionCounts {
            requests: side.all,
            failures: side.bad,
            slow: side.slow,
            time_s: f64::from(side.time),
        })
    };
    let outcome = |outcome: digest::Outcome| match outcome {
        digest::Outcome::Running => Outcome::Running,
        digest::Outcome::Completed => Outcome::Completed,
        digest::Outcome::RolledBack => Outcome::RolledBack,
    };
    let stored = message.stored.is_some().then(|| outcome(message.stored()));
    let reported = outcome(message.outcome());
    let seen = |seen: digest::Seen| {
        let comparison = Comparison {
            old: side(seen.old),
            new: side(seen.new),
        };
        let key = Key {
            route: seen.route,
            period: seen.period,
            endpoint: seen.endpoint,
        };
        (key, comparison)
    };
    MoveReport {
        tried: message.tried_ms,
        doubted: message.doubted_ms,
        order: Order {
            service: message.service.into(),
            target: message.target.into(),
            revision: message.revision,
        },
        begin: message.begin_ms,
        finish: message.finish_ms,
        outcome: reported,
        stored,
        comparisons: message.seen.into_iter().map(seen).collect(),
        is_fresh: message.fresh,
        is_carried: message.carried,
    }
}

/// Merges a usage report that another daemon finalized. One for a window that has not begun is
/// ignored, as it would keep all reports up to that window from being sent.
fn merge_finalized(state: &State, record: UsageRecord, name: &str, now: Instant) {
    let current = state.usage_window(now);
    if record.number > current {
        log::warn!(
            "duty: ignored a usage report from {name} for window {}, which has not begun.",
            record.number
        );
        return;
    }
    let report = Report {
        window: record.number,
        counts: record.counts.into(),
        era: record.era,
    };
    let mut usage = state.usage.borrow_mut();
    if state.peers.borrow().is_watcher() {
        usage.finalize(report, now);
    } else {
        usage.merge_finalized(report);
    }
}

/// Applies the change feed of a watcher; one with values out of range is ignored. Returns whether
/// this daemon misses changes.
fn merge_feed(state: &State, name: &str, news: digest::News, now: Instant) -> bool {
    match change_feed::decode(news, now) {
        Ok(feed) => apply_feed(state, name, &feed, now),
        Err(error) => {
            state.measure(|metrics| metrics.record_call("peers", "invalid"));
            log::warn!("peers: ignored the changes from {name}, {error}.");
            false
        }
    }
}

/// Merges the version moves that a daemon sent with the configuration.
pub(crate) fn merge_moves(state: &State, daemon: Ipv4Addr, moves: Vec<digest::Move>) {
    let name = daemon.to_string().into();
    for message in moves {
        merge_move(state, &name, message);
    }
}

/// Merges what another daemon reports of a version move.
fn merge_move(state: &State, name: &CompactString, message: digest::Move) {
    let report = decode_move(message);
    let mut rollouts = state.rollouts.borrow_mut();
    let change = rollouts.merge(name, &report, state.unix_ms());
    if change == MoveChange::None {
        return;
    }
    let order = &report.order;
    let totals = rollouts.totals(&order.service);
    log::info!(
        change:?, reported:? = report.outcome,
        old = totals.old.requests, old_failed = totals.old.failures, old_slow = totals.old.slow,
        new = totals.new.requests, new_failed = totals.new.failures, new_slow = totals.new.slow;
        "rollout: {} to version {}, counts of {name} have changed the move.",
        order.service,
        order.target
    );
    state.digest_due.notify_one();
}
