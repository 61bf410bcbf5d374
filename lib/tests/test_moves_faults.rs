//! Version moves on several daemons with partitions, pauses, restarts and lost,
//! duplicated or reordered messages.

use std::time::{Duration, Instant};

use poplarvale_lib::lease::{Lease, MARGIN};
use poplarvale_lib::moves::ask::{Ask, Fleet, ask, cancel};
use poplarvale_lib::moves::evidence::{Row, Sample, VersionSide};
use poplarvale_lib::moves::stages::{MIN_STAGE_TIME, Scale, shares};
use poplarvale_lib::moves::{
    Action, Controller, FULL_SHARE, Pick, Reach, Record, Source, Stored, TickInputs, Time, Verdict,
};
use proptest::prelude::*;

const DAEMONS: usize = 4;
const WALL: u64 = 1_000_000_000;
const STEP: Duration = Duration::from_millis(50);
const LEASE_TERM: Duration = Duration::from_secs(4);
const ID: u128 = 7;
const SCALE: Scale = Scale {
    endpoints: 10,
    idempotent: FULL_SHARE,
};

#[derive(Clone, Copy, Debug)]
enum Event {
    /// All daemons that are not frozen run for some steps.
    Run(u16),
    /// One is frozen for some steps, and then continues as if nothing had happened.
    Freeze(usize, u16),
    /// One is replaced by a new process without state.
    Restart(usize),
    /// One is partitioned from the others, or connected again.
    Partition(usize, bool),
    /// One is disconnected from the store, or connected again.
    DisconnectStore(usize, bool),
    /// Requests at the new version begin to fail, or stop failing.
    Fail(bool),
    /// An operator cancels.
    Cancel,
}

fn events() -> impl Strategy<Value = Vec<Event>> {
    let daemon = 0..DAEMONS;
    let event = prop_oneof![
        6 => (1_u16..200).prop_map(Event::Run),
        2 => (daemon.clone(), 1_u16..300).prop_map(|(d, n)| Event::Freeze(d, n)),
        2 => daemon.clone().prop_map(Event::Restart),
        2 => (daemon.clone(), any::<bool>()).prop_map(|(d, c)| Event::Partition(d, c)),
        1 => (daemon, any::<bool>()).prop_map(|(d, c)| Event::DisconnectStore(d, c)),
        1 => any::<bool>().prop_map(Event::Fail),
    ];
    let rare = prop_oneof![30 => event, 1 => Just(Event::Cancel)];
    prop::collection::vec(rare, 1..40)
}

#[derive(Clone, Debug)]
enum Message {
    Exchange {
        from: usize,
        fresh: bool,
        stored: Option<Stored>,
        verdicts: Vec<Verdict>,
    },
    Rows(Vec<Row>),
    Verdict(Verdict),
}

#[derive(Clone, Debug)]
struct Write {
    revision: u64,
    record: Record,
}

struct Daemon {
    controller: Controller,
    incarnation: u64,
    /// Steps for which it stays frozen.
    frozen: u16,
    partitioned: bool,
    store_lost: bool,
    last_heard: Vec<Option<Instant>>,
    lease: Option<Lease>,
    saw_verdict: bool,
    /// Sum of the shares of its requests since its start, and how many went to the
    /// new version.
    share_sum: u64,
    sent_new: u64,
}

impl Daemon {
    fn new(incarnation: u64) -> Self {
        Self {
            controller: Controller::new("booking".into(), incarnation),
            incarnation,
            frozen: 0,
            partitioned: false,
            store_lost: false,
            last_heard: vec![None; DAEMONS],
            lease: None,
            saw_verdict: false,
            share_sum: 0,
            sent_new: 0,
        }
    }
}

/// Daemons, the store, and the messages and writes in transit.
struct Net {
    start: Instant,
    now: Instant,
    rng: fastrand::Rng,
    daemons: Vec<Daemon>,
    store: Stored,
    holder: Option<(usize, Instant)>,
    fence: u64,
    writes: Vec<Write>,
    messages: Vec<(usize, Message)>,
    failing: bool,
    /// When the record last changed its stage.
    stage_changed: Option<Instant>,
    steps: u32,
}

