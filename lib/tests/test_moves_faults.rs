//! Version moves on several daemons under cuts, pauses, restarts and lost,
//! doubled or reordered messages.

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
const TERM: Duration = Duration::from_secs(4);
const ID: u128 = 7;
const SCALE: Scale = Scale {
    endpoints: 10,
    idempotent: FULL_SHARE,
};

#[derive(Clone, Copy, Debug)]
enum Event {
    /// All that run do so for some steps.
    Run(u16),
    /// One stands still for some steps, and then goes on as if nothing were.
    Freeze(usize, u16),
    /// One is replaced by a process that knows nothing.
    Restart(usize),
    /// One is cut off from the others, or joined again.
    Cut(usize, bool),
    /// One is cut off from the store, or joined again.
    CutStore(usize, bool),
    /// Requests at the new version begin to fail, or stop to.
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
        2 => (daemon.clone(), any::<bool>()).prop_map(|(d, c)| Event::Cut(d, c)),
        1 => (daemon, any::<bool>()).prop_map(|(d, c)| Event::CutStore(d, c)),
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
        bad: Vec<Verdict>,
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
    life: u64,
    /// Steps for which it stands still.
    frozen: u16,
    cut: bool,
    cut_store: bool,
    heard: Vec<Option<Instant>>,
    lease: Option<Lease>,
    convicted: bool,
    /// Shares of the requests since its start, and how many went over.
    promised: u64,
    went: u64,
}

impl Daemon {
    fn new(life: u64) -> Self {
        Self {
            controller: Controller::new("booking".into(), life),
            life,
            frozen: 0,
            cut: false,
            cut_store: false,
            heard: vec![None; DAEMONS],
            lease: None,
            convicted: false,
            promised: 0,
            went: 0,
        }
    }
}

/// Daemons, the store, and what travels between them.
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
    /// When the record last went a step on.
    stepped: Option<Instant>,
    steps: u32,
}

