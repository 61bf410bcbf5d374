//! The library's controllers, one a daemon, that exchange evidence with a delay.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use poplarvale_lib::lease::Lease;
use poplarvale_lib::moves::ask::{Ask, Fleet, ask};
use poplarvale_lib::moves::evidence::{Row, Sample};
use poplarvale_lib::moves::{
    Action, Controller, Pick, Reach, Record, Source, Stored, TickInputs, Time, Verdict,
};
use prost::Message as _;

use crate::cases::{Case, Trouble};
use crate::policy::{End, Policy, Score};
use crate::{DAEMONS, ENDPOINTS, GOSSIP_STEPS, PUSH_STEPS, STORE_STEPS, TERM_MS, WALL};

pub(crate) enum Parcel {
    Row(Box<Row>),
    Verdict(Verdict),
    Record(Box<Stored>),
}

/// The library's controllers with their exchange.
pub(crate) struct Watched {
    pub(crate) case: Case,
    pub(crate) start: Instant,
    pub(crate) daemons: Vec<Controller>,
    pub(crate) store: Stored,
    pub(crate) post: VecDeque<Vec<(usize, Parcel)>>,
    pub(crate) ticks: u64,
    pub(crate) fence: u64,
    pub(crate) lapse: Option<Instant>,
    pub(crate) holder: usize,
}

impl Watched {
    pub(crate) fn new(case: Case, start: Instant) -> Self {
        let wish = Ask {
            id: 7,
            service: "s".into(),
            to: "v2".into(),
            finish: WALL + TERM_MS,
        };
        let fleet = Fleet {
            version: "v1".into(),
            old: ENDPOINTS,
            new: ENDPOINTS,
            idempotent: case.scale().idempotent,
        };
        let record = ask(None, &wish, &fleet, WALL).expect("it can be done");
        let store = Stored {
            revision: 1,
            record,
        };
        let mut watched = Self {
            case,
            start,
            daemons: (0..DAEMONS as u64)
                .map(|d| Controller::new("s".into(), d + 1))
                .collect(),
            store: store.clone(),
            post: (0..=GOSSIP_STEPS).map(|_| Vec::new()).collect(),
            ticks: 0,
            fence: 1,
            lapse: None,
            holder: 0,
        };
        watched.share(None, 1, || Parcel::Record(Box::new(store.clone())));
        watched
    }

    pub(crate) fn share(&mut self, from: Option<usize>, steps: usize, parcel: impl Fn() -> Parcel) {
        for to in (0..DAEMONS).filter(|to| Some(*to) != from) {
            self.post[steps].push((to, parcel()));
        }
    }

    pub(crate) fn part(&self, now: Instant) -> f64 {
        (now - self.start).as_millis() as f64 / TERM_MS as f64
    }

    pub(crate) fn store_out(&self, now: Instant) -> bool {
        self.case.trouble == Trouble::StoreOut && (0.3..0.4).contains(&self.part(now))
    }

    pub(crate) fn deliver(&mut self, time: Time) {
        let arrived = self.post.pop_front().unwrap_or_default();
        self.post.push_back(Vec::new());
        for (to, parcel) in arrived {
            match parcel {
                Parcel::Row(row) => self.daemons[to].merge(*row),
                Parcel::Verdict(bad) => self.daemons[to].add_verdict(bad),
                Parcel::Record(stored) => self.daemons[to].apply_record(time, *stored),
            }
        }
    }

    pub(crate) fn lease(&mut self, now: Instant) {
        let lost = self.case.trouble == Trouble::Holder && self.part(now) > 0.45;
        if lost && self.holder == 0 {
            let lapse = *self.lapse.get_or_insert(now + Duration::from_secs(10));
            self.daemons[0].set_lease(None);
            if now < lapse {
                return;
            }
            self.holder = 1;
            self.fence = 2;
        }
        let out = self.store_out(now);
        let lease = Lease {
            fence: self.fence,
            deadline: now + Duration::from_secs(5),
        };
        self.daemons[self.holder].set_lease((!out).then_some(lease));
    }

    pub(crate) fn act(&mut self, d: usize, action: Action, score: &mut Score) {
        match action {
            Action::Write {
                revision, record, ..
            } => {
                if revision == self.store.revision {
                    self.store = Stored {
                        revision: revision + 1,
                        record,
                    };
                    let stored = self.store.clone();
                    self.share(None, STORE_STEPS, || {
                        Parcel::Record(Box::new(stored.clone()))
                    });
                }
            }
            Action::Push(bad) => self.share(Some(d), PUSH_STEPS, || Parcel::Verdict(bad.clone())),
            Action::Publish(rows) => {
                for row in rows {
                    let bytes = row.to_wire().encoded_len() as u64;
                    score.row_bytes += bytes;
                    score.longest = score.longest.max(bytes);
                    score.rows += 1;
                    self.share(Some(d), GOSSIP_STEPS, || Parcel::Row(Box::new(row.clone())));
                }
            }
        }
    }
}

impl Policy for Watched {
    fn pick(&mut self, daemon: usize, now: Instant, repeatable: bool, draw: u32) -> Pick {
        self.daemons[daemon].version_for(now, repeatable, draw)
    }

    fn record(&mut self, daemon: usize, sample: &Sample) {
        self.daemons[daemon].record(sample);
    }

    fn tick(&mut self, time: Time, score: &mut Score) -> End {
        self.deliver(time);
        self.lease(time.now);
        let reach = Reach {
            live: DAEMONS as u32,
            heard: DAEMONS as u32,
        };
        let inputs = TickInputs {
            time,
            reach,
            ready: true,
        };
        for d in 0..DAEMONS {
            let actions = self.daemons[d].tick(inputs);
            for action in actions {
                self.act(d, action, score);
            }
            if self.ticks.is_multiple_of(20) {
                self.daemons[d].note_exchange(time.now, Source::Peer { fresh: true }, reach);
            }
        }
        self.ticks += 1;
        match &self.store.record {
            Record::Done(_) => End::Done,
            Record::RolledBack(back) => {
                score.reason.clone_from(&back.state.reason);
                End::Back
            }
            Record::Asked(_) | Record::Staged(_) | Record::Watching(_) | Record::Cancelled(_) => {
                End::Open
            }
        }
    }

    fn spread(&self, daemon: usize, now: Instant) -> [u32; 2] {
        let spread = self.daemons[daemon].endpoint_counts(now);
        spread.map_or([ENDPOINTS; 2], |s| [s.old, s.new.min(ENDPOINTS)])
    }

    fn compared(&self, daemon: usize) -> [u32; 2] {
        let spread = self.daemons[daemon].compared();
        spread.map_or([ENDPOINTS; 2], |s| [s.old, s.new.min(ENDPOINTS)])
    }
}
