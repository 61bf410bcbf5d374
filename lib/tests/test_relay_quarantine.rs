//! Quarantine beside crashes whose cause is in no request, over several daemons.

use std::net::Ipv4Addr;
use std::time::{Duration, Instant};

use poplarvale_lib::relay::crash::{CRASH_TTL, Crashes, Fingerprint, trial_delay};

/// Part that many sound requests share, and one that crashes endpoints.
const SHARED: Fingerprint = 9;
const FATAL: Fingerprint = 7;
/// Time in which all daemons learn of crashes, and how often a deadly part may arrive after it.
const CONTACT_TIME: Duration = Duration::from_secs(3);
const MOST_LATE: u32 = 3;
/// Time between two digests.
const PERIOD: Duration = Duration::from_millis(250);

/// Daemons that exchange digests.
struct Fleet {
    daemons: Vec<Crashes>,
    /// How many of the last ones are cut off from all others.
    cut: usize,
    now: Instant,
    /// When the next digests are sent.
    next: Instant,
}

impl Fleet {
    fn new(daemons: usize) -> Self {
        let now = Instant::now();
        Self {
            daemons: vec![Crashes::default(); daemons],
            cut: 0,
            now,
            next: now + PERIOD,
        }
    }

    /// Lets time pass; digests are sent meanwhile.
    fn pass(&mut self, time: Duration) {
        let end = self.now + time;
        while self.next <= end {
            self.now = self.next;
            self.next += PERIOD;
            self.exchange();
        }
        self.now = end;
    }

    fn exchange(&mut self) {
        let now = self.now;
        let heard = self.daemons.len() - self.cut;
        let mut crashes = Vec::new();
        let mut cleared = Vec::new();
        let mut falls = Vec::new();
        for daemon in &self.daemons[..heard] {
            falls.extend(daemon.report_falls(false, now));
            crashes.extend(daemon.report(false, false, now));
            cleared.extend(daemon.report_cleared(now));
        }
        crashes.sort_by_key(|row| (row.fingerprint, row.incarnations.clone(), row.tried));
        crashes.dedup();
        falls.sort_by_key(|row| row.incarnation);
        falls.dedup();
        cleared.sort_unstable();
        cleared.dedup();
        for daemon in &mut self.daemons[..heard] {
            for fall in &falls {
                daemon.merge_fall(*fall, now);
            }
            for crash in &crashes {
                daemon.merge(crash, now);
            }
            for fingerprint in &cleared {
                daemon.merge_cleared(*fingerprint);
            }
        }
        for daemon in &mut self.daemons {
            daemon.expire(now);
        }
    }

    fn crash(&mut self, daemon: usize, suspects: &[Fingerprint], incarnation: u32) {
        self.daemons[daemon].record_crash(suspects, incarnation, self.now);
    }

    fn serve(&mut self, daemon: usize, parts: &[Fingerprint]) {
        let now = self.now;
        self.daemons[daemon].record_served(parts, now);
    }

    /// Whether a daemon sends a request with these suspects.
    fn sends(&mut self, daemon: usize, suspects: &[Fingerprint]) -> bool {
        let now = self.now;
        let others = (0..self.daemons.len()).filter(|row| *row != daemon);
        // A daemon of a large fleet knows few others.
        let known: Vec<Ipv4Addr> = others.take(100).map(address).collect();
        let delay = trial_delay(address(daemon), &known, self.daemons.len());
        let crashes = &mut self.daemons[daemon];
        let left = suspects
            .iter()
            .map(|row| crashes.quarantine_left(*row, now));
        if left.flatten().next().is_none() {
            return true;
        }
        crashes.settles(suspects, now).is_none() && crashes.take_trial(suspects, delay, now)
    }

    fn quarantined(&self, fingerprint: Fingerprint) -> usize {
        let rows = self.daemons.iter();
        let rows = rows.filter(|row| row.quarantine_left(fingerprint, self.now).is_some());
        rows.count()
    }
}

fn address(daemon: usize) -> Ipv4Addr {
    Ipv4Addr::from_bits(0x0a00_0000 + daemon as u32)
}

