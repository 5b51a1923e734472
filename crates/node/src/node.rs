//! Starts and stops an entry VM.

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
use entry::Dialect;
use entry::Ports;
use entry::Proxy;
use http::HeaderValue;
use member::Membership;
use member::Profile;
use net::server::Limits;
use net::server::Server;
use net::Stop;
use net::ThreadPool;
use obs::Metrics;
use obs::Spans;
use plat::Store;
use smol::net::TcpListener;
use smol::Task;
use wire::transport::Udp;
use wire::Keyring;
use wire::Outbox;
use wire::Transport;

use crate::gauges;
use crate::shared::Parts;
use crate::shared::Shared;
use crate::sync::Watched;

/// The time between two ticks of the coordinators while any of them is busy.
const COORDINATOR_TICK: Duration = Duration::from_millis(20);
/// The time between two ticks of the coordinators while none is.
const IDLE_COORDINATOR_TICK: Duration = Duration::from_millis(200);
/// The time between two looks for connections that have been idle for long.
const SWEEP: Duration = Duration::from_secs(2);
/// Lost connections that wait to be told at the most; a service that is not
/// told of one learns of it from the next call.
const LOST_CONNECTIONS_MAX: usize = 1024;

/// What a caller of the library may put in the place of the usual parts.
#[derive(Default)]
pub struct Options {
    /// The network; UDP by default.
    pub transport: Option<Arc<dyn Transport>>,
    /// The platform; HTTP to the settings' address by default.
    pub store: Option<Arc<dyn Store>>,
    /// The users' system of record; none by default, where tickets count.
    pub registry: Option<Arc<dyn Registry>>,
    /// The fields towards callers and servers; this product's own by default.
    pub dialect: Option<Arc<dyn Dialect>>,
    /// Whether each message between VMs has a datagram of its own.
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
    /// Starts an entry VM; it serves until it is stopped or dropped.
    pub async fn start(settings: Settings, options: Options) -> anyhow::Result<Self> {
        let pool = Self::new_pool(&settings);
        Self::start_on(pool, settings, options).await
    }

    /// Makes the threads that `settings` ask for.
    pub fn new_pool(settings: &Settings) -> ThreadPool {
        ThreadPool::new(&settings.vm, settings.threads.unwrap_or_else(cores))
    }

