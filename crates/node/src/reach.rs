//! Detects that this VM has lost its path to all servers, and finds VMs that still have one
//! and send its calls.
//!
//! Callers and other VMs may still reach a VM that reaches no server. Such a VM does not
//! report failures of servers, is no home, and relays its calls to other VMs. See
//! `docs/design/partitions.md`.

use std::net::SocketAddr;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::sync::Mutex;
use std::time::Duration;

use base::Time;
use base::VmId;
use wire::Msg;
use wire::RelayMsg;

use crate::shared::lock;
use crate::shared::read;
use crate::shared::Shared;

/// The number of servers to which connections are tried.
const TRIED_SERVERS: usize = 3;
/// The time limit for such a connection. Usual connections take a small fraction of it, and
/// a call may wait for the result.
const TRY_TIMEOUT: Duration = Duration::from_millis(150);
/// The shortest time between two checks of the path.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// The time between two checks whether a lost path is back, and between two requests for
/// offers.
const RECOVERY_INTERVAL: Duration = Duration::from_millis(250);
/// The number of VMs that are asked for offers at a time.
const ASKED_VMS: usize = 4;
/// The time for which an offer holds.
const OFFER_TTL: Duration = Duration::from_millis(1500);

/// The offer of another VM to send calls of this one.
#[derive(Clone, Copy, Debug)]
struct Offer {
    vm: VmId,
    address: SocketAddr,
    at: Time,
}

/// Whether this VM has a path to servers, and who offers one if it has not.
#[derive(Debug, Default)]
pub struct Reach {
    lost: AtomicBool,
    /// When the last check of the path began, in milliseconds of the clock; 0 if there was
    /// none.
    checked_ms: AtomicU64,
    offers: Mutex<Vec<Offer>>,
    /// Where this VM takes calls from other VMs.
    relay_address: Mutex<Option<SocketAddr>>,
}

impl Reach {
    /// Returns whether this VM has lost its path to all servers.
    pub fn is_lost(&self) -> bool {
        self.lost.load(Ordering::SeqCst)
    }

    /// Sets where this VM takes calls from other VMs.
    pub fn set_relay_address(&self, address: SocketAddr) {
        *lock(&self.relay_address) = Some(address);
    }

    /// Returns the address of a VM that offers to send calls of this one, a random one of
    /// several; none if this VM has a path itself or knows no such VM.
    fn pick_offer(&self, now: Time) -> Option<SocketAddr> {
        if !self.is_lost() {
            return None;
        }
        let mut offers = lock(&self.offers);
        offers.retain(|offer| now < offer.at + OFFER_TTL);
        let index = fastrand::usize(..offers.len().max(1));
        offers.get(index).map(|offer| offer.address)
    }

    fn add_offer(&self, offer: Offer) {
        let mut offers = lock(&self.offers);
        offers.retain(|known| known.vm != offer.vm);
        offers.push(offer);
    }
}

impl Shared {
    /// Returns whether this VM has lost its path to all servers, after it could not use the
    /// server at `failed`. Tries some other servers unless that was done just before.
    pub(crate) async fn check_path(&self, failed: SocketAddr) -> bool {
        if self.reach.is_lost() {
            return true;
        }
        let now = self.clock.now().as_millis() as u64;
        let last = self.reach.checked_ms.load(Ordering::SeqCst);
        let due = last == 0 || now >= last + CHECK_INTERVAL.as_millis() as u64;
        let is_first = due
            && self
                .reach
                .checked_ms
                .compare_exchange(last, now, Ordering::SeqCst, Ordering::SeqCst)
                .is_ok();
        if is_first && self.reaches_any(Some(failed)).await == Some(false) {
            self.lose_path();
        }
        self.reach.is_lost()
    }

    /// Tries some servers other than the one at `except`, and returns whether any of them
    /// accepts a connection; none if there is no other server.
    async fn reaches_any(&self, except: Option<SocketAddr>) -> Option<bool> {
        let state = read(&self.state);
        let servers = state.services.iter().flat_map(|service| &service.servers);
        let others = servers.filter(|server| state.accepts_calls(server));
        let mut addresses: Vec<SocketAddr> = others.map(|server| server.address).collect();
        addresses.retain(|address| Some(*address) != except);
        addresses.sort_unstable();
        addresses.dedup();
        fastrand::shuffle(&mut addresses);
        addresses.truncate(TRIED_SERVERS);
        let (first, others) = addresses.split_first()?;
        // Mostly the first one accepts, and new connections are expensive.
        if self.pools.try_connect(*first, TRY_TIMEOUT).await.is_ok() {
            return Some(true);
        }
        let tries = others
            .iter()
            .map(|address| self.pools.try_connect(*address, TRY_TIMEOUT));
        let results = net::join_all(tries.collect()).await;
        Some(results.iter().any(Result::is_ok))
    }

    fn lose_path(&self) {
        let Some(shared) = self.to_arc() else {
            return;
        };
        if self.reach.lost.swap(true, Ordering::SeqCst) {
            return;
        }
        log::warn!("reach: no server accepts connections of this VM; relaying calls to other VMs");
        // A VM without capacity is no home and no reader.
        self.announce_capacity(0);
        self.handle.spawn_detached(async move {
            shared.wait_for_path().await;
        });
    }

    /// Asks other VMs for offers until a server accepts a connection again.
    async fn wait_for_path(&self) {
        let began = self.clock.now();
        loop {
            self.request_offers();
            smol::Timer::after(RECOVERY_INTERVAL).await;
            if self.reaches_any(None).await != Some(false) {
                break;
            }
        }
        self.reach.lost.store(false, Ordering::SeqCst);
        lock(&self.reach.offers).clear();
        let lost = self.clock.now().saturating_sub(began);
        log::info!(lost_ms = lost.as_millis() as u64; "reach: servers accept connections again");
        self.announce_capacity(self.settings.capacity.millicores());
    }

    fn announce_capacity(&self, capacity: u32) {
        self.with_members(|members| {
            members.set_capacity(capacity);
            members.announce();
        });
    }

    fn request_offers(&self) {
        let view = self.view();
        let mut others = view.alive.clone();
        others.retain(|vm| *vm != self.self_id);
        fastrand::shuffle(&mut others);
        for vm in others.into_iter().take(ASKED_VMS) {
            if let Some(to) = view.address(vm) {
                self.outbox.put(to, Msg::Relay(RelayMsg::Request));
            }
        }
    }

    /// Dispatches a message of the VM `from` about relayed calls.
    pub(crate) fn receive_relay(&self, from: VmId, msg: RelayMsg) {
        match msg {
            RelayMsg::Request => {
                let address = *lock(&self.reach.relay_address);
                // An offer must not outlive the listener.
                let stopping = self.drain_end.get().is_some();
                let (Some(address), false, false) = (address, self.reach.is_lost(), stopping)
                else {
                    return;
                };
                if let Some(to) = self.view().address(from) {
                    let offer = RelayMsg::Offer { address };
                    self.outbox.put(to, Msg::Relay(offer));
                }
            }
            RelayMsg::Offer { address } => self.reach.add_offer(Offer {
                vm: from,
                address,
                at: self.clock.now(),
            }),
        }
    }

    /// Returns the address of a VM to which this one should relay its calls.
    pub(crate) fn relay_target(&self) -> Option<SocketAddr> {
        self.reach.pick_offer(self.clock.now())
    }
}
