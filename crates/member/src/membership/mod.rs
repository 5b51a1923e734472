//! The membership aggregate: a SWIM failure detector without I/O.
//!
//! Each period has two halves. In the first the next peer in a shuffled round
//! is pinged directly; without an answer it is pinged through [`RELAYS`]
//! others in the second, and suspected at the end. A caller that noticed a
//! silent peer by itself can start such a probe at once with
//! [`Membership::report_unresponsive`].

mod gossip;
mod probes;

use std::net::SocketAddr;
use std::time::Duration;

use base::hash;
use base::Time;
use base::VmId;

use crate::msg::Digest;
use crate::msg::Msg;
use crate::msg::ProbeId;
use crate::msg::Revisions;
use crate::peer::Health;
use crate::peer::Incarnation;
use crate::peer::Peer;
use crate::peer::Profile;
use crate::update::GossipQueue;

/// Peers through which a silent one is pinged.
const RELAYS: usize = 3;
/// Peers that are told at once of a change of what is in force.
const ANNOUNCED: usize = 4;
/// Messages with another digest after which a roster is asked for.
const DIFFERING_MAX: u32 = 12;
/// News items on one roster message, so that it fits a datagram.
const ROSTER_ITEMS: usize = 12;
/// Periods between two pings of a dead peer or a seed, which heal partitions.
const HEAL_PERIODS: u32 = 5;

/// The times of the protocol.
#[derive(Clone, Copy, Debug)]
pub struct Config {
    /// The time between two regular probes.
    pub probe_period: Duration,
    /// The time after which a probe goes through others; twice this ends it.
    pub ack_timeout: Duration,
    /// The time that a suspect has to refute.
    pub suspicion_timeout: Duration,
    /// The time after which a dead peer is forgotten if nobody confirms it.
    pub dead_retention: Duration,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            probe_period: Duration::from_millis(200),
            ack_timeout: Duration::from_millis(60),
            suspicion_timeout: Duration::from_millis(1000),
            dead_retention: Duration::from_secs(3600),
        }
    }
}

/// What the caller has to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Send `msg` to `to`.
    Send {
        /// The address.
        to: SocketAddr,
        /// The message.
        msg: Msg,
    },
    /// A peer has something newer in force.
    NewerRevisions {
        /// The peer.
        vm: VmId,
        /// What it has in force.
        revisions: Revisions,
    },
    /// A peer has the same in force.
    SameRegistry {
        /// What it has in force.
        revisions: Revisions,
    },
}

/// A probe that has not been answered yet.
#[derive(Clone, Debug)]
struct Probe {
    vm: VmId,
    number: ProbeId,
    sent: Time,
    relayed: bool,
}

/// A ping that is done for another VM.
#[derive(Clone, Debug)]
struct Errand {
    asker: SocketAddr,
    asked: ProbeId,
    number: ProbeId,
    about: VmId,
    sent: Time,
}

/// Who is alive, as this VM sees it.
#[derive(Clone, Debug)]
pub struct Membership {
    profile: Profile,
    incarnation: Incarnation,
    config: Config,
    seeds: Vec<SocketAddr>,
    peers: Vec<Peer>,
    alive: Vec<VmId>,
    version: u64,
    rumors: GossipQueue,
    probes: Vec<Probe>,
    errands: Vec<Errand>,
    round: Vec<VmId>,
    next_probe: ProbeId,
    next_period: Time,
    periods: u32,
    revisions: Revisions,
    digest: Digest,
    differing: u32,
    listed: Option<Vec<VmId>>,
    leaving: bool,
    rng: fastrand::Rng,
    actions: Vec<Action>,
}

impl Membership {
    /// Makes the membership of `me` alone.
    ///
    /// `incarnation` has to be greater than in any earlier life of this VM;
    /// the wall clock in milliseconds serves. Should it not be, the peers'
    /// news corrects it.
    pub fn new(profile: Profile, incarnation: Incarnation, config: Config, seed: u64) -> Self {
        let mut members = Self {
            profile,
            incarnation,
            config,
            seeds: Vec::new(),
            peers: Vec::new(),
            alive: Vec::new(),
            version: 0,
            rumors: GossipQueue::default(),
            probes: Vec::new(),
            errands: Vec::new(),
            round: Vec::new(),
            next_probe: 0,
            next_period: Time::ZERO,
            periods: 0,
            revisions: Revisions::default(),
            digest: 0,
            differing: 0,
            listed: None,
            leaving: false,
            rng: fastrand::Rng::with_seed(seed),
            actions: Vec::new(),
        };
        members.refresh();
        members
    }

