//! The state that all tasks of one VM share, and the delivery of messages between
//! shards, the membership and other VMs.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::OnceLock;
use std::sync::PoisonError;
use std::sync::RwLock;
use std::sync::Weak;
use std::time::Duration;
use std::time::SystemTime;

use base::Clock;
use base::ServerId;
use base::ServiceId;
use base::Time;
use base::VmId;
use conf::settings::Policy;
use conf::Catalog;
use conf::Mirror;
use conf::Registry;
use conf::Settings;
use conf::State;
use entry::Dialect;
use entry::Pools;
use event_listener::Event;
use member::Membership;
use net::budget::MemoryBudget;
use net::client::Connector;
use net::exec::Handle;
use net::server::Connections;
use net::Listeners;
use net::Stop;
use obs::Metrics;
use obs::RecentCalls;
use obs::Spans;
use plat::budget::Budget;
use plat::Store;
use route::crashes::CrashTable;
use route::instance;
use route::keys::ClaimTable;
use route::msg::Body;
use route::notices::Notices;
use route::policy;
use route::policy::LocalPolicy;
use route::ShardSpec;
use wire::Keyring;
use wire::Msg;
use wire::Outbox;
use wire::Transport;

use crate::claims::PendingClaims;
use crate::quotas::TeamQuotas;
use crate::reach::Reach;
use crate::readers::TopicReads;
use crate::restores::Restores;
use crate::rollout_table::RolloutTable;
use crate::shard::Effects;
use crate::shard::ShardState;
use crate::shard_table::ShardTable;
use crate::specs;
use crate::view::View;
use crate::view_schedule::ViewSchedule;

/// The shortest gap between two checks after which this VM counts as paused.
const PAUSE_MIN: Duration = Duration::from_secs(1);
/// The interval between two ticks of the followers while calls wait for permits.
const FOLLOWER_TICK: Duration = Duration::from_millis(5);
/// The longest interval between two ticks of the followers.
const FOLLOWER_TICK_MAX: Duration = Duration::from_millis(250);

/// The most VMs that a line about a change of the membership names.
const LOGGED_NAMES_MAX: usize = 20;

