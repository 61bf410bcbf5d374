//! Usage reports across restores of the store from older copies, on virtual time.

use std::collections::BTreeMap;
use std::time::Duration;

use fastrand::Rng;
use poplarvale_lib::Era;
use poplarvale_lib::relay::era_start::{EraStart, SETTLE_TIME, Settled};
use poplarvale_lib::relay::usage::{Report, WindowId};
use proptest::prelude::*;

const LENGTH: Duration = Duration::from_secs(5);
const LENGTH_MS: u64 = 5000;
/// How long after the end of a window it may be reported.
const LATE_MS: u64 = 10_000;
const LEASE_MS: u64 = 3000;
/// How far the clocks of two daemons are apart at most.
const CLOCK_MS: u64 = 1000;
const STEP_MS: u64 = 250;
/// Number of the first window.
const FIRST: WindowId = 100;

fn report(window: WindowId, era: Era) -> Report {
    Report {
        window,
        counts: format!("{{\"club\":{window}}}").into(),
        era,
    }
}

/// Start of era 2, seen so long after the beginning of window `FIRST`.
fn seen_after(time: Duration) -> EraStart {
    EraStart {
        era: 2,
        seen_ms: FIRST * LENGTH_MS + time.as_millis() as u64,
        is_open: false,
        settled: None,
    }
}

/// Guards against windows that are left out though the store was not restored.
#[test]
fn nothing_is_omitted_within_an_era() {
    let start = seen_after(Duration::from_mins(10));
    let last = report(FIRST, 2);
    let resume = start.resume(Some(&last), FIRST, LENGTH);
    assert_eq!((resume.next, resume.omitted.is_empty()), (FIRST + 1, true));
}

/// Guards against a window that is counted again though a lost report of it may have been sent.
#[test]
fn windows_that_were_due_before_the_era_are_omitted() {
    let start = seen_after(2 * LENGTH + SETTLE_TIME);
    let last = report(FIRST - 1, 1);
    let resume = start.resume(Some(&last), FIRST, LENGTH);
    assert_eq!((resume.next, resume.omitted), (FIRST + 2, FIRST..FIRST + 2));
}

/// Guards against a window that is left out though it was not due before the restore.
#[test]
fn windows_that_were_not_due_before_the_era_are_counted() {
    let start = seen_after(LENGTH);
    let resume = start.resume(Some(&report(FIRST - 1, 1)), FIRST, LENGTH);
    assert_eq!((resume.next, resume.omitted.is_empty()), (FIRST, true));
}

/// Guards against a window that is left out because the copy has no report at all and the daemons that
/// counted it have ended: it ended shortly before the others started.
#[test]
fn windows_that_were_not_due_are_counted_without_any_known_report() {
    let start = seen_after(LENGTH);
    let first = start.first_certain(LENGTH).min(FIRST + 1);
    let resume = start.resume(None, first, LENGTH);
    assert_eq!((resume.next, resume.omitted.is_empty()), (FIRST, true));
}

/// Guards against windows that are left out though the last duty holder says that it did not report
/// them.
#[test]
fn nothing_is_omitted_after_the_last_holder_told_what_it_reported() {
    let start = EraStart {
        settled: Some(Settled {
            next: FIRST + 1,
            report: Some(report(FIRST, 1)),
        }),
        ..seen_after(3 * LENGTH)
    };
    let resume = start.resume(Some(&report(FIRST - 3, 1)), FIRST, LENGTH);
    assert_eq!((resume.next, resume.omitted.is_empty()), (FIRST + 1, true));
}

/// What the store keeps.
#[derive(Clone, Debug, Default)]
struct Kept {
    record: Option<Report>,
    starts: BTreeMap<Era, EraStart>,
}

/// The duty holder, by its own memory.
#[derive(Debug)]
struct Holder {
    era: Era,
    next: WindowId,
    last: Option<Report>,
    lease_ms: u64,
    /// How far its clock is ahead of the true time.
    skew_ms: u64,
}

/// A fleet of which one daemon reports at a time, and its store.
#[derive(Debug)]
struct Fleet {
    random: Rng,
    now_ms: u64,
    era: Era,
    kept: Kept,
    copies: Vec<Kept>,
    holder: Option<Holder>,
    /// The last report that a daemon other than the holder remembers.
    told: Option<Report>,
    /// From when on a daemon may acquire the duties.
    vacant_ms: u64,
    /// Texts of the reports that the platform accepted, by window.
    accepted: BTreeMap<WindowId, Vec<String>>,
    /// When a daemon first saw each era after the first.
    seen_ms: Vec<u64>,
    texts: u64,
}

impl Fleet {
    fn new(seed: u64) -> Self {
        let now_ms = FIRST * LENGTH_MS;
        let mut fleet = Self {
            random: Rng::with_seed(seed),
            now_ms,
            era: 1,
            kept: Kept::default(),
            copies: Vec::new(),
            holder: None,
            told: None,
            vacant_ms: now_ms,
            accepted: BTreeMap::new(),
            seen_ms: Vec::new(),
            texts: 0,
        };
        fleet.see_era(None);
        fleet
    }

