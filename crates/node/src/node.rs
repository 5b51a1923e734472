//! Starts and stops an entry VM.

use std::future::Future;
use std::net::SocketAddr;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use anyhow::Context;
use base::Clock;
use conf::registry::Topic;
use conf::settings;
use conf::Registry;
use conf::Settings;
use entry::dialect::Native;
use entry::proxy::Identity;
use entry::relay::RelayedCalls;
use entry::Dialect;
use entry::Pools;
use entry::Ports;
use entry::Proxy;
use http::HeaderValue;
use member::Membership;
use member::Profile;
use net::client::Connector;
use net::client::Direct;
use net::exec::StartError;
use net::server::Limits;
use net::server::Server;
use net::BoxFuture;
use net::Listeners;
use net::Stop;
use net::ThreadPool;
use obs::Metrics;
use obs::Spans;
use plat::Store;
use smol::Task;
use wire::transport::Udp;
use wire::Keyring;
use wire::Outbox;
use wire::Transport;

use crate::gauges;
use crate::shared::Parts;
use crate::shared::Shared;
use crate::sync::WatchedObject;

/// The field of the settings whose addresses a VM needs to be ready.
const CALLERS_FIELD: &str = "callers.listen";
/// The interval between two ticks of the coordinators while any of them is busy.
const COORDINATOR_TICK: Duration = Duration::from_millis(20);
/// The interval between two ticks of the coordinators while none of them is busy.
const IDLE_COORDINATOR_TICK: Duration = Duration::from_millis(200);
/// The interval at which the connection pools are swept for idle connections.
const SWEEP_INTERVAL: Duration = Duration::from_secs(2);
/// How long the connections that are still open at the end of a planned stop may take to
/// close.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(50);
/// The most lost connections that are queued to be reported. If the queue is full, a
/// lost connection is not reported, and only the next call to the server shows that
/// the server may have restarted.
const LOST_CONNECTIONS_MAX: usize = 1024;

/// Replacements for the default components of a VM.
#[derive(Default)]
pub struct Options {
    /// The transport for messages between VMs; UDP by default.
    pub transport: Option<Arc<dyn Transport>>,
    /// The platform's object store; by default an HTTP client to the address in the
    /// settings.
    pub store: Option<Arc<dyn Store>>,
    /// The service registry. None by default: the configuration then comes from
    /// accepted tickets.
    pub registry: Option<Arc<dyn Registry>>,
    /// The header fields that are exchanged with callers and backend servers; those
    /// of [`Native`] by default.
    pub dialect: Option<Arc<dyn Dialect>>,
    /// How connections to backend servers are opened; [`Direct`] by default.
    pub connector: Option<Arc<dyn Connector>>,
    /// Whether each message between VMs is sent in a datagram of its own instead
    /// of being batched with others.
    pub unbatched: bool,
}

/// A running entry VM.
pub struct Node {
    shared: Arc<Shared>,
    pool: ThreadPool,
    ready: Arc<AtomicBool>,
    callers: Vec<SocketAddr>,
    tasks: Vec<Task<()>>,
    kill: Stop,
}

impl Node {
    /// Starts an entry VM on a new pool of threads. The VM serves callers until it
    /// is stopped or dropped.
    ///
    /// Waits until the UDP socket for peers is bound; see [`net::listen`]. All other
    /// addresses that are not free are listened on once they are.
    ///
    /// Returns an error if a listen address can never be bound, or if the trace file,
    /// the TLS files or the VM's name cannot be used.
    pub async fn start(settings: Settings, options: Options) -> anyhow::Result<Self> {
        let pool = Self::new_pool(&settings)?;
        Self::start_on(pool, settings, options).await
    }

    /// Returns a new pool of `settings.threads` threads, or of one thread per processor
    /// core if the setting is missing. Fails if no thread can be started.
    pub fn new_pool(settings: &Settings) -> Result<ThreadPool, StartError> {
        ThreadPool::try_new(&settings.vm, settings.threads.unwrap_or_else(cores))
    }

