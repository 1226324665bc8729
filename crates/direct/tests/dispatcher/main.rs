//! Endpoint selection: single requests, cold endpoints, evacuated domains, and simulated overload.

mod choice;
mod cold;
mod fair_shares;
mod fixture;
mod overload;
mod peer_rollouts;
mod rate_limit;
mod rollout_orders;
mod withdrawn;
