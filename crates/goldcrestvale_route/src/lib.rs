//! Decides stage chains, choice of upstream, admission, retries and recovery.
