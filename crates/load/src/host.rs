//! One simulated entry host.

use std::net::SocketAddr;

use kingcupford_engine::Ticket;

use crate::{
    event::{Event, Process, SendingId},
    policy::Policy,
};

/// A machine with at most one process.
#[derive(Debug)]
pub(crate) struct Host {
    /// Its name.
    pub(crate) name: String,
    /// Its zone.
    pub(crate) zone: usize,
    /// Name of its zone.
    pub(crate) zone_name: String,
    /// Where other hosts reach it.
    pub(crate) address: SocketAddr,
    /// Number of its process's start.
    pub(crate) start: u32,
    /// The running process.
    pub(crate) process: Option<HostProcess>,
    /// Events that wait for the end of a pause.
    pub(crate) deferred: Vec<Event>,
    /// Whether its process stands still.
    pub(crate) paused: bool,
    /// Since when it could have learned the newest accepted configuration version.
    pub(crate) behind_since_us: Option<u64>,
}

/// A running process of a host.
#[derive(Debug)]
pub(crate) struct HostProcess {
    /// The policy.
    pub(crate) policy: Policy,
    /// Whether its listener accepts callers.
    pub(crate) listens: bool,
    /// Sendings that it serves, with their tickets, sorted by ticket.
    pub(crate) tickets: Vec<(Ticket, SendingId)>,
    /// All sendings that are not answered.
    pub(crate) open: Vec<SendingId>,
    /// Writes to the platform that are not answered.
    pub(crate) writing: u32,
    /// Revision from which it watches.
    pub(crate) after: Option<u64>,
}

impl Host {
    /// The running process, as events name it.
    pub(crate) fn process_of(&self, host: usize) -> Process {
        Process { host, start: self.start }
    }
}

impl HostProcess {
    /// A process with its policy.
    pub(crate) fn new(policy: Policy) -> Self {
        Self {
            policy,
            listens: true,
            tickets: Vec::new(),
            open: Vec::new(),
            writing: 0,
            after: None,
        }
    }

    /// The sending of a ticket.
    pub(crate) fn sending(&self, ticket: Ticket) -> Option<SendingId> {
        let at = self.tickets.binary_search_by_key(&ticket, |it| it.0).ok()?;
        Some(self.tickets[at].1)
    }

    /// Notes the ticket of a sending.
    pub(crate) fn insert(&mut self, ticket: Ticket, sending: SendingId) {
        let at = self.tickets.partition_point(|it| it.0 < ticket);
        self.tickets.insert(at, (ticket, sending));
    }

    /// Forgets a sending that was answered.
    pub(crate) fn close(&mut self, ticket: Option<Ticket>, sending: SendingId) {
        if let Some(ticket) = ticket
            && let Ok(at) = self.tickets.binary_search_by_key(&ticket, |it| it.0)
        {
            self.tickets.remove(at);
        }
        self.open.retain(|it| *it != sending);
    }
}
