//! Model engine on virtual time, reduced to what routing observes of it.
//!
//! It prefills one prompt at a time and skips the blocks in its prefix cache, streams
//! tokens at a rate that falls with the number of running streams, evicts the least
//! recently used blocks from a cache of limited size, and numbers the changes of this cache.

use std::collections::VecDeque;

/// Tokens of a cache block.
const BLOCK_TOKENS: usize = 64;
/// Relative increase of the time per token of all streams for each running stream.
const SLOWDOWN_PER_STREAM: f64 = 0.01;

/// Speed and capacity of an engine.
#[derive(Clone, Copy, Debug)]
pub struct Speed {
    /// Prompt tokens prefilled per second.
    pub prefill: f64,
    /// Tokens per second of a stream that runs alone.
    pub decode: f64,
    /// Concurrent streams at most.
    pub slots: usize,
    /// Capacity of the prefix cache in blocks.
    pub blocks: usize,
    /// KV cache tokens exported per second.
    pub export: f64,
}

/// A request at an engine.
#[derive(Clone, Debug)]
pub struct Job {
    /// Id of the attempt.
    pub attempt: u128,
    /// Chained hashes of the prompt's blocks.
    pub blocks: Vec<u64>,
    /// Prompt length in tokens.
    pub prompt: u32,
    /// Tokens of the answer that an earlier attempt delivered.
    pub delivered: u32,
    /// Length of the whole answer in tokens.
    pub answer: u32,
    /// Whether its KV cache was migrated with it, so that no prefill is needed.
    pub migrated: bool,
}

/// Progress of a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Step {
    /// Id of the attempt.
    pub attempt: u128,
    /// Tokens of the answer delivered so far, including earlier attempts.
    pub delivered: u32,
    /// Whether the answer is complete.
    pub done: bool,
}

/// A change of the prefix cache.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Change {
    /// Sequence number of the change.
    pub sequence: u64,
    /// Blocks added.
    pub added: Vec<u64>,
    /// Blocks removed.
    pub removed: Vec<u64>,
}

#[derive(Clone, Debug)]
struct Stream {
    job: Job,
    tokens: f64,
}

/// A model engine.
#[derive(Clone, Debug)]
pub struct Engine {
    speed: Speed,
    queue: VecDeque<Job>,
    /// Prompt tokens that the first job of the queue still has to prefill, once started.
    remaining: Option<f64>,
    streams: Vec<Stream>,
    /// Blocks with the number of their last use, sorted by block.
    cache: Vec<(u64, u64)>,
    use_count: u64,
    sequence: u64,
    changes: Vec<Change>,
    /// Prompt tokens prefilled so far.
    pub computed: f64,
}

impl Engine {
    /// Creates an idle engine with an empty cache.
    pub fn new(speed: Speed) -> Self {
        Self {
            speed,
            queue: VecDeque::new(),
            remaining: None,
            streams: Vec::new(),
            cache: Vec::new(),
            use_count: 0,
            sequence: 0,
            changes: Vec::new(),
            computed: 0.0,
        }
    }

    /// Queues a request.
    pub fn send(&mut self, job: Job) {
        self.queue.push_back(job);
    }

    /// Cancels a request.
    pub fn cancel(&mut self, attempt: u128) {
        if self.queue.front().is_some_and(|job| job.attempt == attempt) {
            self.remaining = None;
        }
        self.queue.retain(|job| job.attempt != attempt);
        self.streams.retain(|stream| stream.job.attempt != attempt);
    }

    /// Queued and running attempts.
    pub fn attempts(&self) -> Vec<u128> {
        let queued = self.queue.iter().map(|job| job.attempt);
        let running = self.streams.iter().map(|stream| stream.job.attempt);
        queued.chain(running).collect()
    }

    /// Prompt tokens still to be prefilled, as a load report states them.
    pub fn pending(&self) -> f64 {
        let first = self.remaining.unwrap_or(0.0);
        let begun = usize::from(self.remaining.is_some());
        let rest = self.queue.iter().skip(begun);
        first + rest.map(|job| self.uncached_tokens(job)).sum::<f64>()
    }

    /// Changes of the prefix cache since the last call.
    pub fn changes(&mut self) -> Vec<Change> {
        std::mem::take(&mut self.changes)
    }

    /// Advances the engine by some seconds; returns the progress of its streams.
    pub fn step(&mut self, seconds: f64) -> Vec<Step> {
        let steps = self.decode(seconds);
        self.prefill(seconds * self.speed.prefill);
        steps
    }

    fn decode(&mut self, seconds: f64) -> Vec<Step> {
        let rate = self.speed.decode / (1.0 + SLOWDOWN_PER_STREAM * self.streams.len() as f64);
        let mut steps = Vec::new();
        for stream in &mut self.streams {
            let before = stream.tokens as u32;
            stream.tokens += seconds * rate;
            let delivered = (stream.tokens as u32).min(stream.job.answer);
            if delivered > before || delivered == stream.job.answer {
                steps.push(Step {
                    attempt: stream.job.attempt,
                    delivered,
                    done: delivered == stream.job.answer,
                });
            }
        }
        self.streams
            .retain(|stream| (stream.tokens as u32) < stream.job.answer);
        steps
    }

    fn prefill(&mut self, mut budget: f64) {
        while budget > 0.0 && self.streams.len() < self.speed.slots {
            let Some(job) = self.queue.front() else {
                return;
            };
            let remaining = self.remaining.unwrap_or_else(|| self.uncached_tokens(job));
            let done = remaining.min(budget);
            budget -= done;
            self.computed += done;
            if done < remaining {
                self.remaining = Some(remaining - done);
                return;
            }
            self.remaining = None;
            let Some(job) = self.queue.pop_front() else {
                return;
            };
            self.cache_blocks(&job.blocks);
            let tokens = f64::from(job.delivered) + 1.0;
            self.streams.push(Stream { job, tokens });
        }
    }

    fn uncached_tokens(&self, job: &Job) -> f64 {
        if job.migrated {
            return 0.0;
        }
        let cached = job.blocks.iter().take_while(|block| {
            self.cache
                .binary_search_by_key(*block, |(block, _)| *block)
                .is_ok()
        });
        let cached = (cached.count() * BLOCK_TOKENS) as f64;
        (f64::from(job.prompt) + f64::from(job.delivered) - cached).max(1.0)
    }

    fn cache_blocks(&mut self, blocks: &[u64]) {
        let mut change = Change {
            sequence: self.sequence,
            ..Change::default()
        };
        self.use_count += 1;
        for (depth, &block) in blocks.iter().enumerate() {
            let used = (self.use_count << 16) | (0xffff - depth as u64);
            match self.cache.binary_search_by_key(&block, |(block, _)| *block) {
                Ok(at) => self.cache[at].1 = used,
                Err(at) => {
                    self.cache.insert(at, (block, used));
                    change.added.push(block);
                }
            }
        }
        self.evict(&mut change);
        if !change.added.is_empty() || !change.removed.is_empty() {
            self.sequence += 1;
            self.changes.push(change);
        }
    }

    fn evict(&mut self, change: &mut Change) {
        let excess = self.cache.len().saturating_sub(self.speed.blocks);
        if excess == 0 {
            return;
        }
        let mut uses: Vec<u64> = self.cache.iter().map(|(_, used)| *used).collect();
        uses.sort_unstable();
        let least = uses[excess];
        let gone = self.cache.iter().filter(|(_, used)| *used < least);
        change.removed = gone.map(|(block, _)| *block).collect();
        self.cache.retain(|(_, used)| *used >= least);
    }
}
