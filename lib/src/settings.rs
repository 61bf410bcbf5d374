//! Settings of a daemon, read from a JSON file and checked field by field.
//!
//! A daemon with an invalid setting does not start: an error that shows only under load
//! or after a failure is worse than a daemon that does not start. Each validation error
//! names the field, the value found and what is allowed.

use std::net::SocketAddr;
use std::path::Path;

use compact_str::{CompactString, format_compact};

use crate::code::Code;
use crate::ids::{EndpointId, ModelId, RegionId, ServiceId, VersionId, ZoneId};
use crate::lists::{ValidationError, is_id};

/// Configuration that a daemon reads at startup.
#[proc_macros::setting]
pub struct Settings {
    /// Availability zone of this daemon.
    pub zone: ZoneId,
    /// Region of the availability zone.
    #[serde(default = "default_region")]
    pub region: RegionId,
    /// Listen address for callers.
    pub callers: SocketAddr,
    /// Listen address for operators.
    pub operators: SocketAddr,
    /// Listen address for other daemons.
    pub peers: SocketAddr,
    /// Files that hold the credentials.
    pub credentials: Credentials,
    /// Addresses of peers to contact first.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// Addresses of the platform's services; none in the embedded configuration.
    #[serde(default)]
    pub platform: Option<Platform>,
    /// Files with the customer and plan lists, used without a platform.
    #[serde(default)]
    pub lists: Option<ListFiles>,
    /// Services and their routes.
    pub services: Vec<Service>,
    /// Limits on sizes, counts and times.
    #[serde(default)]
    pub limits: Limits,
    /// Logging.
    #[serde(default)]
    pub logs: Logs,
}

/// Files that hold the credentials, one line in each.
#[proc_macros::setting]
pub struct Credentials {
    /// File with the operators' bearer token.
    pub operators: CompactString,
    /// File with the bearer token that daemons use among themselves.
    pub peers: CompactString,
}

/// Addresses of the platform's services.
#[proc_macros::setting]
pub struct Platform {
    /// Key-value service.
    pub store: SocketAddr,
    /// Cloud API.
    #[serde(default)]
    pub cloud: Option<SocketAddr>,
    /// Service that lists live and leaving hosts.
    #[serde(default)]
    pub hosts: Option<SocketAddr>,
    /// Weight store.
    #[serde(default)]
    pub weights: Option<SocketAddr>,
}

/// Files with the customer and plan lists.
#[proc_macros::setting]
pub struct ListFiles {
    /// File with the customer list.
    pub customers: CompactString,
    /// File with the plan list.
    pub plans: CompactString,
}

/// Protocol of a service's endpoints.
#[proc_macros::kind]
pub enum ServiceKind {
    /// Model engine with an OpenAI-compatible API.
    Model,
    /// Plain HTTP.
    Plain,
}

/// A service, its routes and its statically configured endpoints.
#[proc_macros::setting]
pub struct Service {
    /// Id of the service.
    pub id: ServiceId,
    /// Protocol of its endpoints.
    pub kind: ServiceKind,
    /// Models that it offers; for model services.
    #[serde(default)]
    pub models: Vec<ModelId>,
    /// Routes; for plain services.
    #[serde(default)]
    pub routes: Vec<Route>,
    /// Deadline of a request to this service, in milliseconds after its arrival.
    #[serde(default = "default_deadline")]
    pub deadline_ms: u64,
    /// Version that receives all requests until the first version move; any version if omitted.
    #[serde(default)]
    pub version: Option<VersionId>,
    /// Statically configured endpoints.
    #[serde(default)]
    pub endpoints: Vec<Endpoint>,
}

/// A route of a plain service.
#[proc_macros::setting]
pub struct Route {
    /// HTTP method.
    pub method: CompactString,
    /// Path below the service; a trailing `*` matches any suffix.
    pub path: CompactString,
    /// Whether its requests are idempotent; false unless declared.
    #[serde(default)]
    pub repeatable: bool,
    /// Deadline of a request, in milliseconds after its arrival.
    #[serde(default = "default_deadline")]
    pub deadline_ms: u64,
}

/// A statically configured endpoint.
#[proc_macros::setting]
pub struct Endpoint {
    /// Id of the endpoint.
    pub id: EndpointId,
    /// Its availability zone.
    pub zone: ZoneId,
    /// Its address.
    pub address: SocketAddr,
    /// Version it runs.
    #[serde(default = "default_version")]
    pub version: VersionId,
}