    /// Returns the same membership with addresses to join by.
    pub fn with_seeds(mut self, seeds: Vec<SocketAddr>) -> Self {
        self.set_seeds(seeds);
        self
    }

    /// Changes the addresses to join by.
    pub fn set_seeds(&mut self, seeds: Vec<SocketAddr>) {
        self.seeds = seeds;
        self.seeds.retain(|seed| *seed != self.profile.address);
        self.refresh();
    }

    /// Returns the VMs that are alive, this one included, sorted by id.
    pub fn alive(&self) -> &[VmId] {
        &self.alive
    }

    /// Returns a number that changes whenever the peers or their health do.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns all peers, dead ones included, sorted by id.
    pub fn peers(&self) -> &[Peer] {
        &self.peers
    }

    /// Returns the peer `vm`.
    pub fn peer(&self, vm: VmId) -> Option<&Peer> {
        let at = self.find(vm).ok()?;
        Some(&self.peers[at])
    }

    /// Returns what this VM tells about itself.
    pub fn profile(&self) -> &Profile {
        &self.profile
    }

    /// Returns this VM's incarnation.
    pub fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// Returns what the peers are told that this VM has in force.
    pub fn revisions(&self) -> Revisions {
        self.revisions
    }

    /// Tells the peers from now on what this VM has in force.
    pub fn set_revisions(&mut self, revisions: Revisions) {
        self.revisions = revisions;
    }

