//! Weighted max-min fair division of a capacity.

/// What one claimant requests.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Claim {
    /// Weight relative to the other claims; must be positive.
    pub weight: f64,
    /// Most that it can use.
    pub demand: f64,
}

/// Divides `capacity` in proportion to the weights. No claim gets more than its demand, and what
/// one leaves goes to the others. Returns the parts in the order of the claims.
pub fn divide(claims: &[Claim], capacity: f64) -> Vec<f64> {
    let mut order: Vec<usize> = (0..claims.len()).collect();
    let level = |at: &usize| claims[*at].demand / claims[*at].weight;
    order.sort_by(|a, b| level(a).total_cmp(&level(b)));
    let mut parts = vec![0.0; claims.len()];
    let mut left = capacity.max(0.0);
    let mut weight: f64 = claims.iter().map(|claim| claim.weight).sum();
    for at in order {
        let claim = claims[at];
        // What is left of the sum of the weights may be rounded to nothing.
        let share = if weight > 0.0 {
            left * claim.weight / weight
        } else {
            left
        };
        let part = claim.demand.min(share);
        parts[at] = part;
        left = (left - part).max(0.0);
        weight -= claim.weight;
    }
    parts
}
