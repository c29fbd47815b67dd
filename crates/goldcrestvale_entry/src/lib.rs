//! HTTP for callers and for operators.
