//! Decides which entry instances are live and what they share.
