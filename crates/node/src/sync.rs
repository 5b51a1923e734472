//! Keeps this VM's configuration as new as the platform's.
//!
//! Only a few VMs of each region watch the platform, chosen by rendezvous
//! hash; the others hear of news from their peers' probes and fetch it from
//! them. A VM alone in its view watches for itself. See
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

/// VMs of each region that watch the platform.
pub const WATCHERS: usize = 2;
/// The key by which the watchers are chosen.
const WATCH_KEY: u64 = 0x7761_7463_6865_7273;
/// The longest wait of one watch.
const WATCH_WAIT: Duration = Duration::from_secs(10);
/// The wait of a VM that does not watch before it looks whether it should.
const IDLE: Duration = Duration::from_millis(500);
/// The rest after an answer that brought nothing new.
const REST: Duration = Duration::from_millis(100);
/// The time between two looks at the VM list by a fleet of one.
const LIST_PERIOD: Duration = Duration::from_secs(5);
/// What each further VM adds to that time, so that the fleet's rate is bounded.
const LIST_PERIOD_EACH: Duration = Duration::from_millis(100);

/// An object that is watched.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Watched {
    /// The head of the configuration.
    Head,
    /// The orders about failure domains.
    Domains,
}

impl Watched {
    fn key(self) -> &'static str {
        match self {
            Self::Head => head::HEAD_KEY,
            Self::Domains => head::DOMAINS_KEY,
        }
    }
}

impl Shared {
    fn watchers(&self) -> Vec<VmId> {
        rendezvous::top(WATCH_KEY, &self.view().alive, WATCHERS)
    }

    /// Watches one object of the platform whenever this VM is a watcher.
    pub(crate) async fn watch(self: Arc<Self>, watched: Watched) {
        let mut version = 0;
        loop {
            if !self.watchers().contains(&self.self_id) {
                smol::Timer::after(IDLE).await;
                continue;
            }
            self.pay().await;
            let answer = self.store.watch(watched.key(), version, WATCH_WAIT).await;
            match answer {
                Ok(Some(object)) => {
                    lock(&self.budget).record_success();
                    version = self.take(watched, &object).await.unwrap_or(version);
                }
                Ok(None) => {
                    lock(&self.budget).record_success();
                    smol::Timer::after(REST).await;
                }
                Err(error) => self.back_off(&error).await,
            }
        }
    }

    /// Takes a watched object; returns its version once it needs no other look.
    async fn take(&self, watched: Watched, object: &Object) -> Option<Version> {
        match watched {
            Watched::Head => {
                let head: Head = decode(&object.value)?;
                if !self.take_head(head).await {
                    smol::Timer::after(REST).await;
                    return None;
                }
            }
            Watched::Domains => self.take_domains(decode(&object.value)?),
        }
        smol::Timer::after(REST).await;
        Some(object.version)
    }

    /// Offers a head and reads its parts from the platform; false if some are
    /// missing.
    pub(crate) async fn take_head(&self, head: Head) -> bool {
        let missing = lock(&self.mirror).offer_head(head);
        for entry in missing {
            self.pay().await;
            let object = match self.store.get(&entry.key()).await {
                Ok(Some(object)) => object,
                Ok(None) => return false,
                Err(error) => {
                    self.back_off(&error).await;
                    return false;
                }
            };
            if let Err(error) = lock(&self.mirror).add_part(&entry, object.value) {
                log::error!("conf: part {}: {error}", entry.key());
                return false;
            }
        }
        self.put_in_force();
        true
    }

    /// Offers orders about failure domains.
    pub(crate) fn take_domains(&self, domains: DomainOrders) {
        if lock(&self.mirror).offer_domain_orders(domains) {
            self.put_in_force();
        }
    }

