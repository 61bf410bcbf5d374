//! The bound on retries, checked from what endpoints received.
//!
//! Arrivals beyond the first of their request are counted in each window that begins with one, and
//! compared with the requests of callers in that window, the one before or the one half a window before.

use std::collections::BTreeMap;

/// Milliseconds of any clock that callers and endpoints share.
pub type Ms = u64;

/// The stated bound.
#[derive(Clone, Copy, Debug)]
pub struct RetryBound {
    /// Retries for each request of a window.
    pub ratio: f64,
    /// Further retries in a window.
    pub slack: f64,
    /// Length of a window.
    pub window: Ms,
}

/// The window that uses the largest part of what is allowed.
#[derive(Clone, Copy, Debug, Default)]
pub struct Worst {
    /// Begin of the window.
    pub from: Ms,
    /// Arrivals beyond the first of their request.
    pub retries: usize,
    /// Retries that are allowed.
    pub allowed: f64,
}

impl Worst {
    /// Part of what is allowed that is used.
    pub fn share(&self) -> f64 {
        if self.retries == 0 {
            return 0.0;
        }
        self.retries as f64 / self.allowed
    }
}

impl RetryBound {
    /// Finds the worst window. `sent` are the times at which callers sent requests, `arrivals` the times
    /// and ids of what endpoints received.
    pub fn worst(&self, sent: &[Ms], arrivals: &[(Ms, String)]) -> Worst {
        let mut sent = sent.to_vec();
        sent.sort_unstable();
        let mut firsts: BTreeMap<&str, Ms> = BTreeMap::new();
        let mut repeats = Vec::new();
        for (at, id) in arrivals {
            if let Some(first) = firsts.insert(id, *at) {
                let earlier = first.min(*at);
                firsts.insert(id, earlier);
                repeats.push(first.max(*at));
            }
        }
        repeats.sort_unstable();
        let windows = repeats.iter().map(|from| self.at(*from, &sent, &repeats));
        windows
            .max_by(|one, other| one.share().total_cmp(&other.share()))
            .unwrap_or_default()
    }

    fn at(&self, from: Ms, sent: &[Ms], repeats: &[Ms]) -> Worst {
        let count = |rows: &[Ms], from: Ms| {
            let end = from + self.window;
            rows.partition_point(|at| *at <= end) - rows.partition_point(|at| *at < from)
        };
        let begins = [0, self.window / 2, self.window];
        let requests = begins.map(|back| count(sent, from.saturating_sub(back)));
        let requests = requests.into_iter().max().unwrap_or_default();
        Worst {
            from,
            retries: count(repeats, from),
            allowed: self.ratio * requests as f64 + self.slack,
        }
    }
}
