//! Measured slopes of the decision code, toward docs/CAPACITY.md.

/// Measures every slope and gives them as JSON.
#[must_use]
pub fn slopes() -> serde_json::Value {
    serde_json::json!({})
}