/// The state that the tasks of one VM share.
///
/// Fields ending in `_ms` hold times of [`Self::clock`] in milliseconds.
pub struct Shared {
    /// The settings with which the process started.
    pub settings: Settings,
    /// The settings that were read last; see [`crate::reload`].
    pub(crate) last_settings: Mutex<Settings>,
    /// The id of this VM.
    pub self_id: VmId,
    /// The monotonic clock of the process.
    pub clock: Clock,
    /// Spawns tasks on the VM's pool of threads.
    pub handle: Handle,
    /// The platform's object store.
    pub store: Arc<dyn Store>,
    /// The service registry; none if the configuration comes from accepted tickets.
    pub registry: Option<Arc<dyn Registry>>,
    /// The header fields that are exchanged with callers and backend servers.
    pub dialect: Arc<dyn Dialect>,
    /// Sends and receives datagrams between VMs.
    pub transport: Arc<dyn Transport>,
    /// The listen addresses that cannot be bound yet.
    pub listeners: Listeners,
    /// The keys that authenticate messages between VMs.
    pub keyring: Keyring,
    /// Messages to other VMs that are queued for sending.
    pub outbox: Outbox,
    /// Pooled connections to backend servers.
    pub pools: Arc<Pools>,
    /// The metrics that the VM exports.
    pub metrics: Arc<Metrics>,
    /// The recorder of trace spans.
    pub spans: Arc<Spans>,
    /// Records of the latest calls.
    pub calls: Arc<RecentCalls>,
    /// The signal to stop accepting callers, which also counts unfinished calls.
    pub stop: Stop,
    /// When a planned stop ends, whether or not all calls have; empty until the VM is asked
    /// to stop.
    pub(crate) drain_end: OnceLock<Time>,
    /// The rate limit of this VM's calls to the platform.
    pub budget: Mutex<Budget>,
    pub(crate) members: Mutex<Membership>,
    /// The local copy of the configuration from accepted tickets.
    pub(crate) mirror: Mutex<Mirror>,
    /// The local copy of the service registry.
    pub(crate) catalog: Mutex<Catalog>,
    /// The catalog's change count that was put in force last.
    pub(crate) applied_changes: AtomicU64,
    /// When the catalog was last found to be up to date.
    pub(crate) confirmed_ms: AtomicU64,
    /// When the last failed read of the registry ended; 0 if none has failed.
    pub(crate) registry_failed_ms: AtomicU64,
    /// The pages of lists that ended early, at an entry whose end cannot be told.
    pub(crate) cut_pages: AtomicU64,
    /// When a failed read last showed that the registry was away, the registry was first
    /// read again after an outage for all VMs, or a restore was noticed; 0 if none of this
    /// has happened.
    pub(crate) outage_ms: AtomicU64,
    pub(crate) restores: Restores,
    /// When this VM last read each topic of the registry.
    pub(crate) topic_reads: TopicReads,
    /// Whether a fetch of newer configuration from a peer is under way.
    pub(crate) fetching: AtomicBool,
    /// Addresses of peers from which to fetch newer configuration.
    pub(crate) fetch_requests: async_channel::Sender<SocketAddr>,
    pub(crate) claims: PendingClaims,
    /// When the configuration in force was put in force.
    pub(crate) in_force_since: RwLock<Time>,
    /// When `view` is replaced.
    view_schedule: Mutex<ViewSchedule>,
    /// The configuration in force.
    pub(crate) state: RwLock<Arc<State>>,
    view: RwLock<Arc<View>>,
    table: RwLock<Arc<ShardTable>>,
    /// The open connections of callers.
    pub(crate) caller_connections: Connections,
    /// The memory for what is buffered for callers.
    pub(crate) memory: MemoryBudget,
    /// What servers asked this VM for.
    pub(crate) notices: Mutex<Notices>,
    /// The requests under which servers crashed.
    pub(crate) crashes: Mutex<CrashTable>,
    /// The quotas of the teams of the configuration in force.
    pub(crate) quotas: TeamQuotas,
    /// What this VM knows of roll-outs beyond the registry.
    pub(crate) rollouts: Mutex<RolloutTable>,
    /// Whether this VM has a path to servers.
    pub(crate) reach: Reach,
    /// Serializes changes of `state` and `table`.
    pub(crate) refresh_lock: Mutex<()>,
    /// The idempotency keys that this VM remembers as an owner.
    pub(crate) remembered_keys: Mutex<ClaimTable>,
    /// When [`Self::check_pause`] last ran.
    last_active_ms: AtomicU64,
    /// The number of this VM's next claim of an idempotency key.
    pub(crate) next_claim: AtomicU64,
    /// For tasks that are spawned from a method that takes `&self`.
    pub(crate) weak_self: OnceLock<Weak<Shared>>,
    /// The number of calls on this VM that wait for a permit.
    pub(crate) waiting_calls: AtomicUsize,
    /// Notified when `waiting_calls` goes from 0 to 1.
    pub(crate) permit_requested: Event,
    pauses: AtomicU64,
}

/// The components of which [`Shared::new`] makes the shared state.
pub struct Parts {
    /// The settings with which the process starts.
    pub settings: Settings,
    /// The monotonic clock of the process.
    pub clock: Clock,
    /// Spawns tasks on the VM's pool of threads.
    pub handle: Handle,
    /// The platform's object store.
    pub store: Arc<dyn Store>,
    /// The service registry; none if the configuration comes from accepted tickets.
    pub registry: Option<Arc<dyn Registry>>,
    /// The header fields that are exchanged with callers and backend servers.
    pub dialect: Arc<dyn Dialect>,
    /// Opens connections to backend servers.
    pub connector: Arc<dyn Connector>,
    /// Sends and receives datagrams between VMs.
    pub transport: Arc<dyn Transport>,
    /// The listen addresses that cannot be bound yet.
    pub listeners: Listeners,
    /// The keys that authenticate messages between VMs.
    pub keyring: Keyring,
    /// Messages to other VMs that are queued for sending.
    pub outbox: Outbox,
    /// The metrics that the VM exports.
    pub metrics: Arc<Metrics>,
    /// The recorder of trace spans.
    pub spans: Arc<Spans>,
    /// The membership, which so far knows this VM and its seeds only.
    pub members: Membership,
    /// Receives the addresses of peers that have newer configuration.
    pub fetch_requests: async_channel::Sender<SocketAddr>,
    /// Receives the ids of servers that closed an idle connection soon after its
    /// last use.
    pub lost_connections: async_channel::Sender<ServerId>,
}

pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

pub(crate) fn read<T: Clone>(value: &RwLock<T>) -> T {
    value.read().unwrap_or_else(PoisonError::into_inner).clone()
}

fn write<T>(target: &RwLock<T>, value: T) {
    *target.write().unwrap_or_else(PoisonError::into_inner) = value;
}

impl Shared {
    /// Makes the shared state of a VM that has no configuration yet.
    pub fn new(parts: Parts) -> Self {
        let now = parts.clock.now();
        let self_id = parts.settings.vm_id();
        let buffer = parts.settings.callers.buffer;
        let catalog = Catalog::new().with_needs_teams(parts.settings.teams);
        let view = View::new(&parts.members);
        let pools = Pools::new(parts.handle.clone(), parts.clock, parts.lost_connections);
        let mut remembered_keys = ClaimTable::new(self_id, now);
        remembered_keys.set_view(&view.vms, view.undiscovered == 0, now);
        Self {
            self_id,
            pools: Arc::new(pools.with_connector(parts.connector)),
            last_settings: Mutex::new(parts.settings.clone()),
            settings: parts.settings,
            clock: parts.clock,
            handle: parts.handle,
            store: parts.store,
            registry: parts.registry,
            dialect: parts.dialect,
            catalog: Mutex::new(catalog),
            applied_changes: AtomicU64::new(0),
            confirmed_ms: AtomicU64::new(0),
            registry_failed_ms: AtomicU64::new(0),
            cut_pages: AtomicU64::new(0),
            outage_ms: AtomicU64::new(0),
            restores: Restores::default(),
            topic_reads: TopicReads::default(),
            transport: parts.transport,
            keyring: parts.keyring,
            outbox: parts.outbox,
            metrics: parts.metrics,
            spans: parts.spans,
            calls: Arc::default(),
            stop: Stop::new(),
            drain_end: OnceLock::new(),
            budget: Mutex::new(Budget::new()),
            view: RwLock::new(Arc::new(view)),
            members: Mutex::new(parts.members),
            mirror: Mutex::new(Mirror::new()),
            fetching: AtomicBool::new(false),
            fetch_requests: parts.fetch_requests,
            claims: PendingClaims::default(),
            in_force_since: RwLock::new(now),
            view_schedule: Mutex::default(),
            state: RwLock::default(),
            table: RwLock::default(),
            caller_connections: Connections::default(),
            memory: MemoryBudget::new(buffer),
            notices: Mutex::default(),
            crashes: Mutex::default(),
            quotas: TeamQuotas::default(),
            rollouts: Mutex::default(),
            listeners: parts.listeners,
            reach: Reach::default(),
            refresh_lock: Mutex::new(()),
            remembered_keys: Mutex::new(remembered_keys),
            last_active_ms: AtomicU64::new(now.as_millis() as u64),
            // The ids of an earlier process of this VM must not come again.
            next_claim: AtomicU64::new(fastrand::u64(..)),
            weak_self: OnceLock::new(),
            waiting_calls: AtomicUsize::new(0),
            permit_requested: Event::new(),
            pauses: AtomicU64::new(0),
        }
    }

    /// Returns a shared pointer to this state, for tasks that a method spawns which takes
    /// `&self`; none while the VM is being dropped.
    pub(crate) fn to_arc(&self) -> Option<Arc<Self>> {
        self.weak_self.get().and_then(Weak::upgrade)
    }

    /// Returns the latest snapshot of the membership.
    pub fn view(&self) -> Arc<View> {
        read(&self.view)
    }

    /// Returns the table of all shards in force.
    pub fn table(&self) -> Arc<ShardTable> {
        read(&self.table)
    }

