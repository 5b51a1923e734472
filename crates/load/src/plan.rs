//! Experiment files: each describes a deployment, its load and its faults.

use std::path::Path;
use std::time::Duration;

use base::units::Span;
use base::Class;
use conf::settings::Policy;
use conf::ValidationErrors;
use serde::Deserialize;
use serde::Serialize;
use serde_with::serde_as;

/// One-way network latencies.
#[serde_as]
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct Latency {
    /// Between entry VMs.
    #[serde_as(as = "Span")]
    pub peers: Duration,
    /// Between callers and entry VMs.
    #[serde_as(as = "Span")]
    pub callers: Duration,
    /// Between entry VMs and backend servers.
    #[serde_as(as = "Span")]
    pub servers: Duration,
}

/// One service of the deployment.
#[serde_as]
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ServicePlan {
    /// Name of the service; its calls have the path `/NAME`.
    pub name: String,
    /// Number of backend servers, which are spread round-robin over the failure
    /// domains.
    pub servers: usize,
    /// Number of calls that each server runs concurrently.
    pub slots: u32,
    /// Mean service time, which is distributed exponentially.
    #[serde_as(as = "Span")]
    pub mean: Duration,
    /// Deadline of the calls.
    #[serde_as(as = "Span")]
    pub deadline: Duration,
    /// Priority class of the calls.
    #[serde(default)]
    pub class: Class,
    /// Share of calls that are POSTs, which must not run twice; from 0 to 1.
    #[serde(default)]
    pub posts: f64,
    /// Limit of hedged attempts per hundred first attempts; 0 disables hedging.
    #[serde(default)]
    pub hedges: u32,
    /// Whether servers refuse calls beyond their slots; otherwise the calls queue
    /// in the server.
    #[serde(default)]
    pub sheds: bool,
    /// Whether servers always report that they are idle.
    #[serde(default)]
    pub misleads: bool,
}

/// Simulated noisy neighbors, which slow random servers down for a time.
#[serde_as]
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct Noise {
    /// Probability that a server is slow in a period.
    pub share: f64,
    /// Factor on the service time of a slow server.
    pub factor: f64,
    /// Time after which the slow servers are drawn anew.
    #[serde_as(as = "Span")]
    pub period: Duration,
}

/// A fault, or a planned change of the deployment.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "kebab-case")]
pub enum Fault {
    /// Operators take a failure domain out of service.
    DomainOut {
        /// Name of the failure domain.
        domain: String,
    },
    /// Operators bring a failure domain back into service.
    DomainIn {
        /// Name of the failure domain.
        domain: String,
    },
    /// All servers and entry VMs of a failure domain end for good, without
    /// notice.
    DomainVanish {
        /// Name of the failure domain.
        domain: String,
    },
    /// All servers and entry VMs of a failure domain become unresponsive
    /// without notice, as behind a failed switch, or respond again.
    DomainFreeze {
        /// Name of the failure domain.
        domain: String,
        /// True to make them unresponsive, false to make them respond again.
        on: bool,
    },
    /// The service times of servers change.
    Slow {
        /// Name of the service.
        service: String,
        /// Number of affected servers, the first ones of the service.
        count: usize,
        /// Factor on the usual service time; 1 restores the usual one.
        factor: f64,
    },
    /// Servers become cold without notice, as if they lost their caches.
    Chill {
        /// Name of the service.
        service: String,
        /// Number of affected servers, the first ones of the service.
        count: usize,
    },
    /// Servers restart.
    Restart {
        /// Name of the service.
        service: String,
        /// Number of affected servers, the first ones of the service.
        count: usize,
    },
    /// All servers of a failure domain restart.
    DomainRestart {
        /// Name of the failure domain.
        domain: String,
    },
    /// Servers refuse new calls on their own initiative, without an order of
    /// operators, or accept them again.
    Drain {
        /// Name of the service.
        service: String,
        /// Number of affected servers, the first ones of the service.
        count: usize,
        /// True to refuse calls, false to accept them again.
        on: bool,
    },
    /// The VM that is the home of a service ends at once.
    KillHome {
        /// Name of the service.
        service: String,
    },
    /// The VM that is the home of a service is paused.
    PauseHome {
        /// Name of the service.
        service: String,
    },
    /// All paused VMs resume.
    Resume,
    /// Sets the share of datagrams between entry VMs that are lost.
    Loss {
        /// Share of lost datagrams, from 0 to 1.
        share: f64,
    },
    /// The platform's object store fails or recovers.
    Platform {
        /// True to make it fail, false to make it recover.
        down: bool,
    },
    /// The arrival rate of calls changes.
    Load {
        /// Factor on the load of the plan.
        factor: f64,
    },
    /// Changes nothing; marks a time in the drawing.
    Mark,
}

