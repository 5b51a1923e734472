//! The fallback of a follower without a responding home: it uses those slots of
//! warm servers that this VM owns.
//!
//! See `docs/design/homes.md`, "No home".

use base::ServerId;
use base::Time;

use super::Event;
use super::Follower;
use super::Stage;
use super::FALLBACK_TIMEOUT;
use crate::limit::IDLE_STATE_TTL;
use crate::msg::Warmth;

impl Follower {
    /// Places waiting attempts on fallback slots: the slots of warm servers
    /// that this VM owns.
    pub(super) fn use_fallback_slots(&mut self, now: Time) {
        for index in 0..self.attempts.len() {
            let Stage::Waiting { .. } = self.attempts[index].stage else {
                continue;
            };
            let Some(server) = self.fallback_server(&self.attempts[index].request.avoid, now)
            else {
                continue;
            };
            if now.saturating_sub(self.attempts[index].requested_at) < FALLBACK_TIMEOUT {
                continue;
            }
            let call = self.attempts[index].id;
            self.attempts[index].stage = Stage::Held(server);
            self.fallback_count += 1;
            self.events.push(Event::Granted { call, server });
        }
    }

    /// Returns a server that is known to be warm and on which this VM owns a
    /// free slot; servers in `avoid` are passed over, and so are those that limit the
    /// rate of their calls, since only a home counts the calls of all VMs.
    pub(super) fn fallback_server(&self, avoid: &[ServerId], now: Time) -> Option<ServerId> {
        let busy = |server: ServerId| {
            let held = self
                .held_permits()
                .filter(|(_, held_server)| *held_server == server);
            held.count() as u32
        };
        let warm = |server: ServerId| {
            self.summary_index(server).is_some_and(|index| {
                let summary = self.summaries[index].at(now);
                summary.warmth == Warmth::Warm && (summary.age < IDLE_STATE_TTL || busy(server) > 0)
            })
        };
        self.owned_slots
            .iter()
            .filter(|(server, slots)| warm(*server) && busy(*server) < *slots)
            .filter(|(server, _)| !self.rate_notes.is_limited(*server, now))
            .map(|(server, _)| *server)
            .find(|server| !avoid.contains(server))
    }
}