    /// Returns how many pauses of this VM have been detected since its start.
    pub fn pauses(&self) -> u64 {
        self.pauses.load(Ordering::Relaxed)
    }

    /// Returns when the configuration in force was put in force.
    pub fn in_force_since(&self) -> Time {
        read(&self.in_force_since)
    }

    /// Runs `f` on the membership, then carries out the actions that follow from it
    /// and applies the new view if one is due.
    pub(crate) fn with_members<T>(&self, f: impl FnOnce(&mut Membership) -> T) -> T {
        let mut members = lock(&self.members);
        // Peers pass the age on, so a message with an earlier one would make it shrink.
        self.set_registry_age(&mut members);
        let result = f(&mut members);
        let actions = members.take_actions();
        let (version, fleet) = (members.version(), members.peers().len());
        let due = lock(&self.view_schedule).take_due(version, fleet, self.clock.now());
        let view = due.then(|| Arc::new(View::new(&members)));
        drop(members);
        for action in actions {
            self.run_member_action(action);
        }
        if let Some(view) = view {
            self.set_view(view);
        }
        result
    }

    fn run_member_action(&self, action: member::Action) {
        match action {
            member::Action::Send { to, msg } => self.outbox.put(to, Msg::Member(msg)),
            member::Action::NewerRevisions { vm, .. } => self.request_fetch(vm),
            member::Action::SameRegistry { revisions } => self.note_same(&revisions),
        }
    }

    fn set_view(&self, view: Arc<View>) {
        let old = self.view();
        if *old == *view {
            return;
        }
        self.log_view(&view);
        let complete = view.undiscovered == 0;
        lock(&self.remembered_keys).set_view(&view.vms, complete, self.clock.now());
        write(&self.view, view.clone());
        self.send_crashes_to_joined(&old, &view);
        self.update_quota_view(&view);
        self.send_rollouts_to_joined(&old, &view);
        let refresh_guard = lock(&self.refresh_lock);
        let pending = self.update_fleet();
        drop(refresh_guard);
        self.run_all_effects(pending);
    }

    /// Updates all shards to the latest view of the membership. The caller holds
    /// `refresh_lock`, and runs the returned effects after it has released the lock.
    fn update_fleet(&self) -> Vec<(Arc<ShardState>, Effects)> {
        let now = self.clock.now();
        let view = self.view();
        let update = |shard: &Arc<ShardState>| (shard.clone(), shard.update_fleet(&view, now));
        self.table().shards().iter().map(update).collect()
    }

    /// Logs which VMs newly count as alive and which no longer do.
    fn log_view(&self, view: &View) {
        let old = self.view();
        let names = |from: &[VmId], except: &[VmId]| {
            let members = lock(&self.members);
            let new = from.iter().filter(|vm| except.binary_search(vm).is_err());
            let name = |vm: &VmId| members.peer(*vm).map(|peer| peer.profile.name.clone());
            let mut names: Vec<String> = new.filter_map(name).collect();
            let count = names.len();
            if count > LOGGED_NAMES_MAX {
                names.truncate(LOGGED_NAMES_MAX);
                names.push(format!("and {} more", count - LOGGED_NAMES_MAX));
            }
            names.join(" ")
        };
        log::info!(
            answers = names(&view.alive, &old.alive),
            silent = names(&old.alive, &view.alive);
            "member: {} of {} VMs in the region answer, {} in all regions",
            view.alive.len(),
            view.vms.len(),
            view.total_alive
        );
    }

    /// Puts the latest configuration in force on this VM: the catalog's if there is
    /// a registry, or else the mirror's. When the method returns, that configuration
    /// is in force, whichever task has applied it.
    pub(crate) fn put_in_force(&self) {
        if self.registry.is_some() {
            self.put_catalog_in_force();
            return;
        }
        let refresh_guard = lock(&self.refresh_lock);
        let mirror = lock(&self.mirror);
        let state = mirror.state();
        let revisions = member::Revisions {
            head: mirror.revision(),
            domains: mirror.domain_orders().revision,
            ..member::Revisions::default()
        };
        let old = read(&self.state);
        let same = old.revision == state.revision
            && old.domain_orders.revision == state.domain_orders.revision;
        drop(mirror);
        if same {
            return;
        }
        log::info!(
            "conf: revision {} with {} services and domain orders {} are in force",
            state.revision,
            state.services.len(),
            state.domain_orders.revision
        );
        let pending = self.refresh(state);
        drop(refresh_guard);
        self.run_all_effects(pending);
        self.with_members(|members| {
            members.set_revisions(revisions);
            members.announce();
        });
    }

