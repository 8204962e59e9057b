//! Tests of HTTP/1 framing for byte streams that are split at arbitrary points.

use cyclamengrade_control::relay::framing::{AmbiguousLength, Framing};
use googletest::prelude::*;
use rand::{RngExt, SeedableRng, rngs::StdRng};

/// Valid requests that cover every way to state the length of a body.
const VALID: &[u8] = b"\r\nPOST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 7\r\n\r\nab\r\n\r\nc\
    GET /b HTTP/1.1\r\nHost: h\r\n\r\n\
    POST /c HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\n3;name=value\r\na\r\n\r\nA\r\n0123456789\r\n\
    0\r\nTrailer: content-length: 3\r\n\r\n\
    POST /d HTTP/1.1\r\nContent-Length: 0\r\n\r\n\
    POST /e HTTP/1.1\nContent-Length: 3\n\nabc";

/// Requests with both a `Content-Length` and a `Transfer-Encoding`.
const TWO_LENGTHS: [&[u8]; 3] = [
    b"POST /f HTTP/1.1\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
    b"POST /f HTTP/1.1\r\ntransfer-encoding:\tchunked\r\nHost: h\r\nCONTENT-LENGTH: 5\r\n\r\n",
    b"POST /f HTTP/1.1\r\nContent-Length:0\r\nTransfer-Encoding:chunked\r\n\r\n",
];

/// Pushes the bytes in pieces of random lengths. Returns the framing and, for a request with an
/// ambiguous length, the number of valid bytes before it.
fn push(random: &mut StdRng, bytes: &[u8]) -> (Framing, std::result::Result<(), usize>) {
    let mut framing = Framing::new();
    let mut done = 0;
    while done < bytes.len() {
        let max_length = if random.random() { 3 } else { 200 };
        let end = bytes.len().min(done + random.random_range(1..=max_length));
        if let Err(AmbiguousLength(valid)) = framing.push(&bytes[done..end]) {
            return (framing, Err(done + valid));
        }
        done = end;
    }
    (framing, Ok(()))
}

/// Guards against valid requests that are refused, and against a head that seems incomplete because
/// the end of a body was missed.
#[gtest]
fn sound() {
    let mut random = StdRng::seed_from_u64(1);
    for _ in 0..2_000 {
        let (framing, result) = push(&mut random, VALID);
        expect_that!(result, ok(eq(())));
        expect_that!(framing.is_in_head(), eq(false));
    }
}

/// Guards against request smuggling: a request with two lengths must not reach an upstream, and the
/// valid requests before it must not be truncated.
#[gtest]
fn two_lengths() {
    let mut random = StdRng::seed_from_u64(2);
    for request in TWO_LENGTHS {
        let bytes = [VALID, request].concat();
        for _ in 0..500 {
            let (_, result) = push(&mut random, &bytes);
            let valid = result.expect_err("a request with two lengths must be rejected");
            expect_that!(valid, ge(VALID.len()));
            expect_that!(valid, lt(bytes.len()));
        }
    }
}

/// Guards against a caller that occupies a connection with an incomplete head: the head must be
/// reported from its first byte to its end.
#[gtest]
fn incomplete_head() {
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
