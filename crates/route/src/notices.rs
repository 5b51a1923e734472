//! What backend servers ask of this VM in their responses: that they leave, or that they
//! want no calls for a while.
//!
//! A server may say so before the registry does, or while this VM cannot reach the
//! registry. The VM then sends it nothing more, whoever granted a permit for it. See
//! `docs/design/limits.md`, "What servers ask for".

use std::time::Duration;

use base::ServerId;
use base::Time;

/// The longest time for which a server can ask to get no calls. A longer one is most
/// likely an error, and would take the server out of service without anyone noticing.
pub const REST_MAX: Duration = Duration::from_secs(60);
/// The most servers for which a notice is kept. The oldest ones are dropped beyond it.
const NOTICES_MAX: usize = 4096;

/// What a server asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Notice {
    /// The server leaves. A server that starts again under its name has another id.
    Leaving,
    /// The server wants no calls for this long.
    Rest(Duration),
}

/// The notice of one server that is in force.
#[derive(Clone, Copy, Debug)]
struct Entry {
    server: ServerId,
    /// When the server may get calls again; none if it leaves.
    until: Option<Time>,
    since: Time,
}

impl Entry {
    fn denies(&self, now: Time) -> bool {
        self.until.is_none_or(|until| now < until)
    }
}

/// The notices that the servers have given to this VM.
#[derive(Clone, Debug, Default)]
pub struct Notices {
    /// Sorted by server.
    entries: Vec<Entry>,
}

impl Notices {
    /// Records the `notice` of `server`. Returns whether it changes what the server may
    /// get: a notice to leave is final, and a rest does not shorten an earlier one.
    pub fn record(&mut self, server: ServerId, notice: Notice, now: Time) -> bool {
        let until = match notice {
            Notice::Leaving => None,
            Notice::Rest(delay) => Some(now + delay.min(REST_MAX)),
        };
        let entry = Entry {
            server,
            until,
            since: now,
        };
        match self.find(server) {
            Ok(index) => {
                let known = &mut self.entries[index];
                let extends = known
                    .until
                    .is_some_and(|old| until.is_none_or(|new| new > old));
                if extends {
                    *known = entry;
                }
                extends
            }
            Err(_) => {
                self.make_room(now);
                let index = self.find(server).unwrap_or_else(|index| index);
                self.entries.insert(index, entry);
                true
            }
        }
    }

    /// Returns whether `server` may be sent a call.
    pub fn allows(&self, server: ServerId, now: Time) -> bool {
        !self
            .find(server)
            .is_ok_and(|index| self.entries[index].denies(now))
    }

    /// Returns the servers that may not be sent a call, sorted.
    pub fn denied(&self, now: Time) -> Vec<ServerId> {
        let denied = self.entries.iter().filter(|entry| entry.denies(now));
        denied.map(|entry| entry.server).collect()
    }

    /// Returns the delay until one of `servers` may be sent a call; none if one may now.
    /// `otherwise` is the delay if all of them leave.
    pub fn delay(
        &self,
        servers: impl Iterator<Item = ServerId>,
        otherwise: Duration,
        now: Time,
    ) -> Option<Duration> {
        let mut earliest = None;
        let mut none_allowed = false;
        for server in servers {
            if self.allows(server, now) {
                return None;
            }
            none_allowed = true;
            let until = self.find(server).ok().and_then(|i| self.entries[i].until);
            earliest = [earliest, until].into_iter().flatten().min();
        }
        let delay = earliest.map_or(otherwise, |until: Time| until.saturating_sub(now));
        none_allowed.then_some(delay)
    }

    fn make_room(&mut self, now: Time) {
        if self.entries.len() < NOTICES_MAX {
            return;
        }
        self.entries.retain(|entry| entry.denies(now));
        if self.entries.len() >= NOTICES_MAX {
            let oldest = (0..self.entries.len()).min_by_key(|&i| self.entries[i].since);
            if let Some(index) = oldest {
                self.entries.remove(index);
            }
        }
    }

    fn find(&self, server: ServerId) -> Result<usize, usize> {
        self.entries
            .binary_search_by_key(&server, |entry| entry.server)
    }
}
