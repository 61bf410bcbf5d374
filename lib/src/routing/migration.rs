//! Decides how to move the streams of an endpoint that is leaving.
//!
//! After a reclaim notice, every stream of the endpoint must have moved or ended
//! within seconds. A stream that ends in time stays, which recomputes nothing. A
//! stream that moves together with its KV cache recomputes nothing either, but
//! the endpoint can export only a limited number of cache tokens before it is
//! gone. Any other stream is continued on another endpoint from the tokens
//! already delivered, which recomputes prompt and delivered tokens except those
//! cached there. So the caches exported are those that save the most tokens for
//! their size.

use std::time::Duration;

/// Time before the announced end by which a stream must have left. Covers the
/// inaccuracy of a notice and the time to stop the stream and send it again.
pub const MIGRATION_MARGIN: Duration = Duration::from_secs(1);

/// A stream at an endpoint that is leaving.
#[proc_macros::row]
#[derive(Copy)]
pub struct Stream {
    /// Maximum time until it ends.
    pub remaining: Duration,
    /// Tokens in its KV cache.
    pub cache_tokens: u32,
    /// Tokens to recompute if it is continued without its cache.
    pub recompute: u32,
    /// Whether the target endpoint can import the cache.
    pub movable: bool,
}

/// What to do with a stream.
#[proc_macros::kind]
pub enum Migration {
    /// Leave it where it is: it ends in time.
    Stay,
    /// Move it together with its KV cache.
    Move,
    /// Continue it on another endpoint from the delivered tokens, without its
    /// cache.
    Continue,
}

/// Whether a stream that needs `remaining` ends before its endpoint, which has
/// `left` to live.
pub fn ends_in_time(remaining: Duration, left: Duration) -> bool {
    remaining <= left.saturating_sub(MIGRATION_MARGIN)
}

/// Decides for each stream, so that the fewest tokens are recomputed.
///
/// `left` is the time to the announced end, `export` the rate of the cache export
/// in tokens per second, `queued` the number of tokens already waiting for
/// export.
pub fn plan_migration(
    left: Duration,
    export: f64,
    queued: f64,
    streams: &[Stream],
) -> Vec<Migration> {
    let usable = left.saturating_sub(MIGRATION_MARGIN);
    let mut room = export * usable.as_secs_f64() - queued;
    let mut plan: Vec<Migration> = streams
        .iter()
        .map(|stream| without_cache(stream, left))
        .collect();
    let mut movable: Vec<usize> = (0..streams.len())
        .filter(|&at| plan[at] == Migration::Continue && streams[at].movable)
        .collect();
    movable.sort_by(|&a, &b| savings_ratio(&streams[b]).total_cmp(&savings_ratio(&streams[a])));
    for at in movable {
        let size = f64::from(streams[at].cache_tokens);
        if streams[at].recompute > 0 && size <= room {
            room -= size;
            plan[at] = Migration::Move;
        }
    }
    plan
}

fn without_cache(stream: &Stream, left: Duration) -> Migration {
    if ends_in_time(stream.remaining, left) {
        Migration::Stay
    } else {
        Migration::Continue
    }
}

/// Tokens of recomputation saved per token of cache exported.
fn savings_ratio(stream: &Stream) -> f64 {
    f64::from(stream.recompute) / f64::from(stream.cache_tokens.max(1))
}
