//! Simulates the claimers of several daemons around one key-value service on virtual
//! time, for the tests and benchmarks of `claims`.
//!
//! Callers send bookings with keys; the simulation records which of them ran at an
//! endpoint, so that a test can check that no key ran twice.

use std::time::{Duration, Instant};

use poplarvale_lib::claims::{
    Answer, Claimer, Command, HandOver, Input, Key, KeyedRequest, Peer, Permit, Question,
    Rejection, RunResult,
};
use poplarvale_lib::store::{Failure, Lease, Write, Written};
use poplarvale_lib::{Incarnation, RequestId};

use super::data::Fake;

/// Step of the virtual time.
const STEP: Duration = Duration::from_millis(5);
/// Time that the key-value service takes for a write.
const WRITE_TIME: Duration = Duration::from_millis(3);
/// Time that an endpoint takes for a booking.
const BOOKING_TIME: Duration = Duration::from_millis(100);

/// Faults between daemons, key-value service and endpoints; each acts while it is set.
#[allow(
    clippy::struct_excessive_bools,
    reason = "each is an independent switch"
)]
#[derive(Clone, Copy, Debug, Default)]
pub struct FaultSwitches {
    /// The key-value service is unreachable.
    pub down: bool,
    /// Half of the writes get no answer. Of these, half never take effect and half take
    /// effect up to six seconds later.
    pub lossy: bool,
    /// Messages between daemons take up to four seconds; some are duplicated or lost.
    pub late: bool,
    /// Endpoints break the exchange off or accept no connection.
    pub broken: bool,
}

/// A booking that a caller sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Sent {
    /// Id of the request.
    pub request: RequestId,
    /// Its idempotency key.
    pub key: Key,
}

/// A daemon, reduced to its claimer.
#[derive(Debug)]
struct Daemon {
    incarnation: Incarnation,
    claimer: Claimer,
    inputs: Vec<Input>,
}

/// A message, call or result that is under way; the first incarnation is the receiver
/// of `Begin`, `Written`, `Replied` and `Ended` and the sender of `Write` and `Question`.
#[derive(Debug)]
enum Message {
    Begin(Incarnation, KeyedRequest),
    Write(Incarnation, u64, Write),
    Written(Incarnation, u64, Result<Written, Failure>),
    Question(Incarnation, Incarnation, Question),
    Replied(Incarnation, Input),
    HandOver(HandOver),
    Ended(Incarnation, Permit, RunResult),
}

/// The daemons, the key-value service, and the results that callers got.
#[derive(Debug)]
pub struct Bookings {
    /// Virtual time.
    pub now: Instant,
    /// The key-value service.
    pub store: Fake,
    /// Faults that are on.
    pub faults: FaultSwitches,
    /// All bookings sent so far.
    pub sent: Vec<Sent>,
    /// Requests that ran at an endpoint, in this order.
    pub ran: Vec<RequestId>,
    /// Stored answers that callers got.
    pub answers: Vec<(RequestId, Answer)>,
    /// Rejections that callers got.
    pub rejections: Vec<Rejection>,
    /// Times from the arrival of a booking to its dispatch.
    pub waits: Vec<Duration>,
    daemons: Vec<Daemon>,
    requests: Vec<(RequestId, Instant, KeyedRequest)>,
    in_flight: Vec<(Instant, Message)>,
    rng: fastrand::Rng,
    last_id: u64,
}

impl Bookings {
    /// Starts daemons that know of each other.
    pub fn new(daemons: usize, seed: u64) -> Self {
        let mut bookings = Self {
            now: Instant::now(),
            store: Fake::default(),
            faults: FaultSwitches::default(),
            sent: Vec::new(),
            ran: Vec::new(),
            answers: Vec::new(),
            rejections: Vec::new(),
            waits: Vec::new(),
            daemons: Vec::new(),
            requests: Vec::new(),
            in_flight: Vec::new(),
            rng: fastrand::Rng::with_seed(seed),
            last_id: 0,
        };
        for _ in 0..daemons {
            let daemon = bookings.start();
            bookings.daemons.push(daemon);
        }
        for at in 0..daemons {
            bookings.update_peers(at);
        }
        bookings
    }

