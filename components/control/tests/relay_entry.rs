//! Tests of the values that the entry of an upstream can have.
#![allow(clippy::unwrap_used)]

use cyclamengrade_control::relay::{
    entry::{self, Flaw, MAX_SLOTS, MAX_TEXT_BYTES},
    selector::Upstream,
};
use googletest::prelude::*;

fn upstream() -> Upstream {
    Upstream {
        id: "u-1".into(),
        deployment: "chat".into(),
        address: "127.0.0.1:1".parse().unwrap(),
        data_centre: "a".into(),
        version: "v1".into(),
        slots: Some(8),
        leaving: false,
        born: None,
    }
}

fn flaw_at(address: &str) -> Option<Flaw> {
    entry::flaw(&Upstream { address: address.parse().unwrap(), ..upstream() })
}

/// Guards against upstreams that are refused although their entries are in order.
#[gtest]
fn sound() {
    expect_that!(entry::flaw(&upstream()), none());
    for slots in [None, Some(1), Some(MAX_SLOTS)] {
        expect_that!(entry::flaw(&Upstream { slots, ..upstream() }), none());
    }
    let longest = "x".repeat(MAX_TEXT_BYTES);
    let deployment = longest.clone();
    expect_that!(entry::flaw(&Upstream { deployment, ..upstream() }), none());
    expect_that!(entry::flaw(&Upstream { data_centre: String::new(), ..upstream() }), none());
    for address in ["10.128.0.9:65535", "[fd00::1]:80", "[::1]:1"] {
        expect_that!(flaw_at(address), none(), "{address}");
    }
}

/// Guards against requests to addresses that are not those of one upstream.
#[gtest]
fn addresses() {
    for address in [
        "127.0.0.1:0",
        "0.0.0.0:80",
        "224.0.0.1:80",
        "255.255.255.255:80",
        "[::]:80",
        "[ff02::1]:80",
    ] {
        expect_that!(flaw_at(address), some(eq(Flaw::Address)), "{address}");
    }
}

/// Guards against numbers of slots with which an upstream gets no request, or those of all others.
#[gtest]
fn slots() {
    for slots in [0, MAX_SLOTS + 1, u32::MAX] {
        let upstream = Upstream { slots: Some(slots), ..upstream() };
        expect_that!(entry::flaw(&upstream), some(eq(Flaw::Slots)), "{slots}");
    }
}

/// Guards against texts that are missing, that no header can hold, or that fill the rows and logs of the
/// relays.
#[gtest]
fn texts() {
    let too_long = "x".repeat(MAX_TEXT_BYTES + 1);
    for text in ["", too_long.as_str()] {
        let text = || text.to_owned();
        expect_that!(entry::flaw(&Upstream { id: text(), ..upstream() }), some(eq(Flaw::Id)));
        let deployment = Upstream { deployment: text(), ..upstream() };
        expect_that!(entry::flaw(&deployment), some(eq(Flaw::Deployment)));
        expect_that!(
            entry::flaw(&Upstream { version: text(), ..upstream() }),
            some(eq(Flaw::Version))
        );
    }
    for id in ["caf\u{e9}", "line\nfeed", "\u{7f}"] {
        expect_that!(entry::flaw(&Upstream { id: id.into(), ..upstream() }), some(eq(Flaw::Id)));
    }
    let centre = Upstream { data_centre: too_long, ..upstream() };
    expect_that!(entry::flaw(&centre), some(eq(Flaw::DataCentre)));
}
