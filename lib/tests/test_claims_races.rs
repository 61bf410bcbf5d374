//! Races between claims that random schedules rarely hit, driven step by step.

use std::time::{Duration, Instant};

use bytes::Bytes;
use poplarvale_lib::claims::{
    CLAIM_TIMEOUT, Claimer, Command, HandOver, Input, Key, KeyedRequest, MIN_RETENTION, Question,
    Reply,
};
use poplarvale_lib::store::{Condition, Lease, Snapshot, StoredValue, Write, Written};

/// A claimer with a lease, and its clock.
struct Driven {
    claimer: Claimer,
    now: Instant,
    /// Id of the latest request.
    begun: u128,
}

impl Driven {
    fn new(incarnation: u64) -> Self {
        let mut driven = Self {
            claimer: Claimer::new(incarnation, incarnation),
            now: Instant::now(),
            begun: 0,
        };
        let until = driven.now + 2 * MIN_RETENTION;
        driven.tick(Input::Leased(Ok(Lease { id: 1, until })));
        driven
    }

    fn tick(&mut self, input: Input) -> Vec<Command> {
        self.claimer.tick(self.now, vec![input])
    }

    fn begin(&mut self, key: &Key) -> Vec<Command> {
        self.begun += 1;
        self.tick(Input::Begin(KeyedRequest {
            id: self.begun,
            customer: "a".into(),
            key: key.clone(),
            digest: 1,
            deadline: self.now + Duration::from_mins(1),
            forwarded: false,
        }))
    }

    fn wait(&mut self, time: Duration) -> Vec<Command> {
        self.now += time;
        self.claimer.tick(self.now, Vec::new())
    }

    fn question(&mut self, key: &str, sequence: u64) -> Reply {
        let id = format!("poplarvale/claims/a/{key}").into();
        self.claimer.reply(&Question { id, sequence })
    }
}

fn supplied(text: &str) -> Key {
    Key::parse(text).unwrap()
}

fn written(commands: &[Command]) -> (u64, &Write) {
    let write = commands.iter().find_map(|command| match command {
        Command::Write { number, write } => Some((*number, write)),
        _ => None,
    });
    write.unwrap()
}

fn dispatches(commands: &[Command]) -> usize {
    let is_one = |command: &&Command| matches!(command, Command::Dispatch(_));
    commands.iter().filter(is_one).count()
}

fn done(number: u64) -> Input {
    let result = Ok(Written::Done(9));
    Input::Written { number, result }
}

fn differs(number: u64, key: &str, value: Bytes) -> Input {
    let held = StoredValue {
        key: format!("poplarvale/claims/a/{key}").into(),
        value,
        created: 5,
        changed: 5,
        lease: 1,
    };
    let rows = vec![held];
    let result = Ok(Written::Conflict(Snapshot { revision: 9, rows }));
    Input::Written { number, result }
}

/// A write times out, and its result arrives after the next write was sent. If it were
/// taken for the result of that write, a request would be dispatched although its claim
/// was not written, and another daemon could claim the same key.
#[test]
fn the_late_result_of_a_write_is_not_that_of_the_next() {
    let mut driven = Driven::new(7);
    let commands = driven.begin(&supplied("one"));
    let (first, _) = written(&commands);
    driven.wait(Duration::from_secs(4));
    driven.wait(Duration::from_secs(1));
    let commands = driven.begin(&supplied("two"));
    let (second, _) = written(&commands);
    assert_eq!(dispatches(&driven.tick(done(first))), 0);
    assert_eq!(dispatches(&driven.tick(done(second))), 1);
}

/// A claim is abandoned while its write is in flight, another daemon finds the row and
/// is promised that its request is never dispatched, and the same caller retries. The
/// result of the first write must not let the second request run, as the other daemon
/// has written its own row in the meantime.
#[test]
fn the_write_result_of_a_released_claim_dispatches_nothing() {
    let mut driven = Driven::new(7);
    let key = supplied("one");
    let commands = driven.begin(&key);
    let (first, _) = written(&commands);
    driven.wait(CLAIM_TIMEOUT);
    assert_eq!(driven.question("one", 1), Reply::Released);
    driven.begin(&key);
    assert_eq!(dispatches(&driven.tick(done(first))), 0);
}