impl Net {
    fn new(seed: u64, failing: bool) -> Self {
        let start = Instant::now();
        let move_ask = Ask {
            id: ID,
            service: "booking".into(),
            to: "v2".into(),
            finish: WALL + 60_000,
        };
        let fleet = Fleet {
            version: "v1".into(),
            old: 10,
            new: 10,
            idempotent: FULL_SHARE,
        };
        let record = ask(None, &move_ask, &fleet, WALL).expect("the move is possible");
        Self {
            start,
            now: start,
            rng: fastrand::Rng::with_seed(seed),
            daemons: (1..=DAEMONS as u64).map(Daemon::new).collect(),
            store: Stored {
                revision: 1,
                record,
            },
            holder: None,
            fence: 0,
            writes: Vec::new(),
            messages: Vec::new(),
            failing,
            stage_changed: None,
            steps: 0,
        }
    }

    fn time(&self) -> Time {
        Time {
            now: self.now,
            wall: WALL + (self.now - self.start).as_millis() as u64,
        }
    }

    fn play(&mut self, event: Event) {
        match event {
            Event::Run(steps) => (0..steps).for_each(|_| self.step()),
            Event::Freeze(d, steps) => self.daemons[d].frozen = steps,
            Event::Restart(d) => {
                let incarnation = self.daemons[d].incarnation + DAEMONS as u64;
                self.daemons[d] = Daemon::new(incarnation);
            }
            Event::Partition(d, partitioned) => self.daemons[d].partitioned = partitioned,
            Event::DisconnectStore(d, lost) => self.daemons[d].store_lost = lost,
            Event::Fail(failing) => self.failing = failing,
            Event::Cancel => {
                if let Ok(record) = cancel(Some(&self.store.record), ID, "asked".into()) {
                    let revision = self.store.revision;
                    self.apply_write(Write { revision, record });
                }
            }
        }
    }

    fn step(&mut self) {
        self.now += STEP;
        self.deliver();
        for d in 0..DAEMONS {
            if self.daemons[d].frozen > 0 {
                self.daemons[d].frozen -= 1;
            } else {
                self.run(d);
            }
        }
    }

    /// Some of the messages in transit arrive, in any order and some of them twice.
    fn deliver(&mut self) {
        for _ in 0..self.messages.len() / 2 {
            let at = self.rng.usize(..self.messages.len());
            let (to, message) = self.messages[at].clone();
            if self.rng.u8(..10) > 0 {
                self.messages.swap_remove(at);
            }
            if !self.daemons[to].partitioned && self.daemons[to].frozen == 0 {
                self.receive(to, message);
            }
        }
        if !self.writes.is_empty() && self.rng.u8(..4) == 0 {
            let at = self.rng.usize(..self.writes.len());
            let write = self.writes[at].clone();
            if self.rng.u8(..10) > 0 {
                self.writes.swap_remove(at);
            }
            self.apply_write(write);
        }
    }

    fn receive(&mut self, d: usize, message: Message) {
        let (now, time) = (self.now, self.time());
        let daemon = &mut self.daemons[d];
        match message {
            Message::Exchange {
                from,
                fresh,
                stored,
                verdicts,
            } => {
                daemon.last_heard[from] = Some(now);
                if let Some(stored) = stored {
                    daemon.controller.apply_record(time, stored);
                }
                for verdict in verdicts {
                    daemon.controller.add_verdict(verdict);
                }
                let reach = self.reach(d);
                let source = Source::Peer { fresh };
                self.daemons[d].controller.note_exchange(now, source, reach);
            }
            Message::Rows(rows) => {
                for row in rows {
                    daemon.controller.merge(row);
                }
            }
            Message::Verdict(verdict) => daemon.controller.add_verdict(verdict),
        }
    }

