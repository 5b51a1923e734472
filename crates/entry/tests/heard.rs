//! The field in which a VM tells another one what servers asked for in a relayed call.

use std::time::Duration;

use base::Time;
use entry::headers;
use entry::heard::set_denied;
use entry::heard::take_field;
use entry::heard::Heard;
use entry::heard::ServerWish;
use entry::heard::Wish;
use http::header;
use http::HeaderMap;
use route::notices::Notice;

const NOW: Time = Time::from_secs(1000);
const SECOND: Duration = Duration::from_secs(1);
const LEAVING: Wish = Wish::Notice(Notice::Leaving);
const REST: Wish = Wish::Notice(Notice::Rest(Duration::from_secs(2)));
const SERVER: u64 = 0xfedc_ba98_7654_3210;

/// Returns the fields of the response to a relayed call `after` servers had these wishes.
fn response(wishes: &[(u64, Wish)], after: Duration) -> HeaderMap {
    let heard = Heard::of_relayed(&HeaderMap::new());
    for (server, wish) in wishes {
        heard.add(*server, *wish, NOW);
    }
    let mut fields = HeaderMap::new();
    heard.set_field(&mut fields, NOW + after);
    fields
}

#[test]
fn take_field_returns_the_wishes_of_all_attempts() {
    let sent = [
        (SERVER, LEAVING),
        (2, REST),
        (3, Wish::Interval(SECOND / 4)),
        (4, Wish::Interval(Duration::MAX)),
    ];
    let mut fields = response(&sent, Duration::ZERO);
    let taken = take_field(&mut fields);
    let expected = |(server, wish): &(u64, Wish)| ServerWish {
        server: *server,
        wish: *wish,
    };
    assert_eq!(taken[..3], sent.each_ref().map(expected)[..3]);
    // A rate of zero stays one that is next to none.
    assert!(matches!(taken[3].wish, Wish::Interval(time) if time > SECOND * 3600));
    assert!(!fields.contains_key(headers::HEARD));
}

#[test]
fn set_field_states_what_is_left_of_a_rest() {
    let sent = [(1, REST), (2, Wish::Notice(Notice::Rest(SECOND)))];
    let left = ServerWish {
        server: 1,
        wish: Wish::Notice(Notice::Rest(SECOND / 2)),
    };
    let mut fields = response(&sent, SECOND * 3 / 2);
    assert_eq!(take_field(&mut fields), [left]);
    assert!(response(&sent, SECOND * 2).is_empty());
}

#[test]
fn set_field_adds_nothing_if_the_call_is_not_relayed_or_nothing_was_heard() {
    assert!(response(&[], SECOND).is_empty());
    let heard = Heard::default();
    heard.add(SERVER, LEAVING, NOW);
    let mut fields = HeaderMap::new();
    heard.set_field(&mut fields, NOW);
    assert!(fields.is_empty());
}

#[test]
fn take_field_ignores_and_removes_what_a_server_has_written() {
    let sent = response(&[(SERVER, LEAVING)], SECOND);
    // Old builds remove the field that `connection` lists, from servers as well as from VMs.
    let mut listed = sent.clone();
    headers::strip_hop_by_hop(&mut listed);
    assert!(listed.is_empty());
    // They pass on one that it does not list.
    let mut forged = sent;
    forged.insert(header::CONNECTION, "keep-alive".parse().unwrap());
    let mut own = forged.clone();
    headers::strip_reserved(&mut own);
    assert!(!own.contains_key(headers::HEARD));
    assert_eq!(take_field(&mut forged), []);
    assert_eq!(forged.len(), 1);
}

#[test]
fn take_field_skips_wishes_that_it_does_not_know() {
    let mut fields = response(&[(SERVER, LEAVING)], SECOND);
    let known = fields[headers::HEARD].to_str().unwrap();
    let text = format!("1=sleeps:5, x=leaving, 2=rest, 3=rest:-1, =, {known}, 4");
    fields.insert(headers::HEARD, text.parse().unwrap());
    let wish = LEAVING;
    let server = SERVER;
    assert_eq!(take_field(&mut fields), [ServerWish { server, wish }]);
}

#[test]
fn set_denied_names_servers_to_a_vm_that_takes_no_field_of_a_caller() {
    let ids: Vec<u64> = (0..200).map(|n| SERVER + n).collect();
    let mut fields = HeaderMap::new();
    set_denied(&mut fields, &ids);
    assert_eq!(Heard::of_relayed(&fields).denied(), &ids[..128]);
    fields.remove(header::CONNECTION);
    assert!(Heard::of_relayed(&fields).denied().is_empty());
    headers::strip_reserved(&mut fields);
    assert!(fields.is_empty());
    set_denied(&mut fields, &[]);
    assert!(fields.is_empty());
}
