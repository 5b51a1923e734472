//! Which requests count as repeats of each other, and what of them servers get.

use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;
use conf::Team;
use entry::dialect::Native;
use entry::headers;
use entry::request::CallBody;
use entry::request::OutgoingRequest;
use entry::request::BUFFERED_MAX_BYTES;
use entry::Dialect;
use http::HeaderMap;
use http::Request;
use http_body_util::BodyExt;
use http_body_util::Full;
use net::budget::MemoryBudget;

const MAX_BODY: usize = 1 << 20;

fn outgoing<B: CallBody>(request: Request<B>, peer: &str) -> OutgoingRequest {
    let (parts, body) = request.into_parts();
    let peer: SocketAddr = peer.parse().unwrap();
    let budget = MemoryBudget::new(MAX_BODY);
    let outgoing = OutgoingRequest::new(parts, body, peer, MAX_BODY, &budget);
    let Ok(outgoing) = smol::block_on(outgoing) else {
        panic!("the request is valid");
    };
    outgoing
}

fn fingerprint(request: Request<&'static str>, peer: &str) -> u64 {
    let request = request.map(|body| Full::new(Bytes::from_static(body.as_bytes())));
    outgoing(request, peer).fingerprint()
}

/// Returns the request to servers of a call that `team` makes with `key`.
fn of_team<B: CallBody>(body: B, key: &str, team: Option<&str>) -> OutgoingRequest {
    let request = request("/a")
        .header(headers::KEY, key)
        .header(headers::TEAM, "forged")
        .header("connection", "snipepaddle-team")
        .body(body)
        .unwrap();
    let team = team.map(|name| Team {
        name: name.into(),
        keys: Vec::new(),
        rank: None,
        quota: None,
    });
    let dialect: Arc<dyn Dialect> = Arc::new(Native);
    let mut outgoing = outgoing(request, "10.0.0.1:1000");
    outgoing.set_team(team.as_ref(), &dialect);
    outgoing
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

#[test]
fn fingerprint_depends_on_the_team_and_not_on_its_key() {
    let of = |key, team| of_team(Full::new(Bytes::new()), key, team).fingerprint();
    assert_eq!(of("k1", Some("a")), of("k2", Some("a")));
    assert_ne!(of("k1", Some("a")), of("k1", Some("b")));
    assert_ne!(of("k1", Some("a")), of("k1", None));
    let plain = request("/a").body("").unwrap();
    assert_eq!(of("k1", None), fingerprint(plain, "10.0.0.1:1000"));
}

#[test]
fn set_team_replaces_what_the_caller_wrote_in_every_attempt() {
    for team in [Some("a"), Some("João"), None] {
        let mut outgoing = of_team(Full::new(Bytes::from_static(b"x")), "k", team);
        for _ in 0..2 {
            let request = outgoing.build().unwrap();
            let fields = request.headers();
            assert!(!fields.contains_key(headers::KEY));
            let teams: Vec<_> = fields.get_all(headers::TEAM).iter().collect();
            assert_eq!(teams, team.into_iter().collect::<Vec<_>>());
        }
    }
}

#[test]
fn set_team_removes_keys_and_teams_from_trailers() {
    let large = vec![0; BUFFERED_MAX_BYTES + 1];
    for size in [1, large.len()] {
        let mut trailers = HeaderMap::new();
        trailers.insert(headers::KEY, "k".parse().unwrap());
        trailers.insert(headers::TEAM, "forged".parse().unwrap());
        trailers.insert("x-sum", "1".parse().unwrap());
        let body = net::body::with_trailers(Bytes::copy_from_slice(&large[..size]), trailers);
        let mut outgoing = of_team(body, "k", Some("a"));
        let body = outgoing.build().unwrap().into_body();
        let collected = smol::block_on(body.collect()).unwrap();
        let left = collected.trailers().cloned().unwrap_or_default();
        assert!(!left.contains_key(headers::KEY), "{size}");
        assert!(!left.contains_key(headers::TEAM), "{size}");
        // A body that is buffered loses its trailers.
        assert_eq!(left.contains_key("x-sum"), size > 1);
        assert_eq!(collected.to_bytes().len(), size);
    }
}

#[test]
fn new_relayed_keeps_what_the_other_vm_reads() {
    let request = request("/a")
        .header("connection", "close, Snipepaddle-Key, idempotency-key")
        .header("connection", "host, x-hop, snipepaddle-team")
        .header(headers::KEY, "k")
        .header(headers::KEY, "k2")
        .header(headers::IDEMPOTENCY_KEY, "booking-17")
        .header(headers::TEAM, "forged")
        .header("x-hop", "1")
        .body(Full::new(Bytes::new()))
        .unwrap();
    let (parts, body) = request.into_parts();
    let peer: SocketAddr = "10.0.0.1:1000".parse().unwrap();
    let budget = MemoryBudget::new(MAX_BODY);
    let reading = OutgoingRequest::new_relayed(parts, body, peer, MAX_BODY, &budget, &Native);
    let Ok(mut outgoing) = smol::block_on(reading) else {
        panic!("the request is valid");
    };
    let request = outgoing.build().unwrap();
    let values = |name: &str| -> Vec<&[u8]> {
        let values = request.headers().get_all(name).iter();
        values.map(|value| value.as_bytes()).collect()
    };
    // Two keys are refused as those of a call that is not relayed.
    assert_eq!(values("snipepaddle-key"), [b"k".as_slice(), b"k2"]);
    assert_eq!(values("idempotency-key"), [b"booking-17"]);
    assert_eq!(values("host"), [b"a.example"]);
    for name in ["connection", "x-hop", "snipepaddle-team"] {
        assert!(values(name).is_empty(), "{name}");
    }
}