    /// Starts an entry VM on `pool`.
    pub async fn start_on(
        pool: ThreadPool,
        settings: Settings,
        options: Options,
    ) -> anyhow::Result<Self> {
        let handle = pool.handle();
        let (fetch_requests, fetch_sources) = async_channel::bounded(1);
        let (lost_connections, lost_servers) = async_channel::bounded(LOST_CONNECTIONS_MAX);
        let peers = settings.peers.listen;
        let transport: Arc<dyn Transport> = match options.transport {
            Some(transport) => transport,
            None => Arc::new(
                Udp::bind(peers)
                    .await
                    .with_context(|| busy("peers", peers))?,
            ),
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
            members: members(&settings),
            boot_id: draw_boot_id(),
            handle,
            store,
            registry: options.registry,
            dialect: options.dialect.unwrap_or_else(|| Arc::new(Native)),
            transport,
            keyring,
            outbox,
            metrics: Arc::new(Metrics::new()?),
            spans: Arc::new(spans),
            settings,
            fetch_requests,
            lost_connections,
        }));
        // It is set once, right here.
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
        node.tasks.push(
            node.pool
                .spawn(node.shared.clone().report_lost_connections(lost_servers)),
        );
        node.start_peers(fetch_sources).await?;
        node.start_ticks();
        node.start_callers().await?;
        Ok(node)
    }

    /// Returns what the VM's tasks share.
    pub fn shared(&self) -> &Arc<Shared> {
        &self.shared
    }

    /// Returns the threads that the VM runs on.
    pub fn pool(&self) -> &ThreadPool {
        &self.pool
    }

    /// Returns the addresses on which callers are served.
    pub fn caller_addresses(&self) -> &[SocketAddr] {
        &self.callers
    }

    /// Returns whether callers should be sent here; shared with the
    /// administration API.
    pub fn ready(&self) -> Arc<AtomicBool> {
        self.ready.clone()
    }

    async fn start_peers(
        &mut self,
        fetch_sources: async_channel::Receiver<SocketAddr>,
    ) -> anyhow::Result<()> {
        let shared = &self.shared;
        let peers = shared.settings.peers.listen;
        let listener = TcpListener::bind(peers)
            .await
            .with_context(|| busy("peers", peers))?;
        let sender = shared.clone();
        self.tasks.push(self.pool.spawn(async move {
            sender.outbox.run(&*sender.transport).await;
        }));
        let tasks = [
            self.pool.spawn(shared.clone().receive_datagrams()),
            self.pool.spawn(shared.clone().serve_streams(listener)),
            self.pool
                .spawn(shared.clone().fetch_from_peers(fetch_sources)),
        ];
        self.tasks.extend(tasks);
        let tasks = match &shared.registry {
            Some(registry) => vec![
                self.follow(registry, Topic::Layout),
                self.follow(registry, Topic::Servers),
                self.follow(registry, Topic::DomainsOut),
                self.pool
                    .spawn(shared.clone().keep_enlisted(registry.clone())),
            ],
            None => vec![
                self.pool.spawn(shared.clone().watch(Watched::Head)),
                self.pool.spawn(shared.clone().watch(Watched::Domains)),
                self.pool.spawn(shared.clone().watch_list()),
            ],
        };
        self.tasks.extend(tasks);
        Ok(())
    }

    fn follow(&self, registry: &Arc<dyn Registry>, topic: Topic) -> Task<()> {
        let shared = self.shared.clone();
        self.pool.spawn(shared.follow(registry.clone(), topic))
    }

    fn start_ticks(&mut self) {
        let shared = self.shared.clone();
        self.tasks.push(self.pool.spawn(async move {
            loop {
                shared.next_tick().await;
                shared.tick_followers();
            }
        }));
        let shared = self.shared.clone();
        self.tasks.push(self.pool.spawn(async move {
            loop {
                let busy = shared.tick_coordinators();
                let rest = if busy {
                    COORDINATOR_TICK
                } else {
                    IDLE_COORDINATOR_TICK
                };
                smol::Timer::after(rest).await;
            }
        }));
        let shared = self.shared.clone();
        self.tasks.push(self.pool.spawn(async move {
            loop {
                smol::Timer::after(SWEEP).await;
                shared.pools.close_idle(shared.clock.now());
            }
        }));
    }

    async fn start_callers(&mut self) -> anyhow::Result<()> {
        let shared = &self.shared;
        let callers = shared.settings.callers.clone();
        let ports: Arc<dyn Ports> = shared.clone();
        let me = Identity {
            vm: HeaderValue::from_str(&shared.settings.vm).context("vm is not a header value")?,
            domain: shared.settings.domain_id(),
            max_body: callers.body,
        };
        let proxy = Proxy::new(
            ports,
            shared.pools.clone(),
            shared.metrics.clone(),
            shared.spans.clone(),
            shared.calls.clone(),
            me,
        )
        .with_dialect(shared.dialect.clone());
        let limits = Limits {
            connections: callers.connections,
            head_bytes: callers.head,
            head_timeout: callers.patience,
            half_close: callers.half_close,
            ..Limits::default()
        };
        let handle = self.pool.handle();
        let mut server = Server::new(Arc::new(proxy), handle, shared.stop.clone())
            .with_limits(limits)
            .with_kill(self.kill.clone());
        if let Some(tls) = &callers.tls {
            server = server.with_tls(net::tls::acceptor(&tls.certificate, &tls.key)?);
        }
        for address in callers.listen {
            let listener = TcpListener::bind(address)
                .await
                .with_context(|| busy("callers", address))?;
            self.callers.push(listener.local_addr()?);
            self.tasks
                .push(self.pool.spawn(server.clone().run(listener)));
        }
        log::info!(
            "node: {} serves callers at {:?}",
            shared.settings.vm,
            self.callers
        );
        Ok(())
    }

    /// Stops as planned: no new callers, then the calls in flight end, then the
    /// peers are told. Returns whether all calls had ended in time.
    pub async fn stop(self) -> bool {
        log::info!("node: stopping; readiness is off");
        self.ready.store(false, Ordering::SeqCst);
        smol::Timer::after(self.shared.settings.notice).await;
        self.shared.stop.trigger();
        let drain = self.shared.settings.drain;
        let ended = net::timeout(drain, self.shared.stop.wait_finished()).await;
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
            "node: stopped; all calls ended: {}",
            ended.is_some()
        );
        ended.is_some()
    }
}

impl Node {
    /// Ends at once, as a VM that vanishes does: nobody is told, connections
    /// break; for tests of failures.
    pub async fn kill(self) {
        for task in self.tasks {
            task.cancel().await;
        }
        self.kill.trigger();
        self.shared.stop.trigger();
    }
}

fn cores() -> usize {
    std::thread::available_parallelism().map_or(1, Into::into)
}

fn busy(field: &str, address: SocketAddr) -> String {
    format!("cannot listen on {address} ({field}.listen); free the port or choose another")
}

fn keyring(settings: &Settings) -> Keyring {
    let keys = settings.peers.keys.iter();
    Keyring::new(keys.filter_map(|key| settings::decode_key(key)).collect())
}

/// Draws a number that differs between the lives of this VM.
fn draw_boot_id() -> u32 {
    fastrand::u32(1..)
}

fn members(settings: &Settings) -> Membership {
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
