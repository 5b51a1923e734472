//! The interface to a service registry, which holds the layout, the servers that
//! announce themselves, the failure domains that are out, and the VMs.
//!
//! An adapter implements [`Registry`] for the names, formats and requests of a
//! particular registry. `node::registry` decides when to send requests and what
//! the results mean. See `docs/design/platform.md`.

use std::net::SocketAddr;
use std::time::Duration;

use base::revisions::Era;
use base::Revision;
use net::BoxFuture;

use crate::catalog::Instance;
use crate::rollout::Rollout;
use crate::rollout::RolloutState;
use crate::Layout;

/// A kind of registry entries; each kind is listed and watched separately.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Topic {
    /// The layout, a single entry.
    Layout,
    /// Backend servers, by name.
    Servers,
    /// Failure domains that are out of service, by name.
    DomainsOut,
    /// Entry VMs, by name.
    Vms,
    /// Roll-outs of versions, by name.
    Rollouts,
}

impl Topic {
    /// Returns the name that log lines use.
    pub fn name(self) -> &'static str {
        match self {
            Self::Layout => "layout",
            Self::Servers => "servers",
            Self::DomainsOut => "outs",
            Self::Vms => "vms",
            Self::Rollouts => "rollouts",
        }
    }
}

/// The value of a registry entry.
#[derive(Clone, Debug)]
pub enum EntryValue {
    /// The layout.
    Layout(Box<Layout>),
    /// What a backend server announces about itself.
    Server(Instance),
    /// The mark that a failure domain is out of service; the entry's name is the domain.
    DomainOut,
    /// The address at which its peers reach an entry VM.
    Vm(SocketAddr),
    /// The order to move a service to another version.
    Rollout(Rollout),
    /// A value that cannot be decoded, with the reason. The entry counts as having
    /// no value.
    Unreadable(String),
}

/// One entry of the registry, or the deletion of one.
#[derive(Clone, Debug)]
pub struct RegistryEntry {
    /// The name, unique within the topic.
    pub name: String,
    /// The registry revision of the entry's last change.
    pub revision: Revision,
    /// The value; `None` if the entry was deleted.
    pub value: Option<EntryValue>,
}

/// A page of a list, or the changes that a watch returns, in their order.
#[derive(Clone, Debug, Default)]
pub struct Page {
    /// The entries or changes.
    pub items: Vec<RegistryEntry>,
    /// The name after which the list continues, which need not be that of an entry; `None`
    /// if this is the last page.
    pub next: Option<String>,
    /// Whether the page ends early, as what follows its last entry cannot be told from that
    /// entry. The list continues right behind it.
    pub is_cut: bool,
    /// The registry revision up to which the page is complete, from which the next
    /// watch continues.
    pub revision: Revision,
}

/// A client of the service registry.
///
/// Revisions contain the era of the registry, see [`base::revisions`]. A response of an
/// earlier era than that of another response is an error.
pub trait Registry: Send + Sync {
    /// Reads a page of the entries of `topic` whose names follow `after`, or the first
    /// page if `after` is `None`. `limit` is the time limit of the request.
    fn list<'a>(
        &'a self,
        topic: Topic,
        after: Option<&'a str>,
        limit: Duration,
    ) -> BoxFuture<'a, plat::Result<Page>>;

    /// Waits up to `wait` for changes of `topic` after `revision`.
    ///
    /// The request fails if there is no response within `wait` plus `limit`. Returns
    /// [`plat::Error::Compacted`] if the registry no longer has the changes after
    /// `revision`, or is in another era, and [`plat::Error::Indistinct`] if they cannot be
    /// told apart.
    fn watch(
        &self,
        topic: Topic,
        revision: Revision,
        wait: Duration,
        limit: Duration,
    ) -> BoxFuture<'_, plat::Result<Page>>;

    /// Returns the latest known era of the registry; 0 before the first response.
    fn era(&self) -> Era;

    /// Registers the entry VM `vm` with the `address` at which its peers reach it.
    /// `limit` is the time limit of the request.
    fn register_vm<'a>(
        &'a self,
        vm: &'a str,
        address: SocketAddr,
        limit: Duration,
    ) -> BoxFuture<'a, plat::Result<()>>;

    /// Writes the state of the roll-out `name` to the `target` version, if the entry still
    /// has `revision`. Returns the entry as it is now if it has another revision, `None`
    /// after a write. A write that failed may take effect later.
    fn write_rollout<'a>(
        &'a self,
        name: &'a str,
        revision: Revision,
        state: RolloutState,
        target: &'a str,
        limit: Duration,
    ) -> BoxFuture<'a, plat::Result<Option<RegistryEntry>>>;
}
