//! Policy under test: the library's controllers, one per daemon, which exchange evidence with
//! a delay.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use poplarvale_lib::lease::Lease;
use poplarvale_lib::moves::ask::{Ask, Fleet, ask};
use poplarvale_lib::moves::evidence::{Row, Sample};
use poplarvale_lib::moves::{
    Action, Controller, Pick, Reach, Record, Source, Stored, TickInputs, Time, Verdict,
};
use prost::Message as _;

use crate::cases::{Case, Disturbance};
use crate::policy::{End, Policy, Score};
use crate::{DAEMONS, ENDPOINTS, GOSSIP_STEPS, PUSH_STEPS, STORE_STEPS, TERM_MS, WALL_START_MS};

/// A message that is under way to a daemon.
pub(crate) enum Message {
    Row(Box<Row>),
    Verdict(Verdict),
    Record(Box<Stored>),
}

/// The controllers, the messages between them, the store and the lease.
pub(crate) struct Controllers {
    pub(crate) case: Case,
    pub(crate) start: Instant,
    pub(crate) daemons: Vec<Controller>,
    pub(crate) store: Stored,
    /// Messages with their receivers, by the number of steps until they arrive.
    pub(crate) in_flight: VecDeque<Vec<(usize, Message)>>,
    pub(crate) ticks: u64,
    pub(crate) fence: u64,
    /// When another daemon takes the lease over, once its holder has stopped.
    pub(crate) takeover: Option<Instant>,
    pub(crate) holder: usize,
}

impl Controllers {
    pub(crate) fn new(case: Case, start: Instant) -> Self {
        let order = Ask {
            id: 7,
            service: "s".into(),
            to: "v2".into(),
            finish: WALL_START_MS + TERM_MS,
        };
        let fleet = Fleet {
            version: "v1".into(),
            old: ENDPOINTS,
            new: ENDPOINTS,
            idempotent: case.scale().idempotent,
        };
        let record = ask(None, &order, &fleet, WALL_START_MS).expect("the move can be ordered");
        let store = Stored {
            revision: 1,
            record,
        };
        let mut controllers = Self {
            case,
            start,
            daemons: (0..DAEMONS as u64)
                .map(|d| Controller::new("s".into(), d + 1))
                .collect(),
            store: store.clone(),
            in_flight: (0..=GOSSIP_STEPS).map(|_| Vec::new()).collect(),
            ticks: 0,
            fence: 1,
            takeover: None,
            holder: 0,
        };
        controllers.send(None, 1, || Message::Record(Box::new(store.clone())));
        controllers
    }

    pub(crate) fn send(
        &mut self,
        from: Option<usize>,
        steps: usize,
        message: impl Fn() -> Message,
    ) {
        for to in (0..DAEMONS).filter(|to| Some(*to) != from) {
            self.in_flight[steps].push((to, message()));
        }
    }

    /// Elapsed fraction of the time of the move.
    pub(crate) fn progress(&self, now: Instant) -> f64 {
        (now - self.start).as_millis() as f64 / TERM_MS as f64
    }

    pub(crate) fn store_out(&self, now: Instant) -> bool {
        self.case.disturbance == Disturbance::StoreOut && (0.3..0.4).contains(&self.progress(now))
    }

    pub(crate) fn deliver(&mut self, time: Time) {
        let arrived = self.in_flight.pop_front().unwrap_or_default();
        self.in_flight.push_back(Vec::new());
        for (to, message) in arrived {
            match message {
                Message::Row(row) => self.daemons[to].merge(*row),
                Message::Verdict(verdict) => self.daemons[to].add_verdict(verdict),
                Message::Record(stored) => self.daemons[to].apply_record(time, *stored),
            }
        }
    }

    pub(crate) fn update_lease(&mut self, now: Instant) {
        let lost = self.case.disturbance == Disturbance::Holder && self.progress(now) > 0.45;
        if lost && self.holder == 0 {
            let takeover = *self.takeover.get_or_insert(now + Duration::from_secs(10));
            self.daemons[0].set_lease(None);
            if now < takeover {
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
                    self.send(None, STORE_STEPS, || {
                        Message::Record(Box::new(stored.clone()))
                    });
                }
            }
            Action::Push(verdict) => {
                self.send(Some(d), PUSH_STEPS, || Message::Verdict(verdict.clone()));
            }
            Action::Publish(rows) => {
                for row in rows {
                    let bytes = row.to_wire().encoded_len() as u64;
                    score.row_bytes += bytes;
                    score.max_bytes = score.max_bytes.max(bytes);
                    score.rows += 1;
                    self.send(Some(d), GOSSIP_STEPS, || {
                        Message::Row(Box::new(row.clone()))
                    });
                }
            }
        }
    }
}

impl Policy for Controllers {
    fn pick(&mut self, daemon: usize, now: Instant, idempotent: bool, sample_point: u32) -> Pick {
        self.daemons[daemon].version_for(now, idempotent, sample_point)
    }

    fn record(&mut self, daemon: usize, sample: &Sample) {
        self.daemons[daemon].record(sample);
    }

    fn tick(&mut self, time: Time, score: &mut Score) -> End {
        self.deliver(time);
        self.update_lease(time.now);
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

    fn endpoint_counts(&self, daemon: usize, now: Instant) -> [u32; 2] {
        let counts = self.daemons[daemon].endpoint_counts(now);
        counts.map_or([ENDPOINTS; 2], |s| [s.old, s.new.min(ENDPOINTS)])
    }

    fn compared(&self, daemon: usize) -> [u32; 2] {
        let counts = self.daemons[daemon].compared();
        counts.map_or([ENDPOINTS; 2], |s| [s.old, s.new.min(ENDPOINTS)])
    }
}
