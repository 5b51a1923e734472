//! Which requests count as repeats of each other.

use std::net::SocketAddr;

use bytes::Bytes;
use entry::request::OutgoingRequest;
use http::Request;
use http_body_util::Full;
use net::budget::MemoryBudget;

const MAX_BODY: usize = 1 << 20;

fn fingerprint(request: Request<&'static str>, peer: &str) -> u64 {
    let (parts, body) = request.into_parts();
    let peer: SocketAddr = peer.parse().unwrap();
    let body = Full::new(Bytes::from_static(body.as_bytes()));
    let budget = MemoryBudget::new(MAX_BODY);
    let outgoing = OutgoingRequest::new(parts, body, peer, MAX_BODY, &budget);
    let Ok(outgoing) = smol::block_on(outgoing) else {
        panic!("the request is valid");
    };
    outgoing.fingerprint()
}

fn request(path: &str) -> http::request::Builder {
    Request::post(path).header("host", "a.example")
}

#[test]
fn fingerprint_is_that_of_a_repeat_at_another_vm_or_from_another_address() {
    let first = request("/a?b=c").header("x-id", "1").body("x").unwrap();
    let second = request("/a?b=c").header("x-id", "2").body("x").unwrap();
    assert_eq!(
        fingerprint(first, "10.0.0.1:1000"),
        fingerprint(second, "10.1.0.2:2000")
    );
}

#[test]
fn fingerprint_differs_between_requests() {
    let requests = [
        request("/a?b=c").body("x").unwrap(),
        request("/a?b=d").body("x").unwrap(),
        request("/a?b=c").body("y").unwrap(),
        request("/a?b=c").method("PUT").body("x").unwrap(),
        Request::post("/a?b=c")
            .header("host", "b.example")
            .body("x")
            .unwrap(),
        request("/a?b=c")
            .header("authorization", "z")
            .body("x")
            .unwrap(),
        request("/a?b=c").header("cookie", "z").body("x").unwrap(),
    ];
    let mut all: Vec<u64> = requests
        .into_iter()
        .map(|request| fingerprint(request, "10.0.0.1:1000"))
        .collect();
    let count = all.len();
    all.sort_unstable();
    all.dedup();
    assert_eq!(all.len(), count);
}
