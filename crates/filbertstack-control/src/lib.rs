//! The replicated control state: declarations, placements, orders and claims.
