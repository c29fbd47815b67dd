//! Decides which configuration is in force, from versioned records in the platform log.
