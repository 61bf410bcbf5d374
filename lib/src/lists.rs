//! The two lists that operators edit: customers, and the plans that they are on.
//!
//! The lists are edited and accepted together, so that a customer never refers to a
//! plan that does not exist. An accepted pair carries the revision that the platform's
//! key-value service assigned to it; daemons apply only higher revisions.

use compact_str::{CompactString, format_compact};

use crate::ids::{CustomerId, ModelId, PlanId, Revision, ServiceId};
use crate::table::{Row, Table};

/// Maximum number of rows in a list; larger lists would exceed the value size of the store.
pub const MAX_ROWS: usize = 4096;
/// Highest priority a plan can have.
pub const MAX_PRIORITY: u8 = 3;

/// A customer and the plan it is on.
#[proc_macros::setting]
pub struct Customer {
    /// Id of the customer.
    pub id: CustomerId,
    /// Plan it is on.
    pub plan: PlanId,
    /// SHA-256 of each API key, in hexadecimal digits.
    pub digests: Vec<CompactString>,
}

/// What a customer on this plan may use.
#[proc_macros::setting]
pub struct Plan {
    /// Id of the plan.
    pub id: PlanId,
    /// Priority from 0 to [`MAX_PRIORITY`]; higher ones are served first.
    pub priority: u8,
    /// Requests per second for each customer.
    pub requests: f64,
    /// Prompt and answer tokens per second for each customer.
    pub tokens: f64,
    /// Requests in progress at once for each customer.
    pub running: u32,
    /// Plain services that may be called.
    pub services: Vec<ServiceId>,
    /// Models that may be used.
    pub models: Vec<ModelId>,
}

impl Row for Customer {
    type Id = CustomerId;
    fn id(&self) -> &CustomerId {
        &self.id
    }
}

impl Row for crate::settings::Service {
    type Id = ServiceId;
    fn id(&self) -> &ServiceId {
        &self.id
    }
}

impl Row for Plan {
    type Id = PlanId;
    fn id(&self) -> &PlanId {
        &self.id
    }
}

/// Both lists as operators edit them.
#[proc_macros::setting]
#[derive(Default)]
pub struct Lists {
    /// Customers.
    pub customers: Vec<Customer>,
    /// Plans.
    pub plans: Vec<Plan>,
}

/// A validation error in lists or settings: the field, the value found and what is allowed.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{field}: found {found}, allowed is {allowed}")]
pub struct ValidationError {
    /// Path of the field.
    pub field: CompactString,
    /// Value found there.
    pub found: CompactString,
    /// Allowed values.
    pub allowed: CompactString,
}

impl ValidationError {
    /// Validation error of `field`.
    pub fn new(
        field: impl Into<CompactString>,
        found: impl Into<CompactString>,
        allowed: impl Into<CompactString>,
    ) -> Self {
        Self {
            field: field.into(),
            found: found.into(),
            allowed: allowed.into(),
        }
    }
}

impl Lists {
    /// Returns all validation errors; lists without any may be accepted.
    pub fn check(&self) -> Vec<ValidationError> {
        let mut errors = Vec::new();
        check_count("customers", self.customers.len(), &mut errors);
        check_count("plans", self.plans.len(), &mut errors);
        let plans: Table<Plan> = self.plans.iter().cloned().collect();
        check_duplicates("plans", self.plans.iter().map(|p| &p.id), &mut errors);
        check_duplicates(
            "customers",
            self.customers.iter().map(|c| &c.id),
            &mut errors,
        );
        for (index, plan) in self.plans.iter().enumerate() {
            check_plan(index, plan, &mut errors);
        }
        for (index, customer) in self.customers.iter().enumerate() {
            check_customer(index, customer, &plans, &mut errors);
        }
        check_digests(&self.customers, &mut errors);
        errors
    }
}

fn check_count(list: &str, count: usize, errors: &mut Vec<ValidationError>) {
    if count > MAX_ROWS {
        let allowed = format_compact!("at most {MAX_ROWS} rows");
        errors.push(ValidationError::new(
            list,
            format_compact!("{count} rows"),
            allowed,
        ));
    }
}

