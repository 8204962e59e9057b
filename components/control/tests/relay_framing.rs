//! Requests in the bytes of a connection, however these are cut.

use cyclamengrade_control::relay::framing::{AmbiguousLength, Framing};
use googletest::prelude::*;
use rand::{RngExt, SeedableRng, rngs::StdRng};

/// Requests with every way to state a length, one after another.
const SOUND: &[u8] = b"\r\nPOST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 7\r\n\r\nab\r\n\r\nc\
    GET /b HTTP/1.1\r\nHost: h\r\n\r\n\
    POST /c HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\n3;name=value\r\na\r\n\r\nA\r\n0123456789\r\n\
    0\r\nTrailer: content-length: 3\r\n\r\n\
    POST /d HTTP/1.1\r\nContent-Length: 0\r\n\r\n\
    POST /e HTTP/1.1\nContent-Length: 3\n\nabc";

const TWICE: [&[u8]; 3] = [
    b"POST /f HTTP/1.1\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
    b"POST /f HTTP/1.1\r\ntransfer-encoding:\tchunked\r\nHost: h\r\nCONTENT-LENGTH: 5\r\n\r\n",
    b"POST /f HTTP/1.1\r\nContent-Length:0\r\nTransfer-Encoding:chunked\r\n\r\n",
];

/// Takes the bytes over in pieces of random lengths.
fn push(random: &mut StdRng, bytes: &[u8]) -> (Framing, std::result::Result<(), usize>) {
    let mut framing = Framing::new();
    let mut done = 0;
    while done < bytes.len() {
        let most = if random.random() { 3 } else { 200 };
        let end = bytes.len().min(done + random.random_range(1..=most));
        if let Err(AmbiguousLength(usable)) = framing.push(&bytes[done..end]) {
            return (framing, Err(done + usable));
        }
        done = end;
    }
    (framing, Ok(()))
}

/// Guards against sound requests that are refused, and against a head that seems to stall because
/// the end of a body was missed.
#[gtest]
fn sound() {
    let mut random = StdRng::seed_from_u64(1);
    for _ in 0..2_000 {
        let (framing, result) = push(&mut random, SOUND);
        expect_that!(result, ok(eq(())));
        expect_that!(framing.is_in_head(), eq(false));
    }
}

/// Guards against a request that states its length twice and reaches an upstream, and against sound
/// requests before it that are cut.
#[gtest]
fn stated_twice() {
    let mut random = StdRng::seed_from_u64(2);
    for twice in TWICE {
        let bytes = [SOUND, twice].concat();
        for _ in 0..500 {
            let (_, result) = push(&mut random, &bytes);
            let usable = result.expect_err("the request states its length twice");
            expect_that!(usable, ge(SOUND.len()));
            expect_that!(usable, lt(bytes.len()));
        }
    }
}

/// Guards against a caller that holds a connection with a head that never ends.
#[gtest]
fn begun_head() {
    let mut framing = Framing::new();
    for (bytes, is_in_head) in [
        (&b"\r\n"[..], false),
        (b"P", true),
        (b"OST /a HTTP/1.1\r\n", true),
        (b"Content-Length: 2\r\n", true),
        (b"\r\n", false),
        (b"ab", false),
        (b"GET /b HTTP/1.1\r\n\r\n", false),
    ] {
        expect_that!(framing.push(bytes), ok(eq(())));
        expect_that!(framing.is_in_head(), eq(is_in_head));
    }
}
