//! Attempts to have one request served, and whether a further one may be made.
//!
//! A request may be sent to several endpoints: because one did not run it, because one failed, or
//! because one is silent and another may answer sooner. Each attempt beyond the first costs the
//! endpoints work, and a non-idempotent request may run only once, so both are bounded here.
//! An attempt that was ended before the request began to run does not count as a run. Another daemon
//! may run the request several times; it counts as all the runs that it was granted, as it may end or
//! fall silent without telling how many it has used.
//!
//! The attempts also tell afterwards why a caller did not get its whole answer: how each ended,
//! and why no further one was made.

use std::fmt;
use std::time::{Duration, Instant};

use compact_str::CompactString;

use super::selection::SelectError;
use crate::{EndpointId, NotRun, NotSent};

/// Maximum number of endpoints that a request is sent to, including those that did not run it.
pub const MAX_ENDPOINTS: usize = 3;
/// Maximum number of attempts at other daemons that may have run the request.
const MAX_DAEMON_ATTEMPTS: usize = 2;
/// Runs that are not granted to the first daemon, if it is left one: so another one can be asked if that
/// one ends or falls silent, when nothing tells which of its runs it has used.
const RESERVED_RUNS: usize = 1;

/// Position of an attempt among those of its request.
pub type AttemptIndex = usize;

/// Who an attempt sends the request to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Via {
    /// An endpoint of the service.
    Endpoint,
    /// Another daemon, which has an endpoint serve it.
    Daemon,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptEnd {
    /// The whole answer was received.
    Answered,
    /// Nothing was sent, as no connection could be made.
    NotConnected(NotSent),
    /// The request was rejected without being run.
    NotRun(NotRun),
    /// The daemon did not take the request, and no endpoint got it.
    NotTaken(NotRun),
    /// The answer was an error of the endpoint.
    Error,
    /// The connection broke.
    Broken,
    /// What was received is malformed or out of order.
    Invalid,
    /// The request's deadline passed.
    TimedOut,
    /// It was silent, and another attempt began to answer.
    TakenOver,
    /// It had not begun to answer when a silent attempt before it went on.
    Withdrawn,
    /// This daemon closed before.
    Closed,
}

impl AttemptEnd {
    fn word(self) -> &'static str {
        match self {
            Self::Answered => "answered",
            Self::NotConnected(_) => "not connected",
            Self::NotRun(_) => "not run",
            Self::NotTaken(_) => "not taken",
            Self::Error => "answered with an error",
            Self::Broken => "connection broke",
            Self::Invalid => "invalid answer",
            Self::TimedOut => "deadline passed",
            Self::TakenOver => "taken over while silent",
            Self::Withdrawn => "withdrawn",
            Self::Closed => "given up as the daemon closed",
        }
    }
}

/// Why no further attempt is made.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stop {
    /// The deadline has passed, or is too close for another attempt.
    Deadline,
    /// The request may have run as often as its route allows.
    Runs,
    /// It was sent to as many endpoints as allowed.
    Endpoints,
    /// It may have run, and may run only once.
    NotRepeatable,
    /// The retry budget of its service is used up.
    Budget,
    /// It is quarantined, as endpoints crashed under it.
    Quarantined,
    /// No other endpoint can take it.
    Select(SelectError),
    /// No other daemon can take it.
    NoDaemon,
    /// This daemon closes.
    Closing,
}

impl Stop {
    /// Whether a further attempt may be possible a moment later.
    pub fn may_pass(self) -> bool {
        match self {
            Self::Budget | Self::NoDaemon => true,
            Self::Select(error) => match error {
                SelectError::None
                | SelectError::Full
                | SelectError::Busy(_)
                | SelectError::Shares(_) => true,
                SelectError::NoHome | SelectError::Evacuated => false,
            },
            Self::Deadline
            | Self::Runs
            | Self::Endpoints
            | Self::NotRepeatable
            | Self::Quarantined
            | Self::Closing => false,
        }
    }
}

