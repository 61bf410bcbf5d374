//! Reclaim notices, kept longer than the endpoint's row.
//!
//! The list of hosts lags: it can name an endpoint as alive that is already gone,
//! and a notice can arrive before the endpoint is known. In both cases the
//! endpoint would receive new work, which shows as refused connections after a
//! reclaim. So a notice is kept for some time after the end that it announced.

use std::time::{Duration, Instant};

use crate::ids::EndpointId;
use crate::table::{Row, Table};

/// How long a notice is kept after the announced end: longer than the list of
/// hosts lags.
pub const NOTICE_TTL: Duration = Duration::from_mins(2);

#[proc_macros::row]
struct Notice {
    endpoint: EndpointId,
    gone_at: Instant,
}

impl Row for Notice {
    type Id = EndpointId;
    fn id(&self) -> &EndpointId {
        &self.endpoint
    }
}

/// Notices of all endpoints.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Notices {
    notices: Table<Notice>,
}

impl Notices {
    /// Records when an endpoint will be gone. Of two notices the earlier end
    /// counts.
    pub fn record(&mut self, now: Instant, endpoint: &EndpointId, gone_at: Instant) {
        self.notices
            .retain(|notice| notice.gone_at + NOTICE_TTL > now);
        let gone_at = self.gone_at(now, endpoint).unwrap_or(gone_at).min(gone_at);
        self.notices.insert(Notice {
            endpoint: endpoint.clone(),
            gone_at,
        });
    }

    /// Sets when an endpoint will be gone, replacing an earlier notice.
    pub fn set(&mut self, now: Instant, endpoint: &EndpointId, gone_at: Instant) {
        self.notices.remove(endpoint);
        self.record(now, endpoint, gone_at);
    }

    /// When an endpoint will be gone or was gone.
    pub fn gone_at(&self, now: Instant, endpoint: &EndpointId) -> Option<Instant> {
        let notice = self.notices.get(endpoint)?;
        (notice.gone_at + NOTICE_TTL > now).then_some(notice.gone_at)
    }
}
