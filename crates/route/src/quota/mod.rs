//! Quotas of teams over the fleet, as decisions without I/O or a clock.
//!
//! Each VM owns the same part of every quota and delegates it to one home at a time
//! ([`Delegator`]). The home grants tokens out of the parts that it holds ([`Home`]), and
//! each VM asks it for a token before it runs a call ([`Desk`]). [`Quotas`] joins the three
//! for one VM. See `docs/design/quotas.md` for why the bound holds.

mod bucket;
mod delegator;
mod desk;
mod fleet;
mod home;
mod msg;
mod owners;
mod parts;
mod vm;

use std::time::Duration;

use base::hash;
use base::DomainId;
use base::TeamId;
use base::VmId;

pub use bucket::Bucket;
pub use bucket::Inflow;
pub use delegator::Delegation;
pub use delegator::Delegator;
pub use desk::Denied;
pub use desk::Desk;
pub use desk::Granted;
pub use desk::Taken;
pub use desk::Token;
pub use fleet::FleetSize;
pub use home::Home;
pub use msg::AskId;
pub use msg::Lane;
pub use msg::QuotaBody;
pub use msg::QuotaMsg;
pub use owners::Owners;
pub use vm::Answer;
pub use vm::Counts;
pub use vm::HomeView;
pub use vm::Note;
pub use vm::Quotas;

/// The number of lanes into which each part is divided. Each has a home of its own, so that
/// the loss of one leaves most of what teams usually need.
pub const LANES: usize = 2;
/// How long a part is delegated.
pub const LEASE: Duration = Duration::from_millis(1500);
/// How long a token may be held by the VM that asked for it.
pub const HOLD: Duration = Duration::from_millis(400);
/// By how much a delegator counts its leases longer than the home does.
const DRIFT_MARGIN: f64 = 1.05;
/// How long a call waits for a token.
pub const ASK_LIMIT: Duration = Duration::from_millis(100);
/// When an ask that has no answer is sent to the home of the other lane.
pub const ASK_AGAIN: Duration = Duration::from_millis(40);
/// The latest time after it was taken at which a token is given back.
pub const GIVE_BACK_LIMIT: Duration = Duration::from_millis(100);
/// A limit of at least this many calls a second is none.
const RATE_MAX: f64 = 1e6;
/// The least stock: the share of one lane, while some parts are missing, must hold a token.
const STOCK_MIN: f64 = 3.0;
/// The share of the tolerance that adds to the stock of tokens.
const STOCK_SHARE: f64 = 0.25;
/// How long a new home may use its credit.
const CREDIT_LIFE: Duration = Duration::from_secs(3);
/// The share of the tolerance that new homes get as a credit in each window.
const CREDIT_SHARE: f64 = 0.25;

/// The tolerance within which quotas are kept.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Terms {
    /// The time over which calls are counted.
    pub window: Duration,
    /// The excess as a fraction of the quota over the window.
    pub excess: f64,
    /// The number of calls that may come on top.
    pub slack: f64,
}

impl Default for Terms {
    fn default() -> Self {
        Self {
            window: Duration::from_secs(5),
            excess: 0.0,
            slack: 0.0,
        }
    }
}

/// The limit of one team over the fleet.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limit {
    /// The team.
    pub team: TeamId,
    /// Calls per second.
    pub rate: f64,
    /// Calls that may come at once beyond the rate.
    pub burst: f64,
}

impl Limit {
    /// Creates a limit; `None` if it limits nothing.
    pub fn new(team: TeamId, rate: f64, burst: f64) -> Option<Self> {
        let limits = rate > 0.0 && rate < RATE_MAX && burst < RATE_MAX;
        let burst = burst.max(0.0);
        limits.then_some(Self { team, rate, burst })
    }

    /// Returns how many calls more than the quota may run in a window.
    fn tolerance(&self, terms: &Terms) -> f64 {
        terms.excess * (self.rate * terms.window.as_secs_f64() + self.burst) + terms.slack
    }

    /// Returns the most tokens that may exist at all VMs together.
    fn stock(&self, terms: &Terms) -> f64 {
        (self.burst + self.tolerance(terms) * STOCK_SHARE).max(STOCK_MIN)
    }

    /// Returns the tokens that new homes get at once, all together.
    fn credit(&self, terms: &Terms) -> f64 {
        self.tolerance(terms) * CREDIT_SHARE
    }
}

/// Returns `duration` as a delegator counts it, whose clock may be faster than the home's.
fn with_margin(duration: Duration) -> Duration {
    duration.mul_f64(DRIFT_MARGIN)
}

/// Returns the least that `duration` by a delegator's clock is by the home's.
fn without_margin(duration: Duration) -> Duration {
    duration.div_f64(DRIFT_MARGIN)
}

/// Returns the home of each lane among the VMs `eligible`: both ends of their order by the
/// weights of their failure domains and their own. So the homes are in two domains if there
/// are two, and the loss of a home or its domain does not move the other lane.
pub fn choose_homes(
    key: u64,
    eligible: &[VmId],
    domain: impl Fn(VmId) -> DomainId,
) -> [Option<VmId>; LANES] {
    let weight = |vm: &VmId| (hash::mix(key, domain(*vm)), hash::mix(key, *vm), *vm);
    let vms = eligible.iter().copied();
    [vms.clone().max_by_key(weight), vms.min_by_key(weight)]
}
