//! What callers, servers and the operator saw in a run, in the order in which
//! they saw it.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use base::Clock;
use base::Time;

/// The number of one request; a caller's own repeat is another request.
pub type CallId = u64;
/// The place of a VM in the run.
pub type VmIndex = usize;
/// The place of one life of a server in [`Record::servers`].
pub type InstanceIndex = usize;

/// What a caller was told about a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RequestEnd {
    /// An answer.
    Response {
        /// Its status.
        status: u16,
        /// What the seal says, where the answer bears one.
        signature: Option<Signature>,
        /// The id that the answer echoes.
        echoed_id: Option<CallId>,
        /// Whether the body came to its end and, where there is a seal, is the
        /// body that the server sent.
        intact: bool,
    },
    /// The connection ended without an answer.
    ConnectionClosed,
    /// The caller went away before.
    Abandoned,
    /// The answer did not come in the caller's time.
    Timeout,
}

/// What a server says of its answer, so that a caller can compare.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Signature {
    /// The status that the server gave.
    pub status: u16,
    /// The hash of its body.
    pub hash: u64,
}

/// A request as its caller saw it.
#[derive(Clone, Debug)]
pub struct Request {
    /// Its number.
    pub id: CallId,
    /// When its last byte was written.
    pub at: Time,
    /// The VM that it was written to.
    pub vm: VmIndex,
    /// The route.
    pub route: &'static str,
    /// Whether it may be repeated.
    pub idempotent: bool,
    /// The time that the caller gave it.
    pub timeout: Duration,
    /// When and how it ended; none while it is open.
    pub end: Option<(Time, RequestEnd)>,
}

/// A request as a server saw it.
#[derive(Clone, Copy, Debug)]
pub struct Arrival {
    /// The request.
    pub call: CallId,
    /// When its head was read.
    pub at: Time,
    /// The life of the server.
    pub instance: InstanceIndex,
    /// Whether the server began to work on it.
    pub executed: bool,
}

/// One life of a server.
#[derive(Clone, Debug)]
pub struct ServerInstance {
    /// The place in which it lives.
    pub location: usize,
    /// Its name in the store.
    pub name: String,
    /// Its service.
    pub service: &'static str,
    /// Its failure domain.
    pub domain: &'static str,
    /// Until when it is cold.
    pub cold_until: Time,
    /// When the store took note that it takes no new work.
    pub leaving_since: Option<Time>,
}

/// A configuration.
#[derive(Clone, Copy, Debug)]
pub struct Ticket {
    /// When the store acknowledged it.
    pub at: Time,
    /// The service of the route that moves.
    pub moving: &'static str,
}

/// A span of the run.
#[derive(Clone, Copy, Debug)]
pub struct Span {
    /// Its begin.
    pub from: Time,
    /// Its end.
    pub to: Time,
}

impl Span {
    /// Returns whether the span has a moment in common with `from` to `to`.
    pub fn overlaps(&self, from: Time, to: Time) -> bool {
        self.from <= to && from <= self.to
    }
}

/// What a fault strikes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FaultTarget {
    /// The VM, or all connections to its callers.
    Vm(VmIndex),
    /// The VM's way to the store.
    StoreAccess(VmIndex),
    /// The store for all.
    Store,
    /// The server of a place, or the way to it.
    Server(usize),
}

/// A fault.
#[derive(Clone, Debug)]
pub struct Fault {
    /// From when to when it lasted.
    pub span: Span,
    /// What it struck.
    pub target: FaultTarget,
    /// Its name.
    pub name: &'static str,
}

/// A domain that was taken out.
#[derive(Clone, Copy, Debug)]
pub struct DomainOut {
    /// The domain.
    pub domain: &'static str,
    /// From the acknowledgement to the return.
    pub span: Span,
}

/// One life of a VM's process.
#[derive(Clone, Copy, Debug)]
pub struct Process {
    /// The VM.
    pub vm: VmIndex,
    /// From the start to the end of the process.
    pub span: Span,
    /// When it was asked to stop.
    pub stop_requested: Option<Time>,
    /// The exit code, if it ended by itself.
    pub exit_code: Option<i32>,
}

/// The whole record.
#[derive(Clone, Debug, Default)]
pub struct Record {
    /// Requests in the order in which they were begun.
    pub requests: Vec<Request>,
    /// Arrivals in the order in which servers saw them.
    pub arrivals: Vec<Arrival>,
    /// Lives of servers.
    pub instances: Vec<ServerInstance>,
    /// Configurations in the order of their acknowledgement.
    pub tickets: Vec<Ticket>,
    /// Domains taken out.
    pub domain_outs: Vec<DomainOut>,
    /// Faults in the order of their begin.
    pub faults: Vec<Fault>,
    /// Lives of the VMs' processes.
    pub processes: Vec<Process>,
    /// Spans in which this process itself was kept from running.
    pub stalls: Vec<Span>,
    /// When the last fault had ended.
    pub faults_ended: Time,
}

/// The record of a run that goes on.
#[derive(Clone, Default)]
pub struct Recorder {
    clock: Clock,
    record: Arc<Mutex<Record>>,
}

impl Recorder {
    /// Returns the time of the run.
    pub fn now(&self) -> Time {
        self.clock.now()
    }

    /// Gives access to the record.
    pub fn lock(&self) -> MutexGuard<'_, Record> {
        self.record.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Notes a request; returns its number.
    pub fn begin_request(&self, mut request: Request) -> CallId {
        let mut record = self.lock();
        request.id = record.requests.len() as CallId;
        let id = request.id;
        record.requests.push(request);
        id
    }

    /// Notes that the last byte of a request was written now.
    pub fn mark_sent(&self, id: CallId) {
        let now = self.now();
        if let Some(request) = self.lock().requests.get_mut(id as usize) {
            request.at = now;
        }
    }

    /// Notes the end of a request, once.
    pub fn end_request(&self, id: CallId, end: RequestEnd) {
        let now = self.now();
        if let Some(request) = self.lock().requests.get_mut(id as usize) {
            request.end.get_or_insert((now, end));
        }
    }

    /// Notes a request at a server; returns its place in the record.
    pub fn record_arrival(&self, call: CallId, instance: InstanceIndex) -> usize {
        let at = self.now();
        let mut record = self.lock();
        record.arrivals.push(Arrival {
            call,
            at,
            instance,
            executed: false,
        });
        record.arrivals.len() - 1
    }

    /// Notes that the server begins to work on an arrival.
    pub fn mark_executed(&self, arrival: usize) {
        if let Some(arrival) = self.lock().arrivals.get_mut(arrival) {
            arrival.executed = true;
        }
    }
}
