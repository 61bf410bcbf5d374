//! Decides which requests go to the new version, by exact counting instead of
//! independent sampling.
//!
//! Sampling each request independently keeps the share only on average: in a short
//! time a daemon can send several times its share to a version that turns out bad.
//! Counting keeps the share in every window. Counting at a fixed interval (each
//! hundredth request) can coincide with callers whose requests follow a fixed
//! pattern, and then one route would never reach the new version; so the position
//! within each block of requests is random.
//!
//! Requests are laid end to end on a line, each as long as the share. The line is
//! divided into blocks of length one, each with one random point; a request whose
//! interval covers a point goes to the new version. In a window of n requests with
//! share s, at most `ceil(s * n) + 1` do. As each daemon counts its own requests,
//! the bound holds over any set of daemons without communication.

/// Share of requests in millionths.
pub type Share = u32;

/// Share of all requests.
pub const FULL_SHARE: Share = 1_000_000;

/// Counter of one daemon for one service.
#[derive(Clone, Debug, Default)]
pub struct Counter {
    position: u32,
    point: u32,
    covered: bool,
    carried: u32,
}

impl Counter {
    /// Whether the next request goes to the new version.
    ///
    /// `random` is uniform below [`FULL_SHARE`]; it sets the point of the next
    /// block.
    pub fn take(&mut self, share: Share, random: u32) -> bool {
        self.position += share.min(FULL_SHARE);
        self.cover_point();
        if self.position >= FULL_SHARE {
            self.position -= FULL_SHARE;
            self.point = random % FULL_SHARE;
            self.covered = false;
            self.cover_point();
        }
        // One request can cover two points. The second one is carried over to the
        // next request, or large shares would come out too small.
        let goes = share > 0 && self.carried > 0;
        if goes {
            self.carried -= 1;
        }
        goes
    }

    fn cover_point(&mut self) {
        if !self.covered && self.position > self.point {
            self.covered = true;
            self.carried += 1;
        }
    }
}