/// A fault and the time at which it is injected.
#[serde_as]
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Event {
    /// Time of injection, counted from the end of the warm-up.
    #[serde_as(as = "Span")]
    pub at: Duration,
    /// The fault to inject.
    #[serde(flatten)]
    pub fault: Fault,
}

/// An experiment: a deployment, its load and its faults.
#[serde_as]
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Plan {
    /// Name of the experiment and its region, part of the names of report files.
    pub name: String,
    /// Names of the failure domains; at least one.
    pub domains: Vec<String>,
    /// Number of entry VMs, from 1 to 200, which are spread round-robin over the
    /// failure domains.
    pub vms: usize,
    /// One-way network latencies.
    pub latency: Latency,
    /// Services of the deployment; at least one.
    pub services: Vec<ServicePlan>,
    /// Noisy neighbors of the servers; none if absent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub noise: Option<Noise>,
    /// Share of all slots that the load keeps busy; more than 0, at most 3. Beyond
    /// 1 the servers are overloaded.
    pub load: f64,
    /// Time before the measurement, during which calls are sent but not counted.
    #[serde_as(as = "Span")]
    pub warmup: Duration,
    /// Duration of the measurement. With the warm-up at most 600 s.
    #[serde_as(as = "Span")]
    pub time: Duration,
    /// Policies to measure, each in a run of its own.
    #[serde(default = "home")]
    pub policies: Vec<Policy>,
    /// Faults to inject, which must be sorted by time.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub events: Vec<Event>,
    /// Seed of arrivals, service times and noise.
    #[serde(default = "one")]
    pub seed: u64,
    /// Number of threads of each entry VM.
    #[serde(default = "threads")]
    pub threads: usize,
}

fn home() -> Vec<Policy> {
    vec![Policy::Home]
}

fn one() -> u64 {
    1
}

fn threads() -> usize {
    1
}

/// Largest number of entry VMs in one process.
const VMS_MAX: usize = 200;
/// Longest run, warm-up included.
const RUN_MAX: Duration = Duration::from_secs(600);

impl Plan {
    /// Reads and validates the experiment file at `path`.
    pub fn load(path: &Path) -> anyhow::Result<Self> {
        let text = std::fs::read_to_string(path)
            .map_err(|error| anyhow::anyhow!("cannot read {}: {error}", path.display()))?;
        let plan = Self::parse(&text)
            .map_err(|errors| anyhow::anyhow!("{} is invalid:\n{errors}", path.display()))?;
        Ok(plan)
    }

    /// Parses and validates an experiment.
    pub fn parse(text: &str) -> Result<Self, ValidationErrors> {
        let plan: Self = conf::document::parse(text)?;
        plan.check()?;
        Ok(plan)
    }

    fn check(&self) -> Result<(), ValidationErrors> {
        let mut errors = ValidationErrors::new();
        errors.require(
            !self.domains.is_empty(),
            "domains",
            "empty; name at least one",
        );
        errors.require(
            !self.services.is_empty(),
            "services",
            "empty; name at least one",
        );
        errors.require(
            (1..=VMS_MAX).contains(&self.vms),
            "vms",
            format!("out of range; write 1 to {VMS_MAX}"),
        );
        errors.require(
            self.load > 0.0 && self.load <= 3.0,
            "load",
            "out of range; write more than 0 and at most 3",
        );
        errors.require(
            self.warmup + self.time <= RUN_MAX,
            "time",
            "warmup and time are more than 600s; write less",
        );
        errors.into_result(())
    }

    /// Returns the arrival rate, in calls per second, that keeps the share `load`
    /// of the slots of `service` busy.
    pub fn rate(&self, service: &ServicePlan) -> f64 {
        let slots = service.servers as f64 * f64::from(service.slots);
        self.load * slots / service.mean.as_secs_f64()
    }
}
