//! Starts a deployment in this process: the platform, the backend servers and
//! the entry VMs.

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
use standin::model::OverloadPolicy;
use standin::Backend;
use standin::Model;
use standin::Platform;

use crate::delay::DelayedTransport;
use crate::delay::NetworkConditions;
use crate::plan::Plan;
use crate::plan::ServicePlan;

/// Ports that peers listen on, below the ephemeral ports of the system.
const PEER_PORTS: Range<u16> = 10_000..30_000;
/// Distance between the first ports of two processes with consecutive ids, so
/// that concurrent test processes do not try the same ports.
const PORT_STRIDE: u32 = 613;
/// Number of ports that this process has tried.
static PORTS_TRIED: AtomicU32 = AtomicU32::new(0);
/// Longest time for the fleet to become ready.
const READY_TIMEOUT: Duration = Duration::from_secs(10);
/// Number of threads that run the stand-ins.
const STANDIN_THREADS: usize = 2;
/// Key with which the VMs of a fleet authenticate their messages to each other.
const PEER_KEY: &str = "5e0f6a7d5e0f6a7d5e0f6a7d5e0f6a7d5e0f6a7d5e0f6a7d5e0f6a7d5e0f6a7d";
/// Calls that a server that has just started finishes until it is warm.
const WARM_AFTER: usize = 16;

/// A backend server of a fleet.
pub struct FleetServer {
    /// Name of the service.
    pub service: String,
    /// Name of the server.
    pub name: String,
    /// Failure domain of the server.
    pub domain: String,
    /// The stand-in that acts as the server.
    pub backend: Backend,
}

/// An entry VM of a fleet.
pub struct Vm {
    /// Name of the VM.
    pub name: String,
    /// Failure domain of the VM.
    pub domain: String,
    /// Address that accepts callers.
    pub callers: SocketAddr,
    /// Address of the administration API.
    pub admin: SocketAddr,
    /// The running daemon; `None` once it has been killed or stopped.
    pub node: Mutex<Option<Node>>,
    /// State that the tasks of the daemon share. Remains readable after a kill.
    pub shared: Arc<node::Shared>,
    pool: ThreadPool,
}

/// A running deployment.
pub struct Fleet {
    /// Stand-in for the deployment platform.
    pub platform: Platform,
    /// Backend servers of all services.
    pub servers: Vec<FleetServer>,
    /// Entry VMs, including those that have been killed.
    pub vms: Vec<Vm>,
    /// Conditions of the simulated network between the VMs.
    pub network: Arc<NetworkConditions>,
    /// Clock of the stand-ins.
    pub clock: Clock,
    /// Thread pool of the stand-ins.
    pub pool: ThreadPool,
    stop: Stop,
}

/// Options of a fleet that a plan leaves open.
#[derive(Clone, Debug)]
pub struct FleetOptions {
    /// Policy by which the entry VMs choose servers.
    pub policy: Policy,
    /// Number of entry VMs; overrides that of the plan.
    pub vms: usize,
    /// Whether each message between VMs is sent in a datagram of its own.
    pub unbatched: bool,
}

impl Vm {
    /// Suspends all tasks of the VM; they keep their state.
    pub fn pause(&self) {
        self.pool.pause();
    }

    /// Resumes the tasks of a paused VM.
    pub fn resume(&self) {
        self.pool.resume();
    }

    /// Ends the VM at once, without notice to its peers. Does nothing if it has
    /// ended before.
    pub async fn kill(&self) {
        let node = self.node.lock().ok().and_then(|mut node| node.take());
        if let Some(node) = node {
            node.kill().await;
        }
    }

    /// Returns whether the VM has been neither killed nor stopped.
    pub fn is_running(&self) -> bool {
        self.node.lock().is_ok_and(|node| node.is_some())
    }
}

