//! Endpoints in the soak that send more than their responses: whole responses that belong to no request, ones that
//! break off at any byte, doubled ones, and other bytes. Their own responses break off, too.

use std::cell::{Cell, RefCell};
use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;

use poplarvale_standin::{SeenRequest, Step, broken_off, plain, rejection_text, response};

use super::Soak;

/// Longest time from an answer to what follows it; the next request is often sent meanwhile.
const MAX_DELAY_MS: u64 = 200;
/// Share of the answers that something follows while nothing else is asked of the endpoints, in percent.
const USUAL_SHARE: u64 = 6;
/// Share in a run that is about them, and shares of the requests that fail and of the answers that break off there,
/// in percent.
const HIGH_SHARE: u64 = 20;
const FAILED_SHARE: u64 = 30;
const BROKEN_SHARE: u64 = 2;
/// Distinguishes the choices for one request.
const FOLLOWS: usize = 100;
const KIND: usize = 101;
const CUT: usize = 102;
const DELAY: usize = 103;
const FAILS: usize = 104;
const BREAKS: usize = 105;

/// What endpoints send beyond their responses, and which requests they have answered with success.
#[derive(Clone, Debug)]
pub(super) struct Strays {
    share: Rc<Cell<u64>>,
    failed_share: Rc<Cell<u64>>,
    broken_share: Rc<Cell<u64>>,
    succeeded: Rc<RefCell<BTreeSet<String>>>,
}

impl Default for Strays {
    fn default() -> Self {
        Self {
            share: Rc::new(Cell::new(USUAL_SHARE)),
            failed_share: Rc::default(),
            broken_share: Rc::default(),
            succeeded: Rc::default(),
        }
    }
}

impl Strays {
    /// Has many answers be followed by something, and many requests fail.
    pub(super) fn raise(&self) {
        self.share.set(HIGH_SHARE);
        self.failed_share.set(FAILED_SHARE);
        self.broken_share.set(BROKEN_SHARE);
    }

    /// What an endpoint sends after its answer to a request.
    pub(super) fn after(&self, seen: &SeenRequest) -> Vec<Step> {
        let id = seen.id();
        if super::roll(&id, FOLLOWS) >= self.share.get() {
            return Vec::new();
        }
        let delay = super::roll(&id, DELAY) * MAX_DELAY_MS / 100;
        let cut = super::roll(&id, CUT) as usize;
        let broken = |text: &str| broken_off(text, 1 + (text.len() - 1) * cut / 100);
        let delay = Step::Wait(Duration::from_millis(delay));
        let doubled = response(&id, 200, &format!("answer to {id}"));
        let stray = match super::roll(&id, KIND) {
            0..20 => Step::Send(rejection_text("i-1", "")),
            20..60 => broken(&rejection_text("i-1", "")),
            60..70 => broken(&rejection_text("i-1", &id)),
            70..80 => broken("HTTP/1.1 200 OK\r\nServer: w"),
            80..90 => broken(&doubled),
            90..95 => Step::Send(doubled),
            _ => Step::Send("no response\r\n".into()),
        };
        vec![delay, stray]
    }

    /// An answer that breaks off, with a whole response behind it; `None` if it does not.
    pub(super) fn break_off(&self, seen: &SeenRequest, answer: &[Step]) -> Option<Vec<Step>> {
        let id = seen.id();
        if super::roll(&id, BREAKS) >= self.broken_share.get() {
            return None;
        }
        let texts = answer.iter().filter_map(|step| match step {
            Step::Send(text) => Some(text.as_str()),
            _ => None,
        });
        let text = texts.collect::<String>();
        let cut = super::roll(&id, CUT) as usize;
        let broken = broken_off(&text, (text.len() - 1) * cut / 100);
        Some(vec![broken, Step::Send(rejection_text("i-1", ""))])
    }

    /// The answer of an endpoint that fails a request; `None` if it does not.
    pub(super) fn fail(&self, seen: &SeenRequest) -> Option<Vec<Step>> {
        let fails = super::roll(&seen.id(), FAILS) < self.failed_share.get();
        if fails {
            let mut steps = vec![plain(seen, 500, "failed")];
            steps.extend(self.after(seen));
            return Some(steps);
        }
        self.succeeded.borrow_mut().insert(seen.id());
        None
    }

    /// Whether an endpoint answered a request with success.
    pub(super) fn has_succeeded(&self, id: &str) -> bool {
        self.succeeded.borrow().contains(id)
    }
}

/// Checks that no failure became a success on its way.
pub(super) fn check_success(soak: &Soak, id: &str) {
    if !soak.work.strays.has_succeeded(id) {
        soak.violation(format!("{id} got a success that no endpoint sent"));
    }
}
