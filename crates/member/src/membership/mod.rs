//! A SWIM failure detector without I/O.
//!
//! In each probe period the next peer of a shuffled round is pinged directly. If it
//! does not respond within the ack timeout, it is pinged through
//! `PING_REQUEST_PEERS` other peers; after another ack timeout it is suspected.
//! Code that finds a peer unresponsive by other means can start such a probe at
//! once with [`Membership::report_unresponsive`].

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

/// Number of peers that are requested to ping a peer that does not respond.
const PING_REQUEST_PEERS: usize = 3;
/// Number of peers that are pinged at once when the revisions in force change.
const ANNOUNCE_PEERS: usize = 4;
/// Number of messages with a differing digest after which the member list is
/// requested.
const DIGEST_MISMATCHES_MAX: u32 = 12;
/// Maximum number of updates in a member list message, so that the message fits a
/// datagram.
const MEMBER_LIST_UPDATES: usize = 12;
/// The delay of a tick from which on this VM counts as late itself.
const LATE_TICK_MIN: Duration = Duration::from_millis(10);
/// The limit, in ack timeouts, by which the delays of this VM extend the wait for one
/// ack. It bounds how much later a VM that is always late detects a failure.
const LATENESS_MAX_TIMEOUTS: u32 = 8;
/// How long after its start a VM is patient with peers that started at about the same time.
/// When all VMs start at once, the smallest ones respond late.
const START_TIME: Duration = Duration::from_millis(2500);
/// By how many ack timeouts such a peer may respond later.
const START_PATIENCE: u32 = 4;
/// Probe periods between two attempts to reconnect to a dead peer or a seed, which
/// end a partition once the network is back.
const RECONNECT_PERIODS: u32 = 5;

/// The timing of the protocol.
#[derive(Clone, Copy, Debug)]
pub struct Config {
    /// The time between two regular probes, each of which goes to one peer.
    pub probe_period: Duration,
    /// The time to wait for an ack before the peer is pinged through other peers. At
    /// twice this time the probe has failed and the peer is suspected.
    pub ack_timeout: Duration,
    /// The time that a suspected peer has to refute the suspicion.
    pub suspicion_timeout: Duration,
    /// The time after which a peer that is dead or has left is forgotten, unless the
    /// platform's list confirms earlier that it has departed.
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

/// What the user of [`Membership`] has to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Send the message `msg` to the address `to`.
    Send {
        /// The address of the receiver.
        to: SocketAddr,
        /// The message to send.
        msg: Msg,
    },
    /// Fetch from `vm`, which has a newer head, newer domain orders or a newer part of
    /// the registry.
    NewerRevisions {
        /// The peer that reported the revisions.
        vm: VmId,
        /// The revisions that the peer has in force.
        revisions: Revisions,
    },
    /// Record that a peer has the same revisions of the registry; `revisions.age` is
    /// the time since they were confirmed to be the newest.
    SameRegistry {
        /// The revisions that the peer has in force.
        revisions: Revisions,
    },
}

/// A probe that has not been acked yet.
#[derive(Clone, Debug)]
struct Probe {
    vm: VmId,
    id: ProbeId,
    sent: Time,
    /// For how long this VM was late itself meanwhile; the ack may have been received
    /// and not been processed.
    lateness: Duration,
    /// Whether other peers have been requested to ping the VM.
    relayed: bool,
}

impl Probe {
    /// Returns when the wait for the ack has lasted `timeout`.
    fn expiry(&self, timeout: Duration) -> Time {
        self.sent + self.lateness + timeout
    }
}

/// A ping that was sent on behalf of another VM and has not been acked yet.
#[derive(Clone, Debug)]
struct Relay {
    requester: SocketAddr,
    /// The id of the requester's probe.
    request_id: ProbeId,
    /// The id of the ping that this VM sent.
    ping_id: ProbeId,
    about: VmId,
    sent: Time,
}

