//! Keeps this VM's configuration up to date with the object store, and accepts
//! tickets and domain orders.
//!
//! Only a few VMs of each region watch the store, chosen by rendezvous hash. The
//! others learn from their peers' pings that there is newer configuration, and fetch
//! it from those peers. A VM that sees no other VM alive watches for itself. See
//! `docs/design/configuration.md`.

use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::Duration;

use base::rendezvous;
use base::VmId;
use conf::accept;
use conf::domains::DomainOrder;
use conf::head;
use conf::head::AcceptedTicket;
use conf::DomainOrders;
use conf::Head;
use conf::Ticket;
use plat::Object;
use plat::Version;
use wire::stream;

use crate::shared::lock;
use crate::shared::Shared;

/// The number of VMs of each region that watch the object store.
pub const WATCHERS: usize = 2;
/// The rendezvous key by which the watchers are chosen.
const WATCHERS_KEY: u64 = 0x7761_7463_6865_7273;
/// The longest wait of one watch.
const WATCH_WAIT: Duration = Duration::from_secs(10);
/// The delay after which a VM that does not watch checks whether it should.
const WATCH_CHECK_DELAY: Duration = Duration::from_millis(500);
/// The delay between two watches of an object.
const WATCH_DELAY: Duration = Duration::from_millis(100);
/// The time after which newer configuration may be fetched from another peer although a
/// fetch is under way.
const FETCH_PATIENCE: Duration = Duration::from_millis(500);
/// The constant part of the mean interval at which a VM reads the platform's list of
/// VMs.
const VM_LIST_INTERVAL: Duration = Duration::from_secs(5);
/// The part of the mean interval between two reads of the platform's list for each VM
/// that is alive. It bounds the rate at which the whole fleet reads the list.
const VM_LIST_INTERVAL_PER_VM: Duration = Duration::from_millis(100);

/// An object of the store that is watched for changes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum WatchedObject {
    /// The head object of the configuration.
    Head,
    /// The domain orders.
    Domains,
}

impl WatchedObject {
    fn key(self) -> &'static str {
        match self {
            Self::Head => head::HEAD_KEY,
            Self::Domains => head::DOMAINS_KEY,
        }
    }
}

impl Shared {
    /// Returns the VMs of the region that should watch the object store.
    fn watchers(&self) -> Vec<VmId> {
        rendezvous::top(WATCHERS_KEY, &self.view().alive, WATCHERS)
    }

    /// Watches one object of the store whenever this VM is a watcher. Runs until the
    /// task is cancelled.
    pub(crate) async fn watch(self: Arc<Self>, watched: WatchedObject) {
        let mut version = 0;
        loop {
            if !self.watchers().contains(&self.self_id) {
                smol::Timer::after(WATCH_CHECK_DELAY).await;
                continue;
            }
            self.take_from_budget().await;
            let result = self.store.watch(watched.key(), version, WATCH_WAIT).await;
            match result {
                Ok(Some(object)) => {
                    lock(&self.budget).record_success();
                    version = self.apply_object(watched, &object).await.unwrap_or(version);
                }
                Ok(None) => {
                    lock(&self.budget).record_success();
                    smol::Timer::after(WATCH_DELAY).await;
                }
                Err(error) => self.back_off(&error).await,
            }
        }
    }

    /// Applies a watched object; returns its version, or none if the object has to be
    /// read again.
    async fn apply_object(&self, watched: WatchedObject, object: &Object) -> Option<Version> {
        match watched {
            WatchedObject::Head => {
                let head: Head = decode(&object.value)?;
                if !self.apply_head(head).await {
                    smol::Timer::after(WATCH_DELAY).await;
                    return None;
                }
            }
            WatchedObject::Domains => self.apply_domains(decode(&object.value)?),
        }
        smol::Timer::after(WATCH_DELAY).await;
        Some(object.version)
    }

