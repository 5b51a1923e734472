//! Starts a deployment in this process: platform, backend servers, entry VMs.

use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::UdpSocket;
use std::ops::Range;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use anyhow::Context;
use base::Clock;
use conf::settings::Admin;
use conf::settings::Callers;
use conf::settings::Capacity;
use conf::settings::Interface;
use conf::settings::Logs;
use conf::settings::Peers;
use conf::settings::Platform as PlatformSettings;
use conf::settings::Policy;
use conf::settings::Traces;
use conf::ticket::Domain;
use conf::Server;
use conf::Service;
use conf::Settings;
use conf::Ticket;
use entry::Ports;
use net::Stop;
use net::ThreadPool;
use node::Node;
use node::Options;
use smol::Timer;
use standin::model::Excess;
use standin::Backend;
use standin::Model;
use standin::Platform;

use crate::delay::DelayedTransport;
use crate::delay::NetworkConditions;
use crate::plan::Plan;
use crate::plan::ServicePlan;

/// Ports for peers.
const PORTS: Range<u16> = 10_000..30_000;
/// Ports between the first ones of two processes whose numbers follow each
/// other, so that tests of two processes at once do not try the same ones.
const STRIDE: u32 = 613;
/// The next port to try.
static NEXT_PORT: AtomicU32 = AtomicU32::new(0);
/// The longest time for the whole fleet to be ready.
const READY: Duration = Duration::from_secs(10);
/// Threads of the stand-ins.
const STANDIN_THREADS: usize = 2;
/// The key of a fleet that lives in one process.
const KEY: &str = "5e0f6a7d5e0f6a7d5e0f6a7d5e0f6a7d5e0f6a7d5e0f6a7d5e0f6a7d5e0f6a7d";
/// Answers of a server that has just started until it is warm.
const WARM_AFTER: usize = 16;

/// A backend server with its names.
pub struct FleetServer {
    /// The service.
    pub service: String,
    /// The name of the server.
    pub name: String,
    /// The failure domain.
    pub domain: String,
    /// The server.
    pub backend: Backend,
}

/// An entry VM.
pub struct Vm {
    /// Its name.
    pub name: String,
    /// Its failure domain.
    pub domain: String,
    /// Where it takes callers.
    pub callers: SocketAddr,
    /// Where its administration API is.
    pub admin: SocketAddr,
    /// The VM, until it is killed.
    pub node: Mutex<Option<Node>>,
    /// What its tasks share, killed or not.
    pub shared: Arc<node::Shared>,
    pool: ThreadPool,
}

/// A running deployment.
pub struct Fleet {
    /// The platform.
    pub platform: Platform,
    /// The backend servers.
    pub servers: Vec<FleetServer>,
    /// The entry VMs.
    pub vms: Vec<Vm>,
    /// The network between the VMs.
    pub network: Arc<NetworkConditions>,
    /// The clock of the stand-ins.
    pub clock: Clock,
    /// Threads of the stand-ins.
    pub pool: ThreadPool,
    stop: Stop,
}

/// How to start a fleet.
#[derive(Clone, Debug)]
pub struct FleetOptions {
    /// The policy of the entry VMs.
    pub policy: Policy,
    /// The entry VMs, in place of the plan's number.
    pub vms: usize,
    /// Whether each message between VMs has a datagram of its own.
    pub unbatched: bool,
}

impl Vm {
    /// Stops all its tasks where they are.
    pub fn pause(&self) {
        self.pool.pause();
    }

    /// Lets its tasks go on.
    pub fn resume(&self) {
        self.pool.resume();
    }

    /// Ends it at once; nobody is told.
    pub async fn kill(&self) {
        let node = self.node.lock().ok().and_then(|mut node| node.take());
        if let Some(node) = node {
            node.kill().await;
        }
    }

    /// Returns whether it has not been killed.
    pub fn is_running(&self) -> bool {
        self.node.lock().is_ok_and(|node| node.is_some())
    }
}