    /// Starts an entry VM on `pool`; the errors are those of [`Self::start`].
    pub async fn start_on(
        pool: ThreadPool,
        settings: Settings,
        options: Options,
    ) -> anyhow::Result<Self> {
        let handle = pool.handle();
        let (fetch_requests, fetch_sources) = async_channel::bounded(1);
        let (lost_connections, lost_servers) = async_channel::bounded(LOST_CONNECTIONS_MAX);
        let peers = settings.peers.listen;
        let listeners = Listeners::default();
        let transport: Arc<dyn Transport> = match options.transport {
            Some(transport) => transport,
            None => {
                let bind = |address| -> BoxFuture<'static, _> { Box::pin(Udp::bind(address)) };
                let socket = listeners.bind("peers.listen, UDP", peers, bind).await?;
                Arc::new(socket.bound().await)
            }
        };
        let store = options.store.unwrap_or_else(|| {
            let client = plat::http::Client::new(settings.platform.address, handle.clone());
            Arc::new(client)
        });
        let keyring = keyring(&settings);
        let mut outbox = Outbox::new(settings.vm_id(), keyring.clone());
        if options.unbatched {
            outbox = outbox.without_batching();
        }
        let traces = &settings.traces;
        let spans = Spans::new(&settings.vm, traces.share, traces.file.as_deref())
            .context("cannot open traces.file; check the path")?;
        let shared = Arc::new(Shared::new(Parts {
            clock: Clock::new(),
            members: new_membership(&settings),
            handle,
            store,
            registry: options.registry,
            dialect: options.dialect.unwrap_or_else(|| Arc::new(Native)),
            connector: options.connector.unwrap_or_else(|| Arc::new(Direct)),
            transport,
            listeners,
            keyring,
            outbox,
            metrics: Arc::new(Metrics::new()?),
            spans: Arc::new(spans),
            settings,
            fetch_requests,
            lost_connections,
        }));
        // `weak_self` is still empty, so setting it cannot fail.
        let _ = shared.weak_self.set(Arc::downgrade(&shared));
        gauges::register(&shared);
        let mut node = Self {
            shared,
            pool,
            ready: Arc::new(AtomicBool::new(true)),
            callers: Vec::new(),
            tasks: Vec::new(),
            kill: Stop::new(),
        };
        let shared = node.shared.clone();
        node.tasks.push(node.supervise("lost connections", move || {
            shared.clone().report_lost_connections(lost_servers.clone())
        }));
        node.start_peers(fetch_sources).await?;
        node.start_ticks();
        node.start_callers().await?;
        Ok(node)
    }

    /// Returns the state that the VM's tasks share.
    pub fn shared(&self) -> &Arc<Shared> {
        &self.shared
    }

    /// Returns the pool of threads that the VM runs on.
    pub fn pool(&self) -> &ThreadPool {
        &self.pool
    }

    /// Returns the addresses on which the VM has listened for callers since its start.
    /// Those that were not free then are missing.
    pub fn caller_addresses(&self) -> &[SocketAddr] {
        &self.callers
    }

    /// Returns the readiness flag, which the administration API reports: true from
    /// the start until [`Self::stop`] is called.
    pub fn ready(&self) -> Arc<AtomicBool> {
        self.ready.clone()
    }

    /// Starts the tasks that exchange messages with peers and keep the configuration up
    /// to date.
    async fn start_peers(
        &mut self,
        fetch_sources: async_channel::Receiver<SocketAddr>,
    ) -> anyhow::Result<()> {
        let shared = &self.shared;
        let peers = shared.settings.peers.listen;
        let listener = shared.listeners.tcp("peers.listen, TCP", peers).await?;
        let [sender, receiver, server, fetcher] = [(); 4].map(|()| shared.clone());
        let tasks = [
            self.supervise("sender", move || {
                let sender = sender.clone();
                async move { sender.outbox.run(&*sender.transport).await }
            }),
            self.supervise("receiver", move || receiver.clone().receive_datagrams()),
            self.pool.spawn(async move {
                let listener = listener.bound().await;
                let serve = || server.clone().serve_streams(listener.clone());
                net::exec::supervise("streams", serve).await;
            }),
            self.supervise("fetches", move || {
                fetcher.clone().fetch_from_peers(fetch_sources.clone())
            }),
        ];
        let [registrar, head, domains, vms] = [(); 4].map(|()| shared.clone());
        let watches = match shared.registry.clone() {
            Some(registry) => vec![
                self.follow_topic(&registry, Topic::Layout),
                self.follow_topic(&registry, Topic::Servers),
                self.follow_topic(&registry, Topic::DomainsOut),
                self.supervise("registration", move || {
                    registrar.clone().keep_registered(registry.clone())
                }),
            ],
            None => vec![
                self.supervise("head", move || head.clone().watch(WatchedObject::Head)),
                self.supervise("domains", move || {
                    domains.clone().watch(WatchedObject::Domains)
                }),
                self.supervise("VM list", move || vms.clone().poll_vm_list()),
            ],
        };
        self.tasks.extend(tasks.into_iter().chain(watches));
        if let (Some(registry), Some(_)) = (&self.shared.registry, self.shared.settings.rollouts) {
            let (shared, writer) = (self.shared.clone(), registry.clone());
            let decider = self.supervise("roll-outs", move || {
                shared.clone().run_rollouts(writer.clone())
            });
            self.tasks
                .extend([self.follow_topic(registry, Topic::Rollouts), decider]);
        }
        Ok(())
    }

