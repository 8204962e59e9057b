//! Bodies of recorded answers.

use std::fmt::Write;

use bytes::Bytes;
use cyclamengrade_control::claim::{self, Body};
use cyclamengrade_platform::Objects;

use super::Answer;

/// Largest body that is kept in the row, in bytes; larger ones go to the object store.
const ROW_BYTES: usize = 32 << 10;

/// Puts an answer into the form of a row; `None` when its body cannot be stored.
pub(super) async fn store(
    objects: &dyn Objects,
    key: &str,
    answer: Answer,
) -> Option<claim::Answer> {
    let Answer { status, content_type, body } = answer;
    let body = if body.len() > ROW_BYTES {
        // As digits, because keys of callers may contain anything.
        let object = format!("answers/{}", hex(key.as_bytes()));
        objects.put_new(object.clone(), body).await.ok()?;
        Body::Object(object)
    } else {
        match String::from_utf8(body.into()) {
            Ok(text) => Body::Text(text),
            Err(error) => Body::Hex(hex(error.as_bytes())),
        }
    };
    Some(claim::Answer { status, content_type, body })
}

/// Reads an answer back; `None` when its body cannot be read.
pub(super) async fn read(objects: &dyn Objects, answer: claim::Answer) -> Option<Answer> {
    let claim::Answer { status, content_type, body } = answer;
    let body = match body {
        Body::Text(text) => text.into(),
        Body::Hex(digits) => bytes(&digits)?,
        Body::Object(key) => objects.get(key).await.ok()??,
    };
    Some(Answer { status, content_type, body })
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().fold(String::with_capacity(bytes.len() * 2), |mut digits, byte| {
        // Writing to a string cannot fail.
        let _ = write!(digits, "{byte:02x}");
        digits
    })
}

fn bytes(digits: &str) -> Option<Bytes> {
    let pairs = (0..digits.len()).step_by(2).map(|index| digits.get(index..index + 2));
    pairs.map(|pair| u8::from_str_radix(pair?, 16).ok()).collect::<Option<Vec<_>>>().map(Into::into)
}
