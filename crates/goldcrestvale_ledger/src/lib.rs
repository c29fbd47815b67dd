//! Decides claims of idempotency keys and leases, from records in the platform log.
