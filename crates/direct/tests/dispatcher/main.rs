//! Endpoint selection: single requests, cold endpoints, evacuated domains, and simulated overload.

mod choice;
mod cold;
mod fixture;
mod overload;
mod rate_limit;
mod rollout_orders;
