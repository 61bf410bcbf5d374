//! Fair queue: the order in which waiting requests are sent.
//!
//! Answers a few customers that make most of the load, and long work among short.
//! First in, first out gives each customer as much as it asks for: a customer
//! that floods takes nearly all, and a quiet customer's short request waits
//! behind thousands of long ones. It would show as quiet customers timing out
//! while the flooding one is served. Three rules prevent it:
//!
//! 1. Between priorities: each priority gets [`PRIORITY_RATIO`] times the work of
//!    the next lower one while both wait. So a lower priority never waits without
//!    bound: with `A` units ahead in its own priority, a request is sent before
//!    the endpoints have done `A * (W / w)` units, where `w` is the weight of its
//!    priority and `W` the sum of all weights.
//! 2. Between customers of one priority: deficit round robin by work, so a
//!    customer gains nothing by sending many requests or long ones.
//! 3. Within a customer: earliest deadline first.

use std::collections::VecDeque;
use std::time::Instant;

use crate::ids::{CustomerId, RequestId, ServiceId};
use crate::lists::MAX_PRIORITY;
use crate::table::Row;

/// Work of a priority relative to the next lower one while both wait. Eight gives
/// the higher of two 89% and still empties the lower one's queue.
pub const PRIORITY_RATIO: f64 = 8.0;
/// Units of work that a customer may send per round: about one short chat answer.
/// Less only means more rounds; more lets a customer's short requests bunch up.
const QUANTUM: f64 = 256.0;

/// A waiting request.
#[proc_macros::row]
#[derive(Copy)]
pub struct Entry {
    /// Id of the request.
    pub id: RequestId,
    /// Time by which its answer must be complete.
    pub deadline: Instant,
    /// Units of work that remain.
    pub work: f64,
}

impl Entry {
    fn key(&self) -> (Instant, RequestId) {
        (self.deadline, self.id)
    }
}

/// An entry popped from the queue, with what is needed to put it back.
#[proc_macros::row]
pub struct Dequeued {
    /// Priority that it waited in.
    pub priority: u8,
    /// Customer that sent it.
    pub customer: CustomerId,
    /// The entry.
    pub entry: Entry,
}

/// Entries of one customer, sorted by deadline. New ones mostly belong at the
/// back and entries leave at the front, so a ring buffer holds them.
#[proc_macros::row]
struct Flow {
    customer: CustomerId,
    deficit: f64,
    work: f64,
    entries: VecDeque<Entry>,
}

impl Flow {
    fn position(&self, entry: &Entry) -> Result<usize, usize> {
        self.entries
            .binary_search_by(|other| other.key().cmp(&entry.key()))
    }

    fn push(&mut self, entry: Entry) {
        if let Err(at) = self.position(&entry) {
            self.entries.insert(at, entry);
            self.work += entry.work;
        }
    }

    /// Work that is due no later than `deadline`.
    fn work_due(&self, deadline: Instant) -> f64 {
        let until = self.entries.partition_point(|e| e.deadline <= deadline);
        self.entries.range(..until).map(|e| e.work).sum()
    }

    /// Rounds until its first entry may be sent.
    fn rounds_needed(&self) -> f64 {
        let first = self.entries.front().map_or(0.0, |e| e.work);
        ((first - self.deficit) / QUANTUM).ceil().max(0.0)
    }
}

/// Flows of one priority.
#[proc_macros::row]
#[derive(Default)]
struct PriorityClass {
    flows: Vec<Flow>,
    /// Flow whose turn it is.
    cursor: usize,
    /// Work sent so far, divided by the weight of the priority.
    virtual_time: f64,
}

impl PriorityClass {
    fn position(&self, customer: &CustomerId) -> Result<usize, usize> {
        self.flows.binary_search_by(|f| f.customer.cmp(customer))
    }

