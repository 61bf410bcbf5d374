//! Numbered result codes.
//!
//! Every rejection and failure reported outside the system carries one of these numbers,
//! so that scripts and people can look it up in `docs/errors.md`; a test compares that
//! page with this table. A number is never reused: a code that is no longer used leaves
//! a gap.

use std::fmt;

/// Whether a request that failed ran at an endpoint.
#[proc_macros::kind]
pub enum Ran {
    /// It did not run, which is certain; a retry is safe.
    No,
    /// It may have run.
    Unknown,
}

impl Ran {
    /// Value used in answers to callers.
    pub fn word(self) -> &'static str {
        match self {
            Self::No => "no",
            Self::Unknown => "unknown",
        }
    }
}

macro_rules! codes {
    ($($(#[$doc:meta])* $name:ident = $number:literal, $status:literal, $title:literal;)*) => {
        /// Result code of a rejection or failure.
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

            /// HTTP status of the response.
            pub fn status(self) -> u16 {
                match self { $(Self::$name => $status,)* }
            }

            /// Short description of what happened.
            pub fn title(self) -> &'static str {
                match self { $(Self::$name => $title,)* }
            }
        }
    };
}

codes! {
    /// Body is not valid for the route.
    BadBody = 1001, 400, "The body could not be read.";
    /// API key missing or unknown.
    NoCustomer = 1002, 401, "The API key names no customer.";
    /// No service has a route for the path.
    NoRoute = 1003, 404, "No route serves this path.";
    /// Request id unknown, or its answer is no longer kept.
    NoRequest = 1004, 404, "No answer is kept under this request id.";
    /// Body exceeds the size limit.
    LargeBody = 1005, 413, "The body is larger than allowed.";
    /// Idempotency key reused with a different body.
    KeyReused = 1006, 422, "The idempotency key was used with another body.";
    /// Event id is not a point to resume from.
    BadResume = 1007, 400, "The event id to resume from is not one of this answer.";
    /// Headers exceed the size limit.
    LargeHead = 1008, 431, "The headers are larger than allowed.";
    /// Idempotency key is malformed or was issued elsewhere.
    BadKey = 1009, 400, "The idempotency key could not be read.";
    /// Body did not arrive within the time limit.
    SlowBody = 1010, 408, "The body did not arrive in time.";
    /// Plan does not include the service or model.
    NotInPlan = 2001, 403, "The plan does not include this service or model.";
    /// Request rate of the plan exceeded.
    RequestRate = 2002, 429, "The plan's requests per second are used up.";
    /// Token rate of the plan exceeded.
    TokenRate = 2003, 429, "The plan's tokens per second are used up.";
    /// Limit of the plan on requests in progress reached.
    InProgress = 2004, 429, "The plan's requests in progress are used up.";
    /// Request is not expected to finish by its deadline.
    TooLate = 2005, 503, "The request would not be finished in time.";
    /// No endpoint of the service is available.
    NoEndpoint = 2006, 503, "No endpoint of this service can be reached.";
    /// Daemon is shutting down and admits no requests.
    Draining = 2007, 503, "This daemon is shutting down.";
    /// Daemon has not received the customer and plan lists yet.
    NoLists = 2008, 503, "This daemon has no configuration yet.";
    /// Idempotency key cannot be claimed because the store is unavailable.
    NoClaim = 2009, 503, "The idempotency key could not be claimed.";
    /// Queue of waiting requests is full.
    Full = 2010, 503, "Too many requests are waiting.";
    /// Quarantined because endpoints ended while they ran the request.
    Quarantined = 2011, 503, "Endpoints ended while they ran this request.";
    /// No endpoint runs in a region that the route or team allows.
    NoHome = 2012, 503, "No endpoint in an allowed region can be reached.";
    /// All endpoints of the service are in evacuated zones.
    Evacuated = 2013, 503, "All zones with endpoints of this service are evacuated.";
    /// The daemon that got a forwarded request cannot serve it, but others may.
    NotTaken = 2014, 421, "This daemon does not take the forwarded request.";
    /// Bodies of other requests take the memory that there is for them.
    NoMemory = 2015, 503, "Too many long requests are in progress.";
    /// Deadline passed while the request waited.
    Expired = 3001, 504, "The deadline passed before the request was sent.";
    /// Endpoint failed after the request was sent.
    Broken = 3002, 502, "The endpoint failed while the request ran.";
    /// Deadline passed while the request ran.
    Overdue = 3003, 504, "The endpoint did not answer in time.";
    /// Answer of the endpoint exceeds the size limit.
    LargeAnswer = 3004, 502, "The endpoint's answer is larger than allowed.";
    /// Outcome of an earlier request with the key is unknown.
    KeyUnknown = 3005, 409, "The outcome of the earlier use of this key is not known.";
    /// An earlier request with the key is still running.
    KeyRunning = 3006, 409, "A request with this idempotency key is in progress.";
    /// Answer does not carry the id of the attempt.
    WrongAnswer = 3007, 502, "The endpoint sent an answer that belongs to another request.";
    /// Connection to the endpoint could not be made.
    Refused = 3008, 502, "The endpoint took no connection.";
    /// Operator token missing or wrong.
    NoOperator = 4001, 401, "The operator token is missing or wrong.";
    /// Lists are invalid.
    BadLists = 4002, 422, "The lists do not pass their checks.";
    /// A concurrent edit was accepted first.
    Conflict = 4003, 409, "Another edit was accepted first.";
    /// Edit or version move is impossible because the store is unavailable.
    StoreOut = 4004, 503, "The platform's key-value service cannot be reached.";
    /// No version move of the service is recorded.
    NoMove = 4005, 404, "No version move of this service is on record.";
    /// Version move as requested is not possible.
    BadMove = 4006, 422, "The version move cannot be done as asked.";
    /// Unknown table or row.
    NoTable = 4007, 404, "There is no such table or row.";
    /// Settings file cannot be read.
    NoSettings = 5001, 400, "The settings file could not be read.";
    /// Value of a settings field is not allowed.
    BadSetting = 5002, 400, "A field of the settings is not allowed.";
    /// Peer token missing or wrong.
    NoPeer = 6001, 401, "The peer token is missing or wrong.";
    /// Row in a message between daemons exceeds a size limit.
    LargeRow = 6002, 413, "A row between daemons is larger than allowed.";
    /// Number of rows or daemons exceeds the limit.
    ManyRows = 6003, 413, "There are more rows or daemons than allowed.";
    /// Message of a peer cannot be decoded.
    BadExchange = 6004, 400, "The message between daemons could not be read.";
    /// Answer of a peer arrived too late for its times to be usable.
    LateExchange = 6005, 504, "The answer between daemons came too late.";
    /// Internal error of the daemon.
    Internal = 9001, 500, "The daemon failed to handle this.";
}

impl fmt::Display for Code {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.number(), self.title())
    }
}
