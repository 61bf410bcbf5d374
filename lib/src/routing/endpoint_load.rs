//! Load of an endpoint: its last report, corrected for the report's age.
//!
//! Load reports arrive late. A report that is a second old shows an endpoint as
//! idle to which this daemon has sent twenty requests since; trusting it would
//! send twenty more, and then none for a second. A report therefore counts as of
//! the time it was measured: prompt tokens drain from then on at the endpoint's
//! rate, prompts that this daemon sent since are added at their times, and its
//! streams that ended since are subtracted. Of the running streams a report is
//! used only for those of other daemons; each daemon knows its own exactly.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use crate::ids::EndpointId;
use crate::routing::backlog::Backlog;

/// How long sent prompts and stream counts of this daemon are kept to correct a
/// late report. A report that is later still counts only for the streams of other
/// daemons.
const HISTORY: Duration = Duration::from_secs(30);
/// Maximum number of sent prompts or stream counts kept per endpoint: [`HISTORY`]
/// at 17 per second, more than one endpoint receives from one daemon. The oldest
/// are dropped first.
const MAX_HISTORY: usize = 512;
/// Age from which a report no longer proves headroom: two report intervals of 4 s
/// plus the delivery. An endpoint that is unresponsive or whose reports are
/// delayed has no known headroom.
const MAX_REPORT_AGE: Duration = Duration::from_secs(10);
/// Share of the slots that counts for headroom. All daemons see the same free
/// slots at once; the rest absorbs what they send before the next report.
const USABLE_SLOTS: f64 = 0.75;
/// Seconds of queued prefill above which an endpoint has no headroom: half of the
/// time that a first token may take.
const MAX_QUEUE_S: f64 = 0.75;

/// Load report of an endpoint.
#[proc_macros::row]
pub struct LoadReport {
    /// Endpoint.
    pub endpoint: EndpointId,
    /// When it was measured: its arrival time minus its age.
    pub at: Instant,
    /// Running streams, of all daemons.
    pub running: u32,
    /// Prompt tokens queued for prefill.
    pub pending: f64,
    /// Maximum number of concurrent streams.
    pub slots: u32,
    /// Prefill rate in prompt tokens per second.
    pub prefill: f64,
    /// Decode rate in tokens per second and stream.
    pub decode: f64,
    /// KV cache export rate in tokens per second; 0 if export is not supported.
    pub export: f64,
}

impl LoadReport {
    /// Assumed report of an endpoint that has not reported yet.
    ///
    /// The rates are the lowest at which the first token arrives within 1.5 s for
    /// 8,000 prompt tokens, and each further token within 33 ms.
    pub fn assumed(endpoint: EndpointId, now: Instant) -> Self {
        Self {
            endpoint,
            at: now,
            running: 0,
            pending: 0.0,
            slots: 64,
            prefill: 8_000.0,
            decode: 30.0,
            export: 0.0,
        }
    }
}

#[proc_macros::row]
#[derive(Copy)]
struct SentPrompt {
    at: Instant,
    tokens: f64,
}

#[proc_macros::row]
#[derive(Copy)]
struct RunningCount {
    at: Instant,
    running: u32,
}

/// Load of one endpoint as seen by this daemon.
#[proc_macros::row]
pub struct EndpointLoad {
    report: LoadReport,
    /// When the last report was measured.
    reported_at: Option<Instant>,
    /// Streams of other daemons at that time.
    remote_streams: u32,
    pending: Backlog,
    sent: VecDeque<SentPrompt>,
    /// Running streams of this daemon over time.
    counts: VecDeque<RunningCount>,
}

impl EndpointLoad {
    /// Load of an endpoint without reports.
    pub fn new(endpoint: EndpointId, now: Instant) -> Self {
        Self {
            report: LoadReport::assumed(endpoint, now),
            reported_at: None,
            remote_streams: 0,
            pending: Backlog::default(),
            sent: VecDeque::new(),
            counts: VecDeque::new(),
        }
    }

    /// Last report, or the assumed one.
    pub fn last_report(&self) -> &LoadReport {
        &self.report
    }

    /// Applies a report, unless it is older than the last one.
    pub fn apply(&mut self, now: Instant, report: LoadReport) {
        if self
            .reported_at
            .is_some_and(|reported_at| report.at < reported_at)
        {
            return;
        }
        self.reported_at = Some(report.at);
        let at = report.at.min(now);
        self.remote_streams = report.running.saturating_sub(self.local_running(at));
        self.pending = Backlog::new(report.pending, at);
        self.report = LoadReport { at, ..report };
        self.sent.retain(|sent| sent.at > at);
        for sent in &self.sent {
            self.pending.add(sent.at, self.report.prefill, sent.tokens);
        }
    }

    /// Records a prompt sent by this daemon, with the tokens to prefill.
    pub fn record_prompt(&mut self, now: Instant, tokens: f64) {
        self.pending.add(now, self.report.prefill, tokens);
        self.sent.push_back(SentPrompt { at: now, tokens });
        let old = |sent: &SentPrompt| now.saturating_duration_since(sent.at) > HISTORY;
        while self.sent.len() > MAX_HISTORY || self.sent.front().is_some_and(old) {
            self.sent.pop_front();
        }
    }

    /// Records how many streams of this daemon run there.
    pub fn record_running(&mut self, now: Instant, running: u32) {
        if self.counts.back().map_or(0, |count| count.running) == running {
            return;
        }
        self.counts.push_back(RunningCount { at: now, running });
        // The newest count before the horizon is kept: it gives the number at the
        // horizon.
        let old = |count: &RunningCount| now.saturating_duration_since(count.at) > HISTORY;
        while self.counts.len() > MAX_HISTORY || self.counts.get(1).is_some_and(old) {
            self.counts.pop_front();
        }
    }

    /// Prompt tokens queued for prefill.
    pub fn pending(&self, now: Instant) -> f64 {
        self.pending.level(now, self.report.prefill)
    }

    /// Running streams of all daemons, `local` of them this daemon's.
    pub fn running(&self, local: u32) -> u32 {
        local.saturating_add(self.remote_streams)
    }

    /// How many more streams fit according to the last report, with `local`
    /// streams of this daemon running; 0 if prompts are queued or there is no
    /// recent report.
    pub fn headroom(&self, now: Instant, local: u32) -> u32 {
        let fresh = self
            .reported_at
            .is_some_and(|reported_at| now < reported_at + MAX_REPORT_AGE);
        let queued = self.pending(now) > MAX_QUEUE_S * self.report.prefill;
        if !fresh || queued {
            return 0;
        }
        let usable = (USABLE_SLOTS * f64::from(self.report.slots)) as u32;
        usable.saturating_sub(self.running(local))
    }

    /// Streams of this daemon that ran at a point in time.
    fn local_running(&self, at: Instant) -> u32 {
        let after = self.counts.partition_point(|count| count.at <= at);
        match after.checked_sub(1) {
            Some(before) => self.counts[before].running,
            None => 0,
        }
    }
}
