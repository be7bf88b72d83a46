//! Leases, orders to engines, scaling and reclaims.
