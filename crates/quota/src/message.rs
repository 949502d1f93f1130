//! Messages by which two holders move units of a cap for a short time.

use bincode::{Decode, Encode};

use crate::ResourceName;

/// Identifies one loan request of one process; a loan keeps the id of the request that opened it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
pub struct LoanId {
    /// Incarnation of the borrower, so that a restarted borrower does not repeat an id.
    pub incarnation: u64,
    /// Number of the request in that process.
    pub sequence: u64,
}

/// A message between two holders.
#[derive(Debug, Clone, PartialEq, Encode, Decode)]
pub enum Message {
    /// Asks for units of one cap.
    LoanRequest {
        /// The request.
        id: LoanId,
        /// The loan that the borrower wants to keep, if it is a renewal.
        renews: Option<LoanId>,
        /// The cap.
        resource: ResourceName,
        /// Wanted units, those of the renewed loan included.
        units: u32,
    },
    /// Answers a request; the lender has lowered its own part before.
    LoanResponse {
        /// The answered request.
        id: LoanId,
        /// Whether `renews` of the request goes on; otherwise a new loan starts.
        renewed: bool,
        /// The cap.
        resource: ResourceName,
        /// Lent units, 0 for a refusal.
        units: u32,
        /// Tokens that move with the units.
        tokens: f64,
        /// Time to use it, counted from the sending of the request.
        duration_ms: u32,
    },
    /// Ends a loan early; the borrower has stopped using it before.
    LoanReturn {
        /// The loan.
        id: LoanId,
        /// The cap.
        resource: ResourceName,
        /// Tokens that come back with the units; the borrower has given them up before.
        tokens: f64,
    },
}