    /// Updates all shards to `state`, which is in force from then on, and to the
    /// latest view of the membership.
    ///
    /// The caller holds `refresh_lock`, and runs the returned effects after it has
    /// released the lock.
    ///
    /// A call looks up its service in the state and then the service's shards in the
    /// table. The table therefore holds the shards of both configurations while the
    /// state is replaced.
    pub(crate) fn refresh(&self, state: Arc<State>) -> Vec<(Arc<ShardState>, Effects)> {
        let now = self.clock.now();
        let view = self.view();
        let table = self.table();
        let mut shards = Vec::new();
        let mut pending = Vec::new();
        let rollouts = self.rollout_rules();
        self.close_ended_rollouts(&state, &rollouts);
        let (region, limit) = (&self.settings.region, self.second_attempts());
        for spec in specs::of_state(&state, region, limit, &rollouts) {
            let spec = Arc::new(spec);
            let shard = match table.get(spec.shard) {
                Some(shard) => shard.clone(),
                None => Arc::new(self.new_shard(spec.clone())),
            };
            let effects = shard.update(spec, &view, now);
            pending.push((shard.clone(), effects));
            shards.push(shard);
        }
        let next = Arc::new(ShardTable::new(shards));
        let removed = table
            .shards()
            .iter()
            .filter(|shard| next.get(shard.id).is_none());
        let both = next.shards().iter().chain(removed).cloned().collect();
        write(&self.table, Arc::new(ShardTable::new(both)));
        let is_new = !Arc::ptr_eq(&read(&self.state), &state);
        if is_new {
            write(&self.state, state.clone());
            write(&self.in_force_since, now);
            self.set_quotas(&state);
        }
        write(&self.table, next);
        pending
    }

    pub(crate) fn run_all_effects(&self, pending: Vec<(Arc<ShardState>, Effects)>) {
        for (shard, effects) in pending {
            self.run_effects(&shard, effects);
        }
    }

    fn new_shard(&self, spec: Arc<ShardSpec>) -> ShardState {
        let picker: Option<Box<dyn policy::Picker>> = match self.settings.policy {
            Policy::Home => None,
            Policy::Random => Some(Box::<policy::Random>::default()),
            Policy::RoundRobin => Some(Box::<policy::RoundRobin>::default()),
            Policy::Least => Some(Box::<policy::LeastRequest>::default()),
            Policy::TwoChoices => Some(Box::<policy::TwoChoices>::default()),
            Policy::ProbePool => Some(Box::<policy::ProbePool>::default()),
        };
        let local = picker.map(|picker| LocalPolicy::new(picker, fastrand::u64(..)));
        let instance = instance::at(SystemTime::now());
        ShardState::new(self.self_id, instance, spec, local)
    }

    /// Detects whether this VM was paused for at least [`PAUSE_MIN`] since the last
    /// check. If so, makes all followers rejoin their homes and all coordinators
    /// give up their ledgers.
    ///
    /// Called before each datagram, call or tick is processed, where messages from
    /// before a pause could otherwise be mistaken for recent ones.
    pub(crate) fn check_pause(&self) {
        let now = self.clock.now().as_millis() as u64;
        let last = self.last_active_ms.fetch_max(now, Ordering::SeqCst);
        if now.saturating_sub(last) < PAUSE_MIN.as_millis() as u64 {
            return;
        }
        log::warn!(
            "node: paused for {} ms; followers join their homes again",
            now - last
        );
        self.pauses.fetch_add(1, Ordering::Relaxed);
        let now = self.clock.now();
        for shard in self.table().shards() {
            let effects = shard.resume_after_pause(now);
            self.run_effects(shard, effects);
        }
        self.resume_quotas(now);
    }

