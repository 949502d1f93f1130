//! Simulated entry hosts.

use std::net::SocketAddr;

use kingcupford_engine::Ticket;

use crate::{
    event::{Event, ProcessId, RequestIndex},
    policy::Policy,
};

/// Entry host: a machine with at most one running process.
#[derive(Debug)]
pub(crate) struct Host {
    pub(crate) name: String,
    pub(crate) zone: usize,
    pub(crate) zone_name: String,
    pub(crate) address: SocketAddr,
    /// Number of process starts so far.
    pub(crate) generation: u32,
    pub(crate) process: Option<HostProcess>,
    /// Events that arrived during a pause.
    pub(crate) deferred_events: Vec<Event>,
    pub(crate) is_paused: bool,
    /// Time since which the host could have received the newest configuration but has an older one.
    pub(crate) outdated_since_us: Option<u64>,
}

/// Running process of a host.
#[derive(Debug)]
pub(crate) struct HostProcess {
    pub(crate) policy: Policy,
    /// Whether the listener for callers is open.
    pub(crate) is_listening: bool,
    /// Admitted requests, sorted by ticket.
    pub(crate) tickets: Vec<(Ticket, RequestIndex)>,
    /// Requests that are not answered yet, admitted or not.
    pub(crate) open_requests: Vec<RequestIndex>,
    /// Number of writes to the platform that are not answered yet.
    pub(crate) pending_writes: u32,
    /// Platform revision after which the host watches for changes; `None` if all objects have to be
    /// read first.
    pub(crate) watch_revision: Option<u64>,
}

impl Host {
    /// Returns the id of the current process; `host` is the index of this host.
    pub(crate) fn process_id(&self, host: usize) -> ProcessId {
        ProcessId { host, generation: self.generation }
    }
}

impl HostProcess {
    pub(crate) fn new(policy: Policy) -> Self {
        Self {
            policy,
            is_listening: true,
            tickets: Vec::new(),
            open_requests: Vec::new(),
            pending_writes: 0,
            watch_revision: None,
        }
    }

    /// Returns the request with a ticket.
    pub(crate) fn request_of(&self, ticket: Ticket) -> Option<RequestIndex> {
        let index = self.tickets.binary_search_by_key(&ticket, |it| it.0).ok()?;
        Some(self.tickets[index].1)
    }

    /// Records the ticket of an admitted request.
    pub(crate) fn insert_ticket(&mut self, ticket: Ticket, request: RequestIndex) {
        let index = self.tickets.partition_point(|it| it.0 < ticket);
        self.tickets.insert(index, (ticket, request));
    }

    /// Removes an answered request.
    pub(crate) fn close_request(&mut self, ticket: Option<Ticket>, request: RequestIndex) {
        if let Some(ticket) = ticket
            && let Ok(index) = self.tickets.binary_search_by_key(&ticket, |it| it.0)
        {
            self.tickets.remove(index);
        }
        self.open_requests.retain(|it| *it != request);
    }
}
