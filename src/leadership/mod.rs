//! Election, peers and their heartbeats, delegated lease renewal, format negotiation and budget shares.

pub mod budget_shares;
pub mod connectivity;
pub mod delegated_renewal;
pub mod election;
pub mod format_negotiation;
pub mod peers;