/// Endpoints crash together from a cause that is in no request, and most of them ran requests with one
/// part. Guards against a part that is rejected everywhere and for long though it is sound.
#[test]
fn endpoints_that_crash_together_quarantine_no_shared_part() {
    let mut fleet = Fleet::new(8);
    fleet.pass(Duration::from_millis(130));
    // 32 of 112 endpoints within 0.2 s; each ran requests of three daemons, three in four the part.
    for endpoint in 0..32_u32 {
        fleet.pass(Duration::from_millis(6));
        for request in 0..3 {
            let daemon = (endpoint * 3 + request) as usize % fleet.daemons.len();
            let whole = 1000 + u64::from(endpoint * 3 + request);
            let suspects = [SHARED, whole];
            let first = usize::from(endpoint % 4 == 3);
            fleet.crash(daemon, &suspects[first..], endpoint);
        }
    }
    fleet.pass(PERIOD * 4);
    assert_eq!(fleet.quarantined(SHARED), 0);
    let unsaved = fleet
        .daemons
        .iter_mut()
        .map(|row| row.take_unsaved(fleet.now).len());
    assert_eq!(unsaved.sum::<usize>(), 0, "written to the store");
}

/// Endpoints of all kinds crash in waves while the part is served between them. Guards against waves
/// that add up to a quarantine.
#[test]
fn waves_of_crashes_quarantine_no_part_that_is_served_between() {
    let mut fleet = Fleet::new(8);
    for wave in 0..10_u32 {
        for endpoint in 0..6 {
            let suspects: &[Fingerprint] = if endpoint < 4 { &[SHARED] } else { &[] };
            fleet.crash(endpoint as usize, suspects, wave * 6 + endpoint);
        }
        fleet.pass(PERIOD * 4);
        assert_eq!(fleet.quarantined(SHARED), 0, "wave {wave}");
        fleet.serve(7, &[SHARED]);
        fleet.pass(PERIOD * 2);
    }
}

/// The endpoints of one zone crash one after the other within a second, and those of the others serve
/// the part. Guards against a quarantine as the crashes are of several moments.
#[test]
fn a_zone_that_crashes_quarantines_no_part_that_others_serve() {
    let mut fleet = Fleet::new(8);
    let mut most = 0;
    for endpoint in 0..40_u32 {
        let suspects: &[Fingerprint] = if endpoint % 3 == 2 { &[] } else { &[SHARED] };
        fleet.crash(endpoint as usize % 4, suspects, endpoint);
        if endpoint % 10 == 0 {
            fleet.serve(4, &[SHARED]);
        }
        fleet.pass(Duration::from_millis(25));
        most = most.max(fleet.quarantined(SHARED));
    }
    fleet.pass(PERIOD);
    assert_eq!(fleet.quarantined(SHARED), 0);
    assert!(most < 4, "quarantined at {most} daemons");
}

/// A part crashes endpoints while many others crash together. Guards against a deadly part that is
/// taken for one of many, and a sound one that is quarantined with it.
#[test]
fn a_deadly_part_is_found_beside_crashes_that_come_together() {
    let mut fleet = Fleet::new(8);
    let (mut crashes, mut late, mut known) = (0_u32, 0, None);
    for step in 0..2000_u32 {
        if step == 4 {
            for endpoint in 0..32 {
                let suspects: &[Fingerprint] = if endpoint % 3 == 0 { &[] } else { &[SHARED] };
                fleet.crash(endpoint as usize % 8, suspects, 1000 + endpoint);
            }
        }
        let daemon = step as usize % 8;
        if fleet.sends(daemon, &[FATAL, SHARED]) {
            crashes += 1;
            fleet.crash(daemon, &[FATAL, SHARED], crashes);
            late += u32::from(known.is_some_and(|known| fleet.now > known + CONTACT_TIME));
        }
        if crashes >= 5 {
            known.get_or_insert(fleet.now);
        }
        if fleet.sends((daemon + 3) % 8, &[SHARED]) {
            fleet.serve((daemon + 3) % 8, &[SHARED]);
        }
        fleet.pass(Duration::from_millis(50));
    }
    assert!(known.is_some() && late <= MOST_LATE, "{late} of {crashes}");
    assert_eq!(fleet.quarantined(FATAL), 8);
    assert_eq!(fleet.quarantined(SHARED), 0);
}

/// Requests that crash endpoints come to a large fleet, with a part that sound ones share. Guards
/// against trials of many daemons.
#[test]
fn a_deadly_part_arrives_rarely_at_a_thousand_daemons() {
    for first in [FATAL, SHARED] {
        let mut fleet = Fleet::new(1000);
        let (mut crashes, mut late, mut known) = (0_u32, 0, None);
        let suspects = [first, FATAL ^ SHARED ^ first];
        for step in 0..2000_usize {
            let daemon = step * 389 % 1000;
            if fleet.sends(daemon, &suspects) {
                crashes += 1;
                fleet.crash(daemon, &suspects, crashes);
                late += u32::from(known.is_some_and(|known| fleet.now > known + CONTACT_TIME));
            }
            if crashes >= 5 {
                known.get_or_insert(fleet.now);
            }
            fleet.pass(Duration::from_millis(50));
        }
        assert!(known.is_some() && late <= MOST_LATE, "{late} of {crashes}");
    }
}

