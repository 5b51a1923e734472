//! What a follower does when no home answers: it uses the slots of warm servers
//! that belong to this VM.
//!
//! See `docs/design/homes.md`, "No home".

use base::ServerId;
use base::Time;

use super::Event;
use super::Follower;
use super::Stage;
use super::FALL_BACK_AFTER;
use crate::limit::IDLE_STATE_TTL;
use crate::msg::Warmth;

impl Follower {
    /// Places waiting attempts on this VM's own part of the warm servers.
    pub(super) fn use_own_slots(&mut self, now: Time) {
        for at in 0..self.calls.len() {
            let Stage::Waiting { .. } = self.calls[at].stage else {
                continue;
            };
            let Some(server) = self.own_server(&self.calls[at].ask.avoid, now) else {
                continue;
            };
            if now.saturating_sub(self.calls[at].since) < FALL_BACK_AFTER {
                continue;
            }
            let call = self.calls[at].number;
            self.calls[at].stage = Stage::Held(server);
            self.alone += 1;
            self.events.push(Event::Granted { call, server });
        }
    }

    /// Returns a server that is known to be warm and on which this VM has a
    /// slot of its own that is free.
    pub(super) fn own_server(&self, avoid: &[ServerId], now: Time) -> Option<ServerId> {
        let busy = |server: ServerId| {
            let held = self.held_permits().filter(|(_, at)| *at == server);
            held.count() as u32
        };
        let warm = |server: ServerId| {
            self.place(server).is_some_and(|at| {
                let line = self.lines[at].at(now);
                line.warmth == Warmth::Warm && (line.age < IDLE_STATE_TTL || busy(server) > 0)
            })
        };
        self.owned
            .iter()
            .filter(|(server, units)| warm(*server) && busy(*server) < *units)
            .map(|(server, _)| *server)
            .find(|server| !avoid.contains(server))
    }
}