impl fmt::Display for Stop {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Deadline => "the deadline has passed",
            Self::Runs => "the route allows no further run",
            Self::Endpoints => "it was sent to as many endpoints as allowed",
            Self::NotRepeatable => "it may have run and must not run twice",
            Self::Budget => "the retry budget is used up",
            Self::Quarantined => "it is quarantined",
            Self::Select(SelectError::None) => "no other endpoint may be used",
            Self::Select(SelectError::NoHome) => "no other endpoint is in an allowed zone",
            Self::Select(SelectError::Evacuated) => "all zones are evacuated",
            Self::Select(SelectError::Full) => "all other endpoints are full",
            Self::Select(SelectError::Busy(_)) => "the other endpoints have no room in time",
            Self::Select(SelectError::Shares(_)) => "no daemon has a share of a rate left",
            Self::NoDaemon => "no other daemon can take it",
            Self::Closing => "the daemon closes",
        })
    }
}

/// One attempt.
#[derive(Clone, Debug, PartialEq)]
struct Attempt {
    /// Name of the endpoint, or address of the daemon.
    target: CompactString,
    via: Via,
    /// How often its target may run the request.
    granted: usize,
    began: Instant,
    /// Complete events received.
    events: u64,
    /// When and how it ended; `None` while it is in progress.
    end: Option<(Instant, AttemptEnd)>,
}

impl Attempt {
    /// Whether its target received the request, or may have.
    fn was_sent(&self) -> bool {
        !matches!(
            self.end,
            Some((_, AttemptEnd::NotConnected(_) | AttemptEnd::NotTaken(_)))
        )
    }

    /// How often the request ran there, or may have.
    fn runs(&self, is_stream: bool) -> usize {
        if self.may_have_run(is_stream) {
            self.granted
        } else {
            0
        }
    }

    /// Whether the request ran there, or may have. A stream begins to run with its first event.
    fn may_have_run(&self, is_stream: bool) -> bool {
        match self.end {
            Some((
                _,
                AttemptEnd::NotConnected(_) | AttemptEnd::NotRun(_) | AttemptEnd::NotTaken(_),
            )) => false,
            Some((_, AttemptEnd::TakenOver | AttemptEnd::Withdrawn)) => {
                !is_stream || self.events > 0
            }
            _ => true,
        }
    }

    /// Whether it ended, and the request may have run without an answer.
    fn is_unknown(&self, is_stream: bool) -> bool {
        let is_answer = matches!(
            self.end,
            Some((_, AttemptEnd::Answered | AttemptEnd::Error))
        );
        self.end.is_some() && !is_answer && self.may_have_run(is_stream)
    }
}

/// The attempts of one request.
#[derive(Clone, Debug, PartialEq)]
pub struct Attempts {
    /// Maximum number of attempts that may have run the request.
    max_runs: usize,
    is_repeatable: bool,
    is_stream: bool,
    began: Instant,
    rows: Vec<Attempt>,
}

impl Attempts {
    /// No attempt was made yet of a request that arrived at `began`.
    pub fn new(max_runs: u32, is_repeatable: bool, is_stream: bool, began: Instant) -> Self {
        Self {
            max_runs: max_runs as usize,
            is_repeatable,
            is_stream,
            began,
            rows: Vec::new(),
        }
    }

    /// Adds an attempt that begins now.
    pub fn begin(&mut self, target: &str, via: Via, now: Instant) -> AttemptIndex {
        self.rows.push(Attempt {
            target: target.into(),
            via,
            granted: self.grant(via),
            began: now,
            events: 0,
            end: None,
        });
        self.rows.len() - 1
    }

    /// Records how many complete events an attempt has received.
    pub fn record_events(&mut self, at: AttemptIndex, events: u64) {
        self.rows[at].events = events;
    }

    /// Records the end of an attempt; only the first end counts.
    pub fn end(&mut self, at: AttemptIndex, end: AttemptEnd, now: Instant) {
        self.rows[at].end.get_or_insert((now, end));
    }

    /// Ends an attempt that is in progress and returns its target; `None` if it had ended.
    pub fn end_pending(
        &mut self,
        at: AttemptIndex,
        end: AttemptEnd,
        now: Instant,
    ) -> Option<(Via, CompactString)> {
        let row = self.rows.get_mut(at).filter(|row| row.end.is_none())?;
        row.end = Some((now, end));
        Some((row.via, row.target.clone()))
    }

    /// Ends all attempts in progress but one, and returns their targets.
    pub fn end_others(
        &mut self,
        kept: AttemptIndex,
        end: AttemptEnd,
        now: Instant,
    ) -> Vec<CompactString> {
        let others = (0..self.rows.len()).filter(|at| *at != kept);
        let ended: Vec<_> = others
            .filter_map(|at| self.end_pending(at, end, now))
            .collect();
        ended.into_iter().map(|(_, target)| target).collect()
    }

