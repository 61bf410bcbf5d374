//! What the tasks of a relaying daemon share.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Instant;

use poplarvale_lib::relay::board::Board;
use poplarvale_lib::relay::catalog::Catalog;
use poplarvale_lib::relay::site::Site;
use tokio::sync::Notify;

use super::upstream::Upstreams;

/// Shared state; all tasks run on one thread and none holds a borrow across a wait.
#[derive(Debug)]
pub(crate) struct State {
    pub(crate) site: Site,
    /// Configuration in force; `None` until the first one was read.
    pub(crate) catalog: RefCell<Option<Rc<Catalog>>>,
    pub(crate) board: RefCell<Board>,
    /// Whether the list of endpoints was read at least once.
    pub(crate) listed: Cell<bool>,
    pub(crate) upstreams: Upstreams,
    /// Requests in progress.
    pub(crate) active: Cell<usize>,
    /// When the process must have ended; set by SIGTERM.
    pub(crate) ending: Cell<Option<Instant>>,
    /// Told when `ending` is set.
    pub(crate) told: Notify,
    numbers: Cell<u64>,
}

impl State {
    pub(crate) fn new(site: Site) -> Rc<Self> {
        Rc::new(Self {
            site,
            catalog: RefCell::new(None),
            board: RefCell::default(),
            listed: Cell::new(false),
            upstreams: Upstreams::default(),
            active: Cell::new(0),
            ending: Cell::new(None),
            told: Notify::new(),
            numbers: Cell::new(0),
        })
    }

    /// Whether callers should be sent here.
    pub(crate) fn is_ready(&self) -> bool {
        self.ending.get().is_none() && self.listed.get() && self.catalog.borrow().is_some()
    }

    /// A number for a request that no other of this process has.
    pub(crate) fn number(&self) -> u64 {
        self.numbers.set(self.numbers.get() + 1);
        self.numbers.get()
    }
}

/// Counts a request as in progress until it is dropped.
#[derive(Debug)]
pub(crate) struct Active(Rc<State>);

impl Active {
    pub(crate) fn new(state: &Rc<State>) -> Self {
        state.active.set(state.active.get() + 1);
        Self(Rc::clone(state))
    }
}

impl Drop for Active {
    fn drop(&mut self) {
        self.0.active.set(self.0.active.get() - 1);
    }
}
