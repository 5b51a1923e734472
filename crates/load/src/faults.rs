//! Carries out the faults of a plan at their times.

use std::sync::Arc;
use std::time::Duration;

use anyhow::Context;
use base::Clock;
use base::Time;
use smol::Timer;
use standin::objects;

use crate::callers::Balancer;
use crate::fleet::Fleet;
use crate::fleet::FleetServer;
use crate::plan::Event;
use crate::plan::Fault;
use crate::plan::Noise;

/// How long a restarted server is away.
const AWAY: Duration = Duration::from_millis(500);

/// A failure domain that was taken out.
#[derive(Clone, Debug)]
pub struct Outage {
    /// The domain.
    pub domain: String,
    /// When the order was accepted, on the clock of the stand-ins.
    pub since: Time,
    /// How long after that its servers still began a call.
    pub late: Duration,
    /// Whether it is still out.
    pub open: bool,
}

/// Carries out faults.
pub struct Injector<'a> {
    fleet: &'a Fleet,
    balancer: Arc<Balancer>,
    outages: Vec<Outage>,
}

impl<'a> Injector<'a> {
    /// Makes an injector for `fleet`.
    pub fn new(fleet: &'a Fleet, balancer: Arc<Balancer>) -> Self {
        Self {
            fleet,
            balancer,
            outages: Vec::new(),
        }
    }

    /// Carries out `events`, whose times count from `start` on `clock`.
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
            } => self.each(service, *count, |member| member.backend.set_slow(*factor)),
            Fault::Chill { service, count } => {
                self.each(service, *count, |member| member.backend.chill());
            }
            Fault::Restart { service, count } => {
                self.each(service, *count, |member| member.backend.restart(AWAY));
            }
            Fault::DomainRestart { domain } => {
                let members = self.fleet.servers.iter();
                let there = members.filter(|member| member.domain == *domain);
                there.for_each(|member| member.backend.restart(AWAY));
            }
            Fault::Drain { service, count, on } => {
                self.each(service, *count, |member| member.backend.set_drains(*on));
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
            Fault::Platform { down } => self.platform(*down),
            Fault::Load { factor } => self.balancer.set_load_factor(*factor),
            Fault::Mark => {}
        }
        Ok(())
    }

    fn each(&self, service: &str, count: usize, work: impl Fn(&FleetServer)) {
        self.fleet.servers_of(service).take(count).for_each(work);
    }

    async fn domain_out(&mut self, domain: &str) -> anyhow::Result<()> {
        self.fleet.order_domain(domain, true).await?;
        self.outages.push(Outage {
            domain: domain.into(),
            since: self.fleet.clock.now(),
            late: Duration::ZERO,
            open: true,
        });
        Ok(())
    }

    async fn domain_in(&mut self, domain: &str) -> anyhow::Result<()> {
        update_outages(self.fleet, &mut self.outages);
        for outage in &mut self.outages {
            if outage.domain == domain {
                outage.open = false;
            }
        }
        self.fleet.order_domain(domain, false).await
    }

    async fn domain_vanish(&mut self, domain: &str) {
        for member in &self.fleet.servers {
            if member.domain == domain {
                member.backend.vanish();
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
        let members = self.fleet.servers.iter();
        let there = members.filter(|member| member.domain == domain);
        there.for_each(|member| member.backend.set_frozen(on));
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

    fn platform(&self, down: bool) {
        self.fleet.platform.objects().set_faults(objects::Faults {
            down,
            ..objects::Faults::default()
        });
    }
}

/// Notes for each open outage when its domain last began a call.
pub fn update_outages(fleet: &Fleet, outages: &mut [Outage]) {
    for outage in outages.iter_mut().filter(|outage| outage.open) {
        let domain = fleet.servers.iter().filter(|m| m.domain == outage.domain);
        let last = domain.map(|m| m.backend.with_record(|record| record.last));
        let last = last.max().unwrap_or_default();
        outage.late = last.saturating_sub(outage.since);
    }
}

/// Slows servers down by chance for as long as it is polled.
pub async fn inject_noise(fleet: &Fleet, noise: Noise, seed: u64) {
    let mut rng = fastrand::Rng::with_seed(seed);
    loop {
        for member in &fleet.servers {
            let slow = rng.f64() < noise.share;
            member
                .backend
                .set_slow(if slow { noise.factor } else { 1.0 });
        }
        Timer::after(noise.period).await;
    }
}