/// The same, but the daemon that asked crashed before it replaced the row. The row by
/// itself lets no request run; it is replaced at its revision, where the write of the
/// other daemon and this one cannot both succeed.
#[test]
fn the_row_of_a_released_claim_is_replaced_before_anything_runs() {
    let mut driven = Driven::new(7);
    let key = supplied("one");
    let commands = driven.begin(&key);
    let (number, write) = written(&commands);
    let value = write.puts[0].value.clone();
    driven.wait(CLAIM_TIMEOUT);
    assert_eq!(driven.question("one", 1), Reply::Released);
    let result = Err(poplarvale_lib::store::Failure::Unknown);
    driven.tick(Input::Written { number, result });
    driven.begin(&key);
    let commands = driven.wait(Duration::from_secs(1));
    let (number, _) = written(&commands);
    let commands = driven.tick(differs(number, "one", value));
    assert_eq!(dispatches(&commands), 0);
    let (number, write) = written(&commands);
    let id = "poplarvale/claims/a/one".into();
    assert_eq!(write.conditions, [Condition::Unchanged(id, 5)]);
    assert_eq!(dispatches(&driven.tick(done(number))), 1);
}

/// A question about another claim of the same key arrives. If it were answered for the
/// present claim, it would release a claim that nobody asked about.
#[test]
fn a_question_about_another_claim_changes_nothing() {
    let mut driven = Driven::new(7);
    driven.begin(&supplied("one"));
    driven.wait(CLAIM_TIMEOUT);
    assert_eq!(driven.question("one", 9), Reply::Unknown);
    assert_eq!(driven.question("one", 1), Reply::Released);
}

/// If keys were handed over while their issuer still accepts requests, two daemons would
/// dispatch requests with them.
#[test]
fn keys_are_handed_over_after_the_freeze_and_once() {
    let mut driven = Driven::new(7);
    let customer = "a".into();
    let key = driven.claimer.issue(&customer).unwrap();
    assert!(driven.claimer.hand_over(8).is_empty());
    driven.tick(Input::Freeze);
    assert_eq!(dispatches(&driven.begin(&key)), 0);
    assert_eq!(driven.claimer.hand_over(8).len(), 1);
    assert!(driven.claimer.hand_over(9).is_empty());
    assert_eq!(dispatches(&driven.begin(&key)), 0);
}

/// A hand-over arrives twice, the second time after the successor has used one of its
/// keys or has handed the key space on. If it were accepted again, the used key would be
/// unused again.
#[test]
fn a_duplicate_hand_over_makes_no_key_unused_again() {
    let mut issuer = Driven::new(7);
    let key = issuer.claimer.issue(&"a".into()).unwrap();
    issuer.tick(Input::Freeze);
    let over: HandOver = issuer.claimer.hand_over(8).remove(0);
    let mut successor = Driven::new(8);
    let now = successor.now;
    assert!(successor.claimer.take_over(now, over.clone()));
    assert_eq!(dispatches(&successor.begin(&key)), 1);
    assert!(successor.claimer.take_over(now, over.clone()));
    assert_eq!(dispatches(&successor.begin(&key)), 0);
    successor.tick(Input::Freeze);
    let issuers = successor.claimer.hand_over(9);
    let issuers: Vec<_> = issuers.iter().map(|over| over.issuer).collect();
    assert_eq!(issuers, [8, 7]);
    successor.claimer.take_over(now, over.clone());
    assert_eq!(dispatches(&successor.begin(&key)), 0);
    let mut other = Driven::new(10);
    assert!(!other.claimer.take_over(now, over));
}

/// A write of several claims is not done because one of their keys exists already. The
/// other claims must not fail: they are part of the next write.
#[test]
fn one_existing_key_does_not_delay_the_others() {
    let mut driven = Driven::new(7);
    let commands = driven.begin(&supplied("zero"));
    let (number, _) = written(&commands);
    driven.begin(&supplied("one"));
    driven.begin(&supplied("two"));
    let commands = driven.tick(done(number));
    let (number, write) = written(&commands);
    assert_eq!(write.puts.len(), 2);
    let commands = driven.tick(differs(number, "one", Bytes::from_static(b"unreadable")));
    let (number, write) = written(&commands);
    assert_eq!(write.puts.len(), 1);
    assert_eq!(dispatches(&driven.tick(done(number))), 1);
}
