//! A router for pipelines over mixed accelerators.