    /// The store accepts a write only on the revision that it was based on.
    fn apply_write(&mut self, write: Write) {
        if write.revision != self.store.revision {
            return;
        }
        let old = &self.store.record;
        // A second cancel writes the record that is already there.
        let same = write.record == *old;
        assert!(same || !old.ended(), "a move changed after its end");
        assert!(
            write.record.fence() >= old.fence(),
            "a write with an old fencing token was accepted"
        );
        let advances = write.record.stage() > old.stage() && old.stage().is_some();
        if advances {
            let before = self.stage_changed.map(|at| self.now - at);
            let slow = before.is_none_or(|before| before + 2 * MARGIN >= MIN_STAGE_TIME);
            assert!(slow, "two steps {before:?} apart");
        }
        if write.record.stage() != old.stage() {
            self.stage_changed = Some(self.now);
            self.steps += 1;
        }
        self.store = Stored {
            revision: self.store.revision + 1,
            record: write.record,
        };
    }

    fn reach(&self, d: usize) -> Reach {
        let recent =
            |at: &&Option<Instant>| at.is_some_and(|at| self.now - at < Duration::from_secs(10));
        Reach {
            live: DAEMONS as u32,
            heard: 1 + self.daemons[d].last_heard.iter().filter(recent).count() as u32,
        }
    }

    fn run(&mut self, d: usize) {
        let (now, time, reach) = (self.now, self.time(), self.reach(d));
        if !self.daemons[d].store_lost {
            self.lease(d);
            if self.rng.u8(..10) == 0 {
                let stored = self.store.clone();
                let controller = &mut self.daemons[d].controller;
                controller.apply_record(time, stored);
                controller.note_exchange(now, Source::Store, reach);
            }
        }
        let inputs = TickInputs {
            time,
            reach,
            ready: true,
        };
        let actions = self.daemons[d].controller.tick(inputs);
        for action in actions {
            self.act(d, action);
        }
        if self.rng.u8(..10) == 0 {
            self.exchange(d);
        }
        for _ in 0..5 {
            self.request(d);
        }
    }

    /// The store's lease: one holder at a time, and a higher fencing token for each
    /// grant.
    fn lease(&mut self, d: usize) {
        let free = self.holder.is_none_or(|(_, until)| until <= self.now);
        let mine = self.holder.is_some_and(|(holder, _)| holder == d);
        let has = self.daemons[d].lease.is_some();
        if free || (mine && !has) {
            self.fence += 1;
        }
        if free || mine {
            let deadline = self.now + LEASE_TERM;
            self.holder = Some((d, deadline));
            let lease = Some(Lease {
                fence: self.fence,
                deadline,
            });
            self.daemons[d].lease.clone_from(&lease);
            self.daemons[d].controller.set_lease(lease);
        }
    }

    fn act(&mut self, d: usize, action: Action) {
        match action {
            Action::Write {
                revision,
                record,
                until,
            } => {
                let lease = self.daemons[d]
                    .lease
                    .as_ref()
                    .expect("the daemon holds the lease");
                assert!(self.now < until && until + MARGIN <= lease.deadline);
                if !self.daemons[d].store_lost {
                    self.writes.push(Write { revision, record });
                }
            }
            Action::Push(verdict) => self.send(d, &Message::Verdict(verdict)),
            Action::Publish(rows) => self.send(d, &Message::Rows(rows)),
        }
    }

    fn exchange(&mut self, d: usize) {
        let controller = &self.daemons[d].controller;
        let message = Message::Exchange {
            from: d,
            fresh: controller.is_fresh(self.now),
            stored: controller.stored().cloned(),
            verdicts: controller.verdicts().to_vec(),
        };
        self.send(d, &message);
    }

    fn send(&mut self, from: usize, message: &Message) {
        if self.daemons[from].partitioned {
            return;
        }
        let others = (0..DAEMONS).filter(|to| *to != from);
        self.messages.extend(others.map(|to| (to, message.clone())));
    }

    fn request(&mut self, d: usize) {
        let random = self.rng.u32(..FULL_SHARE);
        let daemon = &mut self.daemons[d];
        daemon.saw_verdict |= daemon.controller.verdict().is_some();
        let record = daemon.controller.stored().map(|s| s.record.clone());
        let stage = record.as_ref().and_then(Record::stage);
        let pick = daemon.controller.version_for(self.now, true, random);
        if daemon.saw_verdict {
            assert!(daemon.controller.verdict().is_some(), "a verdict was lost");
            assert_eq!(pick, Pick::Old, "a bad version got a request");
        }
        if matches!(record, Some(Record::Done(_))) {
            return;
        }
        daemon.share_sum += stage.map_or(0, |s| u64::from(shares(s, SCALE).idempotent));
        daemon.sent_new += u64::from(pick == Pick::New);
        let most = daemon.share_sum.div_ceil(u64::from(FULL_SHARE)) + 1;
        assert!(
            daemon.sent_new <= most,
            "more requests than the share allows"
        );
        let which = if pick == Pick::New {
            VersionSide::New
        } else {
            VersionSide::Old
        };
        let fails = pick == Pick::New && self.failing;
        daemon.controller.record(&Sample {
            route: "chat".into(),
            idempotent: true,
            which,
            time: (!fails).then_some(Duration::from_millis(20)),
            compared: true,
        });
    }
}