    /// How often the target of a further attempt may run the request.
    fn grant(&self, via: Via) -> usize {
        let left = self.max_runs.saturating_sub(self.runs()).max(1);
        match via {
            Via::Endpoint => 1,
            Via::Daemon if self.daemon_attempts() == 0 => left.saturating_sub(RESERVED_RUNS).max(1),
            Via::Daemon => left,
        }
    }

    /// How often the target of an attempt may run the request.
    pub fn granted(&self, at: AttemptIndex) -> u32 {
        u32::try_from(self.rows[at].granted).unwrap_or(u32::MAX)
    }

    /// How often the request ran, or may have.
    fn runs(&self) -> usize {
        let runs = self.rows.iter().map(|row| row.runs(self.is_stream));
        runs.sum()
    }

    /// Number of attempts at daemons that may have run the request.
    fn daemon_attempts(&self) -> usize {
        let rows = self.rows.iter().filter(|row| row.via == Via::Daemon);
        rows.filter(|row| row.may_have_run(self.is_stream)).count()
    }

    /// Whether the request may be sent to a further target of this kind now.
    ///
    /// # Errors
    /// Why it may not.
    pub fn check_next(&self, via: Via) -> Result<(), Stop> {
        let runs = self.runs();
        if !self.is_repeatable && runs > 0 {
            return Err(Stop::NotRepeatable);
        }
        if runs >= self.max_runs.max(1) {
            return Err(Stop::Runs);
        }
        match via {
            Via::Daemon if self.daemon_attempts() >= MAX_DAEMON_ATTEMPTS => Err(Stop::Runs),
            Via::Endpoint if self.sent() >= MAX_ENDPOINTS => Err(Stop::Endpoints),
            Via::Daemon | Via::Endpoint => Ok(()),
        }
    }

    /// Who an attempt was made at.
    pub fn via(&self, at: AttemptIndex) -> Via {
        self.rows[at].via
    }

    /// When an attempt began.
    pub fn began(&self, at: AttemptIndex) -> Instant {
        self.rows[at].began
    }

    /// Endpoint or daemon that an attempt was made at.
    pub fn target(&self, at: AttemptIndex) -> &str {
        &self.rows[at].target
    }

    /// Number of targets that received the request, or may have.
    pub fn sent(&self) -> usize {
        self.rows.iter().filter(|row| row.was_sent()).count()
    }

    /// Number of attempts at targets of this kind.
    pub fn count(&self, via: Via) -> usize {
        self.rows.iter().filter(|row| row.via == via).count()
    }

    /// Whether an attempt ended after which the request may have run.
    pub fn is_unknown(&self) -> bool {
        self.rows.iter().any(|row| row.is_unknown(self.is_stream))
    }

    /// Whether an attempt is in progress.
    pub fn is_any_pending(&self) -> bool {
        self.rows.iter().any(|row| row.end.is_none())
    }

    /// Whether the request may run at an endpoint now, or may have run there.
    pub fn may_have_run(&self) -> bool {
        self.rows.iter().any(|row| row.may_have_run(self.is_stream))
    }

    /// Endpoints of all attempts.
    pub fn endpoints(&self) -> Vec<EndpointId> {
        let rows = self.rows.iter().filter(|row| row.via == Via::Endpoint);
        rows.map(|row| row.target.as_str().into()).collect()
    }
}

/// All attempts in one line, with their begin and end in milliseconds after the request arrived.
impl fmt::Display for Attempts {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let after = |at: Instant| at.saturating_duration_since(self.began);
        for (at, row) in self.rows.iter().enumerate() {
            let separator = if at == 0 { "" } else { "; " };
            let began = ms(after(row.began));
            write!(f, "{separator}{} at {began}", row.target)?;
            match row.end {
                Some((ended, end)) => write!(f, " to {}: {}", ms(after(ended)), end.word())?,
                None => write!(f, ": in progress")?,
            }
            if row.events > 0 {
                write!(f, " after {} events", row.events)?;
            }
        }
        Ok(())
    }
}

fn ms(time: Duration) -> u64 {
    time.as_millis() as u64
}
