//! What all tasks of one VM share, and how messages find their way.

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
use net::exec::Handle;
use net::Stop;
use obs::Metrics;
use obs::RecentCalls;
use obs::Spans;
use plat::budget::Budget;
use plat::Store;
use route::keys::ClaimTable;
use route::msg::Body;
use route::policy;
use route::policy::LocalPolicy;
use route::ShardSpec;
use wire::Keyring;
use wire::Msg;
use wire::Outbox;
use wire::Transport;

use crate::claims::PendingClaims;
use crate::shard::Effects;
use crate::shard::ShardState;
use crate::shard_table::ShardTable;
use crate::specs;
use crate::view::View;

/// A gap between two ticks after which this VM counts as paused.
const PAUSE: Duration = Duration::from_secs(1);
/// The time between two ticks of the followers while attempts wait.
const FOLLOWER_TICK: Duration = Duration::from_millis(5);
/// The longest time between two ticks of the followers.
const FOLLOWER_TICK_MAX: Duration = Duration::from_millis(250);

/// What the tasks of one VM share.
pub struct Shared {
    /// The settings.
    pub settings: Settings,
    /// The settings that were read last; see [`crate::reload`].
    pub(crate) last_settings: Mutex<Settings>,
    /// This VM.
    pub self_id: VmId,
    /// The clock of the process.
    pub clock: Clock,
    /// Where tasks run.
    pub handle: Handle,
    /// The platform.
    pub store: Arc<dyn Store>,
    /// The users' system of record, if the platform has one.
    pub registry: Option<Arc<dyn Registry>>,
    /// The fields by which callers and servers are spoken to.
    pub dialect: Arc<dyn Dialect>,
    /// The network.
    pub transport: Arc<dyn Transport>,
    /// The keys that sign messages.
    pub keyring: Keyring,
    /// Messages to other VMs.
    pub outbox: Outbox,
    /// Connections to backend servers.
    pub pools: Arc<Pools>,
    /// Metrics.
    pub metrics: Arc<Metrics>,
    /// Spans.
    pub spans: Arc<Spans>,
    /// Where recent calls were served.
    pub calls: Arc<RecentCalls>,
    /// The signal to stop taking callers.
    pub stop: Stop,
    /// The budget of calls to the platform.
    pub budget: Mutex<Budget>,
    pub(crate) members: Mutex<Membership>,
    pub(crate) mirror: Mutex<Mirror>,
    pub(crate) catalog: Mutex<Catalog>,
    pub(crate) applied_changes: AtomicU64,
    pub(crate) confirmed_ms: AtomicU64,
    pub(crate) registry_failed_ms: AtomicU64,
    pub(crate) registry_read_ms: AtomicU64,
    pub(crate) fetching: AtomicBool,
    pub(crate) fetch_requests: async_channel::Sender<SocketAddr>,
    pub(crate) claims: PendingClaims,
    pub(crate) in_force_since: RwLock<Time>,
    pub(crate) boot_id: u32,
    view_number: AtomicU64,
    pub(crate) state: RwLock<Arc<State>>,
    view: RwLock<Arc<View>>,
    table: RwLock<Arc<ShardTable>>,
    pub(crate) refresh_lock: Mutex<()>,
    pub(crate) remembered_keys: Mutex<ClaimTable>,
    last_active_ms: AtomicU64,
    pub(crate) next_claim: AtomicU64,
    pub(crate) weak_self: OnceLock<Weak<Shared>>,
    pub(crate) waiting_calls: AtomicUsize,
    pub(crate) permit_requested: Event,
    pauses: AtomicU64,
}

/// The parts that a [`Shared`] is made of.
pub struct Parts {
    /// The settings.
    pub settings: Settings,
    /// The clock of the process.
    pub clock: Clock,
    /// Where tasks run.
    pub handle: Handle,
    /// The platform.
    pub store: Arc<dyn Store>,
    /// The users' system of record, if the platform has one.
    pub registry: Option<Arc<dyn Registry>>,
    /// The fields by which callers and servers are spoken to.
    pub dialect: Arc<dyn Dialect>,
    /// The network.
    pub transport: Arc<dyn Transport>,
    /// The keys that sign messages.
    pub keyring: Keyring,
    /// Messages to other VMs.
    pub outbox: Outbox,
    /// Metrics.
    pub metrics: Arc<Metrics>,
    /// Spans.
    pub spans: Arc<Spans>,
    /// The membership.
    pub members: Membership,
    /// A number that differs between the lives of this VM.
    pub boot_id: u32,
    /// Where addresses of peers with newer configuration are put.
    pub fetch_requests: async_channel::Sender<SocketAddr>,
    /// Where servers are put that closed an idle connection.
    pub lost_connections: async_channel::Sender<ServerId>,
}

pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

pub(crate) fn read<T: Clone>(value: &RwLock<T>) -> T {
    value.read().unwrap_or_else(PoisonError::into_inner).clone()
}

fn write<T>(place: &RwLock<T>, value: T) {
    *place.write().unwrap_or_else(PoisonError::into_inner) = value;
}

impl Shared {
    /// Puts the parts together.
    pub fn new(parts: Parts) -> Self {
        let now = parts.clock.now();
        let self_id = parts.settings.vm_id();
        let view = View::new(&parts.members);
        let mut remembered_keys = ClaimTable::new(self_id, now);
        remembered_keys.set_view(&view.vms, view.undiscovered == 0, now);
        Self {
            self_id,
            pools: Arc::new(Pools::new(
                parts.handle.clone(),
                parts.clock,
                parts.lost_connections,
            )),
            last_settings: Mutex::new(parts.settings.clone()),
            settings: parts.settings,
            clock: parts.clock,
            handle: parts.handle,
            store: parts.store,
            registry: parts.registry,
            dialect: parts.dialect,
            catalog: Mutex::default(),
            applied_changes: AtomicU64::new(0),
            confirmed_ms: AtomicU64::new(0),
            registry_failed_ms: AtomicU64::new(0),
            registry_read_ms: AtomicU64::new(0),
            transport: parts.transport,
            keyring: parts.keyring,
            outbox: parts.outbox,
            metrics: parts.metrics,
            spans: parts.spans,
            calls: Arc::default(),
            stop: Stop::new(),
            budget: Mutex::new(Budget::new()),
            view: RwLock::new(Arc::new(view)),
            members: Mutex::new(parts.members),
            mirror: Mutex::new(Mirror::new()),
            fetching: AtomicBool::new(false),
            fetch_requests: parts.fetch_requests,
            claims: PendingClaims::default(),
            in_force_since: RwLock::new(now),
            boot_id: parts.boot_id,
            view_number: AtomicU64::new(0),
            state: RwLock::default(),
            table: RwLock::default(),
            refresh_lock: Mutex::new(()),
            remembered_keys: Mutex::new(remembered_keys),
            last_active_ms: AtomicU64::new(now.as_millis() as u64),
            next_claim: AtomicU64::new(1),
            weak_self: OnceLock::new(),
            waiting_calls: AtomicUsize::new(0),
            permit_requested: Event::new(),
            pauses: AtomicU64::new(0),
        }
    }

    /// Returns the membership as it is now.
    pub fn view(&self) -> Arc<View> {
        read(&self.view)
    }

    /// Returns the cells of all shards.
    pub fn table(&self) -> Arc<ShardTable> {
        read(&self.table)
    }

    /// Returns how often this VM was found to have been paused.
    pub fn pauses(&self) -> u64 {
        self.pauses.load(Ordering::Relaxed)
    }

    /// Returns since when the configuration in force has been so.
    pub fn in_force_since(&self) -> Time {
        read(&self.in_force_since)
    }

    /// Works on the membership and does what follows.
    pub(crate) fn with_members<T>(&self, work: impl FnOnce(&mut Membership) -> T) -> T {
        let mut members = lock(&self.members);
        let result = work(&mut members);
        let actions = members.take_actions();
        let number = members.version();
        let changed = self.view_number.swap(number, Ordering::SeqCst) != number;
        let view = changed.then(|| Arc::new(View::new(&members)));
        drop(members);
        for action in actions {
            self.member_action(action);
        }
        if let Some(view) = view {
            self.set_view(view);
        }
        result
    }

    fn member_action(&self, action: member::Action) {
        match action {
            member::Action::Send { to, msg } => self.outbox.put(to, Msg::Member(msg)),
            member::Action::NewerRevisions { vm, .. } => self.request_fetch(vm),
            member::Action::SameRegistry { revisions } => self.note_same(&revisions),
        }
    }

    fn set_view(&self, view: Arc<View>) {
        if *self.view() == *view {
            return;
        }
        self.log_view(&view);
        let whole = view.undiscovered == 0;
        lock(&self.remembered_keys).set_view(&view.vms, whole, self.clock.now());
        write(&self.view, view);
        let refresh_guard = lock(&self.refresh_lock);
        let pending = self.refresh(read(&self.state));
        drop(refresh_guard);
        self.run_all_effects(pending);
    }