/// The membership as seen by one VM: its peers and their health.
#[derive(Clone, Debug)]
pub struct Membership {
    profile: Profile,
    incarnation: Incarnation,
    /// The incarnation at the start.
    first_incarnation: Incarnation,
    /// When the VM ticked first.
    started: Option<Time>,
    config: Config,
    seeds: Vec<SocketAddr>,
    peers: Vec<Peer>,
    alive: Vec<VmId>,
    version: u64,
    gossip_queue: GossipQueue,
    probes: Vec<Probe>,
    relays: Vec<Relay>,
    /// The peers that are still to be probed in the current round, in random order.
    probe_round: Vec<VmId>,
    last_probe: ProbeId,
    next_period: Time,
    /// When the next tick is due, as of the end of the last one.
    next_tick: Option<Time>,
    period_count: u32,
    revisions: Revisions,
    digest: Digest,
    /// The differing digests received since the last request for a member list.
    digest_mismatches: u32,
    /// The VMs that the platform lists, sorted by id; none before the first read.
    platform_list: Option<Vec<VmId>>,
    leaving: bool,
    rng: fastrand::Rng,
    actions: Vec<Action>,
}

impl Membership {
    /// Creates the membership of a VM with `profile` that knows no peers yet.
    ///
    /// `incarnation` should be greater than any that this VM used before its restart;
    /// the wall clock in milliseconds is suitable. If it is not greater, the gossip
    /// updates of the peers correct it. `seed` seeds the random choice of peers.
    pub fn new(profile: Profile, incarnation: Incarnation, config: Config, seed: u64) -> Self {
        let mut members = Self {
            profile,
            incarnation,
            first_incarnation: incarnation,
            started: None,
            config,
            seeds: Vec::new(),
            peers: Vec::new(),
            alive: Vec::new(),
            version: 0,
            gossip_queue: GossipQueue::default(),
            probes: Vec::new(),
            relays: Vec::new(),
            probe_round: Vec::new(),
            last_probe: 0,
            next_period: Time::ZERO,
            next_tick: None,
            period_count: 0,
            revisions: Revisions::default(),
            digest: 0,
            digest_mismatches: 0,
            platform_list: None,
            leaving: false,
            rng: fastrand::Rng::with_seed(seed),
            actions: Vec::new(),
        };
        members.recompute();
        members
    }

    /// Sets the addresses of the VMs through which this VM joins.
    pub fn with_seeds(mut self, seeds: Vec<SocketAddr>) -> Self {
        self.set_seeds(seeds);
        self
    }

    /// Replaces the addresses of the VMs through which this VM joins.
    ///
    /// The address of this VM itself is left out.
    pub fn set_seeds(&mut self, seeds: Vec<SocketAddr>) {
        self.seeds = seeds;
        self.seeds.retain(|seed| *seed != self.profile.address);
        self.recompute();
    }

    /// Returns the ids of the alive VMs, this VM included, in ascending order.
    pub fn alive(&self) -> &[VmId] {
        &self.alive
    }

    /// Returns a number that grows whenever the peers, their health, the seeds or the
    /// platform's list change.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns all known peers, dead ones included, sorted by id.
    pub fn peers(&self) -> &[Peer] {
        &self.peers
    }

    /// Returns the peer `vm`, or `None` if `vm` is unknown or this VM itself.
    pub fn peer(&self, vm: VmId) -> Option<&Peer> {
        let i = self.find(vm).ok()?;
        Some(&self.peers[i])
    }

    /// Returns the profile that this VM reports about itself.
    pub fn profile(&self) -> &Profile {
        &self.profile
    }

    /// Sets the capacity that this VM reports to its peers from now on.
    ///
    /// [`Membership::announce`] reports it at once.
    pub fn set_capacity(&mut self, capacity: u32) {
        self.profile.capacity = capacity;
        self.incarnation += 1;
        self.recompute();
        self.gossip_queue.add(self.profile.vm);
    }

    /// Returns this VM's current incarnation.
    pub fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// Returns the revisions that this VM reports to its peers.
    pub fn revisions(&self) -> Revisions {
        self.revisions
    }

    /// Sets the revisions that this VM reports to its peers from now on.
    ///
    /// [`Membership::announce`] reports them at once.
    pub fn set_revisions(&mut self, revisions: Revisions) {
        self.revisions = revisions;
    }

