//! Stand-ins and helpers of the review's cases.

pub mod client;
pub mod record;
pub mod site;
pub mod store;
