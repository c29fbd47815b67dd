//! The protocol between entry instances: messages and framing.
