//! Storage of recorded answers: small bodies in the claim's row, large ones in the object store.

use std::fmt::Write;

use bytes::Bytes;
use cyclamengrade_control::claim::{self, Body};
use cyclamengrade_platform::Objects;

use super::Answer;

/// Maximum size in bytes of a body that is stored in the row.
const MAX_ROW_BODY_BYTES: usize = 32 << 10;

/// Converts an answer to the form of the row with this key. Returns `None` if its body cannot be
/// stored.
pub(super) async fn store(
    objects: &dyn Objects,
    key: &str,
    answer: Answer,
) -> Option<claim::Answer> {
    let Answer { status, content_type, body } = answer;
    let body = if body.len() > MAX_ROW_BODY_BYTES {
        // The key is hex-encoded because keys from callers may contain any characters.
        let object = format!("answers/{}", encode_hex(key.as_bytes()));
        objects.put_new(object.clone(), body).await.ok()?;
        Body::Object(object)
    } else {
        match String::from_utf8(body.into()) {
            Ok(text) => Body::Text(text),
            Err(error) => Body::Hex(encode_hex(error.as_bytes())),
        }
    };
    Some(claim::Answer { status, content_type, body })
}

/// Converts a recorded answer back. Returns `None` if its body cannot be read.
pub(super) async fn load(objects: &dyn Objects, answer: claim::Answer) -> Option<Answer> {
    let claim::Answer { status, content_type, body } = answer;
    let body = match body {
        Body::Text(text) => text.into(),
        Body::Hex(digits) => decode_hex(&digits)?,
        Body::Object(key) => objects.get(key).await.ok()??,
    };
    Some(Answer { status, content_type, body })
}

fn encode_hex(bytes: &[u8]) -> String {
    bytes.iter().fold(String::with_capacity(bytes.len() * 2), |mut digits, byte| {
        // Writing to a string cannot fail.
        let _ = write!(digits, "{byte:02x}");
        digits
    })
}

fn decode_hex(digits: &str) -> Option<Bytes> {
    let pairs = (0..digits.len()).step_by(2).map(|index| digits.get(index..index + 2));
    pairs.map(|pair| u8::from_str_radix(pair?, 16).ok()).collect::<Option<Vec<_>>>().map(Into::into)
}