    /// Logs which VMs count as answering from now on, and which no longer do.
    fn log_view(&self, view: &View) {
        let old = self.view();
        let names = |from: &[VmId], but: &[VmId]| {
            let members = lock(&self.members);
            let new = from.iter().filter(|vm| but.binary_search(vm).is_err());
            let name = |vm: &VmId| members.peer(*vm).map(|peer| peer.profile.name.clone());
            let names: Vec<String> = new.filter_map(name).collect();
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

    /// Puts the mirror's configuration in force on this VM; when it returns, it
    /// is, whichever task did it.
    pub(crate) fn put_in_force(&self) {
        if self.registry.is_some() {
            self.put_catalog_in_force();
            return;
        }
        let refresh_guard = lock(&self.refresh_lock);
        let mirror = lock(&self.mirror);
        let state = mirror.state();
        let marks = member::Revisions {
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
            members.set_revisions(marks);
            members.announce();
        });
    }

    /// Brings all cells in line with `state`, which is in force from then on, and
    /// with the membership; for the holder of `refreshing` only. What has to be
    /// done then is returned, to be done without it.
    ///
    /// Calls find their service in the state and then its cells, so these are
    /// there before a new state is, and until after an old one.
    pub(crate) fn refresh(&self, state: Arc<State>) -> Vec<(Arc<ShardState>, Effects)> {
        let now = self.clock.now();
        let view = self.view();
        let table = self.table();
        let mut shards = Vec::new();
        let mut pending = Vec::new();
        for spec in specs::of_state(&state, &self.settings.region, self.second_attempts()) {
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
        let gone = table.shards().iter().filter(|c| next.get(c.id).is_none());
        let both = next.shards().iter().chain(gone).cloned().collect();
        write(&self.table, Arc::new(ShardTable::new(both)));
        let fresh = !Arc::ptr_eq(&read(&self.state), &state);
        if fresh {
            write(&self.state, state);
            write(&self.in_force_since, now);
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
        let seed = self.self_id ^ u64::from(self.boot_id);
        let local = picker.map(|picker| LocalPolicy::new(picker, seed));
        ShardState::new(self.self_id, self.boot_id, spec, local)
    }

    /// Notes that this VM runs, and handles it if it has not for a while.
    ///
    /// It is called wherever old messages might be taken for new ones after a
    /// pause: before a datagram, a request or a tick is worked on.
    pub(crate) fn check_pause(&self) {
        let now = self.clock.now().as_millis() as u64;
        let last = self.last_active_ms.fetch_max(now, Ordering::SeqCst);
        if now.saturating_sub(last) < PAUSE.as_millis() as u64 {
            return;
        }
        log::warn!("node: paused for {} ms; homes are asked again", now - last);
        self.pauses.fetch_add(1, Ordering::Relaxed);
        let now = self.clock.now();
        for shard in self.table().shards() {
            let effects = shard.resume_after_pause(now);
            self.run_effects(shard, effects);
        }
    }

    /// Waits for the next tick of the followers and the membership: a short time
    /// while attempts wait, or else until the membership has something to do or
    /// an attempt begins to wait.
    pub(crate) async fn next_tick(&self) {
        let permit_requested = self.permit_requested.listen();
        if self.waiting_calls.load(Ordering::Relaxed) == 0 {
            let due = lock(&self.members).due();
            let rest = due.saturating_sub(self.clock.now());
            net::timeout(
                rest.clamp(FOLLOWER_TICK, FOLLOWER_TICK_MAX),
                permit_requested,
            )
            .await;
        } else {
            smol::Timer::after(FOLLOWER_TICK).await;
        }
    }

    /// Does what is due on the followers' side and in the membership.
    pub(crate) fn tick_followers(&self) {
        self.check_pause();
        let now = self.clock.now();
        self.with_members(|members| {
            self.set_registry_age(members);
            members.tick(now);
        });
        for shard in self.table().shards() {
            let effects = shard.tick_follower(now);
            self.run_effects(shard, effects);
        }
    }

    /// Does what is due at the coordinators; returns whether any is busy.
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

    /// Takes a message that came from another VM.
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
        }
    }

    fn deliver(&self, shard: &Arc<ShardState>, from: VmId, body: Body) {
        let effects = shard.receive(from, body, &self.view(), self.clock.now());
        self.run_effects(shard, effects);
    }

    /// Takes a cell's messages where they belong, until there are none left.
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

/// Returns the name of a server for logs.
pub(crate) fn server_name(state: &State, service: ServiceId, server: ServerId) -> String {
    let known = state.server(service, server);
    known.map_or_else(|| format!("{server:x}"), |server| server.name.clone())
}
