//! Races of claims that schedules rarely meet, driven step by step.

use std::time::{Duration, Instant};

use bytes::Bytes;
use poplarvale_lib::claims::{
    CLAIM_TIMEOUT, Claimer, Command, HandOver, Input, Key, KeyedRequest, MIN_RETENTION, Question,
    Reply,
};
use poplarvale_lib::store::{Condition, Lease, Snapshot, StoredValue, Write, Written};

/// A claimer with a lease, and its time.
struct Driven {
    claimer: Claimer,
    now: Instant,
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
        driven.tell(Input::Leased(Ok(Lease { id: 1, until })));
        driven
    }

    fn tell(&mut self, input: Input) -> Vec<Command> {
        self.claimer.tick(self.now, vec![input])
    }

    fn begin(&mut self, key: &Key) -> Vec<Command> {
        self.begun += 1;
        self.tell(Input::Begin(KeyedRequest {
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

fn own(text: &str) -> Key {
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

/// A write is given up, and its answer comes after the next one was sent. Taken
/// for the answer of that one, a claim that nobody made would be dispatched, and
/// another daemon could have the same key.
#[test]
fn the_late_end_of_a_write_is_not_that_of_the_next() {
    let mut driven = Driven::new(7);
    let commands = driven.begin(&own("one"));
    let (first, _) = written(&commands);
    driven.wait(Duration::from_secs(4));
    driven.wait(Duration::from_secs(1));
    let commands = driven.begin(&own("two"));
    let (second, _) = written(&commands);
    assert_eq!(dispatches(&driven.tell(done(first))), 0);
    assert_eq!(dispatches(&driven.tell(done(second))), 1);
}

/// A claim is given up while its write is under way, another daemon sees the row
/// and is promised that it is never dispatched, and the same caller comes again.
/// The first write's answer must not let the second request run, as the other
/// daemon has put its own row in the meantime.
#[test]
fn the_answer_for_a_released_claim_wins_nothing() {
    let mut driven = Driven::new(7);
    let key = own("one");
    let commands = driven.begin(&key);
    let (first, _) = written(&commands);
    driven.wait(CLAIM_TIMEOUT);
    assert_eq!(driven.question("one", 1), Reply::Released);
    driven.begin(&key);
    assert_eq!(dispatches(&driven.tell(done(first))), 0);
}

/// The same, but the daemon that asked died before it replaced the row. The row
/// lets nothing run by itself; it is replaced at its revision, where the other
/// daemon's write and this one can't both be done.
#[test]
fn the_row_of_a_released_claim_is_replaced_before_anything_runs() {
    let mut driven = Driven::new(7);
    let key = own("one");
    let commands = driven.begin(&key);
    let (number, write) = written(&commands);
    let value = write.puts[0].value.clone();
    driven.wait(CLAIM_TIMEOUT);
    assert_eq!(driven.question("one", 1), Reply::Released);
    let result = Err(poplarvale_lib::store::Failure::Unknown);
    driven.tell(Input::Written { number, result });
    driven.begin(&key);
    let commands = driven.wait(Duration::from_secs(1));
    let (number, _) = written(&commands);
    let commands = driven.tell(differs(number, "one", value));
    assert_eq!(dispatches(&commands), 0);
    let (number, write) = written(&commands);
    let id = "poplarvale/claims/a/one".into();
    assert_eq!(write.conditions, [Condition::Unchanged(id, 5)]);
    assert_eq!(dispatches(&driven.tell(done(number))), 1);
}

/// A question about an earlier claim of the key comes late. Answered for the
/// present one, it would release a claim that nobody asked for.
#[test]
fn a_question_about_another_claim_changes_nothing() {
    let mut driven = Driven::new(7);
    driven.begin(&own("one"));
    driven.wait(CLAIM_TIMEOUT);
    assert_eq!(driven.question("one", 9), Reply::Unknown);
    assert_eq!(driven.question("one", 1), Reply::Released);
}

/// Keys that were handed over while their issuer still takes requests would be
/// dispatched by two daemons.
#[test]
fn keys_are_handed_over_after_the_freeze_and_once() {
    let mut driven = Driven::new(7);
    let customer = "a".into();
    let key = driven.claimer.issue(&customer).unwrap();
    assert!(driven.claimer.hand_over(8).is_empty());
    driven.tell(Input::Freeze);
    assert_eq!(dispatches(&driven.begin(&key)), 0);
    assert_eq!(driven.claimer.hand_over(8).len(), 1);
    assert!(driven.claimer.hand_over(9).is_empty());
    assert_eq!(dispatches(&driven.begin(&key)), 0);
}

/// The hand-over comes twice, the second time after the successor has used a key
/// of it or has handed it on itself. Taken anew, the key would be unused again.
#[test]
fn a_repeated_hand_over_brings_no_key_back() {
    let mut issuer = Driven::new(7);
    let key = issuer.claimer.issue(&"a".into()).unwrap();
    issuer.tell(Input::Freeze);
    let over: HandOver = issuer.claimer.hand_over(8).remove(0);
    let mut successor = Driven::new(8);
    let now = successor.now;
    assert!(successor.claimer.take_over(now, over.clone()));
    assert_eq!(dispatches(&successor.begin(&key)), 1);
    assert!(successor.claimer.take_over(now, over.clone()));
    assert_eq!(dispatches(&successor.begin(&key)), 0);
    successor.tell(Input::Freeze);
    let issuers = successor.claimer.hand_over(9);
    let issuers: Vec<_> = issuers.iter().map(|over| over.issuer).collect();
    assert_eq!(issuers, [8, 7]);
    successor.claimer.take_over(now, over.clone());
    assert_eq!(dispatches(&successor.begin(&key)), 0);
    let mut other = Driven::new(10);
    assert!(!other.claimer.take_over(now, over));
}

/// A write of many claims fails because one of their keys stands already. The
/// others must not suffer: they go into the next write.
#[test]
fn one_key_that_stands_does_not_hold_up_the_others() {
    let mut driven = Driven::new(7);
    let commands = driven.begin(&own("zero"));
    let (number, _) = written(&commands);
    driven.begin(&own("one"));
    driven.begin(&own("two"));
    let commands = driven.tell(done(number));
    let (number, write) = written(&commands);
    assert_eq!(write.puts.len(), 2);
    let commands = driven.tell(differs(number, "one", Bytes::from_static(b"unreadable")));
    let (number, write) = written(&commands);
    assert_eq!(write.puts.len(), 1);
    assert_eq!(dispatches(&driven.tell(done(number))), 1);
}