proptest! {
    #![proptest_config(testutils::fixed(200))]

    /// Daemons are partitioned, frozen and replaced during a move to a bad version,
    /// and messages arrive late, twice or never. If a daemon forgot a verdict, a
    /// holder acted after its pause, or a share was exceeded, callers would reach
    /// the bad version again.
    #[test]
    fn verdict_share_and_lease_hold_in_every_schedule(events in events(), seed: u64) {
        let mut net = Net::new(seed, true);
        for event in events {
            net.play(event);
        }
    }

    /// The same with a good version: the move must not be rolled back.
    #[test]
    fn a_good_version_is_not_taken_back_by_faults_of_the_network(
        events in events(),
        seed: u64,
    ) {
        let mut net = Net::new(seed, false);
        for event in events {
            if !matches!(event, Event::Fail(_)) {
                net.play(event);
            }
        }
        prop_assert!(!matches!(net.store.record, Record::RolledBack(_)));
    }
}

#[test]
fn a_good_version_is_finished_in_time() {
    let mut net = Net::new(1, false);
    net.play(Event::Run(1200));
    assert!(matches!(&net.store.record, Record::Done(done) if done.state.at <= WALL + 60_000));
}

/// A version fails every request from the first one on. Operators must read that
/// the move was rolled back, and on what evidence.
#[test]
fn a_failing_version_is_taken_back_with_its_evidence() {
    let mut net = Net::new(1, true);
    net.play(Event::Run(300));
    let Record::RolledBack(back) = &net.store.record else {
        panic!("the move was not rolled back: {:?}", net.store.record);
    };
    assert!(
        back.state.reason.contains("on chat failed"),
        "{}",
        back.state.reason
    );
}

/// The platform's store is down when the fault shows. The verdict must reach all
/// daemons without it.
#[test]
fn a_verdict_spreads_while_the_store_is_out() {
    let mut net = Net::new(3, false);
    net.play(Event::Run(400));
    for d in 0..DAEMONS {
        net.play(Event::DisconnectStore(d, true));
    }
    net.play(Event::Fail(true));
    net.play(Event::Run(200));
    assert!(!net.store.record.ended());
    assert!(net.daemons.iter().all(|d| d.controller.verdict().is_some()));
}

/// The lease holder's host freezes just after it read the clock. Another daemon
/// takes the lease and advances the move; the first one resumes and its delayed
/// write arrives. If that counted, the move would skip a stage that no daemon has
/// evaluated.
#[test]
fn of_two_lease_holders_only_one_advances_the_move() {
    let mut net = Net::new(5, false);
    net.play(Event::Run(100));
    let held = net.holder.map_or(0, |(d, _)| d);
    let old = Write {
        revision: net.store.revision,
        record: net.store.record.clone(),
    };
    net.play(Event::Freeze(held, 200));
    net.play(Event::Run(199));
    assert!(net.store.record.fence() > old.record.fence());
    let before = net.store.clone();
    net.apply_write(old);
    assert_eq!(net.store, before);
    net.play(Event::Run(10));
    let controller = &net.daemons[held].controller;
    assert!(controller.stored().is_some());
}

/// A daemon resumes after a long freeze and has missed the verdict. Its callers
/// must not reach the bad version until it has received current state.
#[test]
fn a_daemon_that_was_paused_sends_nothing_until_it_heard() {
    let mut net = Net::new(6, false);
    net.play(Event::Run(600));
    assert!(net.daemons[2].controller.is_open(net.now));
    net.play(Event::Partition(2, true));
    net.play(Event::DisconnectStore(2, true));
    net.play(Event::Freeze(2, 100));
    net.play(Event::Run(101));
    assert!(!net.daemons[2].controller.is_open(net.now));
    net.play(Event::Partition(2, false));
    net.play(Event::Run(40));
    assert!(net.daemons[2].controller.is_open(net.now));
}

