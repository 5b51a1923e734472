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
use obs::Calls;
use obs::Metrics;
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

use crate::cell::Cell;
use crate::cell::Todo;
use crate::claims::Claims;
use crate::fleet::View;
use crate::specs;
use crate::table::Table;

/// A gap between two ticks after which this VM counts as paused.
const PAUSE: Duration = Duration::from_secs(1);
/// The time between two ticks of the followers while attempts wait.
const SIDE_TICK: Duration = Duration::from_millis(5);
/// The longest time between two ticks of the followers.
const IDLE_TICK: Duration = Duration::from_millis(250);

/// What the tasks of one VM share.
pub struct Shared {
    /// The settings.
    pub settings: Settings,
    /// The settings that were read last; see [`crate::reload`].
    pub(crate) taken: Mutex<Settings>,
    /// This VM.
    pub me: VmId,
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
    pub calls: Arc<Calls>,
    /// The signal to stop taking callers.
    pub stop: Stop,
    /// The budget of calls to the platform.
    pub budget: Mutex<Budget>,
    pub(crate) members: Mutex<Membership>,
    pub(crate) mirror: Mutex<Mirror>,
    pub(crate) catalog: Mutex<Catalog>,
    pub(crate) shown: AtomicU64,
    pub(crate) confirmed: AtomicU64,
    pub(crate) away: AtomicU64,
    pub(crate) reached: AtomicU64,
    pub(crate) pulling: AtomicBool,
    pub(crate) pulls: async_channel::Sender<SocketAddr>,
    pub(crate) claims: Claims,
    pub(crate) in_force: RwLock<Time>,
    pub(crate) life: u32,
    seen_view: AtomicU64,
    pub(crate) state: RwLock<Arc<State>>,
    view: RwLock<Arc<View>>,
    table: RwLock<Arc<Table>>,
    pub(crate) refreshing: Mutex<()>,
    pub(crate) memory: Mutex<ClaimTable>,
    pulse: AtomicU64,
    pub(crate) next_claim: AtomicU64,
    pub(crate) own: OnceLock<Weak<Shared>>,
    pub(crate) waiting: AtomicUsize,
    pub(crate) asked: Event,
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
    pub life: u32,
    /// Where addresses of peers with newer configuration are put.
    pub pulls: async_channel::Sender<SocketAddr>,
    /// Where servers are put that closed an idle connection.
    pub lost: async_channel::Sender<ServerId>,
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
        let me = parts.settings.vm_id();
        let view = View::new(&parts.members);
        let mut memory = ClaimTable::new(me, now);
        memory.set_view(&view.vms, view.strangers == 0, now);
        Self {
            me,
            pools: Arc::new(Pools::new(parts.handle.clone(), parts.clock, parts.lost)),
            taken: Mutex::new(parts.settings.clone()),
            settings: parts.settings,
            clock: parts.clock,
            handle: parts.handle,
            store: parts.store,
            registry: parts.registry,
            dialect: parts.dialect,
            catalog: Mutex::default(),
            shown: AtomicU64::new(0),
            confirmed: AtomicU64::new(0),
            away: AtomicU64::new(0),
            reached: AtomicU64::new(0),
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
            pulling: AtomicBool::new(false),
            pulls: parts.pulls,
            claims: Claims::default(),
            in_force: RwLock::new(now),
            life: parts.life,
            seen_view: AtomicU64::new(0),
            state: RwLock::default(),
            table: RwLock::default(),
            refreshing: Mutex::new(()),
            memory: Mutex::new(memory),
            pulse: AtomicU64::new(now.as_millis() as u64),
            next_claim: AtomicU64::new(1),
            own: OnceLock::new(),
            waiting: AtomicUsize::new(0),
            asked: Event::new(),
            pauses: AtomicU64::new(0),
        }
    }

    /// Returns the membership as it is now.
    pub fn view(&self) -> Arc<View> {
        read(&self.view)
    }

    /// Returns the cells of all shards.
    pub fn table(&self) -> Arc<Table> {
        read(&self.table)
    }

    /// Returns how often this VM was found to have been paused.
    pub fn pauses(&self) -> u64 {
        self.pauses.load(Ordering::Relaxed)
    }

    /// Returns since when the configuration in force has been so.
    pub fn in_force(&self) -> Time {
        read(&self.in_force)
    }

    /// Works on the membership and does what follows.
    pub(crate) fn with_members<T>(&self, work: impl FnOnce(&mut Membership) -> T) -> T {
        let mut members = lock(&self.members);
        let result = work(&mut members);
        let actions = members.take_actions();
        let number = members.version();
        let changed = self.seen_view.swap(number, Ordering::SeqCst) != number;
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
            member::Action::NewerRevisions { vm, .. } => self.wants_pull(vm),
            member::Action::SameRegistry { revisions } => self.note_same(&revisions),
        }
    }

    fn set_view(&self, view: Arc<View>) {
        if *self.view() == *view {
            return;
        }
        self.log_view(&view);
        let whole = view.strangers == 0;
        lock(&self.memory).set_view(&view.vms, whole, self.clock.now());
        write(&self.view, view);
        let one_at_a_time = lock(&self.refreshing);
        let todos = self.refresh(read(&self.state));
        drop(one_at_a_time);
        self.run_all(todos);
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
            view.everywhere
        );
    }

    /// Puts the mirror's configuration in force on this VM; when it returns, it
    /// is, whichever task did it.
    pub(crate) fn put_in_force(&self) {
        if self.registry.is_some() {
            self.put_catalog_in_force();
            return;
        }
        let one_at_a_time = lock(&self.refreshing);
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
        let todos = self.refresh(state);
        drop(one_at_a_time);
        self.run_all(todos);
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
    pub(crate) fn refresh(&self, state: Arc<State>) -> Vec<(Arc<Cell>, Todo)> {
        let now = self.clock.now();
        let view = self.view();
        let table = self.table();
        let mut cells = Vec::new();
        let mut todos = Vec::new();
        for spec in specs::of_state(&state, &self.settings.region, self.second_attempts()) {
            let spec = Arc::new(spec);
            let cell = match table.shard(spec.shard) {
                Some(cell) => cell.clone(),
                None => Arc::new(self.new_cell(spec.clone())),
            };
            let todo = cell.update(spec, &view, now);
            todos.push((cell.clone(), todo));
            cells.push(cell);
        }
        let next = Arc::new(Table::new(cells));
        let gone = table
            .cells()
            .iter()
            .filter(|c| next.shard(c.shard).is_none());
        let both = next.cells().iter().chain(gone).cloned().collect();
        write(&self.table, Arc::new(Table::new(both)));
        let fresh = !Arc::ptr_eq(&read(&self.state), &state);
        if fresh {
            write(&self.state, state);
            write(&self.in_force, now);
        }
        write(&self.table, next);
        todos
    }

    pub(crate) fn run_all(&self, todos: Vec<(Arc<Cell>, Todo)>) {
        for (cell, todo) in todos {
            self.run(&cell, todo);
        }
    }

    fn new_cell(&self, spec: Arc<ShardSpec>) -> Cell {
        let picker: Option<Box<dyn policy::Picker>> = match self.settings.policy {
            Policy::Home => None,
            Policy::Random => Some(Box::<policy::Random>::default()),
            Policy::RoundRobin => Some(Box::<policy::RoundRobin>::default()),
            Policy::Least => Some(Box::<policy::LeastRequest>::default()),
            Policy::TwoChoices => Some(Box::<policy::TwoChoices>::default()),
            Policy::ProbePool => Some(Box::<policy::ProbePool>::default()),
        };
        let seed = self.me ^ u64::from(self.life);
        let local = picker.map(|picker| LocalPolicy::new(picker, seed));
        Cell::new(self.me, self.life, spec, local)
    }

    /// Notes that this VM runs, and handles it if it has not for a while.
    ///
    /// It is called wherever old messages might be taken for new ones after a
    /// pause: before a datagram, a request or a tick is worked on.
    pub(crate) fn check_pause(&self) {
        let now = self.clock.now().as_millis() as u64;
        let last = self.pulse.fetch_max(now, Ordering::SeqCst);
        if now.saturating_sub(last) < PAUSE.as_millis() as u64 {
            return;
        }
        log::warn!("node: paused for {} ms; homes are asked again", now - last);
        self.pauses.fetch_add(1, Ordering::Relaxed);
        let now = self.clock.now();
        for cell in self.table().cells() {
            let todo = cell.wake(now);
            self.run(cell, todo);
        }
    }

    /// Waits for the next tick of the followers and the membership: a short time
    /// while attempts wait, or else until the membership has something to do or
    /// an attempt begins to wait.
    pub(crate) async fn next_tick(&self) {
        let asked = self.asked.listen();
        if self.waiting.load(Ordering::Relaxed) == 0 {
            let due = lock(&self.members).due();
            let rest = due.saturating_sub(self.clock.now());
            net::timeout(rest.clamp(SIDE_TICK, IDLE_TICK), asked).await;
        } else {
            smol::Timer::after(SIDE_TICK).await;
        }
    }

    /// Does what is due on the followers' side and in the membership.
    pub(crate) fn tick_sides(&self) {
        self.check_pause();
        let now = self.clock.now();
        self.with_members(|members| {
            self.stamp_age(members);
            members.tick(now);
        });
        for cell in self.table().cells() {
            let todo = cell.tick_side(now);
            self.run(cell, todo);
        }
    }

    /// Does what is due at the coordinators; returns whether any is busy.
    pub(crate) fn tick_coordinators(&self) -> bool {
        let now = self.clock.now();
        let mut busy = false;
        for cell in self.table().cells() {
            let todo = cell.tick_coordinator(now);
            self.run(cell, todo);
            busy |= cell.with_coordinator(|coordinator| coordinator.is_busy());
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
                if let Some(cell) = table.shard(msg.shard) {
                    self.deliver(cell, from, msg.body);
                }
            }
            Msg::Key(msg) => self.receive_key(from, msg),
        }
    }

    fn deliver(&self, cell: &Arc<Cell>, from: VmId, body: Body) {
        let todo = cell.receive(from, body, &self.view(), self.clock.now());
        self.run(cell, todo);
    }

    /// Takes a cell's messages where they belong, until there are none left.
    pub(crate) fn run(&self, cell: &Arc<Cell>, todo: Todo) {
        let mut todos = VecDeque::from([todo]);
        while let Some(todo) = todos.pop_front() {
            if let Some(vm) = todo.silent {
                let now = self.clock.now();
                self.with_members(|members| members.report_unresponsive(vm, now));
            }
            for server in todo.probes {
                self.probe(cell, server);
            }
            if todo.messages.is_empty() {
                continue;
            }
            let view = self.view();
            for envelope in todo.messages {
                if envelope.to == self.me {
                    let now = self.clock.now();
                    todos.push_back(cell.receive(self.me, envelope.msg.body, &view, now));
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