    /// Offers a head object to the mirror, reads the part objects that the mirror
    /// lacks from the store, and puts the configuration in force. Returns false if a
    /// part could not be read.
    pub(crate) async fn apply_head(&self, head: Head) -> bool {
        let missing = lock(&self.mirror).offer_head(head);
        for entry in missing {
            self.take_from_budget().await;
            let object = match self.store.get(&entry.key()).await {
                Ok(Some(object)) => object,
                Ok(None) => return false,
                Err(error) => {
                    self.back_off(&error).await;
                    return false;
                }
            };
            if let Err(error) = lock(&self.mirror).add_part(&entry, object.value) {
                log::error!(
                    "conf: part object {} of the store rejected: {error}",
                    entry.key()
                );
                return false;
            }
        }
        self.put_in_force();
        true
    }

    /// Offers domain orders to the mirror and puts them in force if they are newer.
    pub(crate) fn apply_domains(&self, domains: DomainOrders) {
        if lock(&self.mirror).offer_domain_orders(domains) {
            self.put_in_force();
        }
    }

    /// Waits until the budget allows one call to the platform, and takes it from the
    /// budget.
    async fn take_from_budget(&self) {
        loop {
            let now = self.clock.now();
            let watchers = self.watchers().len();
            let wait = {
                let mut budget = lock(&self.budget);
                budget.set_fleet_size(watchers);
                budget.try_take(now)
            };
            match wait {
                Ok(()) => return,
                Err(wait) => smol::Timer::after(wait).await,
            };
        }
    }

    /// Waits after a failed call to the platform: for the budget's backoff, or longer
    /// if the platform asked for that.
    async fn back_off(&self, error: &plat::Error) {
        let wait = lock(&self.budget).record_failure(fastrand::f64());
        let wait = match error {
            plat::Error::RateLimited(requested) => wait.max(*requested),
            _ => wait,
        };
        log::debug!("conf: call to the platform failed: {error}; next call in {wait:?}");
        smol::Timer::after(wait).await;
    }

    /// Requests a fetch of the newer configuration that `vm` has, unless a fetch is
    /// under way.
    pub(crate) fn request_fetch(&self, vm: VmId) {
        let Some(to) = self.view().address(vm) else {
            return;
        };
        if self.fetching.swap(true, Ordering::SeqCst) {
            return;
        }
        if self.fetch_requests.try_send(to).is_err() {
            self.fetching.store(false, Ordering::SeqCst);
        }
    }

    /// Fetches newer configuration from the peers whose addresses `sources` delivers.
    /// Runs until the task is cancelled.
    ///
    /// A peer that does not reply within [`FETCH_PATIENCE`] holds up no fetch from another
    /// one, and may still reply.
    pub(crate) async fn fetch_from_peers(
        self: Arc<Self>,
        sources: async_channel::Receiver<std::net::SocketAddr>,
    ) {
        while let Ok(from) = sources.recv().await {
            let shared = self.clone();
            let mut fetch = self.handle.spawn(async move {
                if let Err(error) = shared.fetch(from).await {
                    log::debug!("conf: fetch from {from} failed: {error}");
                }
            });
            if net::timeout(FETCH_PATIENCE, &mut fetch).await.is_none() {
                fetch.detach();
            }
            self.fetching.store(false, Ordering::SeqCst);
        }
    }

    async fn fetch(&self, from: std::net::SocketAddr) -> std::io::Result<()> {
        let request = {
            let mirror = lock(&self.mirror);
            stream::Request::Newer {
                head: mirror.revision(),
                domains: mirror.domain_orders().revision,
                registry: lock(&self.catalog).revisions(),
            }
        };
        let reply = stream::request(from, &self.keyring, &request).await?;
        let stream::Reply::Newer {
            head,
            domains,
            registry,
        } = reply
        else {
            return Err(std::io::ErrorKind::InvalidData.into());
        };
        if let Some(update) = registry.as_deref().and_then(decode) {
            self.apply_update(update);
        }
        if let Some(domains) = domains.as_deref().and_then(decode) {
            self.apply_domains(domains);
        }
        if let Some(head) = head.as_deref().and_then(decode) {
            let missing = lock(&self.mirror).offer_head(head);
            self.fetch_parts(from, missing).await?;
            self.put_in_force();
        }
        Ok(())
    }