    /// Sends a booking to the daemon with index `at`.
    pub fn book(&mut self, at: usize, customer: &str, key: &Key, digest: u128) -> RequestId {
        self.last_id += 1;
        let request = RequestId::from(self.last_id);
        let keyed = KeyedRequest {
            id: request,
            customer: customer.into(),
            key: key.clone(),
            digest,
            deadline: self.now + Duration::from_secs(10),
            forwarded: false,
        };
        let key = key.clone();
        self.sent.push(Sent { request, key });
        self.requests.push((request, self.now, keyed.clone()));
        self.daemons[at].inputs.push(Input::Begin(keyed));
        request
    }

    /// Issues a key at a daemon.
    pub fn issue(&mut self, at: usize, customer: &str) -> Option<Key> {
        self.daemons[at].claimer.issue(&customer.into())
    }

    /// Closes the connection of a request's caller.
    pub fn leave(&mut self, at: usize, request: RequestId) {
        self.daemons[at].inputs.push(Input::CallerLeft(request));
    }

    /// Kills a daemon and starts a new incarnation in its place.
    pub fn crash(&mut self, at: usize) {
        self.daemons[at] = self.start();
        self.update_peers(at);
    }

    /// Announces to a daemon that its host is reclaimed.
    pub fn freeze(&mut self, at: usize) {
        self.daemons[at].inputs.push(Input::Freeze);
    }

    /// Hands the keys of a frozen daemon over to another one.
    pub fn hand_over(&mut self, at: usize, to: usize) {
        let to = self.daemons[to].incarnation;
        let hand_overs = self.daemons[at].claimer.hand_over(to);
        for hand_over in hand_overs {
            if self.faults.late && self.rng.bool() {
                self.send(Message::HandOver(hand_over.clone()));
            }
            self.send(Message::HandOver(hand_over));
        }
    }

    /// Gives a daemon the list of its live peers.
    pub fn update_peers(&mut self, at: usize) {
        let me = self.daemons[at].incarnation;
        let others = self.daemons.iter().filter(|d| d.incarnation != me);
        let peers = others.map(|d| Peer {
            incarnation: d.incarnation,
            holds: d.claimer.inherited_issuers(),
        });
        let peers = Input::Peers(peers.collect());
        self.daemons[at].inputs.push(peers);
    }

    /// Advances the virtual time.
    pub fn run(&mut self, time: Duration) {
        let until = self.now + time;
        while self.now < until {
            self.step();
        }
    }

    /// Requests with this key that ran at an endpoint.
    pub fn ran_of(&self, key: &Key) -> Vec<RequestId> {
        let of = |r: &&RequestId| self.sent.iter().any(|s| s.request == **r && s.key == *key);
        self.ran.iter().filter(of).copied().collect()
    }

    fn start(&mut self) -> Daemon {
        self.last_id += 1;
        let incarnation = self.rng.u64(..) | self.last_id;
        Daemon {
            incarnation,
            claimer: Claimer::new(incarnation, incarnation),
            inputs: Vec::new(),
        }
    }

    fn step(&mut self) {
        self.now += STEP;
        let now = self.now;
        let in_flight = std::mem::take(&mut self.in_flight);
        let (due, later): (Vec<_>, _) = in_flight.into_iter().partition(|(at, _)| *at <= now);
        self.in_flight = later;
        for (_, message) in due {
            self.deliver(message);
        }
        for at in 0..self.daemons.len() {
            let daemon = &mut self.daemons[at];
            let inputs = std::mem::take(&mut daemon.inputs);
            let me = daemon.incarnation;
            for command in daemon.claimer.tick(now, inputs) {
                self.command(at, me, command);
            }
        }
    }