/// A zone loses the store and its peers. It keeps the last share as long as its
/// daemons receive each other's digests; a daemon that is partitioned alone returns
/// to the old version when its state is no longer fresh.
#[test]
fn a_daemon_that_hears_nobody_goes_back_to_the_old_version() {
    let mut net = Net::new(8, false);
    net.play(Event::Run(400));
    net.play(Event::Partition(1, true));
    net.play(Event::DisconnectStore(1, true));
    net.play(Event::Run(240));
    assert!(!net.daemons[1].controller.is_open(net.now));
}

/// A controller with fresh state and a staged record whose stage is over, written
/// under fencing token 3.
fn ready(net: &Net) -> (Controller, TickInputs) {
    let now = net.now;
    let wall = WALL + 40_000;
    let start = Time { now, wall: WALL };
    let mut controller = Controller::new("booking".into(), 1);
    let permit = Lease {
        fence: 3,
        deadline: now + LEASE_TERM,
    }
    .permit(now)
    .expect("the lease is live");
    let record = net.store.record.clone().step(permit, WALL);
    let record = record.expect("the move waits for its first stage");
    controller.apply_record(
        start,
        Stored {
            revision: 5,
            record,
        },
    );
    let reach = Reach { live: 1, heard: 1 };
    let later = now + Duration::from_secs(40);
    let inputs = |now| TickInputs {
        time: Time { now, wall },
        reach,
        ready: true,
    };
    controller.tick(inputs(later));
    controller.note_exchange(later, Source::Store, reach);
    (controller, inputs(later + STEP))
}

fn written(controller: &mut Controller, inputs: TickInputs, fence: u64) -> Option<Record> {
    let deadline = inputs.time.now + LEASE_TERM;
    controller.set_lease(Some(Lease { fence, deadline }));
    let actions = controller.tick(inputs);
    actions.into_iter().find_map(|action| match action {
        Action::Write { record, .. } => Some(record),
        Action::Push(_) | Action::Publish(_) => None,
    })
}

/// The lease passes to another daemon while a write of the former holder is still
/// pending. The new holder must first write its fencing token to the record: then
/// that write meets another revision. If it advanced at once, the stage that the
/// former holder decided on could still be written in between.
#[test]
fn a_new_holder_first_writes_its_fencing_token() {
    let net = Net::new(1, false);
    let (mut controller, inputs) = ready(&net);
    let record = written(&mut controller, inputs, 4).expect("the lease holder writes the record");
    assert_eq!((record.fence(), record.stage()), (4, Some(0)));
    let (mut controller, inputs) = ready(&net);
    let record = written(&mut controller, inputs, 3).expect("the lease holder writes the record");
    assert_eq!((record.fence(), record.stage()), (3, Some(1)));
}

/// A holder that lost its lease without noticing sees a record with a higher
/// fencing token. It must leave the move to the holder of that token.
#[test]
fn a_holder_with_an_old_number_writes_nothing() {
    let net = Net::new(1, false);
    let (mut controller, inputs) = ready(&net);
    assert_eq!(written(&mut controller, inputs, 2), None);
}

/// An old copy of the record arrives after a newer one, from a slow peer. If it
/// were applied, a version that was rolled back would get requests again.
#[test]
fn an_older_record_changes_nothing() {
    let net = Net::new(1, false);
    let (mut controller, inputs) = ready(&net);
    let old = controller
        .stored()
        .cloned()
        .expect("the record was applied");
    let ended = old.record.clone().roll_back("failed".into());
    let back = Stored {
        revision: 6,
        record: ended.expect("the move has not ended"),
    };
    controller.apply_record(inputs.time, back.clone());
    controller.apply_record(inputs.time, old);
    assert_eq!(controller.stored(), Some(&back));
    assert_eq!(controller.version_for(inputs.time.now, true, 0), Pick::Old);
}