fn check_duplicates<'a>(
    list: &str,
    ids: impl Iterator<Item = &'a CompactString>,
    errors: &mut Vec<ValidationError>,
) {
    let mut sorted: Vec<_> = ids.collect();
    sorted.sort();
    for pair in sorted.windows(2).filter(|pair| pair[0] == pair[1]) {
        let found = format_compact!("{:?} twice", pair[0]);
        errors.push(ValidationError::new(
            format_compact!("{list}.id"),
            found,
            "each id once",
        ));
    }
}

fn check_plan(index: usize, plan: &Plan, errors: &mut Vec<ValidationError>) {
    check_id(&format_compact!("plans[{index}].id"), &plan.id, errors);
    if plan.priority > MAX_PRIORITY {
        let field = format_compact!("plans[{index}].priority");
        let allowed = format_compact!("0 to {MAX_PRIORITY}");
        errors.push(ValidationError::new(
            field,
            format_compact!("{}", plan.priority),
            allowed,
        ));
    }
    for (name, rate) in [("requests", plan.requests), ("tokens", plan.tokens)] {
        if !(rate.is_finite() && rate > 0.0 && rate <= 1e9) {
            let field = format_compact!("plans[{index}].{name}");
            let found = format_compact!("{rate}");
            errors.push(ValidationError::new(
                field,
                found,
                "more than 0, at most 1e9 per second",
            ));
        }
    }
    if plan.running == 0 {
        let field = format_compact!("plans[{index}].running");
        errors.push(ValidationError::new(field, "0", "1 or more"));
    }
}

fn check_customer(
    index: usize,
    customer: &Customer,
    plans: &Table<Plan>,
    errors: &mut Vec<ValidationError>,
) {
    check_id(
        &format_compact!("customers[{index}].id"),
        &customer.id,
        errors,
    );
    if !plans.contains(&customer.plan) {
        let field = format_compact!("customers[{index}].plan");
        let found = format_compact!("{:?}", customer.plan);
        errors.push(ValidationError::new(
            field,
            found,
            "the id of a plan in the list of plans",
        ));
    }
    for (n, digest) in customer.digests.iter().enumerate() {
        let hex = digest
            .bytes()
            .all(|b| matches!(b, b'0'..=b'9' | b'a'..=b'f'));
        if digest.len() != 64 || !hex {
            let field = format_compact!("customers[{index}].digests[{n}]");
            let found = format_compact!("{digest:?}");
            errors.push(ValidationError::new(
                field,
                found,
                "64 lower-case hexadecimal digits",
            ));
        }
    }
}

/// An API key must belong to one customer only; otherwise customers could read each other's
/// answers.
fn check_digests(customers: &[Customer], errors: &mut Vec<ValidationError>) {
    let mut all: Vec<_> = customers
        .iter()
        .flat_map(|c| c.digests.iter().map(move |d| (d, &c.id)))
        .collect();
    all.sort();
    for pair in all.windows(2).filter(|pair| pair[0].0 == pair[1].0) {
        let found = format_compact!("one digest at {:?} and {:?}", pair[0].1, pair[1].1);
        errors.push(ValidationError::new(
            "customers.digests",
            found,
            "each digest once",
        ));
    }
}

fn check_id(field: &str, id: &str, errors: &mut Vec<ValidationError>) {
    if !is_id(id) {
        let allowed = "1 to 64 of a-z, A-Z, 0-9, '-', '_' and '.'";
        errors.push(ValidationError::new(
            field,
            format_compact!("{id:?}"),
            allowed,
        ));
    }
}

/// Whether a string is a valid id in lists and settings.
pub fn is_id(id: &str) -> bool {
    let allowed = |b: u8| b.is_ascii_alphanumeric() || matches!(b, b'-' | b'_' | b'.');
    !id.is_empty() && id.len() <= 64 && id.bytes().all(allowed)
}

/// Accepted lists and their revision.
#[proc_macros::setting]
#[derive(Default)]
pub struct Accepted {
    /// Revision; 0 before the first lists.
    pub revision: Revision,
    /// The lists.
    pub lists: Lists,
}
