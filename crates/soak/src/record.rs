//! The record of a run: what callers, servers and the operator observed, in the
//! order in which they observed it.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use base::Clock;
use base::Time;

/// The id of a request. A retry by the caller is a request of its own.
pub type CallId = u64;
/// The index of a VM in the run.
pub type VmIndex = usize;
/// The index of a server instance in [`Record::instances`].
pub type InstanceIndex = usize;

/// How a request ended for its caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RequestEnd {
    /// The caller got a response.
    Response {
        /// The HTTP status.
        status: u16,
        /// The server's signature; `None` if the response has none, as refusals and
        /// the load balancer's own responses.
        signature: Option<Signature>,
        /// The request id that the response echoes, if any.
        echoed_id: Option<CallId>,
        /// Whether the body is complete and matches the hash of the signature, if
        /// there is one.
        intact: bool,
        /// Whether the request was refused for the quota of its team.
        over_quota: bool,
    },
    /// The connection closed before a complete response.
    ConnectionClosed,
    /// The caller got bytes that are no response.
    Malformed,
    /// The caller gave up before the response, or an earlier response on the same
    /// connection closed the connection.
    Abandoned,
    /// The response did not arrive within the time that the caller waits.
    Timeout,
}

/// The status and body hash that a server adds to its response, by which the caller
/// detects a response that was altered or belongs to another request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Signature {
    /// The status that the server sent.
    pub status: u16,
    /// The hash of the body that the server sent.
    pub hash: u64,
}

/// The key that a caller sends with a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Key {
    /// The key of the route's team that all configurations have.
    Lasting,
    /// The key of the route's team that only the configuration at this index in
    /// [`Record::tickets`] has.
    Passing(usize),
    /// The key that each configuration gives to another team.
    Moving,
    /// The key of the team at this index in [`LIMITED`](crate::caller::LIMITED).
    Limited(usize),
}

/// A request as its caller observed it.
#[derive(Clone, Debug)]
pub struct Request {
    /// The id, which is also the index in [`Record::requests`].
    pub id: CallId,
    /// When the last byte of the request was written.
    pub at: Time,
    /// The VM to which the request was sent.
    pub vm: VmIndex,
    /// The name of the route.
    pub route: &'static str,
    /// Whether the request may be executed more than once.
    pub idempotent: bool,
    /// The key that the caller sent.
    pub key: Key,
    /// The time limit that the caller sent with the request.
    pub timeout: Duration,
    /// Which request this one repeats that makes servers crash; `None` for others.
    pub poison: Option<usize>,
    /// When and how the request ended; `None` while it is in flight.
    pub end: Option<(Time, RequestEnd)>,
}

/// A request as a server observed it.
#[derive(Clone, Copy, Debug)]
pub struct Arrival {
    /// The id of the request.
    pub call: CallId,
    /// When the server had read the request.
    pub at: Time,
    /// The server instance that received the request.
    pub instance: InstanceIndex,
    /// The team that the request names, if it is one of the run.
    pub team: Option<&'static str>,
    /// Whether the server started to execute the request.
    pub executed: bool,
}

/// A request that reached a server with the name of another team, or with a key.
#[derive(Clone, Debug)]
pub struct Misnamed {
    /// The id of the request.
    pub call: CallId,
    /// When the server had read the request.
    pub at: Time,
    /// What was wrong.
    pub text: String,
}

/// What a server asks for in a response, beside the result of the request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServerNotice {
    /// The server leaves and wants no new requests.
    Leaving,
    /// The server refuses the request and wants no others from this VM for so long.
    Rest(Duration),
    /// The server takes so many requests a second from all VMs together.
    RateLimit(u64),
}

/// A response with which a server gave a [`ServerNotice`].
#[derive(Clone, Copy, Debug)]
pub struct NoticeSent {
    /// The id of the request.
    pub call: CallId,
    /// When the server sent the response.
    pub at: Time,
    /// The server instance.
    pub instance: InstanceIndex,
    /// What it asked for.
    pub notice: ServerNotice,
}

/// A server from its start until it stops or crashes.
#[derive(Clone, Debug)]
pub struct ServerInstance {
    /// The index of the location, which keeps its address across instances.
    pub location: usize,
    /// The name of its entry in the store.
    pub name: String,
    /// The service to which the instance belongs.
    pub service: &'static str,
    /// The version of its software.
    pub version: &'static str,
    /// The failure domain in which the instance runs.
    pub domain: &'static str,
    /// The end of the time in which the instance is cold; zero if it started warm.
    pub cold_until: Time,
    /// When the store acknowledged that the instance takes no new work; `None`
    /// before.
    pub leaving_since: Option<Time>,
}

/// An order to move a service to another version.
#[derive(Clone, Debug)]
pub struct RollOut {
    /// The service.
    pub service: &'static str,
    /// The ordered version.
    pub version: &'static str,
    /// Whether the servers of this version fail calls.
    pub is_bad: bool,
    /// When the store acknowledged the order.
    pub at: Time,
    /// The final state in the store and when the operator saw it; `None` if the operator
    /// no longer waited for it.
    pub end: Option<(Time, String)>,
}

/// A configuration that was written to the store.
#[derive(Clone, Copy, Debug)]
pub struct Ticket {
    /// When the store acknowledged the configuration.
    pub at: Time,
    /// The service to which [`MOVING_ROUTE`](crate::caller::MOVING_ROUTE) leads.
    pub moving: &'static str,
}