    fn follow_topic(&self, registry: &Arc<dyn Registry>, topic: Topic) -> Task<()> {
        let (shared, registry) = (self.shared.clone(), registry.clone());
        self.supervise("topic", move || {
            shared.clone().follow_topic(registry.clone(), topic)
        })
    }

    /// Runs the future that `start` returns, and another one whenever it panics. What it
    /// shares with other tasks is as consistent as after a panic of a call, since each
    /// change is made under a mutex that recovers.
    fn supervise<F>(
        &self,
        name: &'static str,
        start: impl Fn() -> F + Send + Sync + 'static,
    ) -> Task<()>
    where
        F: Future<Output = ()> + Send + 'static,
    {
        self.pool
            .spawn(async move { net::exec::supervise(name, start).await })
    }

    /// Starts the periodic tasks.
    fn start_ticks(&mut self) {
        let [followers, coordinators, pools] = [(); 3].map(|()| self.shared.clone());
        let tasks = [
            self.supervise("followers", move || {
                let shared = followers.clone();
                async move {
                    loop {
                        shared.next_tick().await;
                        shared.tick_followers();
                    }
                }
            }),
            self.supervise("coordinators", move || {
                let shared = coordinators.clone();
                async move {
                    loop {
                        let busy = shared.tick_coordinators();
                        let delay = if busy {
                            COORDINATOR_TICK
                        } else {
                            IDLE_COORDINATOR_TICK
                        };
                        smol::Timer::after(delay).await;
                    }
                }
            }),
            self.supervise("sweeps", move || {
                let shared = pools.clone();
                async move {
                    loop {
                        smol::Timer::after(SWEEP_INTERVAL).await;
                        shared.pools.close_idle(shared.clock.now());
                    }
                }
            }),
        ];
        self.tasks.extend(tasks);
    }

    /// Listens for callers and starts the proxy that serves them.
    async fn start_callers(&mut self) -> anyhow::Result<()> {
        let shared = &self.shared;
        let callers = shared.settings.callers.clone();
        let ports: Arc<dyn Ports> = shared.clone();
        let identity = Identity {
            vm: HeaderValue::from_str(&shared.settings.vm)
                .context("vm cannot be sent as a header value")?,
            domain: shared.settings.domain_id(),
            max_body: callers.body,
            memory: shared.memory.clone(),
        };
        // Restarts of VMs are found by the membership, and not by their lost connections.
        let (ignored, _) = async_channel::bounded(1);
        let relay_pools = Arc::new(Pools::new(self.pool.handle(), shared.clock, ignored));
        let proxy = Proxy::new(
            ports,
            shared.pools.clone(),
            shared.metrics.clone(),
            shared.spans.clone(),
            shared.calls.clone(),
            identity,
        )
        .with_dialect(shared.dialect.clone())
        .with_relay_pools(relay_pools);
        let proxy = Arc::new(proxy);
        let limits = Limits {
            connections: callers.connections,
            head_bytes: callers.head,
            head_timeout: callers.patience,
            half_close: callers.half_close,
            ..Limits::default()
        };
        let handle = self.pool.handle();
        let relayed = Arc::new(RelayedCalls(proxy.clone()));
        let relay_server = Server::new(relayed, handle.clone(), shared.stop.clone())
            .with_limits(limits)
            .with_memory(shared.memory.clone())
            .with_kill(self.kill.clone());
        let relay = shared.settings.peers.relay_address();
        let listener = shared.listeners.tcp("peers.relay", relay).await?;
        let reach = shared.clone();
        self.tasks.push(self.pool.spawn(async move {
            let listener = listener.bound().await;
            if let Ok(address) = listener.local_addr() {
                reach.reach.set_relay_address(address);
            }
            relay_server.run(listener).await;
        }));
        let mut server = Server::new(proxy, handle, shared.stop.clone())
            .with_limits(limits)
            .with_connections(shared.caller_connections.clone())
            .with_memory(shared.memory.clone())
            .with_kill(self.kill.clone());
        if let Some(tls) = &callers.tls {
            server = server.with_tls(net::tls::acceptor(&tls.certificate, &tls.key)?);
        }
        for address in callers.listen {
            let listener = shared.listeners.tcp(CALLERS_FIELD, address).await?;
            self.callers.extend(listener.local_address());
            self.tasks
                .push(self.pool.spawn(server.clone().run_when_bound(listener)));
        }
        if !self.callers.is_empty() {
            log::info!(
                "node: {} serves callers at {:?}",
                shared.settings.vm,
                self.callers
            );
        }
        Ok(())
    }

