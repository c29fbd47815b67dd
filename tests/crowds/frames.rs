//! Frames of HTTP/2 that no library sends.

/// Opens a connection of HTTP/2.
const PREFACE: &[u8] = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n";

const DATA: u8 = 0x0;
const HEADERS: u8 = 0x1;
const SETTINGS: u8 = 0x4;

/// The head is complete with its frame.
const END_HEADERS: u8 = 0x4;

/// A field that is not added to the table of fields, with a name of its own.
const LITERAL: u8 = 0x0;

/// Streams of requests whose bodies stop short of their end.
#[derive(Debug, Clone)]
pub struct Frames {
    /// Number of streams.
    streams: usize,
    /// Number of further fields of each head, whose names and values have one byte.
    fields: usize,
    /// Number of frames of each body, which have one byte.
    data: usize,
}

impl Frames {
    /// Creates streams without bodies.
    pub fn new(streams: usize) -> Self {
        Self { streams, fields: 0, data: 0 }
    }

    /// Adds fields of one byte to each head.
    pub fn with_fields(self, fields: usize) -> Self {
        Self { fields, ..self }
    }

    /// Adds frames of one byte to each body.
    pub fn with_data(self, data: usize) -> Self {
        Self { data, ..self }
    }

    /// Returns the bytes to send, for the request that a head of HTTP/1.1 describes.
    pub fn bytes(&self, head: &str) -> Vec<u8> {
        let fields = self.encode_fields(head);
        let mut bytes = PREFACE.to_vec();
        write_frame(&mut bytes, SETTINGS, 0, 0, &[]);
        let streams = (0..self.streams as u32).map(|stream| 2 * stream + 1);
        for stream in streams.clone() {
            write_frame(&mut bytes, HEADERS, END_HEADERS, stream, &fields);
        }
        for stream in streams {
            for _ in 0..self.data {
                write_frame(&mut bytes, DATA, 0, stream, b"b");
            }
        }
        bytes
    }

    fn encode_fields(&self, head: &str) -> Vec<u8> {
        let mut lines = head.lines();
        let mut first = lines.next().unwrap_or_default().split(' ');
        let mut fields = Vec::new();
        write_field(&mut fields, ":method", first.next().unwrap_or_default());
        write_field(&mut fields, ":path", first.next().unwrap_or_default());
        write_field(&mut fields, ":scheme", "http");
        for (name, value) in lines.filter_map(|line| line.split_once(": ")) {
            write_field(&mut fields, if name == "host" { ":authority" } else { name }, value);
        }
        for _ in 0..self.fields {
            write_field(&mut fields, "x", "y");
        }
        fields
    }
}

/// Writes a field whose name and value are shorter than 127 bytes.
fn write_field(bytes: &mut Vec<u8>, name: &str, value: &str) {
    bytes.push(LITERAL);
    for text in [name, value] {
        assert!(text.len() < 127, "{text} is too long");
        bytes.push(text.len() as u8);
        bytes.extend_from_slice(text.as_bytes());
    }
}

fn write_frame(bytes: &mut Vec<u8>, kind: u8, flags: u8, stream: u32, payload: &[u8]) {
    bytes.extend_from_slice(&(payload.len() as u32).to_be_bytes()[1..]);
    bytes.extend_from_slice(&[kind, flags]);
    bytes.extend_from_slice(&stream.to_be_bytes());
    bytes.extend_from_slice(payload);
}
