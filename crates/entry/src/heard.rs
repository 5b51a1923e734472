//! What servers ask for in their responses to the attempts of a relayed call, for the VM that
//! relayed it.
//!
//! The VM that makes the attempts reports it in a field of its response, and the other one
//! records it as if it had heard the servers itself: the call was its own, and the servers
//! may not tell it again before it has a path. The field belongs to the connection between
//! the two VMs (RFC 9110, section 7.6.1), so VMs that don't know it remove it, and one that a
//! server has written is not taken. See `docs/design/partitions.md`.

use std::fmt;
use std::str::FromStr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use base::ServerId;
use base::Time;
use http::header;
use http::HeaderMap;
use http::HeaderValue;
use route::notices::Notice;

use crate::headers;
use crate::ports::Ports;

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
pub struct Heard(Option<Arc<Mutex<Vec<(ServerWish, Time)>>>>);

impl Heard {
    /// Creates the empty list of a call that another VM relayed.
    pub fn of_relayed() -> Self {
        Self(Some(Arc::default()))
    }

    /// Adds the `wish` of `server`, which it sent at `now`.
    pub fn add(&self, server: ServerId, wish: Wish, now: Time) {
        if let Some(list) = &self.0 {
            let mut list = list.lock().unwrap_or_else(PoisonError::into_inner);
            list.push((ServerWish { server, wish }, now));
        }
    }

    /// Adds the field for the VM that relayed the call to its response.
    pub fn set_field(&self, fields: &mut HeaderMap, now: Time) {
        let Some(list) = &self.0 else {
            return;
        };
        let list = list.lock().unwrap_or_else(PoisonError::into_inner);
        let left = list
            .iter()
            .filter_map(|(wish, at)| wish.after(now.saturating_sub(*at)));
        let texts: Vec<String> = left.map(|wish| wish.to_string()).collect();
        if texts.is_empty() {
            return;
        }
        if let Ok(value) = HeaderValue::from_str(&texts.join(", ")) {
            fields.insert(headers::HEARD, value);
            let name = HeaderValue::from_static(headers::HEARD_NAME);
            fields.append(header::CONNECTION, name);
        }
    }
}

/// Removes the field from a response of the VM to which a call was relayed, before its
/// `connection` field is removed, and returns what it says.
///
/// A field that is not of this connection is a server's, which a VM that doesn't know the
/// field has passed on. Such a field says nothing, and neither do wishes of newer VMs.
pub fn take_field(fields: &mut HeaderMap) -> Vec<ServerWish> {
    let of_connection = headers::listed_in_connection(fields).contains(&headers::HEARD);
    let value = fields.remove(headers::HEARD).filter(|_| of_connection);
    let text = value.as_ref().and_then(|value| value.to_str().ok());
    let wishes = text.unwrap_or_default().split(',');
    wishes.filter_map(|wish| wish.trim().parse().ok()).collect()
}