/// Limits on sizes, counts and times of requests and connections.
#[proc_macros::setting]
#[serde(default)]
pub struct Limits {
    /// Maximum size of a request body, in bytes.
    pub body_bytes: u64,
    /// Maximum size of a plain service's answer, in bytes.
    pub answer_bytes: u64,
    /// Maximum number of concurrent connections of callers.
    pub connections: u64,
    /// Maximum number of waiting requests.
    pub waiting: u64,
    /// Maximum number of this daemon's concurrent requests at one endpoint.
    pub running: u64,
    /// Time in which a request's headers must arrive, in milliseconds.
    pub head_ms: u64,
    /// Time in which a request's body must arrive, in milliseconds.
    pub body_ms: u64,
    /// Time for which a finished answer is kept, in milliseconds.
    pub keep_ms: u64,
    /// Maximum number of finished answers kept; the oldest are evicted first.
    pub kept: u64,
    /// Time that a disconnected caller has to reconnect to its stream, in milliseconds.
    pub return_ms: u64,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            body_bytes: 4 << 20,
            answer_bytes: 4 << 20,
            connections: 10_000,
            waiting: 5_000,
            running: 64,
            head_ms: 5_000,
            body_ms: 10_000,
            keep_ms: 60_000,
            kept: 10_000,
            return_ms: 5_000,
        }
    }
}

/// Logging.
#[proc_macros::setting]
#[serde(default)]
pub struct Logs {
    /// Minimum level of log lines.
    pub level: CompactString,
}

impl Default for Logs {
    fn default() -> Self {
        Self {
            level: "info".into(),
        }
    }
}

fn default_region() -> RegionId {
    "default".into()
}

fn default_version() -> VersionId {
    "v1".into()
}

fn default_deadline() -> u64 {
    30_000
}

/// Why settings are invalid.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SettingsError {
    /// Not valid JSON, or a field has the wrong type.
    #[error("{}: {field}: {cause}", Code::BadSetting.number())]
    Shape {
        /// Path of the field.
        field: CompactString,
        /// Error message of the JSON parser.
        cause: CompactString,
    },
    /// Fields with values that are not allowed.
    #[error("{}", errors.iter().map(|error| format!("{}: {error}", Code::BadSetting.number())).collect::<Vec<_>>().join("\n"))]
    Invalid {
        /// All validation errors.
        errors: Vec<ValidationError>,
    },
}

impl Settings {
    /// Parses and validates settings.
    ///
    /// # Errors
    /// Names each invalid field, the value found and what is allowed.
    pub fn parse(text: &str) -> Result<Self, SettingsError> {
        let reader = &mut serde_json::Deserializer::from_str(text);
        let settings: Self =
            serde_path_to_error::deserialize(reader).map_err(|error| SettingsError::Shape {
                field: format_compact!("{}", error.path()),
                cause: format_compact!("{}", error.inner()),
            })?;
        let errors = settings.check();
        if errors.is_empty() {
            Ok(settings)
        } else {
            Err(SettingsError::Invalid { errors })
        }
    }

    /// Resolves file names relative to the directory of the settings file, so that a daemon
    /// can be started from any directory.
    pub fn resolve(&mut self, folder: &Path) {
        let mut files = vec![&mut self.credentials.operators, &mut self.credentials.peers];
        if let Some(lists) = &mut self.lists {
            files.push(&mut lists.customers);
            files.push(&mut lists.plans);
        }
        for file in files {
            *file = folder.join(file.as_str()).to_string_lossy().into();
        }
    }

    fn check(&self) -> Vec<ValidationError> {
        let mut errors = Vec::new();
        check_id("zone", &self.zone, &mut errors);
        check_id("region", &self.region, &mut errors);
        self.check_addresses(&mut errors);
        self.check_source(&mut errors);
        self.check_services(&mut errors);
        self.limits.check(&mut errors);
        check_level(&self.logs.level, &mut errors);
        errors
    }

    fn check_addresses(&self, errors: &mut Vec<ValidationError>) {
        let fields = [
            ("callers", self.callers),
            ("operators", self.operators),
            ("peers", self.peers),
        ];
        for (at, (field, address)) in fields.iter().enumerate() {
            let is_duplicate = fields[..at].iter().any(|(_, a)| a == address);
            if is_duplicate && address.port() != 0 {
                let found = format_compact!("{address}");
                errors.push(ValidationError::new(*field, found, "an address of its own"));
            }
        }
    }

    fn check_source(&self, errors: &mut Vec<ValidationError>) {
        if self.platform.is_some() == self.lists.is_some() {
            let found = if self.lists.is_some() {
                "both"
            } else {
                "neither"
            };
            let allowed = "either platform or lists, not both";
            errors.push(ValidationError::new("platform", found, allowed));
        }
    }

    fn check_services(&self, errors: &mut Vec<ValidationError>) {
        if self.services.is_empty() {
            errors.push(ValidationError::new("services", "none", "at least one"));
        }
        let mut ids: Vec<&EndpointId> = Vec::new();
        for (at, service) in self.services.iter().enumerate() {
            let field = format_compact!("services[{at}]");
            service.check(&field, errors);
            if self.services[..at].iter().any(|s| s.id == service.id) {
                let found = format_compact!("{:?} twice", service.id);
                errors.push(ValidationError::new(
                    format_compact!("{field}.id"),
                    found,
                    "each id once",
                ));
            }
            ids.extend(service.endpoints.iter().map(|e| &e.id));
        }
        ids.sort();
        for pair in ids.windows(2).filter(|pair| pair[0] == pair[1]) {
            let found = format_compact!("{:?} twice", pair[0]);
            errors.push(ValidationError::new(
                "services.endpoints.id",
                found,
                "each id once",
            ));
        }
    }
}

