//! Numbered result codes.
//!
//! Every refusal and failure that leaves the system carries one of these
//! numbers, so that scripts and people can look it up in `docs/errors.md`; a
//! test compares that page with this table. Numbers are never given a new
//! meaning: a code that falls out of use leaves a gap.

use std::fmt;

/// Whether a request that failed ran at an endpoint.
#[proc_macros::kind]
pub enum Ran {
    /// It provably did not run; sending it again is safe.
    No,
    /// It may have run.
    Unknown,
}

impl Ran {
    /// Word in answers to callers.
    pub fn word(self) -> &'static str {
        match self {
            Self::No => "no",
            Self::Unknown => "unknown",
        }
    }
}

macro_rules! codes {
    ($($(#[$doc:meta])* $name:ident = $number:literal, $status:literal, $title:literal;)*) => {
        /// Result code of a refusal or failure.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub enum Code {
            $($(#[$doc])* $name,)*
        }

        impl Code {
            /// All codes in the order of their numbers.
            pub const ALL: &[Self] = &[$(Self::$name),*];

            /// The number.
            pub fn number(self) -> u32 {
                match self { $(Self::$name => $number,)* }
            }

            /// HTTP status that goes with it.
            pub fn status(self) -> u16 {
                match self { $(Self::$name => $status,)* }
            }

            /// Short sentence that says what happened.
            pub fn title(self) -> &'static str {
                match self { $(Self::$name => $title,)* }
            }
        }
    };
}

codes! {
    /// Body is not what the route takes.
    BadBody = 1001, 400, "The body could not be read.";
    /// No or unknown API key.
    NoCustomer = 1002, 401, "The API key names no customer.";
    /// Path that no service serves.
    NoRoute = 1003, 404, "No route serves this path.";
    /// Request id unknown or its answer no longer kept.
    NoRequest = 1004, 404, "No answer is kept under this request id.";
    /// Body over the limit.
    LargeBody = 1005, 413, "The body is larger than allowed.";
    /// Same idempotency key with another body.
    KeyReused = 1006, 422, "The idempotency key was used with another body.";
    /// Event id that cannot be resumed from.
    BadResume = 1007, 400, "The event id to resume from is not one of this answer.";
    /// Headers over the limit.
    LargeHead = 1008, 431, "The headers are larger than allowed.";
    /// Malformed or issued-elsewhere idempotency key.
    BadKey = 1009, 400, "The idempotency key could not be read.";
    /// Body came too slowly.
    SlowBody = 1010, 408, "The body did not arrive in time.";
    /// Plan does not include the service or model.
    NotInPlan = 2001, 403, "The plan does not include this service or model.";
    /// Rate of requests of the plan.
    RequestRate = 2002, 429, "The plan's requests per second are used up.";
    /// Rate of tokens of the plan.
    TokenRate = 2003, 429, "The plan's tokens per second are used up.";
    /// Requests in progress of the plan.
    InProgress = 2004, 429, "The plan's requests in progress are used up.";
    /// Could not finish by its deadline.
    TooLate = 2005, 503, "The request would not be finished in time.";
    /// No endpoint to send to.
    NoEndpoint = 2006, 503, "No endpoint of this service can be reached.";
    /// Daemon takes no new requests.
    Draining = 2007, 503, "This daemon is shutting down.";
    /// Daemon has no configuration yet.
    NoLists = 2008, 503, "This daemon has no configuration yet.";
    /// Store out, so no claim for an idempotency key.
    NoClaim = 2009, 503, "The idempotency key could not be claimed.";
    /// Too many requests wait.
    Full = 2010, 503, "Too many requests are waiting.";
    /// Endpoints ended under it.
    Quarantined = 2011, 503, "Endpoints ended while they ran this request.";
    /// Deadline passed while waiting.
    Expired = 3001, 504, "The deadline passed before the request was sent.";
    /// Endpoint failed after the request was sent.
    Broken = 3002, 502, "The endpoint failed while the request ran.";
    /// Deadline passed while running.
    Overdue = 3003, 504, "The endpoint did not answer in time.";
    /// Endpoint's answer over the limit.
    LargeAnswer = 3004, 502, "The endpoint's answer is larger than allowed.";
    /// Outcome of an earlier use of the key is not known.
    KeyUnknown = 3005, 409, "The outcome of the earlier use of this key is not known.";
    /// Earlier use of the key still runs.
    KeyRunning = 3006, 409, "A request with this idempotency key is in progress.";
    /// Answer did not carry the attempt's id.
    WrongAnswer = 3007, 502, "The endpoint sent an answer that belongs to another request.";
    /// Connection to the endpoint could not be made.
    Refused = 3008, 502, "The endpoint took no connection.";
    /// Operator's token missing or wrong.
    NoOperator = 4001, 401, "The operator token is missing or wrong.";
    /// List does not pass its checks.
    BadLists = 4002, 422, "The lists do not pass their checks.";
    /// Another edit came first.
    Conflict = 4003, 409, "Another edit was accepted first.";
    /// Store out, so no edit or move.
    StoreOut = 4004, 503, "The platform's key-value service cannot be reached.";
    /// No such move.
    NoMove = 4005, 404, "No version move of this service is on record.";
    /// Move that cannot be asked for.
    BadMove = 4006, 422, "The version move cannot be done as asked.";
    /// Table or row unknown.
    NoTable = 4007, 404, "There is no such table or row.";
    /// Settings file cannot be read.
    NoSettings = 5001, 400, "The settings file could not be read.";
    /// Settings field out of what is allowed.
    BadSetting = 5002, 400, "A field of the settings is not allowed.";
    /// Peer's credential missing or wrong.
    NoPeer = 6001, 401, "The peer token is missing or wrong.";
    /// Row between daemons over a limit.
    LargeRow = 6002, 413, "A row between daemons is larger than allowed.";
    /// More rows or daemons than the limit.
    ManyRows = 6003, 413, "There are more rows or daemons than allowed.";
    /// Message of a peer that cannot be read.
    BadExchange = 6004, 400, "The message between daemons could not be read.";
    /// Answer of a peer that came too late to trust its times.
    LateExchange = 6005, 504, "The answer between daemons came too late.";
    /// Fault of our own.
    Internal = 9001, 500, "The daemon failed to handle this.";
}

impl fmt::Display for Code {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.number(), self.title())
    }
}
