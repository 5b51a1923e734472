//! Finds out whether a server crashed under a request, and shares that with other VMs.

use std::io::ErrorKind;
use std::net::SocketAddr;
use std::time::Duration;

use base::ServerId;
use base::VmId;
use route::crashes;
use route::crashes::Crash;
use route::crashes::CrashReport;
use route::crashes::Fingerprint;
use wire::CrashMsg;
use wire::Msg;

use crate::shared::lock;
use crate::shared::Shared;
use crate::view::View;

/// The time limit for the connection that shows whether a server still runs.
const CHECK_TIMEOUT: Duration = Duration::from_millis(300);

impl Shared {
    /// Reports a crash under `request` if the server refuses connections, after a call was
    /// lost with its connection. A server that still runs has dropped the call for another
    /// reason.
    pub(crate) fn check_crash(&self, request: Fingerprint, server: ServerId, address: SocketAddr) {
        let Some(shared) = self.to_arc() else {
            return;
        };
        self.handle.spawn_detached(async move {
            let connected = shared.pools.try_connect(address, CHECK_TIMEOUT).await;
            let refused =
                connected.is_err_and(|error| error.kind() == ErrorKind::ConnectionRefused);
            if refused && !shared.check_path(address).await {
                shared.report_crash(request, server);
            }
        });
    }

    fn report_crash(&self, request: Fingerprint, server: ServerId) {
        let now = self.clock.now();
        let crash = Crash {
            server,
            age: Duration::ZERO,
        };
        let report = CrashReport {
            request,
            crashes: vec![crash],
        };
        if !lock(&self.crashes).merge(&report, now) {
            return;
        }
        let known = lock(&self.crashes).report(request, now).unwrap_or(report);
        log::warn!(
            request = format!("{request:x}"),
            server = format!("{server:x}"),
            crashes = known.crashes.len() as u64,
            rejected_ms = self.rejected_ms(request);
            "crash: a server ended while it ran a request"
        );
        let owners = crashes::owners(request, &self.view().alive);
        if owners.contains(&self.self_id) {
            self.share_crashes(&known);
        }
        for owner in owners {
            self.send_crash_msg(owner, CrashMsg::Crashed(known.clone()));
        }
    }

    /// Removes a request that a server has responded to from all VMs' tables.
    pub(crate) fn clear_crashes(&self, request: Fingerprint) {
        if !lock(&self.crashes).clear(request) {
            return;
        }
        log::info!(
            request = format!("{request:x}");
            "crash: a server responded to the request; its crashes do not count"
        );
        for &vm in &self.view().alive {
            self.send_crash_msg(vm, CrashMsg::Cleared(request));
        }
    }

    /// Dispatches a message about crashes.
    pub(crate) fn receive_crash(&self, msg: CrashMsg) {
        let now = self.clock.now();
        match msg {
            CrashMsg::Crashed(report) => {
                if !lock(&self.crashes).merge(&report, now) {
                    return;
                }
                let request = report.request;
                let known = lock(&self.crashes).report(request, now).unwrap_or(report);
                log::info!(
                    request = format!("{request:x}"),
                    crashes = known.crashes.len() as u64,
                    rejected_ms = self.rejected_ms(request);
                    "crash: another VM reported that a server ended"
                );
                if crashes::owners(request, &self.view().alive).contains(&self.self_id) {
                    self.share_crashes(&known);
                }
            }
            CrashMsg::Cleared(request) => {
                lock(&self.crashes).clear(request);
            }
        }
    }

    /// Tells VMs that are alive in `new` and were not in `old` which requests are suspected
    /// or rejected.
    pub(crate) fn send_crashes_to_joined(&self, old: &View, new: &View) {
        let now = self.clock.now();
        let reports = lock(&self.crashes).reports_for_joined(self.self_id, &old.alive, now);
        if reports.is_empty() {
            return;
        }
        let is_joined = |vm: &&VmId| old.alive.binary_search(vm).is_err();
        for &vm in new.alive.iter().filter(is_joined) {
            for report in &reports {
                self.send_crash_msg(vm, CrashMsg::Crashed(report.clone()));
            }
        }
    }

    /// As an owner, tells all VMs of the crashes under a request if they are enough.
    fn share_crashes(&self, report: &CrashReport) {
        if !crashes::is_shared(report.crashes.len()) {
            return;
        }
        for &vm in &self.view().alive {
            self.send_crash_msg(vm, CrashMsg::Crashed(report.clone()));
        }
    }

    fn send_crash_msg(&self, vm: VmId, msg: CrashMsg) {
        if let Some(to) = self.view().address(vm) {
            self.outbox.put(to, Msg::Crash(msg));
        }
    }

    fn rejected_ms(&self, request: Fingerprint) -> u64 {
        let left = lock(&self.crashes).rejected_for(request, self.clock.now());
        left.map_or(0, |left| left.as_millis() as u64)
    }
}
