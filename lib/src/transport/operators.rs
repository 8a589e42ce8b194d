//! The HTTP interface for operators.

use rocket::Route;

/// Returns all routes for operators.
pub(crate) fn routes() -> Vec<Route> {
    Vec::new()
}