impl Fleet {
    /// Starts the deployment of `plan` and waits until it is ready.
    pub async fn start(plan: &Plan, options: &FleetOptions) -> anyhow::Result<Self> {
        let pool = ThreadPool::new("standin", STANDIN_THREADS);
        let clock = Clock::new();
        let local = IpAddr::V4(Ipv4Addr::LOCALHOST);
        let platform = Platform::start(local, plan.seed, pool.handle()).await?;
        let mut fleet = Self {
            platform,
            servers: Vec::new(),
            vms: Vec::new(),
            network: Arc::default(),
            clock,
            pool,
            stop: Stop::new(),
        };
        for service in &plan.services {
            fleet.start_servers(plan, service).await?;
        }
        fleet.start_vms(plan, options).await?;
        fleet.apply_ticket(&fleet.ticket(plan)).await?;
        fleet.wait_ready().await?;
        Ok(fleet)
    }

    async fn start_servers(&mut self, plan: &Plan, service: &ServicePlan) -> anyhow::Result<()> {
        for i in 0..service.servers {
            let model = Model {
                slots: service.slots as usize,
                mean: service.mean,
                latency: plan.latency.servers,
                warm_after: WARM_AFTER,
                misleads: service.misleads,
                excess: if service.sheds {
                    Excess::Shed
                } else {
                    Excess::Queue
                },
                seed: plan.seed ^ base::hash::of(&[&service.name]) ^ i as u64,
                ..Model::default()
            };
            let ip = IpAddr::V4(Ipv4Addr::LOCALHOST);
            let backend = Backend::start(ip, model, self.clock, self.pool.handle()).await?;
            self.servers.push(FleetServer {
                service: service.name.clone(),
                name: format!("{}-{i}", service.name),
                domain: plan.domains[i % plan.domains.len()].clone(),
                backend,
            });
        }
        Ok(())
    }

    async fn start_vms(&mut self, plan: &Plan, options: &FleetOptions) -> anyhow::Result<()> {
        let peers: Vec<SocketAddr> = (0..options.vms)
            .map(|_| free_port())
            .collect::<Result<_, _>>()?;
        for i in 0..options.vms {
            let settings = settings(plan, options, i, &peers, self.platform.address());
            let transport = DelayedTransport::bind(
                peers[i],
                plan.latency.peers,
                self.network.clone(),
                self.pool.handle(),
            )
            .await
            .context("a port for peers was taken meanwhile; try again")?;
            let node_options = Options {
                transport: Some(Arc::new(transport)),
                store: None,
                unbatched: options.unbatched,
                ..Options::default()
            };
            let domain = settings.domain.clone();
            let name = settings.vm.clone();
            let node = Node::start(settings, node_options).await?;
            let admin = admin::serve(&node, self.stop.clone()).await?;
            self.vms.push(Vm {
                name,
                domain,
                callers: node.caller_addresses()[0],
                admin,
                shared: node.shared().clone(),
                pool: node.pool().clone(),
                node: Mutex::new(Some(node)),
            });
        }
        Ok(())
    }

    /// Makes the first ticket of the deployment.
    pub fn ticket(&self, plan: &Plan) -> Ticket {
        let mut ticket = Ticket::new(1, "load");
        let domains = plan.domains.iter().map(|name| Domain {
            name: name.clone(),
            region: plan.name.clone(),
            ticket: 0,
        });
        ticket.domains = domains.collect();
        for known in &plan.services {
            let servers = self
                .servers
                .iter()
                .filter(|member| member.service == known.name)
                .map(|m| Server::new(&m.name, m.backend.address(), &m.domain, known.slots));
            let prefix = format!("/{}", known.name);
            let mut service = Service::new(&known.name, &prefix, known.deadline);
            service.class = known.class;
            service.hedges = known.hedges;
            service.queues = !known.sheds;
            service.cold.grow = WARM_AFTER as u32;
            ticket
                .services
                .push(service.with_servers(servers.collect()));
        }
        ticket
    }

    /// Applies a ticket at the first VM.
    pub async fn apply_ticket(&self, ticket: &Ticket) -> anyhow::Result<()> {
        let who = conf::accept::ApplyContext {
            name: "load".into(),
            region: String::new(),
            at: 0,
            force: false,
        };
        self.vms[0].shared.apply_ticket(ticket, &who).await?;
        Ok(())
    }