    /// A daemon sees the era for the first time and records it.
    fn see_era(&mut self, settled: Option<Settled>) {
        let skew = self.random.u64(..=CLOCK_MS);
        let start = EraStart {
            era: self.era,
            seen_ms: self.now_ms + skew,
            is_open: false,
            settled,
        };
        self.kept.starts.insert(self.era, start);
    }

    fn step(&mut self) {
        self.now_ms += STEP_MS;
        self.copies.push(self.kept.clone());
        match self.random.u32(..200) {
            0..4 => self.restore(),
            4..8 => self.kill_holder(),
            // All that knew the last report are gone.
            8..10 => {
                self.kill_holder();
                self.told = None;
            }
            _ => {}
        }
        match &mut self.holder {
            None if self.now_ms >= self.vacant_ms => self.acquire(),
            None => {}
            Some(holder) => {
                holder.lease_ms = self.now_ms + LEASE_MS;
                self.report();
            }
        }
    }

    /// The store comes back from a copy of up to 10 s; daemons see it up to a second later.
    fn restore(&mut self) {
        let age = self.random.usize(1..=40).min(self.copies.len());
        self.kept = self.copies[self.copies.len() - age].clone();
        self.copies.clear();
        self.era += 1;
        let lag = self.random.u64(..4) * STEP_MS;
        self.now_ms += lag;
        self.seen_ms.push(self.now_ms);
        let survivor = self.holder.take();
        let settled = survivor.filter(|holder| self.now_ms < holder.lease_ms);
        let settled = settled.filter(|_| self.random.u32(..3) > 0);
        self.see_era(settled.map(|holder| Settled {
            next: holder.next,
            report: holder.last,
        }));
        self.vacant_ms = self.now_ms + LEASE_MS;
    }

    fn kill_holder(&mut self) {
        if self.holder.take().is_some() {
            self.vacant_ms = self.now_ms + self.random.u64(..=LEASE_MS);
        }
    }

    fn acquire(&mut self) {
        let start = self
            .kept
            .starts
            .get(&self.era)
            .expect("the era is recorded");
        let told = start.settled.as_ref().and_then(|row| row.report.clone());
        let known = [self.kept.record.clone(), self.told.clone(), told];
        let last = known.into_iter().flatten().max_by_key(|row| row.window);
        let resume = start.resume(last.as_ref(), FIRST, LENGTH);
        if let Some(last) = &last {
            self.accept(last);
        }
        self.holder = Some(Holder {
            era: self.era,
            next: resume.next,
            last,
            lease_ms: self.now_ms + LEASE_MS,
            skew_ms: self.random.u64(..=CLOCK_MS),
        });
    }

    /// Finalizes the next window if it is due, and mostly lives to send it and to tell of it.
    fn report(&mut self) {
        let Some(holder) = &mut self.holder else {
            return;
        };
        let own_ms = self.now_ms + holder.skew_ms;
        while (holder.next + 1) * LENGTH_MS + LATE_MS < own_ms {
            holder.next += 1;
        }
        if (holder.next + 1) * LENGTH_MS + SETTLE_TIME.as_millis() as u64 > own_ms {
            return;
        }
        self.texts += 1;
        let report = Report {
            counts: format!("{}", self.texts).into(),
            ..report(holder.next, holder.era)
        };
        holder.next += 1;
        holder.last = Some(report.clone());
        self.kept.record = Some(report.clone());
        let end = self.random.u32(..20);
        if end > 0 {
            self.accept(&report);
        }
        if end > 3 {
            self.told = Some(report);
        } else {
            self.kill_holder();
        }
    }

    fn accept(&mut self, report: &Report) {
        let texts = self.accepted.entry(report.window).or_default();
        let text = report.counts.to_string();
        if !texts.contains(&text) {
            texts.push(text);
        }
    }

    /// Windows without a report that cannot have been reported before the store was restored. Daemons
    /// whose clocks are a second apart may take one that ended two seconds before for a due one.
    fn missing(&self) -> Vec<WindowId> {
        let last = self.accepted.keys().max().copied().unwrap_or(FIRST);
        let can_be_lost = |window: WindowId| {
            let end = (window + 1) * LENGTH_MS;
            self.seen_ms
                .iter()
                .any(|seen| seen + CLOCK_MS >= end + 1000)
        };
        let windows = FIRST..last;
        windows
            .filter(|window| !self.accepted.contains_key(window) && !can_be_lost(*window))
            .collect()
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(2000))]

    /// Guards against two different reports of a window, and against windows that are left out
    /// without need, whatever ends and whenever the store is restored.
    #[test]
    fn windows_are_reported_once_across_restores(seed: u64) {
        let mut fleet = Fleet::new(seed);
        for _ in 0..800 {
            fleet.step();
        }
        let twice: Vec<_> = fleet.accepted.iter().filter(|row| row.1.len() > 1).collect();
        prop_assert!(twice.is_empty(), "{twice:?}");
        prop_assert_eq!(fleet.missing(), Vec::<WindowId>::new());
    }
}
