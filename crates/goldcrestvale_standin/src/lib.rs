//! Stand-ins for the platform, the engines and the services, for tests and measurement.
