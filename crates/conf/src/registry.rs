//! An outside system of record: the layout, the servers that announce
//! themselves, the failure domains that are out, and the VMs.
//!
//! [`Registry`] is the border: an adapter gives it names, formats and calls,
//! and decides nothing; when to call, and what an answer means, is the
//! business of `node::registry`. See `docs/design/platform.md`.

use std::net::SocketAddr;
use std::time::Duration;

use base::Revision;
use net::BoxFuture;

use crate::catalog::Instance;
use crate::Layout;

/// What a registry holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Topic {
    /// The one layout.
    Layout,
    /// Servers, by name.
    Servers,
    /// Failure domains that are out, by name.
    DomainsOut,
    /// Entry VMs, by name.
    Vms,
}

impl Topic {
    /// Returns the word used in logs.
    pub fn name(self) -> &'static str {
        match self {
            Self::Layout => "layout",
            Self::Servers => "servers",
            Self::DomainsOut => "outs",
            Self::Vms => "vms",
        }
    }
}

/// What stands under one name.
#[derive(Clone, Debug)]
pub enum EntryValue {
    /// The layout.
    Layout(Box<Layout>),
    /// A server.
    Server(Instance),
    /// A failure domain that is out.
    DomainOut,
    /// The address of an entry VM for its peers.
    Vm(SocketAddr),
    /// Something that cannot be read, with the reason; it names nothing.
    Unreadable(String),
}

/// One entry, or the end of one.
#[derive(Clone, Debug)]
pub struct RegistryEntry {
    /// The name.
    pub name: String,
    /// The revision of its last change.
    pub revision: Revision,
    /// The value; none if the entry was deleted.
    pub value: Option<EntryValue>,
}

/// A page of a list, or changes in their order.
#[derive(Clone, Debug, Default)]
pub struct Page {
    /// The entries.
    pub items: Vec<RegistryEntry>,
    /// Whether a list goes on after the last item.
    pub has_more: bool,
    /// The registry's revision; a watch goes on from it.
    pub revision: Revision,
}

/// The system of record.
pub trait Registry: Send + Sync {
    /// Reads the entries of `topic` after the name `after`.
    fn list<'a>(
        &'a self,
        topic: Topic,
        after: Option<&'a str>,
        limit: Duration,
    ) -> BoxFuture<'a, plat::Result<Page>>;

    /// Waits up to `wait` for changes of `topic` after `revision`; no answer
    /// within `limit` beyond that counts as lost.
    ///
    /// [`plat::Error::Compacted`] says that the changes are not kept any more.
    fn watch(
        &self,
        topic: Topic,
        revision: Revision,
        wait: Duration,
        limit: Duration,
    ) -> BoxFuture<'_, plat::Result<Page>>;

    /// Writes where this VM's peers reach it.
    fn register_vm<'a>(
        &'a self,
        vm: &'a str,
        address: SocketAddr,
        limit: Duration,
    ) -> BoxFuture<'a, plat::Result<()>>;
}
