//! Canonical JSON: equal bodies give the same text.

use std::collections::BTreeMap;

use serde_json::{Map, Value};

/// Serializes a body without spaces, with the fields of every object sorted by name.
pub(crate) fn to_canonical_json(body: &Map<String, Value>) -> String {
    let mut text = String::new();
    write_object(body, &mut text);
    text
}

fn write_object(object: &Map<String, Value>, text: &mut String) {
    // Map keeps insertion order if any crate in the build enables `preserve_order`.
    let sorted: BTreeMap<_, _> = object.iter().collect();
    let mut separator = '{';
    for (name, value) in sorted {
        text.push(separator);
        separator = ',';
        text.push_str(&Value::from(name.as_str()).to_string());
        text.push(':');
        write_value(value, text);
    }
    text.push_str(if separator == '{' { "{}" } else { "}" });
}

fn write_value(value: &Value, text: &mut String) {
    match value {
        Value::Object(object) => write_object(object, text),
        Value::Array(items) => {
            text.push('[');
            for (index, item) in items.iter().enumerate() {
                if index > 0 {
                    text.push(',');
                }
                write_value(item, text);
            }
            text.push(']');
        }
        scalar => text.push_str(&scalar.to_string()),
    }
}