    /// Stops the VM gracefully. Turns readiness off, waits for `settings.notice`,
    /// stops accepting connections, waits up to `settings.drain_limit()` for the calls in
    /// flight, and then sends the peers notice that this VM leaves. Once connections are no
    /// longer accepted, only calls that end within that time are sent on.
    ///
    /// Returns whether all calls ended in time.
    pub async fn stop(self) -> bool {
        self.ready.store(false, Ordering::SeqCst);
        // A VM that was never ready has nobody to notify.
        let notice = match self.shared.waiting_callers() {
            Some(_) => Duration::ZERO,
            None => self.shared.settings.notice,
        };
        let drain = self.shared.settings.drain_limit();
        // Set once, since `stop` consumes the node.
        let end = self.shared.clock.now() + notice + drain;
        let _ = self.shared.drain_end.set(end);
        log::info!(
            notice_ms = notice.as_millis() as u64,
            drain_ms = drain.as_millis() as u64,
            connections = self.shared.caller_connections.count() as u64;
            "node: stopping; readiness is off"
        );
        smol::Timer::after(notice).await;
        self.shared.stop.trigger();
        let left = end.saturating_sub(self.shared.clock.now());
        let ended = net::timeout(left, self.shared.stop.wait_finished()).await;
        if ended.is_none() {
            // The calls in flight are dropped, which logs each of them.
            let connections = self.shared.caller_connections.count() as u64;
            log::warn!(connections = connections; "node: the drain time is over; closing connections");
            self.kill.trigger();
            net::timeout(CLOSE_TIMEOUT, self.shared.stop.wait_finished()).await;
        }
        self.shared.leave_quotas();
        self.shared.with_members(Membership::leave);
        self.shared.outbox.flush(&*self.shared.transport).await;
        self.shared.spans.flush();
        for task in self.tasks {
            task.cancel().await;
        }
        let sent = self.shared.outbox.sent();
        log::info!(
            messages = sent.msgs,
            datagrams = sent.datagrams,
            bytes = sent.bytes;
            "node: stopped; all calls ended in time: {}",
            ended.is_some()
        );
        ended.is_some()
    }
}

impl Node {
    /// Stops the VM at once as a crash would: connections break and the peers are
    /// not notified. For failure tests.
    pub async fn kill(self) {
        for task in self.tasks {
            task.cancel().await;
        }
        self.kill.trigger();
        self.shared.stop.trigger();
    }
}

impl Shared {
    /// Returns an address for callers that cannot be bound yet.
    pub fn waiting_callers(&self) -> Option<SocketAddr> {
        self.listeners.waiting_address(CALLERS_FIELD)
    }
}

fn cores() -> usize {
    std::thread::available_parallelism().map_or(1, Into::into)
}

fn keyring(settings: &Settings) -> Keyring {
    let keys = settings.peers.keys.iter();
    Keyring::new(keys.filter_map(|key| settings::decode_key(key)).collect())
}

fn new_membership(settings: &Settings) -> Membership {
    let profile = Profile {
        vm: settings.vm_id(),
        name: settings.vm.clone(),
        address: settings.peers.listen,
        domain: settings.domain_id(),
        region: base::id::region(&settings.region),
        capacity: settings.capacity.millicores(),
    };
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    let incarnation = since.unwrap_or_default().as_millis() as u64;
    let config = member::Config {
        dead_retention: settings.forget,
        ..member::Config::default()
    };
    Membership::new(profile, incarnation, config, fastrand::u64(..))
        .with_seeds(settings.peers.seeds.clone())
}