    async fn fetch_parts(
        &self,
        from: std::net::SocketAddr,
        missing: Vec<head::PartRef>,
    ) -> std::io::Result<()> {
        for entries in missing.chunks(stream::PARTS_PER_REQUEST) {
            let request = stream::Request::Parts(entries.to_vec());
            let reply = stream::request(from, &self.keyring, &request).await?;
            let stream::Reply::Parts(parts) = reply else {
                return Err(std::io::ErrorKind::InvalidData.into());
            };
            let mut mirror = lock(&self.mirror);
            for (entry, part) in entries.iter().zip(parts) {
                let stored = part.map(|bytes| mirror.add_part(entry, bytes));
                if let Some(Err(error)) = stored {
                    log::warn!(
                        "conf: part object {} from {from} rejected: {error}",
                        entry.key()
                    );
                }
            }
        }
        Ok(())
    }

    /// Reads the platform's list of VMs at intervals and passes it to the membership.
    /// Runs until the task is cancelled.
    pub(crate) async fn poll_vm_list(self: Arc<Self>) {
        loop {
            match self.store.vms().await {
                Ok(list) if !list.is_empty() => {
                    let mut listed: Vec<VmId> =
                        list.iter().map(|vm| base::id::vm(&vm.name)).collect();
                    listed.sort_unstable();
                    self.with_members(|members| members.set_platform_list(listed));
                }
                Ok(_) => {}
                Err(error) => log::debug!("plat: cannot read the list of VMs: {error}"),
            }
            let fleet = self.view().total_alive as u32;
            let period = VM_LIST_INTERVAL + VM_LIST_INTERVAL_PER_VM * fleet;
            smol::Timer::after(period.mul_f64(0.8 + 0.4 * fastrand::f64())).await;
        }
    }

    /// Accepts a ticket into the object store and applies it on this VM. Returns
    /// an error if the ticket is not accepted.
    pub async fn apply_ticket(
        &self,
        ticket: &Ticket,
        context: &accept::ApplyContext,
    ) -> accept::Result<AcceptedTicket> {
        let accepted = accept::apply_ticket(&*self.store, ticket, context).await?;
        log::info!(
            "conf: ticket {} by {} accepted as revision {}, applied by {}",
            accepted.ticket,
            accepted.by,
            accepted.revision,
            accepted.applied
        );
        let (_, head) = accept::read_head(&*self.store).await?;
        self.apply_head(head).await;
        Ok(accepted)
    }

    /// Records a domain order, which takes a failure domain out of service or back in,
    /// in the object store and applies it on this VM.
    ///
    /// Returns [`accept::Error::NeedsForce`] if the order would leave a service without
    /// servers and `force` is not set.
    pub async fn apply_domain_order(
        &self,
        order: DomainOrder,
        force: bool,
    ) -> accept::Result<DomainOrders> {
        let state = entry::Ports::state(self);
        let starved = state.services_only_in(&order.domain);
        if order.out && !force && !starved.is_empty() {
            let reason = format!(
                "without {} there is no server left for {}",
                order.domain,
                starved.join(", ")
            );
            return Err(accept::Error::NeedsForce(reason));
        }
        let domains = accept::apply_order(&*self.store, order).await?;
        self.apply_domains(domains.clone());
        Ok(domains)
    }
}

/// Decodes a JSON object of the configuration; logs an error and returns none if that
/// fails.
pub(crate) fn decode<T: serde::de::DeserializeOwned>(bytes: &[u8]) -> Option<T> {
    let decoded = serde_json::from_slice(bytes);
    if let Err(error) = &decoded {
        log::error!("conf: cannot decode a configuration object: {error}");
    }
    decoded.ok()
}

/// Encodes an object of the configuration as JSON.
pub(crate) fn encode<T: serde::Serialize>(value: &T) -> Vec<u8> {
    serde_json::to_vec(value).expect("configuration types have no keys that JSON cannot hold")
}
