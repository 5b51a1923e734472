//! Experiment files: a deployment, its load and its faults.

use std::path::Path;
use std::time::Duration;

use base::units::Span;
use base::Class;
use conf::settings::Policy;
use conf::ValidationErrors;
use serde::Deserialize;
use serde::Serialize;
use serde_with::serde_as;

/// One-way latencies.
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
    /// Its name; its calls have the path `/NAME`.
    pub name: String,
    /// Its backend servers, spread over the failure domains in turn.
    pub servers: usize,
    /// Calls that each server runs at once.
    pub slots: u32,
    /// The mean service time.
    #[serde_as(as = "Span")]
    pub mean: Duration,
    /// The deadline of its calls.
    #[serde_as(as = "Span")]
    pub deadline: Duration,
    /// The class of its calls.
    #[serde(default)]
    pub class: Class,
    /// The share of calls that must not run twice.
    #[serde(default)]
    pub posts: f64,
    /// Hedged attempts per hundred first ones.
    #[serde(default)]
    pub hedges: u32,
    /// Whether servers refuse what is beyond their slots.
    #[serde(default)]
    pub sheds: bool,
    /// Whether servers report that they are idle, whatever they do.
    #[serde(default)]
    pub misleads: bool,
}

/// Neighbours that slow servers down for a moment.
#[serde_as]
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct Noise {
    /// The share of servers that are slow at each moment.
    pub share: f64,
    /// How much slower they are.
    pub factor: f64,
    /// How long a moment is.
    #[serde_as(as = "Span")]
    pub period: Duration,
}

/// Something that goes wrong, or is done on purpose.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "kebab-case")]
pub enum Fault {
    /// Operators take a failure domain out.
    DomainOut {
        /// The domain.
        domain: String,
    },
    /// Operators bring a failure domain back.
    DomainIn {
        /// The domain.
        domain: String,
    },
    /// All servers of a failure domain and its entry VMs vanish.
    DomainVanish {
        /// The domain.
        domain: String,
    },
    /// All servers of a failure domain and its entry VMs fall silent without a
    /// word, as behind a switch that fails, or go on.
    DomainFreeze {
        /// The domain.
        domain: String,
        /// Whether they fall silent.
        on: bool,
    },
    /// Servers become slower or faster.
    Slow {
        /// The service.
        service: String,
        /// How many of its servers.
        count: usize,
        /// The factor.
        factor: f64,
    },
    /// Servers turn cold without notice.
    Chill {
        /// The service.
        service: String,
        /// How many of its servers.
        count: usize,
    },
    /// Servers restart.
    Restart {
        /// The service.
        service: String,
        /// How many of its servers.
        count: usize,
    },
    /// All servers of a failure domain restart.
    DomainRestart {
        /// The domain.
        domain: String,
    },
    /// Servers refuse new calls by themselves, or take them again.
    Drain {
        /// The service.
        service: String,
        /// How many of its servers.
        count: usize,
        /// Whether they refuse.
        on: bool,
    },
    /// The home of a service vanishes.
    KillHome {
        /// The service.
        service: String,
    },
    /// The home of a service is paused.
    PauseHome {
        /// The service.
        service: String,
    },
    /// All paused VMs go on.
    Resume,
    /// A share of the datagrams between entry VMs is lost.
    Loss {
        /// The share.
        share: f64,
    },
    /// The platform goes down or comes back.
    Platform {
        /// Whether it is down.
        down: bool,
    },
    /// Callers call more or less often.
    Load {
        /// The load in place of the plan's, in parts of it.
        factor: f64,
    },
    /// Only marks a moment.
    Mark,
}

/// A fault with the time at which it happens, from the start of the load.
#[serde_as]
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Event {
    /// When it happens.
    #[serde_as(as = "Span")]
    pub at: Duration,
    /// What happens.
    #[serde(flatten)]
    pub fault: Fault,
}

/// An experiment.
#[serde_as]
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Plan {
    /// Its name, which reports are named after.
    pub name: String,
    /// The failure domains.
    pub domains: Vec<String>,
    /// The entry VMs, spread over the failure domains in turn.
    pub vms: usize,
    /// One-way latencies.
    pub latency: Latency,
    /// The services.
    pub services: Vec<ServicePlan>,
    /// Noisy neighbours.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub noise: Option<Noise>,
    /// The share of all slots that the load keeps busy.
    pub load: f64,
    /// The time before anything counts.
    #[serde_as(as = "Span")]
    pub warmup: Duration,
    /// The time that counts.
    #[serde_as(as = "Span")]
    pub time: Duration,
    /// The policies, one after the other.
    #[serde(default = "home")]
    pub policies: Vec<Policy>,
    /// What goes wrong.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub events: Vec<Event>,
    /// The seed of arrivals and service times.
    #[serde(default = "one")]
    pub seed: u64,
    /// Threads for each entry VM.
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

/// The most entry VMs in one process.
const VMS_MAX: usize = 200;
/// The longest run.
const TIME_MAX: Duration = Duration::from_secs(600);

impl Plan {
    /// Reads and checks the file at `path`.
    pub fn load(path: &Path) -> anyhow::Result<Self> {
        let text = std::fs::read_to_string(path)
            .map_err(|error| anyhow::anyhow!("cannot read {}: {error}", path.display()))?;
        let plan = Self::parse(&text)
            .map_err(|faults| anyhow::anyhow!("{} has faults:\n{faults}", path.display()))?;
        Ok(plan)
    }

    /// Reads and checks an experiment from text.
    pub fn parse(text: &str) -> Result<Self, ValidationErrors> {
        let plan: Self = conf::document::parse(text)?;
        plan.check()?;
        Ok(plan)
    }

    fn check(&self) -> Result<(), ValidationErrors> {
        let mut faults = ValidationErrors::new();
        faults.require(
            !self.domains.is_empty(),
            "domains",
            "empty; name at least one",
        );
        faults.require(
            !self.services.is_empty(),
            "services",
            "empty; name at least one",
        );
        faults.require(
            (1..=VMS_MAX).contains(&self.vms),
            "vms",
            format!("out of range; write 1 to {VMS_MAX}"),
        );
        faults.require(
            self.load > 0.0 && self.load <= 3.0,
            "load",
            "out of range; write more than 0 and at most 3",
        );
        faults.require(
            self.warmup + self.time <= TIME_MAX,
            "time",
            "the run takes more than 600s; write less",
        );
        faults.into_result(())
    }

    /// Returns the calls a second that keep `load` of a service's slots busy.
    pub fn rate(&self, service: &ServicePlan) -> f64 {
        let slots = service.servers as f64 * f64::from(service.slots);
        self.load * slots / service.mean.as_secs_f64()
    }
}