/// A sound part is quarantined and nothing else explains the crashes. Guards against one that is never
/// tried, and trials by several daemons.
#[test]
fn a_part_without_alternative_is_tried_by_one_daemon() {
    let mut fleet = Fleet::new(100);
    for crash in 0..3 {
        fleet.crash(crash as usize, &[SHARED], crash);
        fleet.pass(PERIOD * 2);
    }
    assert_eq!(fleet.quarantined(SHARED), 100);
    let mut trials = Vec::new();
    for step in 0..1500_usize {
        let daemon = step * 37 % 100;
        if fleet.sends(daemon, &[SHARED]) {
            trials.push((fleet.now, daemon));
        }
        if trials
            .first()
            .is_some_and(|row| fleet.now >= row.0 + PERIOD * 3)
        {
            break;
        }
        fleet.pass(Duration::from_millis(20));
    }
    assert_eq!(trials.len(), 1);
    fleet.serve(trials[0].1, &[SHARED]);
    fleet.pass(PERIOD);
    assert_eq!(fleet.quarantined(SHARED), 0);
}

/// All daemons start again and read a quarantined part in the store. Guards against one that is sent
/// at once, is never tried again, or stays in the store after it was served.
#[test]
fn a_part_from_the_store_is_tried_and_removed_there() {
    let mut before = Fleet::new(1);
    for crash in 0..3 {
        before.crash(0, &[SHARED], crash);
        before.pass(PERIOD * 2);
    }
    let saved = before.daemons[0].take_unsaved(before.now);
    let mut after = Fleet::new(4);
    for daemon in &mut after.daemons {
        for crash in &saved {
            daemon.restore(crash, after.now);
        }
    }
    assert_eq!(after.quarantined(SHARED), 4);
    assert!((0..4).all(|daemon| !after.sends(daemon, &[SHARED])));
    let mut steps = 0..400_usize;
    let tried = steps.find(|step| {
        after.pass(Duration::from_millis(50));
        after.sends(step % 4, &[SHARED])
    });
    let daemon = tried.expect("it is tried") % 4;
    after.serve(daemon, &[SHARED]);
    after.pass(PERIOD);
    assert_eq!(after.quarantined(SHARED), 0);
    assert_eq!(after.daemons[daemon].take_cleared(), [SHARED]);
}

/// Daemons that are cut off see crashes of one moment that took other endpoints as well. Guards against
/// a quarantine that outlasts the cut.
#[test]
fn a_daemon_that_was_cut_off_learns_that_others_crashed_too() {
    let mut fleet = Fleet::new(4);
    fleet.cut = 1;
    for endpoint in 0..20 {
        let suspects: &[Fingerprint] = if endpoint < 4 { &[SHARED] } else { &[] };
        let daemon = if endpoint < 4 { 3 } else { 0 };
        fleet.crash(daemon, suspects, endpoint);
    }
    assert_eq!(fleet.quarantined(SHARED), 1);
    fleet.pass(PERIOD * 2);
    fleet.cut = 0;
    fleet.pass(PERIOD);
    assert_eq!(fleet.quarantined(SHARED), 0);
}

/// A sound part was served, and a daemon that was cut off meanwhile still reports older crashes. Guards
/// against a quarantine that comes back.
#[test]
fn crashes_before_a_part_was_served_do_not_count_again() {
    let mut fleet = Fleet::new(4);
    for crash in 0..3 {
        fleet.crash(0, &[SHARED], crash);
        fleet.pass(PERIOD * 2);
    }
    fleet.cut = 1;
    fleet.serve(0, &[SHARED]);
    fleet.pass(CRASH_TTL / 10);
    assert_eq!(fleet.quarantined(SHARED), 1);
    let late = fleet.daemons[3].report(true, false, fleet.now);
    let now = fleet.now;
    assert!(!late.is_empty());
    for crash in &late {
        fleet.daemons[0].merge(crash, now);
    }
    fleet.cut = 0;
    fleet.pass(PERIOD * 2);
    assert_eq!(fleet.quarantined(SHARED), 0);
}