    fn flow(&mut self, customer: &CustomerId) -> &mut Flow {
        let at = self.position(customer).unwrap_or_else(|at| {
            let flow = Flow {
                customer: customer.clone(),
                deficit: 0.0,
                work: 0.0,
                entries: VecDeque::new(),
            };
            self.flows.insert(at, flow);
            if at <= self.cursor && self.flows.len() > 1 {
                self.cursor += 1;
            }
            at
        });
        &mut self.flows[at]
    }

    fn work(&self) -> f64 {
        self.flows.iter().map(|f| f.work).sum()
    }

    /// Pops the next entry by deficit round robin.
    fn pop(&mut self) -> Option<(CustomerId, Entry)> {
        if self.flows.is_empty() {
            return None;
        }
        let mut visits = 0;
        loop {
            let flow = &self.flows[self.cursor];
            if flow.rounds_needed() <= 0.0 {
                return self.pop_at(self.cursor);
            }
            visits += 1;
            if visits % self.flows.len() == 0 {
                self.credit_rounds();
            }
            self.cursor = (self.cursor + 1) % self.flows.len();
            self.flows[self.cursor].deficit += QUANTUM;
        }
    }

    /// Credits all flows at once with the rounds in which none could send: a long
    /// request would otherwise take thousands of empty rounds.
    fn credit_rounds(&mut self) {
        let least = self
            .flows
            .iter()
            .map(Flow::rounds_needed)
            .fold(f64::MAX, f64::min);
        let skipped = (least - 1.0).max(0.0);
        for flow in &mut self.flows {
            flow.deficit += skipped * QUANTUM;
        }
    }

    fn pop_at(&mut self, at: usize) -> Option<(CustomerId, Entry)> {
        let flow = &mut self.flows[at];
        let entry = flow.entries.pop_front()?;
        flow.deficit -= entry.work;
        flow.work -= entry.work;
        let customer = flow.customer.clone();
        self.remove_if_empty(at);
        Some((customer, entry))
    }

    /// Removes a flow that is empty, and with it its deficit: credit saved up
    /// while idle would let a customer return with a burst that starves the
    /// others.
    fn remove_if_empty(&mut self, at: usize) {
        if !self.flows[at].entries.is_empty() {
            return;
        }
        self.flows.remove(at);
        if at < self.cursor {
            self.cursor -= 1;
        }
        if self.cursor >= self.flows.len() {
            self.cursor = 0;
        }
        if let Some(flow) = self.flows.get_mut(self.cursor)
            && at == self.cursor
        {
            flow.deficit += QUANTUM;
        }
    }
}

const CLASS_COUNT: usize = MAX_PRIORITY as usize + 1;

/// Waiting requests of one service.
#[proc_macros::row]
pub struct FairQueue {
    service: ServiceId,
    classes: [PriorityClass; CLASS_COUNT],
    /// Virtual time of the priority that was served last, before that request.
    virtual_time: f64,
    len: u32,
}

fn weight(priority: usize) -> f64 {
    PRIORITY_RATIO.powi(i32::try_from(priority).unwrap_or(0))
}

impl FairQueue {
    /// Creates an empty queue.
    pub fn new(service: ServiceId) -> Self {
        Self {
            service,
            classes: std::array::from_fn(|_| PriorityClass::default()),
            virtual_time: 0.0,
            len: 0,
        }
    }

    /// Number of waiting requests.
    pub fn len(&self) -> u32 {
        self.len
    }

    /// Whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Units of work that wait.
    pub fn work(&self) -> f64 {
        self.classes.iter().map(PriorityClass::work).sum()
    }

    /// Adds a request.
    pub fn push(&mut self, priority: u8, customer: &CustomerId, entry: Entry) {
        let virtual_time = self.virtual_time;
        let class = &mut self.classes[usize::from(priority.min(MAX_PRIORITY))];
        if class.flows.is_empty() {
            // A priority that was idle gets no credit for that time.
            class.virtual_time = class.virtual_time.max(virtual_time);
        }
        class.flow(customer).push(entry);
        self.len += 1;
    }

