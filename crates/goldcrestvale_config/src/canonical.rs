//! JSON text that is the same for equal bodies.

use std::collections::BTreeMap;

use serde_json::{Map, Value};

/// Writes a body with the fields of every object in order of their names, without spaces.
pub(crate) fn canonical(body: &Map<String, Value>) -> String {
    let mut text = String::new();
    write_object(body, &mut text);
    text
}

fn write_object(object: &Map<String, Value>, text: &mut String) {
    // Map keeps insertion order if any crate in the build turns on `preserve_order`.
    let sorted: BTreeMap<_, _> = object.iter().collect();
    let mut before = '{';
    for (name, value) in sorted {
        text.push(before);
        before = ',';
        text.push_str(&Value::from(name.as_str()).to_string());
        text.push(':');
        write(value, text);
    }
    text.push_str(if before == '{' { "{}" } else { "}" });
}

fn write(value: &Value, text: &mut String) {
    match value {
        Value::Object(object) => write_object(object, text),
        Value::Array(items) => {
            text.push('[');
            for (index, item) in items.iter().enumerate() {
                if index > 0 {
                    text.push(',');
                }
                write(item, text);
            }
            text.push(']');
        }
        plain => text.push_str(&plain.to_string()),
    }
}