impl Net {
    fn new(seed: u64, failing: bool) -> Self {
        let start = Instant::now();
        let wish = Ask {
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
        let record = ask(None, &wish, &fleet, WALL).expect("it can be done");
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
            stepped: None,
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
                let life = self.daemons[d].life + DAEMONS as u64;
                self.daemons[d] = Daemon::new(life);
            }
            Event::Cut(d, cut) => self.daemons[d].cut = cut,
            Event::CutStore(d, cut) => self.daemons[d].cut_store = cut,
            Event::Fail(failing) => self.failing = failing,
            Event::Cancel => {
                if let Ok(record) = cancel(Some(&self.store.record), ID, "asked".into()) {
                    let revision = self.store.revision;
                    self.land(Write { revision, record });
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

    /// A part of what travels arrives, in any order and some of it twice.
    fn deliver(&mut self) {
        for _ in 0..self.messages.len() / 2 {
            let at = self.rng.usize(..self.messages.len());
            let (to, message) = self.messages[at].clone();
            if self.rng.u8(..10) > 0 {
                self.messages.swap_remove(at);
            }
            if !self.daemons[to].cut && self.daemons[to].frozen == 0 {
                self.receive(to, message);
            }
        }
        if !self.writes.is_empty() && self.rng.u8(..4) == 0 {
            let at = self.rng.usize(..self.writes.len());
            let write = self.writes[at].clone();
            if self.rng.u8(..10) > 0 {
                self.writes.swap_remove(at);
            }
            self.land(write);
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
                bad,
            } => {
                daemon.heard[from] = Some(now);
                if let Some(stored) = stored {
                    daemon.controller.apply_record(time, stored);
                }
                for bad in bad {
                    daemon.controller.add_verdict(bad);
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
            Message::Verdict(bad) => daemon.controller.add_verdict(bad),
        }
    }

    /// The store takes a write only on the revision it was decided on.
    fn land(&mut self, write: Write) {
        if write.revision != self.store.revision {
            return;
        }
        let old = &self.store.record;
        // A second cancel writes what stands there already.
        let same = write.record == *old;
        assert!(same || !old.ended(), "an ended move changed");
        assert!(write.record.fence() >= old.fence(), "an old holder wrote");
        let goes_on = write.record.stage() > old.stage() && old.stage().is_some();
        if goes_on {
            let before = self.stepped.map(|at| self.now - at);
            let slow = before.is_none_or(|before| before + 2 * MARGIN >= MIN_STAGE_TIME);
            assert!(slow, "two steps {before:?} apart");
        }
        if write.record.stage() != old.stage() {
            self.stepped = Some(self.now);
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
            heard: 1 + self.daemons[d].heard.iter().filter(recent).count() as u32,
        }
    }

    fn run(&mut self, d: usize) {
        let (now, time, reach) = (self.now, self.time(), self.reach(d));
        if !self.daemons[d].cut_store {
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

    /// The store's lease: one holder at a time, a higher number for each grant.
    fn lease(&mut self, d: usize) {
        let free = self.holder.is_none_or(|(_, until)| until <= self.now);
        let mine = self.holder.is_some_and(|(holder, _)| holder == d);
        let has = self.daemons[d].lease.is_some();
        if free || (mine && !has) {
            self.fence += 1;
        }
        if free || mine {
            let deadline = self.now + TERM;
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
                let lease = self.daemons[d].lease.as_ref().expect("a lease was held");
                assert!(self.now < until && until + MARGIN <= lease.deadline);
                if !self.daemons[d].cut_store {
                    self.writes.push(Write { revision, record });
                }
            }
            Action::Push(bad) => self.send(d, &Message::Verdict(bad)),
            Action::Publish(rows) => self.send(d, &Message::Rows(rows)),
        }
    }

    fn exchange(&mut self, d: usize) {
        let controller = &self.daemons[d].controller;
        let message = Message::Exchange {
            from: d,
            fresh: controller.is_fresh(self.now),
            stored: controller.stored().cloned(),
            bad: controller.verdicts().to_vec(),
        };
        self.send(d, &message);
    }

    fn send(&mut self, from: usize, message: &Message) {
        if self.daemons[from].cut {
            return;
        }
        let others = (0..DAEMONS).filter(|to| *to != from);
        self.messages.extend(others.map(|to| (to, message.clone())));
    }

    fn request(&mut self, d: usize) {
        let draw = self.rng.u32(..FULL_SHARE);
        let daemon = &mut self.daemons[d];
        daemon.convicted |= daemon.controller.verdict().is_some();
        let record = daemon.controller.stored().map(|s| s.record.clone());
        let stage = record.as_ref().and_then(Record::stage);
        let pick = daemon.controller.version_for(self.now, true, draw);
        if daemon.convicted {
            assert!(daemon.controller.verdict().is_some(), "a verdict was lost");
            assert_eq!(pick, Pick::Old, "a bad version got a request");
        }
        if matches!(record, Some(Record::Done(_))) {
            return;
        }
        daemon.promised += stage.map_or(0, |s| u64::from(shares(s, SCALE).idempotent));
        daemon.went += u64::from(pick == Pick::New);
        let most = daemon.promised.div_ceil(u64::from(FULL_SHARE)) + 1;
        assert!(daemon.went <= most, "more than the share");
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

    /// Daemons are cut off, frozen and replaced while a bad version is moved to,
    /// and messages come late, twice or not. A daemon that forgets a verdict, a
    /// holder that acts after its pause, or a share that is passed would show as
    /// callers who meet the bad version again.
    #[test]
    fn verdict_share_and_lease_hold_in_every_schedule(events in events(), seed: u64) {
        let mut net = Net::new(seed, true);
        for event in events {
            net.play(event);
        }
    }

    /// The same with a good version: nothing may be taken back.
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

/// A version fails every request from its first one on. Operators read that it
/// was taken back, and on what evidence.
#[test]
fn a_failing_version_is_taken_back_with_its_evidence() {
    let mut net = Net::new(1, true);
    net.play(Event::Run(300));
    let Record::RolledBack(back) = &net.store.record else {
        panic!("it was not taken back: {:?}", net.store.record);
    };
    assert!(
        back.state.reason.contains("on chat failed"),
        "{}",
        back.state.reason
    );
}

/// The platform's store is out when the fault shows. The verdict must reach
/// everyone without it.
#[test]
fn a_verdict_spreads_while_the_store_is_out() {
    let mut net = Net::new(3, false);
    net.play(Event::Run(400));
    for d in 0..DAEMONS {
        net.play(Event::CutStore(d, true));
    }
    net.play(Event::Fail(true));
    net.play(Event::Run(200));
    assert!(!net.store.record.ended());
    assert!(net.daemons.iter().all(|d| d.controller.verdict().is_some()));
}

/// The holder's host freezes just after it read the clock. Another takes the
/// lease and goes on; the first one wakes and its write, long under way, lands.
/// Were it to count, the move would jump a stage nobody has looked at.
#[test]
fn of_two_holders_only_one_goes_on() {
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
    net.land(old);
    assert_eq!(net.store, before);
    net.play(Event::Run(10));
    let controller = &net.daemons[held].controller;
    assert!(controller.stored().is_some());
}

/// A daemon wakes from a long freeze and has missed the verdict. Its callers must
/// not meet the bad version until it has heard the news.
#[test]
fn a_daemon_that_was_paused_sends_nothing_until_it_heard() {
    let mut net = Net::new(6, false);
    net.play(Event::Run(600));
    assert!(net.daemons[2].controller.is_open(net.now));
    net.play(Event::Cut(2, true));
    net.play(Event::CutStore(2, true));
    net.play(Event::Freeze(2, 100));
    net.play(Event::Run(101));
    assert!(!net.daemons[2].controller.is_open(net.now));
    net.play(Event::Cut(2, false));
    net.play(Event::Run(40));
    assert!(net.daemons[2].controller.is_open(net.now));
}

/// A zone loses its store and its peers. It goes on with the last share for as
/// long as its daemons hear each other, and one alone goes back to the old
/// version when its news has aged.
#[test]
fn a_daemon_that_hears_nobody_goes_back_to_the_old_version() {
    let mut net = Net::new(8, false);
    net.play(Event::Run(400));
    net.play(Event::Cut(1, true));
    net.play(Event::CutStore(1, true));
    net.play(Event::Run(240));
    assert!(!net.daemons[1].controller.is_open(net.now));
}

/// A controller that is fresh and knows a staged record whose stage is over,
/// written under the number 3.
fn ready(net: &Net) -> (Controller, TickInputs) {
    let now = net.now;
    let wall = WALL + 40_000;
    let start = Time { now, wall: WALL };
    let mut controller = Controller::new("booking".into(), 1);
    let permit = Lease {
        fence: 3,
        deadline: now + TERM,
    }
    .permit(now)
    .expect("it is live");
    let record = net.store.record.clone().step(permit, WALL);
    let record = record.expect("it is asked");
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
    let deadline = inputs.time.now + TERM;
    controller.set_lease(Some(Lease { fence, deadline }));
    let actions = controller.tick(inputs);
    actions.into_iter().find_map(|action| match action {
        Action::Write { record, .. } => Some(record),
        Action::Push(_) | Action::Publish(_) => None,
    })
}

/// The lease passes to another daemon while a write of the former holder is still
/// under way. The new holder must first put its number on the record: then that
/// write meets another revision. Were it to step at once, the stage that the
/// former holder decided on could still come in between.
#[test]
fn a_new_holder_puts_its_number_on_the_record_first() {
    let net = Net::new(1, false);
    let (mut controller, inputs) = ready(&net);
    let record = written(&mut controller, inputs, 4).expect("it writes");
    assert_eq!((record.fence(), record.stage()), (4, Some(0)));
    let (mut controller, inputs) = ready(&net);
    let record = written(&mut controller, inputs, 3).expect("it writes");
    assert_eq!((record.fence(), record.stage()), (3, Some(1)));
}

/// A holder that lost its lease without noticing sees a record with a higher
/// number. It must leave the move to the holder of that number.
#[test]
fn a_holder_with_an_old_number_writes_nothing() {
    let net = Net::new(1, false);
    let (mut controller, inputs) = ready(&net);
    assert_eq!(written(&mut controller, inputs, 2), None);
}

/// An old copy of the record arrives after a newer one, from a slow peer. Taken
/// for new, it would bring a version back that was taken back.
#[test]
fn an_older_record_changes_nothing() {
    let net = Net::new(1, false);
    let (mut controller, inputs) = ready(&net);
    let old = controller.stored().cloned().expect("it was adopted");
    let ended = old.record.clone().roll_back("failed".into());
    let back = Stored {
        revision: 6,
        record: ended.expect("it is open"),
    };
    controller.apply_record(inputs.time, back.clone());
    controller.apply_record(inputs.time, old);
    assert_eq!(controller.stored(), Some(&back));
    assert_eq!(controller.version_for(inputs.time.now, true, 0), Pick::Old);
}
