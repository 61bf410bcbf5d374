//! Claimers of some daemons around a key-value service, on virtual time, for the
//! tests and measurements of `claims`.

use std::time::{Duration, Instant};

use poplarvale_lib::claims::{
    Answer, Claimer, Command, HandOver, Input, Key, KeyedRequest, Peer, Permit, Question,
    Rejection, RunResult,
};
use poplarvale_lib::store::{Failure, Lease, Write, Written};
use poplarvale_lib::{Incarnation, RequestId};

use super::data::Fake;

/// Step of virtual time.
const STEP: Duration = Duration::from_millis(5);
/// Time that the service takes for a write.
const MOMENT: Duration = Duration::from_millis(3);
/// Time that an endpoint takes for a booking.
const BOOKING: Duration = Duration::from_millis(100);

/// What can go wrong between the parts, while it is switched on.
#[allow(clippy::struct_excessive_bools, reason = "each is a switch of its own")]
#[derive(Clone, Copy, Debug, Default)]
pub struct Trouble {
    /// The service can't be reached.
    pub down: bool,
    /// Answers of writes get lost, before or after the write takes effect, which
    /// can be seconds later.
    pub lossy: bool,
    /// Messages take up to seconds, and some come twice or never.
    pub late: bool,
    /// Endpoints break off, or take no connection.
    pub broken: bool,
}

/// A booking as a caller sends it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Sent {
    /// Request.
    pub request: RequestId,
    /// Its key.
    pub key: Key,
}

/// A daemon as far as its claims go.
#[derive(Debug)]
struct Daemon {
    incarnation: Incarnation,
    claimer: Claimer,
    inputs: Vec<Input>,
}

#[derive(Debug)]
enum Mail {
    Begin(Incarnation, KeyedRequest),
    Write(Incarnation, u64, Write),
    Written(Incarnation, u64, Result<Written, Failure>),
    Question(Incarnation, Incarnation, Question),
    Replied(Incarnation, Input),
    HandOver(HandOver),
    Ended(Incarnation, Permit, RunResult),
}

/// The daemons, the service, and what callers saw.
#[derive(Debug)]
pub struct Bookings {
    /// Time.
    pub now: Instant,
    /// The service.
    pub store: Fake,
    /// What goes wrong.
    pub trouble: Trouble,
    /// Bookings that were sent.
    pub sent: Vec<Sent>,
    /// Requests that ran at an endpoint.
    pub ran: Vec<RequestId>,
    /// Kept answers that callers got.
    pub answers: Vec<(RequestId, Answer)>,
    /// Refusals that callers got.
    pub refusals: Vec<Rejection>,
    /// Times from sending to dispatch.
    pub waits: Vec<Duration>,
    daemons: Vec<Daemon>,
    begun: Vec<(RequestId, Instant, KeyedRequest)>,
    mail: Vec<(Instant, Mail)>,
    rng: fastrand::Rng,
    drawn: u64,
}

impl Bookings {
    /// Some daemons that know of each other.
    pub fn new(daemons: usize, seed: u64) -> Self {
        let mut bookings = Self {
            now: Instant::now(),
            store: Fake::default(),
            trouble: Trouble::default(),
            sent: Vec::new(),
            ran: Vec::new(),
            answers: Vec::new(),
            refusals: Vec::new(),
            waits: Vec::new(),
            daemons: Vec::new(),
            begun: Vec::new(),
            mail: Vec::new(),
            rng: fastrand::Rng::with_seed(seed),
            drawn: 0,
        };
        for _ in 0..daemons {
            let daemon = bookings.start();
            bookings.daemons.push(daemon);
        }
        for at in 0..daemons {
            bookings.look(at);
        }
        bookings
    }

    /// Sends a booking through a daemon.
    pub fn book(&mut self, at: usize, customer: &str, key: &Key, digest: u128) -> RequestId {
        self.drawn += 1;
        let request = RequestId::from(self.drawn);
        let ask = KeyedRequest {
            id: request,
            customer: customer.into(),
            key: key.clone(),
            digest,
            deadline: self.now + Duration::from_secs(10),
            forwarded: false,
        };
        let key = key.clone();
        self.sent.push(Sent { request, key });
        self.begun.push((request, self.now, ask.clone()));
        self.daemons[at].inputs.push(Input::Begin(ask));
        request
    }

    /// Lets a daemon issue a key.
    pub fn issue(&mut self, at: usize, customer: &str) -> Option<Key> {
        self.daemons[at].claimer.issue(&customer.into())
    }

    /// A caller goes away.
    pub fn leave(&mut self, at: usize, request: RequestId) {
        self.daemons[at].inputs.push(Input::CallerLeft(request));
    }

    /// Kills a daemon and starts another in its place.
    pub fn crash(&mut self, at: usize) {
        self.daemons[at] = self.start();
        self.look(at);
    }

    /// Announces the reclaim of a daemon.
    pub fn freeze(&mut self, at: usize) {
        self.daemons[at].inputs.push(Input::Freeze);
    }

    /// Hands a frozen daemon's keys over to another.
    pub fn hand_over(&mut self, at: usize, to: usize) {
        let to = self.daemons[to].incarnation;
        let overs = self.daemons[at].claimer.hand_over(to);
        for over in overs {
            if self.trouble.late && self.rng.bool() {
                self.send(Mail::HandOver(over.clone()));
            }
            self.send(Mail::HandOver(over));
        }
    }