    /// Waits for the next tick of the followers and the membership:
    /// [`FOLLOWER_TICK`] while calls wait for permits. Otherwise until the membership
    /// has work to do or a call begins to wait, but at most [`FOLLOWER_TICK_MAX`].
    pub(crate) async fn next_tick(&self) {
        let permit_requested = self.permit_requested.listen();
        if self.waiting_calls.load(Ordering::Relaxed) == 0 {
            let mut due = lock(&self.members).due();
            if let Some(view_due) = lock(&self.view_schedule).due() {
                due = due.min(view_due);
            }
            let delay = due.saturating_sub(self.clock.now());
            net::timeout(
                delay.clamp(FOLLOWER_TICK, FOLLOWER_TICK_MAX),
                permit_requested,
            )
            .await;
        } else {
            smol::Timer::after(FOLLOWER_TICK).await;
        }
    }

    /// Ticks the membership and all followers.
    pub(crate) fn tick_followers(&self) {
        self.check_pause();
        let now = self.clock.now();
        self.with_members(|members| members.tick(now));
        self.tick_quotas(now);
        for shard in self.table().shards() {
            let effects = shard.tick_follower(now);
            self.run_effects(shard, effects);
        }
    }

    /// Ticks all coordinators; returns whether any of them is busy.
    pub(crate) fn tick_coordinators(&self) -> bool {
        let now = self.clock.now();
        let mut busy = false;
        for shard in self.table().shards() {
            let effects = shard.tick_coordinator(now);
            self.run_effects(shard, effects);
            busy |= shard.with_coordinator(|coordinator| coordinator.is_busy());
        }
        busy
    }

    /// Dispatches a message that another VM sent.
    pub(crate) fn receive(&self, from: VmId, address: SocketAddr, msg: Msg) {
        match msg {
            Msg::Member(msg) => {
                let now = self.clock.now();
                self.with_members(|members| members.receive(now, from, address, msg));
            }
            Msg::Route(msg) => {
                let table = self.table();
                if let Some(shard) = table.get(msg.shard) {
                    self.deliver(shard, from, msg.body);
                }
            }
            Msg::Key(msg) => self.receive_key(from, msg),
            Msg::Crash(msg) => self.receive_crash(msg),
            Msg::Relay(msg) => self.receive_relay(from, msg),
            Msg::Quota(msg) => self.receive_quota(from, msg),
            Msg::Rollout(msg) => self.receive_rollout(from, msg),
        }
    }

    fn deliver(&self, shard: &Arc<ShardState>, from: VmId, body: Body) {
        let effects = shard.receive(from, body, &self.view(), self.clock.now());
        self.run_effects(shard, effects);
    }

    /// Carries out the effects of a shard: reports an unresponsive VM to the
    /// membership, starts probes and delivers messages. Messages to this VM itself
    /// are processed right away, and so are the effects that they cause.
    pub(crate) fn run_effects(&self, shard: &Arc<ShardState>, effects: Effects) {
        let mut pending = VecDeque::from([effects]);
        while let Some(effects) = pending.pop_front() {
            if let Some(vm) = effects.unresponsive {
                let now = self.clock.now();
                self.with_members(|members| members.report_unresponsive(vm, now));
            }
            for server in effects.probes {
                self.probe(shard, server);
            }
            if effects.messages.is_empty() {
                continue;
            }
            let view = self.view();
            for envelope in effects.messages {
                if envelope.to == self.self_id {
                    let now = self.clock.now();
                    pending.push_back(shard.receive(self.self_id, envelope.msg.body, &view, now));
                } else if let Some(address) = view.address(envelope.to) {
                    self.outbox.put(address, Msg::Route(envelope.msg));
                }
            }
        }
    }
}

/// Returns the name of a server for logs, or its id in hexadecimal if the server is
/// not in `state`.
pub(crate) fn server_name(state: &State, service: ServiceId, server: ServerId) -> String {
    let found = state.server(service, server);
    found.map_or_else(|| format!("{server:x}"), |server| server.name.clone())
}