    /// Takes a failure domain out or in at the first VM that lives.
    pub async fn order_domain(&self, domain: &str, out: bool) -> anyhow::Result<()> {
        let vm = self
            .vms
            .iter()
            .find(|vm| vm.is_running())
            .context("no VM lives")?;
        let order = conf::domains::DomainOrder {
            domain: domain.into(),
            out,
            by: "load".into(),
            at: 0,
        };
        vm.shared.apply_domain_order(order, true).await?;
        Ok(())
    }

    /// Waits until all VMs know each other and have the ticket in force.
    async fn wait_ready(&self) -> anyhow::Result<()> {
        let count = self.vms.len();
        let ready =
            async {
                while !self.vms.iter().all(|vm| {
                    vm.shared.state().revision > 0 && vm.shared.view().alive.len() == count
                }) {
                    Timer::after(Duration::from_millis(10)).await;
                }
            };
        net::timeout(READY, ready)
            .await
            .context("the fleet was not ready in time; the machine may be too busy")
    }

    /// Returns the VM that keeps the ledger of `service`.
    pub fn home(&self, service: &str) -> Option<&Vm> {
        let service = base::id::service(service);
        self.vms.iter().find(|vm| {
            let table = vm.shared.table();
            let cells = table.of_service(service);
            let kept = cells.iter().any(|(_, cell)| {
                cell.with_coordinator(|coordinator| coordinator.ledger().is_some())
            });
            vm.is_running() && kept
        })
    }

    /// Returns the servers of `service`.
    pub fn servers_of<'a>(&'a self, service: &'a str) -> impl Iterator<Item = &'a FleetServer> {
        self.servers.iter().filter(move |m| m.service == service)
    }

    /// Stops all VMs as planned; returns whether all calls had ended in time.
    pub async fn stop(self) -> bool {
        let mut ended = true;
        let mut stops = Vec::new();
        for vm in &self.vms {
            vm.resume();
            let node = vm.node.lock().ok().and_then(|mut node| node.take());
            if let Some(node) = node {
                stops.push(self.pool.spawn(node.stop()));
            }
        }
        for stop in stops {
            ended &= stop.await;
        }
        self.stop.trigger();
        for member in &self.servers {
            member.backend.vanish();
        }
        ended
    }
}

/// Finds a port that is free for UDP and TCP, below those that the system
/// gives to outgoing connections.
pub fn free_port() -> anyhow::Result<SocketAddr> {
    let first = std::process::id().wrapping_mul(STRIDE);
    for _ in PORTS {
        let next = NEXT_PORT.fetch_add(1, Ordering::Relaxed);
        let next = first.wrapping_add(next) % PORTS.len() as u32;
        let address = SocketAddr::from((Ipv4Addr::LOCALHOST, PORTS.start + next as u16));
        if TcpListener::bind(address).is_ok() && UdpSocket::bind(address).is_ok() {
            return Ok(address);
        }
    }
    anyhow::bail!("no port from {} to {} is free", PORTS.start, PORTS.end)
}

fn settings(
    plan: &Plan,
    options: &FleetOptions,
    i: usize,
    peers: &[SocketAddr],
    platform: SocketAddr,
) -> Settings {
    let any = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    let seeds = peers.iter().copied().filter(|peer| *peer != peers[i]);
    Settings {
        vm: format!("vm-{i}"),
        domain: plan.domains[i % plan.domains.len()].clone(),
        region: plan.name.clone(),
        callers: Callers {
            listen: vec![any],
            connections: 10_000,
            head: 16 << 10,
            body: 16 << 20,
            patience: Duration::from_secs(10),
            half_close: true,
            tls: None,
        },
        peers: Peers {
            listen: peers[i],
            seeds: seeds.take(3).collect(),
            keys: vec![KEY.into()],
        },
        admin: Admin {
            listen: any,
            tokens: Vec::new(),
            file: None,
        },
        platform: PlatformSettings {
            address: platform,
            interface: Interface::Tickets,
        },
        watch: None,
        second_attempts: None,
        capacity: Capacity::default(),
        first: false,
        notice: Duration::from_millis(500),
        forget: Duration::from_secs(3600),
        policy: options.policy,
        threads: Some(plan.threads),
        drain: Duration::from_secs(5),
        logs: Logs::default(),
        traces: Traces {
            share: 0.0,
            file: None,
        },
    }
}