impl Service {
    fn check(&self, field: &str, errors: &mut Vec<ValidationError>) {
        check_id(&format_compact!("{field}.id"), &self.id, errors);
        check_duration(
            &format_compact!("{field}.deadline_ms"),
            self.deadline_ms,
            errors,
        );
        if let Some(version) = &self.version {
            check_id(&format_compact!("{field}.version"), version, errors);
        }
        match self.kind {
            ServiceKind::Model if self.models.is_empty() => {
                let field = format_compact!("{field}.models");
                errors.push(ValidationError::new(
                    field,
                    "none",
                    "at least one for a model service",
                ));
            }
            ServiceKind::Plain if self.routes.is_empty() => {
                let field = format_compact!("{field}.routes");
                errors.push(ValidationError::new(
                    field,
                    "none",
                    "at least one for a plain service",
                ));
            }
            ServiceKind::Model | ServiceKind::Plain => {}
        }
        for (at, route) in self.routes.iter().enumerate() {
            route.check(&format_compact!("{field}.routes[{at}]"), errors);
        }
        for (at, endpoint) in self.endpoints.iter().enumerate() {
            let field = format_compact!("{field}.endpoints[{at}]");
            check_id(&format_compact!("{field}.id"), &endpoint.id, errors);
            check_id(&format_compact!("{field}.zone"), &endpoint.zone, errors);
            check_id(
                &format_compact!("{field}.version"),
                &endpoint.version,
                errors,
            );
        }
    }
}

impl Route {
    const METHODS: [&str; 5] = ["GET", "POST", "PUT", "PATCH", "DELETE"];

    fn check(&self, field: &str, errors: &mut Vec<ValidationError>) {
        if !Self::METHODS.contains(&self.method.as_str()) {
            let found = format_compact!("{:?}", self.method);
            let allowed = Self::METHODS.join(", ");
            errors.push(ValidationError::new(
                format_compact!("{field}.method"),
                found,
                allowed,
            ));
        }
        if !self.path.starts_with('/') {
            let found = format_compact!("{:?}", self.path);
            let allowed = "a path that begins with '/'";
            errors.push(ValidationError::new(
                format_compact!("{field}.path"),
                found,
                allowed,
            ));
        }
        check_duration(
            &format_compact!("{field}.deadline_ms"),
            self.deadline_ms,
            errors,
        );
    }

    /// Whether a request belongs to this route.
    pub fn matches(&self, method: &str, path: &str) -> bool {
        let path_fits = match self.path.strip_suffix('*') {
            Some(start) => path.starts_with(start),
            None => path == self.path,
        };
        self.method == method && path_fits
    }
}

impl Limits {
    fn check(&self, errors: &mut Vec<ValidationError>) {
        let fields = [
            ("body_bytes", self.body_bytes, 1024, 64 << 20),
            ("answer_bytes", self.answer_bytes, 1024, 64 << 20),
            ("connections", self.connections, 1, 100_000),
            ("waiting", self.waiting, 1, 100_000),
            ("running", self.running, 1, 10_000),
            ("head_ms", self.head_ms, 100, 60_000),
            ("body_ms", self.body_ms, 100, 600_000),
            ("keep_ms", self.keep_ms, 1_000, 3_600_000),
            ("kept", self.kept, 1, 1_000_000),
            ("return_ms", self.return_ms, 0, 60_000),
        ];
        for (name, value, min, max) in fields {
            if !(min..=max).contains(&value) {
                let field = format_compact!("limits.{name}");
                let allowed = format_compact!("{min} to {max}");
                errors.push(ValidationError::new(
                    field,
                    format_compact!("{value}"),
                    allowed,
                ));
            }
        }
    }
}

fn check_id(field: &str, name: &str, errors: &mut Vec<ValidationError>) {
    if !is_id(name) {
        let allowed = "1 to 64 of a-z, A-Z, 0-9, '-', '_' and '.'";
        errors.push(ValidationError::new(
            field,
            format_compact!("{name:?}"),
            allowed,
        ));
    }
}

fn check_duration(field: &str, ms: u64, errors: &mut Vec<ValidationError>) {
    if !(10..=3_600_000).contains(&ms) {
        errors.push(ValidationError::new(
            field,
            format_compact!("{ms}"),
            "10 to 3600000",
        ));
    }
}

fn check_level(level: &str, errors: &mut Vec<ValidationError>) {
    const LEVELS: [&str; 5] = ["error", "warn", "info", "debug", "trace"];
    if !LEVELS.contains(&level) {
        let found = format_compact!("{level:?}");
        errors.push(ValidationError::new("logs.level", found, LEVELS.join(", ")));
    }
}