    /// Returns the actions that have accumulated since the last call, and removes
    /// them.
    pub fn take_actions(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.actions)
    }

    /// Returns the time at which [`Membership::tick`] has to be called next.
    pub fn due(&self) -> Time {
        let timeout = self.config.ack_timeout;
        let probes = self.probes.iter().map(|probe| {
            let timeouts = if probe.relayed { 2 } else { 1 };
            probe.expiry(timeout * timeouts)
        });
        let suspects = self.peers.iter().filter(|p| p.health == Health::Suspect);
        let expiries = suspects.map(|peer| peer.since + self.config.suspicion_timeout);
        probes.chain(expiries).fold(self.next_period, Time::min)
    }

    /// Starts the probe that is due and acts on probes and suspicions that have timed
    /// out.
    ///
    /// Has to be called at the time that [`Membership::due`] returns; an earlier call
    /// does no harm.
    pub fn tick(&mut self, now: Time) {
        self.started.get_or_insert(now);
        self.extend_probes(now);
        self.run_due(now);
        self.next_tick = Some(self.due());
    }

    /// Extends the wait for acks by the delay of this tick. A VM that is late itself
    /// would otherwise suspect peers whose acks it has not processed yet.
    fn extend_probes(&mut self, now: Time) {
        let planned = self.next_tick.unwrap_or(now);
        let late = now.saturating_sub(planned);
        if late < LATE_TICK_MIN {
            return;
        }
        let longest = self.config.ack_timeout * LATENESS_MAX_TIMEOUTS;
        for probe in &mut self.probes {
            probe.lateness = (probe.lateness + late).min(longest);
        }
    }

    fn run_due(&mut self, now: Time) {
        self.check_probes(now);
        self.check_suspects(now);
        let relay_timeout = self.config.probe_period * 5;
        self.relays.retain(|relay| now < relay.sent + relay_timeout);
        if now < self.next_period {
            return;
        }
        self.next_period = now + self.config.probe_period;
        self.period_count = self.period_count.wrapping_add(1);
        // Without a peer, this VM can do nothing else, and waits for its seeds to start.
        let isolated = self.alive.len() == 1;
        if isolated || self.period_count % RECONNECT_PERIODS == 1 {
            self.reconnect();
        }
        if let Some(vm) = self.next_target() {
            self.probe(vm, now);
        }
    }

    /// Reports to all alive peers that this VM leaves, at the end of a planned stop.
    pub fn leave(&mut self) {
        self.leaving = true;
        let update = self.own_update(Health::Left);
        for vm in self.alive.clone() {
            let Some(to) = self.address(vm) else {
                continue;
            };
            let msg = Msg::Ping {
                to: vm,
                probe: self.next_probe_id(),
                marks: self.revisions,
                digest: self.digest,
                news: vec![update.clone()],
            };
            self.actions.push(Action::Send { to, msg });
        }
    }

    /// Sets the VMs that the platform lists, and forgets dead peers that are not among
    /// them.
    ///
    /// The list may lag behind, so a peer that responds is kept even if the list lacks
    /// it. A peer that is dead and not listed has departed.
    ///
    /// `listed` has to be sorted.
    pub fn set_platform_list(&mut self, listed: Vec<VmId>) {
        self.retain_peers(|peer| {
            peer.health < Health::Dead || listed.binary_search(&peer.profile.vm).is_ok()
        });
        if self.platform_list.as_ref() != Some(&listed) {
            self.platform_list = Some(listed);
            self.recompute();
        }
    }

    /// Returns the number of undiscovered VMs: those that should exist, but of which
    /// nothing has been heard.
    ///
    /// The VMs that should exist are those on the platform's list, or the seeds as long
    /// as no list has been read. The number keeps a VM that has just started from
    /// taking itself for the whole fleet.
    pub fn undiscovered(&self) -> usize {
        match &self.platform_list {
            Some(listed) => {
                let known = |vm: &&VmId| **vm == self.profile.vm || self.find(**vm).is_ok();
                listed.iter().filter(|vm| !known(vm)).count()
            }
            None => self.undiscovered_seeds().count(),
        }
    }

    fn undiscovered_seeds(&self) -> impl Iterator<Item = SocketAddr> + '_ {
        let known = |seed: &SocketAddr| self.peers.iter().any(|p| p.profile.address == *seed);
        self.seeds.iter().copied().filter(move |seed| !known(seed))
    }

    fn retain_peers(&mut self, predicate: impl Fn(&Peer) -> bool) {
        let count = self.peers.len();
        self.peers.retain(predicate);
        if self.peers.len() != count {
            self.recompute();
        }
    }

    /// Reports the revisions in force to a few random peers at once, after a change.
    pub fn announce(&mut self) {
        self.ping_random(ANNOUNCE_PEERS);
    }

    /// Exchanges revisions with a random peer at once. A VM that has started and has no
    /// configuration finds a peer that has it sooner than by its probes alone.
    pub fn exchange_revisions(&mut self) {
        self.ping_random(1);
    }

    fn ping_random(&mut self, count: usize) {
        let mut others = self.alive.clone();
        others.retain(|vm| *vm != self.profile.vm);
        self.rng.shuffle(&mut others);
        for vm in others.into_iter().take(count) {
            if let Some(to) = self.address(vm) {
                self.send_ping(vm, to);
            }
        }
    }

    /// Requests the member list of a VM that may run at `address`, unless a peer with
    /// this address is known.
    pub fn discover(&mut self, address: SocketAddr) {
        let known = self.peers.iter().any(|p| p.profile.address == address);
        if address != self.profile.address && !known {
            self.request_member_list(address);
        }
    }

    /// Processes the message `msg` that the VM `from` sent from `address`.
    pub fn receive(&mut self, now: Time, from: VmId, address: SocketAddr, msg: Msg) {
        match msg {
            Msg::Ping {
                to,
                probe,
                marks: revisions,
                digest,
                news: updates,
            } => {
                self.apply_all(now, updates);
                self.compare_revisions(from, revisions);
                self.compare_digest(address, digest);
                if self.find(from).is_err() {
                    self.request_member_list(address);
                }
                if to == self.profile.vm {
                    let msg = self.ack(from, probe);
                    self.actions.push(Action::Send { to: address, msg });
                }
            }
            Msg::PingRequest { to, probe } => self.relay_ping(now, address, to, probe),
            Msg::Ack {
                about,
                probe,
                marks: revisions,
                digest,
                news: updates,
            } => {
                self.apply_all(now, updates);
                if from == about {
                    self.compare_revisions(from, revisions);
                    self.compare_digest(address, digest);
                }
                self.receive_ack(now, about, probe);
            }
            Msg::Join { news: updates } => {
                self.apply_all(now, updates);
                self.send_member_list(address);
            }
            Msg::MemberList { news: updates } => self.apply_all(now, updates),
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

    /// Recomputes what is derived from the peers: the alive VMs and the digest.
    fn recompute(&mut self) {
        let alive = self.peers.iter().filter(|p| p.health == Health::Alive);
        self.alive = alive.map(|peer| peer.profile.vm).collect();
        self.alive.push(self.profile.vm);
        self.alive.sort_unstable();
        self.version += 1;
        let own = hash::mix(self.profile.vm, self.incarnation);
        self.digest = self.peers.iter().map(digest_of).fold(own, |a, b| a ^ b);
    }

    /// Replaces the peer at `index`, or inserts a new one there, and updates what is
    /// derived from the peers by the difference. A change thus costs the same in a large
    /// fleet as in a small one, apart from moving the elements of sorted vectors.
    fn put_peer(&mut self, index: Result<usize, usize>, peer: Peer) {
        let vm = peer.profile.vm;
        self.digest ^= digest_of(&peer);
        let alive = peer.health == Health::Alive;
        match index {
            Ok(i) => {
                self.digest ^= digest_of(&self.peers[i]);
                self.peers[i] = peer;
            }
            Err(i) => self.peers.insert(i, peer),
        }
        match (self.alive.binary_search(&vm), alive) {
            (Ok(i), false) => {
                self.alive.remove(i);
            }
            (Err(i), true) => self.alive.insert(i, vm),
            _ => {}
        }
        self.version += 1;
    }

    fn address(&self, vm: VmId) -> Option<SocketAddr> {
        self.peer(vm).map(|peer| peer.profile.address)
    }

    /// Returns the index of `vm` in the peers, or the index at which it belongs.
    fn find(&self, vm: VmId) -> Result<usize, usize> {
        self.peers.binary_search_by_key(&vm, |peer| peer.profile.vm)
    }
}

/// Returns the contribution of `peer` to the digest: 0 if it is not in the fleet.
fn digest_of(peer: &Peer) -> Digest {
    if peer.health < Health::Dead {
        hash::mix(peer.profile.vm, peer.incarnation)
    } else {
        0
    }
}
