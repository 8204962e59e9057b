//! Values that the entry of an upstream can have.
//!
//! Other writers may leave entries in the list. An entry with a value that no upstream has names none.

use displaydoc::Display;

use crate::{fleet::is_vm_address, relay::selector::Upstream};

/// Largest number of slots. Each request takes a connection, and one vm can open at most as many
/// connections to an address as there are ports.
pub const MAX_SLOTS: u32 = 1 << 16;
/// Longest text, in bytes. The rows of the relays repeat such texts, and those that fit into a key of the
/// store leave room in them.
pub const MAX_TEXT_BYTES: usize = 200;

/// Why an entry names no upstream.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Flaw {
    /// its id is empty or cannot be sent in a header
    Id,
    /// its deployment is empty or longer than 200 bytes
    Deployment,
    /// its version is empty or longer than 200 bytes
    Version,
    /// its data centre is longer than 200 bytes
    DataCentre,
    /// its address is not that of one vm, or its port is 0
    Address,
    /// its number of slots is 0 or above 65536
    Slots,
}

impl std::error::Error for Flaw {}

/// Returns why the entry of an upstream names none, or `None` if it names one.
pub fn flaw(upstream: &Upstream) -> Option<Flaw> {
    let is_name = |text: &str| !text.is_empty() && text.len() <= MAX_TEXT_BYTES;
    if !is_name(&upstream.id) || !upstream.id.bytes().all(|byte| matches!(byte, b' '..=b'~')) {
        return Some(Flaw::Id);
    }
    if !is_name(&upstream.deployment) {
        return Some(Flaw::Deployment);
    }
    if !is_name(&upstream.version) {
        return Some(Flaw::Version);
    }
    if upstream.data_centre.len() > MAX_TEXT_BYTES {
        return Some(Flaw::DataCentre);
    }
    if !is_vm_address(upstream.address) {
        return Some(Flaw::Address);
    }
    match upstream.slots {
        Some(0) => Some(Flaw::Slots),
        Some(slots) if slots > MAX_SLOTS => Some(Flaw::Slots),
        Some(_) | None => None,
    }
}