/// A time span of the run; both ends belong to it.
#[derive(Clone, Copy, Debug)]
pub struct Span {
    /// The start of the span.
    pub from: Time,
    /// The end of the span.
    pub to: Time,
}

impl Span {
    /// Returns whether the span overlaps with the one from `from` to `to`.
    pub fn overlaps(&self, from: Time, to: Time) -> bool {
        self.from <= to && from <= self.to
    }
}

/// The part of the system that a fault affects.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FaultTarget {
    /// A VM or the connections to its callers.
    Vm(VmIndex),
    /// The connections of a VM to all servers.
    Path(VmIndex),
    /// The access of one VM to the store.
    StoreAccess(VmIndex),
    /// The store, for all VMs.
    Store,
    /// The server of a location or the connections to it.
    Server(usize),
}

/// A fault that was injected.
#[derive(Clone, Debug)]
pub struct Fault {
    /// From the start to the end of the fault.
    pub span: Span,
    /// The affected part of the system.
    pub target: FaultTarget,
    /// The description that reports show.
    pub name: &'static str,
}

/// A failure domain that was taken out of service.
#[derive(Clone, Copy, Debug)]
pub struct DomainOut {
    /// The name of the domain.
    pub domain: &'static str,
    /// From the acknowledgement of the domain order to the order that takes the
    /// domain back in.
    pub span: Span,
}

/// A process of a VM from its start to its end.
#[derive(Clone, Copy, Debug)]
pub struct Process {
    /// The VM that the process ran on.
    pub vm: VmIndex,
    /// From the start to the end of the process.
    pub span: Span,
    /// When the process was asked to stop (SIGTERM); `None` if it was not.
    pub stop_requested: Option<Time>,
    /// The exit code; `None` if a signal ended the process.
    pub exit_code: Option<i32>,
}

/// Everything that was observed in a run.
#[derive(Clone, Debug, Default)]
pub struct Record {
    /// Requests in the order in which they started.
    pub requests: Vec<Request>,
    /// Arrivals of requests at servers, in order.
    pub arrivals: Vec<Arrival>,
    /// Requests that reached servers with the name of another team, or with a key.
    pub misnamed: Vec<Misnamed>,
    /// Notices of servers, in the order in which they were sent.
    pub notices: Vec<NoticeSent>,
    /// Server instances in the order in which they started.
    pub instances: Vec<ServerInstance>,
    /// Configurations in the order of their acknowledgement.
    pub tickets: Vec<Ticket>,
    /// Orders to roll versions out, in the order in which the operator saw their end.
    pub roll_outs: Vec<RollOut>,
    /// Responses with which servers of a bad version failed calls: when, and the server.
    pub bad_responses: Vec<(Time, InstanceIndex)>,
    /// Failure domains that were taken out of service.
    pub domain_outs: Vec<DomainOut>,
    /// Faults in the order in which they ended.
    pub faults: Vec<Fault>,
    /// Processes of VMs, in the order in which they ended.
    pub processes: Vec<Process>,
    /// Spans in which the soak process itself could not run, by which the bounds of
    /// checks are extended.
    pub stalls: Vec<Span>,
    /// When the last event had ended.
    pub faults_ended: Time,
    /// When the run asked the last running VM to stop, since when no VM accepts
    /// requests; `None` if the run has not come to that.
    pub last_stop: Option<Time>,
}

/// Records a run while it is in progress. Clones share one record and one clock.
#[derive(Clone, Default)]
pub struct Recorder {
    clock: Clock,
    record: Arc<Mutex<Record>>,
}

impl Recorder {
    /// Returns the time since the start of the run.
    pub fn now(&self) -> Time {
        self.clock.now()
    }

    /// Locks the record and returns access to it.
    pub fn lock(&self) -> MutexGuard<'_, Record> {
        self.record.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records the start of a request; sets its id and returns it.
    pub fn begin_request(&self, mut request: Request) -> CallId {
        let mut record = self.lock();
        request.id = record.requests.len() as CallId;
        let id = request.id;
        record.requests.push(request);
        id
    }

    /// Records that the last byte of a request is written now.
    pub fn mark_sent(&self, id: CallId) {
        let now = self.now();
        if let Some(request) = self.lock().requests.get_mut(id as usize) {
            request.at = now;
        }
    }

    /// Records the end of a request. Only the first end counts.
    pub fn end_request(&self, id: CallId, end: RequestEnd) {
        let now = self.now();
        if let Some(request) = self.lock().requests.get_mut(id as usize) {
            request.end.get_or_insert((now, end));
        }
    }

    /// Records that a request arrives at a server; returns the index in
    /// [`Record::arrivals`].
    pub fn record_arrival(
        &self,
        call: CallId,
        instance: InstanceIndex,
        team: Option<&'static str>,
    ) -> usize {
        let at = self.now();
        let mut record = self.lock();
        record.arrivals.push(Arrival {
            call,
            at,
            instance,
            team,
            executed: false,
        });
        record.arrivals.len() - 1
    }

    /// Records that a server sends a notice in the response to a request.
    pub fn record_notice(&self, call: CallId, instance: InstanceIndex, notice: ServerNotice) {
        let at = self.now();
        self.lock().notices.push(NoticeSent {
            call,
            at,
            instance,
            notice,
        });
    }

    /// Records that the server starts to execute the request of an arrival.
    pub fn mark_executed(&self, arrival: usize) {
        if let Some(arrival) = self.lock().arrivals.get_mut(arrival) {
            arrival.executed = true;
        }
    }
}