    /// Lets a daemon learn who lives.
    pub fn look(&mut self, at: usize) {
        let me = self.daemons[at].incarnation;
        let others = self.daemons.iter().filter(|d| d.incarnation != me);
        let holders = others.map(|d| Peer {
            incarnation: d.incarnation,
            holds: d.claimer.inherited_issuers(),
        });
        let holders = Input::Peers(holders.collect());
        self.daemons[at].inputs.push(holders);
    }

    /// Lets time pass.
    pub fn run(&mut self, time: Duration) {
        let until = self.now + time;
        while self.now < until {
            self.step();
        }
    }

    /// Requests of a key that ran.
    pub fn ran_of(&self, key: &Key) -> Vec<RequestId> {
        let of = |r: &&RequestId| self.sent.iter().any(|s| s.request == **r && s.key == *key);
        self.ran.iter().filter(of).copied().collect()
    }

    fn start(&mut self) -> Daemon {
        self.drawn += 1;
        let incarnation = self.rng.u64(..) | self.drawn;
        Daemon {
            incarnation,
            claimer: Claimer::new(incarnation, incarnation),
            inputs: Vec::new(),
        }
    }

    fn step(&mut self) {
        self.now += STEP;
        let now = self.now;
        let mail = std::mem::take(&mut self.mail);
        let (due, later): (Vec<_>, _) = mail.into_iter().partition(|(at, _)| *at <= now);
        self.mail = later;
        for (_, mail) in due {
            self.deliver(mail);
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
            Command::Reject(refusal) => self.refusals.push(refusal),
            Command::Forward { request, to } => {
                let ask = self.begun.iter().find(|(id, ..)| *id == request);
                let mut ask = ask.expect("it was begun").2.clone();
                ask.forwarded = true;
                self.send(Mail::Begin(to, ask));
            }
            Command::Question { to, question } => self.send(Mail::Question(me, to, question)),
            Command::Write { number, write } => self.write(me, number, write),
            Command::Lease(lasts) => {
                self.store.counts.leases += 1;
                let result = if self.trouble.down {
                    Err(Failure::NotDone)
                } else {
                    let id = self.store.data.grant(self.now, 0, lasts);
                    let until = self.now + lasts;
                    Ok(Lease { id, until })
                };
                self.daemons[at].inputs.push(Input::Leased(result));
            }
        }
    }

    fn dispatch(&mut self, me: Incarnation, permit: Permit) {
        let request = permit.request();
        let begun = self.begun.iter().find(|(id, ..)| *id == request);
        self.waits.push(self.now - begun.expect("it was begun").1);
        let fate = if self.trouble.broken {
            self.rng.u32(0..4)
        } else {
            0
        };
        let end = match fate {
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
        let mail = Mail::Ended(me, permit, end);
        self.mail.push((self.now + BOOKING, mail));
    }

    fn write(&mut self, me: Incarnation, number: u64, write: Write) {
        if self.trouble.down {
            let failure = if self.rng.bool() {
                Failure::NotDone
            } else {
                Failure::Unknown
            };
            return self.send(Mail::Written(me, number, Err(failure)));
        }
        if self.trouble.lossy && self.rng.bool() {
            self.send(Mail::Written(me, number, Err(Failure::Unknown)));
            if self.rng.bool() {
                let delay = Duration::from_millis(self.rng.u64(1..6_000));
                self.mail.push((self.now + delay, Mail::Write(0, 0, write)));
            }
            return;
        }
        self.send(Mail::Write(me, number, write));
    }

    fn deliver(&mut self, mail: Mail) {
        match mail {
            Mail::Begin(..) if self.is_lost() => {}
            Mail::Begin(to, ask) => self.input(to, Input::Begin(ask)),
            Mail::Write(from, number, write) => {
                let result = self.store.write(write);
                let slow = Duration::from_millis(self.store.faults.slow_ms);
                let written = Mail::Written(from, number, result);
                self.mail.push((self.now + MOMENT + slow, written));
            }
            Mail::Written(to, number, result) => {
                self.input(to, Input::Written { number, result });
            }
            Mail::Question(from, to, question) => {
                let asked = self.find(to).filter(|_| !self.is_lost());
                let reply = asked.map(|at| self.daemons[at].claimer.reply(&question));
                let input = Input::Replied { question, reply };
                self.send(Mail::Replied(from, input));
            }
            Mail::Replied(to, input) => self.input(to, input),
            Mail::HandOver(over) => {
                if let Some(at) = self.find(over.to) {
                    self.daemons[at].claimer.take_over(self.now, over);
                }
            }
            Mail::Ended(to, permit, end) => self.input(to, Input::Ended(permit, end)),
        }
    }

    /// Whether a message between daemons gets lost.
    fn is_lost(&mut self) -> bool {
        self.trouble.late && self.rng.u32(0..8) == 0
    }

    fn input(&mut self, to: Incarnation, input: Input) {
        if let Some(at) = self.find(to) {
            self.daemons[at].inputs.push(input);
        }
    }

    fn send(&mut self, mail: Mail) {
        let late = self.trouble.late && self.rng.u32(0..4) == 0;
        let most = if late { 4_000 } else { 5 };
        let delay = Duration::from_millis(self.rng.u64(1..most));
        self.mail.push((self.now + delay, mail));
    }

    fn find(&self, id: Incarnation) -> Option<usize> {
        self.daemons.iter().position(|d| d.incarnation == id)
    }
}