impl Fleet {
    /// Starts the deployment of `plan` and waits until all VMs are ready.
    ///
    /// Fails if a port for peers is taken meanwhile, or if the fleet is not ready
    /// within 10 s.
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
                service_time: service.mean,
                latency: plan.latency.servers,
                warm_after: WARM_AFTER,
                reports_idle: service.misleads,
                overload: if service.sheds {
                    OverloadPolicy::Shed
                } else {
                    OverloadPolicy::Queue
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
            let admin = admin.context("the administration API does not listen")?;
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

    /// Returns the first ticket of the deployment, which lists all servers.
    pub fn ticket(&self, plan: &Plan) -> Ticket {
        let mut ticket = Ticket::new(1, "load");
        let domains = plan.domains.iter().map(|name| Domain {
            name: name.clone(),
            region: plan.name.clone(),
            ticket: 0,
        });
        ticket.domains = domains.collect();
        for service_plan in &plan.services {
            let servers = self
                .servers
                .iter()
                .filter(|server| server.service == service_plan.name)
                .map(|m| Server::new(&m.name, m.backend.address(), &m.domain, service_plan.slots));
            let prefix = format!("/{}", service_plan.name);
            let mut service = Service::new(&service_plan.name, &prefix, service_plan.deadline);
            service.class = service_plan.class;
            service.hedges = service_plan.hedges;
            service.queues = !service_plan.sheds;
            service.cold.grow = WARM_AFTER as u32;
            ticket
                .services
                .push(service.with_servers(servers.collect()));
        }
        ticket
    }

    /// Applies `ticket` at the first VM. Fails if the ticket is not accepted.
    pub async fn apply_ticket(&self, ticket: &Ticket) -> anyhow::Result<()> {
        let context = conf::accept::ApplyContext {
            name: "load".into(),
            region: String::new(),
            at: 0,
            force: false,
        };
        self.vms[0].shared.apply_ticket(ticket, &context).await?;
        Ok(())
    }

    /// Orders at the first running VM that the failure domain `domain` is taken
    /// out of service, or brought back if `out` is false.
    ///
    /// Fails if no VM runs or the order is not accepted.
    pub async fn order_domain(&self, domain: &str, out: bool) -> anyhow::Result<()> {
        let vm = self
            .vms
            .iter()
            .find(|vm| vm.is_running())
            .context("no VM is running")?;
        let order = conf::domains::DomainOrder {
            domain: domain.into(),
            out,
            by: "load".into(),
            at: 0,
        };
        vm.shared.apply_domain_order(order, true).await?;
        Ok(())
    }

    /// Waits until each VM counts all VMs as alive and has a ticket in force.
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
        net::timeout(READY_TIMEOUT, ready)
            .await
            .context("the fleet was not ready within 10 s; the machine may be too busy")
    }

    /// Returns the first running VM that is the home of a shard of `service`, or
    /// `None` if there is none.
    pub fn home(&self, service: &str) -> Option<&Vm> {
        let service = base::id::service(service);
        self.vms.iter().find(|vm| {
            let table = vm.shared.table();
            let shards = table.of_service(service);
            let is_home = shards.iter().any(|(_, shard)| {
                shard.with_coordinator(|coordinator| coordinator.ledger().is_some())
            });
            vm.is_running() && is_home
        })
    }

    /// Returns the servers of `service`.
    pub fn servers_of<'a>(&'a self, service: &'a str) -> impl Iterator<Item = &'a FleetServer> {
        self.servers.iter().filter(move |m| m.service == service)
    }

    /// Stops all VMs gracefully, then the servers. Returns whether all calls in
    /// flight ended before the drain time-out.
    pub async fn stop(self) -> bool {
        let mut drained = true;
        let mut stops = Vec::new();
        for vm in &self.vms {
            vm.resume();
            let node = vm.node.lock().ok().and_then(|mut node| node.take());
            if let Some(node) = node {
                stops.push(self.pool.spawn(node.stop()));
            }
        }
        for stop in stops {
            drained &= stop.await;
        }
        self.stop.trigger();
        for server in &self.servers {
            server.backend.shut_down();
        }
        drained
    }
}

/// Returns a loopback address whose port is free for both UDP and TCP.
///
/// The port lies below the ephemeral ports, which the system assigns to outgoing
/// connections. Fails if no port of the range is free.
pub fn free_port() -> anyhow::Result<SocketAddr> {
    let first = std::process::id().wrapping_mul(PORT_STRIDE);
    for _ in PEER_PORTS {
        let next = PORTS_TRIED.fetch_add(1, Ordering::Relaxed);
        let next = first.wrapping_add(next) % PEER_PORTS.len() as u32;
        let address = SocketAddr::from((Ipv4Addr::LOCALHOST, PEER_PORTS.start + next as u16));
        if TcpListener::bind(address).is_ok() && UdpSocket::bind(address).is_ok() {
            return Ok(address);
        }
    }
    anyhow::bail!(
        "no port from {} to {} is free",
        PEER_PORTS.start,
        PEER_PORTS.end
    )
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
            buffer: 16 << 20,
            body: 16 << 20,
            patience: Duration::from_secs(10),
            half_close: true,
            tls: None,
        },
        peers: Peers {
            relay: None,
            listen: peers[i],
            seeds: seeds.take(3).collect(),
            keys: vec![PEER_KEY.into()],
        },
        admin: Some(Admin {
            listen: any,
            tokens: Vec::new(),
            file: None,
        }),
        platform: PlatformSettings {
            address: platform,
            interface: Interface::Tickets,
        },
        watch: None,
        second_attempts: None,
        quotas: None,
        rollouts: None,
        capacity: Capacity::default(),
        notice: Duration::from_millis(500),
        forget: Duration::from_secs(3600),
        policy: options.policy,
        threads: Some(plan.threads),
        grace: None,
        drain: Duration::from_secs(5),
        logs: Logs::default(),
        traces: Traces {
            share: 0.0,
            file: None,
        },
        teams: false,
        faults: None,
    }
}
