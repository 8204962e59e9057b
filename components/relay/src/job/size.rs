//! Sizes of what relays write to the store, as it is written.

use std::io;

use serde::Serialize;

use crate::shared::Shared;

/// Largest size of each part of a key in the store, in bytes.
pub const MAX_KEY_BYTES: usize = 200;

/// Counts the bytes that are written to it.
#[derive(Default)]
struct Counter(usize);

impl io::Write for Counter {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.0 += bytes.len();
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Returns the number of bytes of a value in JSON, in which a character may take six. A value that cannot be
/// written has no size that fits.
pub fn encoded_bytes(value: &impl Serialize) -> usize {
    let mut counter = Counter::default();
    match serde_json::to_writer(&mut counter, value) {
        Ok(()) => counter.0,
        Err(_) => usize::MAX,
    }
}

/// Returns the largest size of a row's value in JSON, in bytes. Base64, in which the store gets it, adds a third.
pub const fn max_row_bytes(shared: &Shared) -> usize {
    shared.row_bytes / 4 * 3
}

/// Whether a value fits into a row.
pub fn fits_row(shared: &Shared, value: &impl Serialize) -> bool {
    encoded_bytes(value) <= max_row_bytes(shared)
}
