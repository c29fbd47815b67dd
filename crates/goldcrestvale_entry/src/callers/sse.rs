//! Server-sent events of a streamed draft.

use bytes::Bytes;
use serde::Serialize;

/// Formats one event.
pub(super) fn event(name: &str, id: Option<u32>, data: &impl Serialize) -> Bytes {
    let data = serde_json::to_string(data).unwrap_or_else(|_| "null".to_owned());
    let id = id.map(|id| format!("id: {id}\n")).unwrap_or_default();
    format!("event: {name}\n{id}data: {data}\n\n").into()
}