    fn command(&mut self, at: usize, me: Incarnation, command: Command) {
        match command {
            Command::Dispatch(permit) => self.dispatch(me, permit),
            Command::Answer { request, answer } => self.answers.push((request, answer)),
            Command::Reject(rejection) => self.rejections.push(rejection),
            Command::Forward { request, to } => {
                let keyed = self.requests.iter().find(|(id, ..)| *id == request);
                let mut keyed = keyed.expect("the request was booked here").2.clone();
                keyed.forwarded = true;
                self.send(Message::Begin(to, keyed));
            }
            Command::Question { to, question } => self.send(Message::Question(me, to, question)),
            Command::Write { number, write } => self.write(me, number, write),
            Command::Lease(ttl) => {
                self.store.counts.leases += 1;
                let result = if self.faults.down {
                    Err(Failure::NotDone)
                } else {
                    let id = self.store.data.grant(self.now, 0, ttl);
                    let until = self.now + ttl;
                    Ok(Lease { id, until })
                };
                self.daemons[at].inputs.push(Input::Leased(result));
            }
        }
    }

    fn dispatch(&mut self, me: Incarnation, permit: Permit) {
        let request = permit.request();
        let booked = self.requests.iter().find(|(id, ..)| *id == request);
        self.waits
            .push(self.now - booked.expect("the request was booked here").1);
        let case = if self.faults.broken {
            self.rng.u32(0..4)
        } else {
            0
        };
        let end = match case {
            0 | 1 => RunResult::Answered(Answer {
                status: 200,
                content: "text/plain".into(),
                body: request.to_string().into_bytes(),
            }),
            2 => RunResult::Unknown,
            _ => RunResult::Unsent,
        };
        if end != RunResult::Unsent {
            self.ran.push(request);
        }
        let message = Message::Ended(me, permit, end);
        self.in_flight.push((self.now + BOOKING_TIME, message));
    }

    fn write(&mut self, me: Incarnation, number: u64, write: Write) {
        if self.faults.down {
            let failure = if self.rng.bool() {
                Failure::NotDone
            } else {
                Failure::Unknown
            };
            return self.send(Message::Written(me, number, Err(failure)));
        }
        if self.faults.lossy && self.rng.bool() {
            self.send(Message::Written(me, number, Err(Failure::Unknown)));
            if self.rng.bool() {
                let delay = Duration::from_millis(self.rng.u64(1..6_000));
                self.in_flight
                    .push((self.now + delay, Message::Write(0, 0, write)));
            }
            return;
        }
        self.send(Message::Write(me, number, write));
    }

    fn deliver(&mut self, message: Message) {
        match message {
            Message::Begin(..) if self.is_lost() => {}
            Message::Begin(to, keyed) => self.input(to, Input::Begin(keyed)),
            Message::Write(from, number, write) => {
                let result = self.store.write(write);
                let slow = Duration::from_millis(self.store.faults.slow_ms);
                let written = Message::Written(from, number, result);
                self.in_flight.push((self.now + WRITE_TIME + slow, written));
            }
            Message::Written(to, number, result) => {
                self.input(to, Input::Written { number, result });
            }
            Message::Question(from, to, question) => {
                let asked = self.find(to).filter(|_| !self.is_lost());
                let reply = asked.map(|at| self.daemons[at].claimer.reply(&question));
                let input = Input::Replied { question, reply };
                self.send(Message::Replied(from, input));
            }
            Message::Replied(to, input) => self.input(to, input),
            Message::HandOver(hand_over) => {
                if let Some(at) = self.find(hand_over.to) {
                    self.daemons[at].claimer.take_over(self.now, hand_over);
                }
            }
            Message::Ended(to, permit, end) => self.input(to, Input::Ended(permit, end)),
        }
    }

    /// Whether a message between daemons is lost.
    fn is_lost(&mut self) -> bool {
        self.faults.late && self.rng.u32(0..8) == 0
    }

    fn input(&mut self, to: Incarnation, input: Input) {
        if let Some(at) = self.find(to) {
            self.daemons[at].inputs.push(input);
        }
    }

    fn send(&mut self, message: Message) {
        let late = self.faults.late && self.rng.u32(0..4) == 0;
        let max_ms = if late { 4_000 } else { 5 };
        let delay = Duration::from_millis(self.rng.u64(1..max_ms));
        self.in_flight.push((self.now + delay, message));
    }

    fn find(&self, id: Incarnation) -> Option<usize> {
        self.daemons.iter().position(|d| d.incarnation == id)
    }
}