    /// Takes the actions that have come up since the last time.
    pub fn take_actions(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.actions)
    }

    /// Returns when [`Membership::tick`] has something to do.
    pub fn due(&self) -> Time {
        let patience = self.config.ack_timeout;
        let probes = self.probes.iter().map(|probe| {
            let turns = if probe.relayed { 2 } else { 1 };
            probe.sent + patience * turns
        });
        let suspects = self.peers.iter().filter(|p| p.health == Health::Suspect);
        let falls = suspects.map(|peer| peer.since + self.config.suspicion_timeout);
        probes.chain(falls).fold(self.next_period, Time::min)
    }

    /// Sends what is due; see [`Membership::due`].
    pub fn tick(&mut self, now: Time) {
        self.check_probes(now);
        self.check_suspects(now);
        let life = self.config.probe_period * 5;
        self.errands.retain(|errand| now < errand.sent + life);
        if now < self.next_period {
            return;
        }
        self.next_period = now + self.config.probe_period;
        self.periods = self.periods.wrapping_add(1);
        if self.periods % HEAL_PERIODS == 1 {
            self.heal();
        }
        if let Some(vm) = self.next_target() {
            self.probe(vm, now);
        }
    }

    /// Tells all peers that this VM leaves; a planned stop ends with it.
    pub fn leave(&mut self) {
        self.leaving = true;
        let item = self.own(Health::Left);
        for vm in self.alive.clone() {
            let Some(to) = self.address(vm) else {
                continue;
            };
            let msg = Msg::Ping {
                to: vm,
                probe: self.next_number(),
                marks: self.revisions,
                digest: self.digest,
                news: vec![item.clone()],
            };
            self.actions.push(Action::Send { to, msg });
        }
    }

    /// Forgets dead peers that the platform does not list any more.
    ///
    /// The list lags, so that it is missing there proves nothing about a peer
    /// that answers; together with its silence it does.
    ///
    /// `listed` has to be sorted.
    pub fn set_platform_list(&mut self, listed: Vec<VmId>) {
        self.keep(|peer| {
            peer.health < Health::Dead || listed.binary_search(&peer.profile.vm).is_ok()
        });
        if self.listed.as_ref() != Some(&listed) {
            self.listed = Some(listed);
            self.refresh();
        }
    }

    /// Returns how many VMs should exist of which nothing has been heard.
    ///
    /// The platform's list says it where it has been read, otherwise the seeds
    /// do. A VM that has just started must not take itself for the whole fleet.
    pub fn undiscovered(&self) -> usize {
        match &self.listed {
            Some(listed) => {
                let known = |vm: &&VmId| **vm == self.profile.vm || self.find(**vm).is_ok();
                listed.iter().filter(|vm| !known(vm)).count()
            }
            None => self.unknown_seeds().count(),
        }
    }

    fn unknown_seeds(&self) -> impl Iterator<Item = SocketAddr> + '_ {
        let known = |seed: &SocketAddr| self.peers.iter().any(|p| p.profile.address == *seed);
        self.seeds.iter().copied().filter(move |seed| !known(seed))
    }

    fn keep(&mut self, keeps: impl Fn(&Peer) -> bool) {
        let count = self.peers.len();
        self.peers.retain(keeps);
        if self.peers.len() != count {
            self.refresh();
        }
    }

    /// Tells some peers at once what this VM has in force, because it changed.
    pub fn announce(&mut self) {
        let mut others = self.alive.clone();
        others.retain(|vm| *vm != self.profile.vm);
        self.rng.shuffle(&mut others);
        for vm in others.into_iter().take(ANNOUNCED) {
            if let Some(to) = self.address(vm) {
                self.send_ping(vm, to);
            }
        }
    }

    /// Asks for the roster of a VM that may exist at `address`.
    pub fn discover(&mut self, address: SocketAddr) {
        let known = self.peers.iter().any(|p| p.profile.address == address);
        if address != self.profile.address && !known {
            self.ask_roster(address);
        }
    }

    /// Takes a message that came from `from` at address `address`.
    pub fn receive(&mut self, now: Time, from: VmId, address: SocketAddr, msg: Msg) {
        match msg {
            Msg::Ping {
                to,
                probe,
                marks: revisions,
                digest,
                news: updates,
            } => {
                self.learn_all(now, updates);
                self.compare(from, revisions);
                self.compare_digest(address, digest);
                if self.find(from).is_err() {
                    self.ask_roster(address);
                }
                if to == self.profile.vm {
                    let msg = self.ack(from, probe);
                    self.actions.push(Action::Send { to: address, msg });
                }
            }
            Msg::PingRequest { to, probe } => self.run_errand(now, address, to, probe),
            Msg::Ack {
                about,
                probe,
                marks: revisions,
                digest,
                news: updates,
            } => {
                self.learn_all(now, updates);
                if from == about {
                    self.compare(from, revisions);
                    self.compare_digest(address, digest);
                }
                self.answered(now, about, probe);
            }
            Msg::Join { news: updates } => {
                self.learn_all(now, updates);
                self.send_roster(address);
            }
            Msg::MemberList { news: updates } => self.learn_all(now, updates),
        }
    }

    fn ack(&mut self, to: VmId, probe: ProbeId) -> Msg {
        Msg::Ack {
            about: self.profile.vm,
            probe,
            marks: self.revisions,
            digest: self.digest,
            news: self.updates_for(to),
        }
    }

    fn refresh(&mut self) {
        let mut alive: Vec<VmId> = self
            .peers
            .iter()
            .filter(|peer| peer.health == Health::Alive)
            .map(|peer| peer.profile.vm)
            .collect();
        alive.push(self.profile.vm);
        alive.sort_unstable();
        self.alive = alive;
        self.version += 1;
        let there = self.peers.iter().filter(|peer| peer.health < Health::Dead);
        let hashes = there.map(|peer| hash::mix(peer.profile.vm, peer.incarnation));
        let own = hash::mix(self.profile.vm, self.incarnation);
        self.digest = hashes.fold(own, |all, hash| all ^ hash);
    }

    fn address(&self, vm: VmId) -> Option<SocketAddr> {
        self.peer(vm).map(|peer| peer.profile.address)
    }

    fn find(&self, vm: VmId) -> Result<usize, usize> {
        self.peers.binary_search_by_key(&vm, |peer| peer.profile.vm)
    }
}
