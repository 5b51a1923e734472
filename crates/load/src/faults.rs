//! Injects the faults of a plan at their scheduled times.

use std::sync::Arc;
use std::time::Duration;

use anyhow::Context;
use base::Clock;
use base::Time;
use smol::Timer;
use standin::store;

use crate::callers::Balancer;
use crate::fleet::Fleet;
use crate::fleet::FleetServer;
use crate::plan::Event;
use crate::plan::Fault;
use crate::plan::Noise;

/// Time for which a restarting server is unreachable.
const RESTART_DOWNTIME: Duration = Duration::from_millis(500);

/// An outage that operators ordered: a failure domain was taken out of service.
#[derive(Clone, Debug)]
pub struct Outage {
    /// Name of the failure domain.
    pub domain: String,
    /// Time at which the order was accepted, on the clock of the stand-ins.
    pub ordered_at: Time,
    /// Time from the order until the servers of the domain last began a call; see
    /// [`update_outages`].
    pub late_by: Duration,
    /// Whether the domain is still out of service.
    pub is_out: bool,
}

/// Injects faults into a fleet and records the ordered outages.
pub struct Injector<'a> {
    fleet: &'a Fleet,
    balancer: Arc<Balancer>,
    outages: Vec<Outage>,
}

impl<'a> Injector<'a> {
    /// Returns an injector for `fleet`, which also takes failed and paused VMs out
    /// of `balancer`.
    pub fn new(fleet: &'a Fleet, balancer: Arc<Balancer>) -> Self {
        Self {
            fleet,
            balancer,
            outages: Vec::new(),
        }
    }

    /// Injects `events`, whose times count from `start` on `clock`, in the order
    /// of the list; returns the ordered outages.
    ///
    /// Fails if a domain order is not accepted or the service whose home is to be
    /// killed or paused has no home.
    pub async fn run(
        mut self,
        events: &[Event],
        clock: Clock,
        start: Time,
    ) -> anyhow::Result<Vec<Outage>> {
        for event in events {
            let wait = (start + event.at).saturating_sub(clock.now());
            Timer::after(wait).await;
            self.inject(&event.fault).await?;
        }
        Ok(self.outages)
    }

    async fn inject(&mut self, fault: &Fault) -> anyhow::Result<()> {
        match fault {
            Fault::DomainOut { domain } => self.domain_out(domain).await?,
            Fault::DomainIn { domain } => self.domain_in(domain).await?,
            Fault::DomainVanish { domain } => self.domain_vanish(domain).await,
            Fault::DomainFreeze { domain, on } => self.domain_freeze(domain, *on),
            Fault::Slow {
                service,
                count,
                factor,
            } => self.for_servers(service, *count, |server| {
                server.backend.set_slowdown(*factor)
            }),
            Fault::Chill { service, count } => {
                self.for_servers(service, *count, |server| server.backend.drop_caches());
            }
            Fault::Restart { service, count } => {
                self.for_servers(service, *count, |server| {
                    server.backend.restart(RESTART_DOWNTIME)
                });
            }
            Fault::DomainRestart { domain } => {
                let servers = self.fleet.servers.iter();
                let in_domain = servers.filter(|server| server.domain == *domain);
                in_domain.for_each(|server| server.backend.restart(RESTART_DOWNTIME));
            }
            Fault::Drain { service, count, on } => {
                self.for_servers(service, *count, |server| server.backend.set_draining(*on));
            }
            Fault::KillHome { service } => self.kill_home(service).await?,
            Fault::PauseHome { service } => {
                let home = self
                    .fleet
                    .home(service)
                    .context("the service has no home")?;
                self.balancer.remove(home.callers);
                home.pause();
            }
            Fault::Resume => self.fleet.vms.iter().for_each(crate::fleet::Vm::resume),
            Fault::Loss { share } => self.fleet.network.set_loss(*share),
            Fault::Platform { down } => self.set_platform_down(*down),
            Fault::Load { factor } => self.balancer.set_load_factor(*factor),
            Fault::Mark => {}
        }
        Ok(())
    }

    fn for_servers(&self, service: &str, count: usize, action: impl Fn(&FleetServer)) {
        self.fleet.servers_of(service).take(count).for_each(action);
    }

    async fn domain_out(&mut self, domain: &str) -> anyhow::Result<()> {
        self.fleet.order_domain(domain, true).await?;
        self.outages.push(Outage {
            domain: domain.into(),
            ordered_at: self.fleet.clock.now(),
            late_by: Duration::ZERO,
            is_out: true,
        });
        Ok(())
    }

    async fn domain_in(&mut self, domain: &str) -> anyhow::Result<()> {
        update_outages(self.fleet, &mut self.outages);
        for outage in &mut self.outages {
            if outage.domain == domain {
                outage.is_out = false;
            }
        }
        self.fleet.order_domain(domain, false).await
    }

    async fn domain_vanish(&mut self, domain: &str) {
        for server in &self.fleet.servers {
            if server.domain == domain {
                server.backend.shut_down();
            }
        }
        for vm in &self.fleet.vms {
            if vm.domain == domain {
                vm.kill().await;
                self.balancer.remove(vm.callers);
            }
        }
    }

    fn domain_freeze(&self, domain: &str, on: bool) {
        let servers = self.fleet.servers.iter();
        let in_domain = servers.filter(|server| server.domain == domain);
        in_domain.for_each(|server| server.backend.set_frozen(on));
        for vm in self.fleet.vms.iter().filter(|vm| vm.domain == domain) {
            if on {
                self.balancer.remove(vm.callers);
                vm.pause();
            } else {
                vm.resume();
            }
        }
    }

    async fn kill_home(&mut self, service: &str) -> anyhow::Result<()> {
        let home = self
            .fleet
            .home(service)
            .context("the service has no home")?;
        home.kill().await;
        self.balancer.remove(home.callers);
        Ok(())
    }

    fn set_platform_down(&self, down: bool) {
        self.fleet.platform.store().set_faults(store::Faults {
            down,
            ..store::Faults::default()
        });
    }
}

/// Sets [`Outage::late_by`] of each domain that is still out, from the time at
/// which the servers of the domain last began a call.
pub fn update_outages(fleet: &Fleet, outages: &mut [Outage]) {
    for outage in outages.iter_mut().filter(|outage| outage.is_out) {
        let domain = fleet.servers.iter().filter(|m| m.domain == outage.domain);
        let last = domain.map(|m| m.backend.with_record(|record| record.last_begun));
        let last = last.max().unwrap_or_default();
        outage.late_by = last.saturating_sub(outage.ordered_at);
    }
}

/// Slows a random set of servers in each period of `noise`. Never returns.
///
/// All other servers return to their usual speed in each period, so noise ends
/// the effect of [`Fault::Slow`].
pub async fn inject_noise(fleet: &Fleet, noise: Noise, seed: u64) {
    let mut rng = fastrand::Rng::with_seed(seed);
    loop {
        for server in &fleet.servers {
            let slow = rng.f64() < noise.share;
            server
                .backend
                .set_slowdown(if slow { noise.factor } else { 1.0 });
        }
        Timer::after(noise.period).await;
    }
}
