//! What servers ask for, between a VM that relays a call and the VM that makes the attempts.
//!
//! The relaying VM names in its request the servers that want no calls of it. The other one
//! reports in its response what the servers of the attempts asked for, and the relaying VM
//! records it as if it had heard the servers itself. Both fields belong to the connection
//! between the two VMs (RFC 9110, section 7.6.1), so VMs that don't know them remove them, and
//! those that a caller or a server has written are not taken. See
//! `docs/design/partitions.md`.

use std::fmt;
use std::str::FromStr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use base::ServerId;
use base::Time;
use http::header;
use http::header::HeaderName;
use http::HeaderMap;
use http::HeaderValue;
use route::notices::Notice;

use crate::headers;
use crate::ports::Ports;

/// The most servers that a request names: the head has to stay small. So many want no calls
/// only if hardly any does.
const DENIED_MAX: usize = 128;

/// What a server asks for in a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Wish {
    /// That it gets no calls.
    Notice(Notice),
    /// A call of all VMs together in each such time at most.
    Interval(Duration),
}

/// The wish of one server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ServerWish {
    /// The server. One that starts again under its name has another id.
    pub server: ServerId,
    /// What it asks for.
    pub wish: Wish,
}

/// Why a wish cannot be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UnknownWish;

impl ServerWish {
    /// Records this at the VM that takes account of it.
    pub fn record(self, ports: &dyn Ports) {
        match self.wish {
            Wish::Notice(notice) => ports.note_server(self.server, notice),
            Wish::Interval(interval) => ports.note_rate(self.server, interval),
        }
    }

    /// Returns what is left of this after `elapsed`; none if a rest is over.
    fn after(self, elapsed: Duration) -> Option<Self> {
        let Wish::Notice(Notice::Rest(delay)) = self.wish else {
            return Some(self);
        };
        let left = delay.saturating_sub(elapsed);
        let wish = Wish::Notice(Notice::Rest(left));
        (!left.is_zero()).then_some(Self { wish, ..self })
    }
}

impl fmt::Display for ServerWish {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let server = self.server;
        match self.wish {
            Wish::Notice(Notice::Leaving) => write!(f, "{server:x}=leaving"),
            Wish::Notice(Notice::Rest(delay)) => write!(f, "{server:x}=rest:{}", micros(delay)),
            Wish::Interval(interval) => write!(f, "{server:x}=interval:{}", micros(interval)),
        }
    }
}

impl FromStr for ServerWish {
    type Err = UnknownWish;

    fn from_str(text: &str) -> Result<Self, UnknownWish> {
        let (server, wish) = text.split_once('=').ok_or(UnknownWish)?;
        let server = ServerId::from_str_radix(server, 16).map_err(|_| UnknownWish)?;
        let (name, micros) = wish.split_once(':').unwrap_or((wish, ""));
        let time = || micros.parse().map(Duration::from_micros);
        let wish = match name {
            "leaving" => Wish::Notice(Notice::Leaving),
            "rest" => Wish::Notice(Notice::Rest(time().map_err(|_| UnknownWish)?)),
            "interval" => Wish::Interval(time().map_err(|_| UnknownWish)?),
            _ => return Err(UnknownWish),
        };
        Ok(Self { server, wish })
    }
}

fn micros(time: Duration) -> u64 {
    u64::try_from(time.as_micros()).unwrap_or(u64::MAX)
}

/// What the servers of one call have asked for. Only that of a relayed call is kept.
///
/// All attempts of the call share it, since a retry or a hedge may respond to the caller in
/// place of the server that asked.
#[derive(Clone, Debug, Default)]
pub struct Heard(Option<Arc<Relayed>>);

/// What is known of a relayed call.
#[derive(Debug, Default)]
struct Relayed {
    /// The servers that want no calls of the VM that relayed the call.
    denied: Vec<ServerId>,
    wishes: Mutex<Vec<(ServerWish, Time)>>,
}

impl Heard {
    /// Creates the empty list of a call that another VM relayed with these fields. Has to be
    /// called before the `connection` field is removed.
    pub fn of_relayed(fields: &HeaderMap) -> Self {
        let denied = parse_list(own_text(fields, &headers::DENIED), |text| {
            ServerId::from_str_radix(text, 16).ok()
        });
        let wishes = Mutex::default();
        Self(Some(Arc::new(Relayed { denied, wishes })))
    }

    /// Returns the servers that want no calls of the VM that relayed the call.
    pub fn denied(&self) -> &[ServerId] {
        self.0.as_ref().map_or(&[], |relayed| &relayed.denied)
    }

    /// Adds the `wish` of `server`, which it sent at `now`.
    pub fn add(&self, server: ServerId, wish: Wish, now: Time) {
        if let Some(relayed) = &self.0 {
            lock(&relayed.wishes).push((ServerWish { server, wish }, now));
        }
    }

    /// Adds the field for the VM that relayed the call to its response.
    pub fn set_field(&self, fields: &mut HeaderMap, now: Time) {
        let Some(relayed) = &self.0 else {
            return;
        };
        let left: Vec<String> = lock(&relayed.wishes)
            .iter()
            .filter_map(|(wish, at)| wish.after(now.saturating_sub(*at)))
            .map(|wish| wish.to_string())
            .collect();
        set_own(fields, headers::HEARD, &left);
    }
}

/// Adds the field with the `denied` servers to a request for the VM that makes the attempts.
pub fn set_denied(fields: &mut HeaderMap, denied: &[ServerId]) {
    let ids = denied.iter().take(DENIED_MAX);
    let ids: Vec<String> = ids.map(|server| format!("{server:x}")).collect();
    set_own(fields, headers::DENIED, &ids);
}

/// Removes the field from a response of the VM to which a call was relayed, before its
/// `connection` field is removed, and returns what it says.
///
/// A field that is not of this connection is a server's, which a VM that doesn't know the
/// field has passed on. Such a field says nothing, and neither do wishes of newer VMs.
pub fn take_field(fields: &mut HeaderMap) -> Vec<ServerWish> {
    let wishes = parse_list(own_text(fields, &headers::HEARD), |text| text.parse().ok());
    fields.remove(headers::HEARD);
    wishes
}

/// Sets the field `name` of the connection to `items`, if there are any.
fn set_own(fields: &mut HeaderMap, name: HeaderName, items: &[String]) {
    if items.is_empty() {
        return;
    }
    if let Ok(value) = HeaderValue::from_str(&items.join(", ")) {
        fields.insert(&name, value);
        fields.append(header::CONNECTION, name.into());
    }
}

/// Returns the value of the field `name` if `connection` lists it.
fn own_text<'a>(fields: &'a HeaderMap, name: &HeaderName) -> &'a str {
    let listed = headers::listed_in_connection(fields).contains(name);
    let value = fields.get(name).filter(|_| listed);
    let text = value.and_then(|value| value.to_str().ok());
    text.unwrap_or_default()
}

fn parse_list<T>(text: &str, parse: impl Fn(&str) -> Option<T>) -> Vec<T> {
    let items = text.split(',');
    items.filter_map(|item| parse(item.trim())).collect()
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