    /// Removes the request that is sent next.
    pub fn pop(&mut self) -> Option<Dequeued> {
        let waiting = self.classes.iter_mut().enumerate();
        let (priority, class) = waiting
            .filter(|(_, class)| !class.flows.is_empty())
            .min_by(|(_, a), (_, b)| a.virtual_time.total_cmp(&b.virtual_time))?;
        self.virtual_time = class.virtual_time;
        let (customer, entry) = class.pop()?;
        class.virtual_time += entry.work / weight(priority);
        self.len -= 1;
        Some(Dequeued {
            priority: priority as u8,
            customer,
            entry,
        })
    }

    /// Puts back a request that was popped and not sent, as if it had not been
    /// popped.
    pub fn restore(&mut self, dequeued: &Dequeued) {
        let class = &mut self.classes[usize::from(dequeued.priority)];
        class.virtual_time -= dequeued.entry.work / weight(usize::from(dequeued.priority));
        let flow = class.flow(&dequeued.customer);
        flow.deficit += dequeued.entry.work;
        flow.push(dequeued.entry);
        self.len += 1;
    }

    /// Removes a request; false if it was not in the queue.
    pub fn remove(&mut self, customer: &CustomerId, entry: &Entry) -> bool {
        for class in &mut self.classes {
            let Ok(at) = class.position(customer) else {
                continue;
            };
            let flow = &mut class.flows[at];
            let Ok(place) = flow.position(entry) else {
                continue;
            };
            let old = flow.entries.remove(place);
            flow.work -= old.map_or(0.0, |old| old.work);
            class.remove_if_empty(at);
            self.len -= 1;
            return true;
        }
        false
    }

    /// Whether a request is in the queue.
    pub fn contains(&self, customer: &CustomerId, entry: &Entry) -> bool {
        let mut classes = self.classes.iter();
        classes.any(|class| {
            let flow = class.position(customer).map(|at| &class.flows[at]);
            flow.is_ok_and(|flow| flow.position(entry).is_ok())
        })
    }

    /// Removes the requests for which `keep` is false.
    pub fn retain_entries(&mut self, keep: impl Fn(&Entry) -> bool) {
        let gone = self.iter().filter(|(_, entry)| !keep(entry));
        let gone: Vec<(CustomerId, Entry)> = gone.map(|(c, e)| (c.clone(), *e)).collect();
        for (customer, entry) in gone {
            self.remove(&customer, &entry);
        }
    }

    /// Units of work that would be sent before a request that arrived now: the
    /// customer's own work that is due sooner, as much of each other customer of
    /// the priority, and of each other priority what its weight earns meanwhile.
    pub fn work_ahead(&self, priority: u8, customer: &CustomerId, entry: &Entry) -> f64 {
        let priority = usize::from(priority.min(MAX_PRIORITY));
        let class = &self.classes[priority];
        let own = class
            .position(customer)
            .map_or(0.0, |at| class.flows[at].work_due(entry.deadline));
        let mine = own + entry.work;
        let others = class.flows.iter().filter(|f| f.customer != *customer);
        let others_work: f64 = others.map(|f| f.work.min(mine)).sum();
        let until = others_work + mine;
        let rest = self.classes.iter().enumerate();
        let rest: f64 = rest
            .filter(|(other, _)| *other != priority)
            .map(|(other, class)| {
                let earned = until * weight(other) / weight(priority);
                class.work().min(earned)
            })
            .sum();
        own + others_work + rest
    }

    /// All waiting requests with their customers.
    pub fn iter(&self) -> impl Iterator<Item = (&CustomerId, &Entry)> {
        let flows = self.classes.iter().flat_map(|class| &class.flows);
        flows.flat_map(|flow| flow.entries.iter().map(move |e| (&flow.customer, e)))
    }
}

impl Row for FairQueue {
    type Id = ServiceId;
    fn id(&self) -> &ServiceId {
        &self.service
    }
}
