//! Datagrams round-trip, and only those that a shared key signed are accepted.

use base::Class;
use route::epoch::Epoch;
use route::keys::KeyClaim;
use route::msg::AttemptKind;
use route::msg::Body;
use route::msg::PermitRequest;
use route::rollout::RolloutMsg;
use wire::datagram;
use wire::datagram::Datagram;
use wire::datagram::Error;
use wire::KeyMsg;
use wire::Keyring;
use wire::Msg;

fn keys(first: u8, second: u8) -> Keyring {
    Keyring::new(vec![[first; 32], [second; 32]])
}

fn acquire(call: u64) -> Msg {
    let ask = PermitRequest {
        class: Class::Critical,
        left: std::time::Duration::from_millis(call % 1000),
        goal: std::time::Duration::from_millis(call % 1000),
        late_wait: std::time::Duration::from_millis(call % 1000) / 8,
        kind: AttemptKind::First,
        avoid: vec![call, 1],
        domain: 3,
        ranking: None,
    };
    let epoch = Epoch { count: 2, home: 9 };
    Msg::Route(route::Msg {
        shard: 5,
        body: Body::Acquire { epoch, call, ask },
    })
}

#[test]
fn ranked_requests_are_read_and_travel_apart() {
    let Msg::Route(route::Msg { shard, body }) = acquire(3) else {
        unreachable!();
    };
    let Body::Acquire { epoch, call, ask } = body else {
        unreachable!();
    };
    let ranking = Box::new(route::msg::Ranking {
        rank: 4,
        team: 5,
        work: std::time::Duration::from_millis(6),
        target: std::time::Duration::from_millis(7),
    });
    let body = Body::AcquireRanked {
        epoch,
        call,
        ask,
        ranking,
    };
    let msg = Msg::Route(route::Msg { shard, body });
    assert!(msg.is_recent() && !acquire(3).is_recent());
    let mut datagram = Datagram::new(7);
    datagram.add(&msg);
    let bytes = datagram.seal(&keys(1, 2));
    let (_, opened) = datagram::open(&bytes, &keys(1, 2)).unwrap();
    assert_eq!(opened, [msg]);
}

#[test]
fn open_returns_added_messages() {
    cases::check::<Vec<u64>>(500, |calls| {
        let msgs: Vec<Msg> = calls.iter().map(|call| acquire(*call)).collect();
        let mut datagram = Datagram::new(7);
        let added = msgs.iter().take_while(|msg| datagram.add(msg)).count();
        let bytes = datagram.seal(&keys(1, 2));
        assert!(bytes.len() <= datagram::BATCH_MAX_BYTES);
        let (from, opened) = datagram::open(&bytes, &keys(1, 2)).unwrap();
        assert_eq!(from, 7);
        assert_eq!(opened, msgs[..added]);
    });
}

#[test]
fn quota_messages_are_recent_and_round_trip() {
    let body = route::quota::QuotaBody::Delegate {
        instance: 7,
        stamp: std::time::Duration::from_millis(3),
        share: 0.0125,
        waits: true,
        age: std::time::Duration::from_millis(1200),
        unused: std::time::Duration::from_millis(700),
        credit: 0.0,
    };
    let msg = Msg::Quota(route::quota::QuotaMsg { lane: 1, body });
    assert!(msg.is_recent());
    assert!(!acquire(1).is_recent());
    let mut datagram = Datagram::new(7);
    assert!(datagram.add(&msg));
    let opened = datagram::open(&datagram.seal(&keys(1, 2)), &keys(1, 2));
    assert_eq!(opened, Ok((7, vec![msg])));
}

#[test]
fn rollouts_are_unknown_to_the_build_in_production() {
    let entry = Msg::Rollout(RolloutMsg::Entry(vec![1, 2, 3]));
    assert!(entry.is_recent());
    assert!(!acquire(1).is_recent());
    let mut datagram = Datagram::new(7);
    datagram.add(&entry);
    let bytes = datagram.seal(&keys(1, 2));
    assert_eq!(datagram::open(&bytes, &keys(1, 2)), Ok((7, vec![entry])));
}

#[test]
fn open_tampered_or_foreign_datagram() {
    let mut datagram = Datagram::new(7);
    datagram.add(&acquire(1));
    let bytes = datagram.seal(&keys(1, 2));
    assert_eq!(
        datagram::open(&bytes, &keys(3, 4)),
        Err(Error::BadSignature)
    );
    for index in 0..bytes.len() {
        let mut tampered = bytes.clone();
        tampered[index] ^= 1;
        assert_eq!(
            datagram::open(&tampered, &keys(1, 2)),
            Err(Error::BadSignature)
        );
    }
}

#[test]
fn open_arbitrary_bytes_without_panic() {
    let keys = keys(1, 2);
    cases::check_bytes(5000, 4096, |bytes: &[u8]| {
        let _ = datagram::open(bytes, &keys);
        let mut signed = keys.sign(bytes).to_vec();
        signed.extend_from_slice(bytes);
        let _ = datagram::open(&signed, &keys);
    });
}

#[test]
fn verify_at_each_step_of_key_rotation() {
    let steps = [
        (keys(1, 1), keys(1, 2)),
        (keys(1, 2), keys(2, 1)),
        (keys(2, 1), keys(2, 2)),
    ];
    for (before, after) in steps {
        assert!(after.verify(b"text", &before.sign(b"text")));
        assert!(before.verify(b"text", &after.sign(b"text")));
    }
}

#[test]
fn add_oversized_message_alone() {
    let mut datagram = Datagram::new(7);
    let msg = Msg::Key(KeyMsg::Forget(KeyClaim { key: 1, call: 2 }));
    assert!(datagram.add(&msg));
    let mut oversized = acquire(1);
    if let Msg::Route(route::Msg {
        body: Body::Acquire { ask, .. },
        ..
    }) = &mut oversized
    {
        ask.avoid = (0..1000).map(|n| u64::MAX - n).collect();
    }
    assert!(!datagram.add(&oversized));
    let mut alone = Datagram::new(7);
    assert!(alone.add(&oversized));
    let bytes = alone.seal(&keys(1, 2));
    let (_, opened) = datagram::open(&bytes, &keys(1, 2)).unwrap();
    assert_eq!(opened, [oversized]);
}