    /// Waits until the budget allows one call to the platform.
    async fn pay(&self) {
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

    async fn back_off(&self, error: &plat::Error) {
        let wait = lock(&self.budget).record_failure(fastrand::f64());
        let wait = match error {
            plat::Error::RateLimited(asked) => wait.max(*asked),
            _ => wait,
        };
        log::debug!("conf: platform: {error}; next try in {wait:?}");
        smol::Timer::after(wait).await;
    }

    /// Fetches what `vm` has newer, unless a fetch is under way.
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

    /// Fetches from peers for as long as it is polled.
    pub(crate) async fn fetch_from_peers(
        self: Arc<Self>,
        fetch_sources: async_channel::Receiver<std::net::SocketAddr>,
    ) {
        while let Ok(from) = fetch_sources.recv().await {
            if let Err(error) = self.fetch(from).await {
                log::debug!("conf: fetch from {from} failed: {error}");
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
        let answer = stream::request(from, &self.keyring, &request).await?;
        let stream::Reply::Newer {
            head,
            domains,
            registry,
        } = answer
        else {
            return Err(std::io::ErrorKind::InvalidData.into());
        };
        if let Some(update) = registry.as_deref().and_then(decode) {
            self.take_update(update);
        }
        if let Some(domains) = domains.as_deref().and_then(decode) {
            self.take_domains(domains);
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
            let answer = stream::request(from, &self.keyring, &request).await?;
            let stream::Reply::Parts(parts) = answer else {
                return Err(std::io::ErrorKind::InvalidData.into());
            };
            let mut mirror = lock(&self.mirror);
            for (entry, part) in entries.iter().zip(parts) {
                let taken = part.map(|bytes| mirror.add_part(entry, bytes));
                if let Some(Err(error)) = taken {
                    log::warn!("conf: part {} from {from}: {error}", entry.key());
                }
            }
        }
        Ok(())
    }

    /// Looks at the platform's list of VMs from time to time.
    pub(crate) async fn watch_list(self: Arc<Self>) {
        loop {
            match self.store.vms().await {
                Ok(list) if !list.is_empty() => {
                    let mut listed: Vec<VmId> =
                        list.iter().map(|vm| base::id::vm(&vm.name)).collect();
                    listed.sort_unstable();
                    self.with_members(|members| members.set_platform_list(listed));
                }
                Ok(_) => {}
                Err(error) => log::debug!("plat: VM list: {error}"),
            }
            let fleet = self.view().total_alive as u32;
            let period = LIST_PERIOD + LIST_PERIOD_EACH * fleet;
            smol::Timer::after(period.mul_f64(0.8 + 0.4 * fastrand::f64())).await;
        }
    }

    /// Accepts a ticket and takes it up on this VM.
    pub async fn apply_ticket(
        &self,
        ticket: &Ticket,
        who: &accept::ApplyContext,
    ) -> accept::Result<AcceptedTicket> {
        let accepted = accept::apply_ticket(&*self.store, ticket, who).await?;
        log::info!(
            "conf: ticket {} by {} accepted as revision {}, applied by {}",
            accepted.ticket,
            accepted.by,
            accepted.revision,
            accepted.applied
        );
        let (_, head) = accept::read_head(&*self.store).await?;
        self.take_head(head).await;
        Ok(accepted)
    }

    /// Takes a failure domain out or in.
    ///
    /// Taking out the last domain that serves something needs `force`.
    pub async fn apply_domain_order(
        &self,
        order: DomainOrder,
        force: bool,
    ) -> accept::Result<DomainOrders> {
        let state = entry::Ports::state(self);
        let starved = state.services_only_in(&order.domain);
        if order.out && !force && !starved.is_empty() {
            let what = format!(
                "without {} there is no server left for {}",
                order.domain,
                starved.join(", ")
            );
            return Err(accept::Error::NeedsForce(what));
        }
        let domains = accept::apply_order(&*self.store, order).await?;
        self.take_domains(domains.clone());
        Ok(domains)
    }
}

pub(crate) fn decode<T: serde::de::DeserializeOwned>(bytes: &[u8]) -> Option<T> {
    let decoded = serde_json::from_slice(bytes);
    if let Err(error) = &decoded {
        log::error!("conf: an object cannot be read: {error}");
    }
    decoded.ok()
}

pub(crate) fn encode<T: serde::Serialize>(value: &T) -> Vec<u8> {
    serde_json::to_vec(value).expect("configuration types have no keys that JSON cannot hold")
}
