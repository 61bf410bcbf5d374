//! Quarantine beside crashes whose cause is in no request, over several daemons.

use std::time::{Duration, Instant};

use poplarvale_lib::relay::crash::{Crashes, Fingerprint};

/// Part that many sound requests share, and one that crashes endpoints.
const SHARED: Fingerprint = 9;
const FATAL: Fingerprint = 7;
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
        for daemon in &self.daemons[..heard] {
            crashes.extend(daemon.report(true, false, now));
            cleared.extend(daemon.report_cleared(now));
        }
        crashes.sort_by_key(|row| (row.fingerprint, row.incarnations.clone()));
        crashes.dedup();
        cleared.sort_unstable();
        cleared.dedup();
        for daemon in &mut self.daemons[..heard] {
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

    fn quarantined(&self, fingerprint: Fingerprint) -> usize {
        let rows = self.daemons.iter();
        let rows = rows.filter(|row| row.quarantine_left(fingerprint, self.now).is_some());
        rows.count()
    }
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
