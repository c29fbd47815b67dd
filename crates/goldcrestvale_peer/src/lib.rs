//! Tasks that speak the protocol between entry instances.
