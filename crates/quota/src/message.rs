//! Messages by which holders lend each other units of a cap.

use bincode::{Decode, Encode};

use crate::ResourceName;

/// Identifies a loan request of a process. A loan keeps the id of the request that created it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
pub struct LoanId {
    /// Incarnation of the borrower, so that a restarted borrower does not reuse an id.
    pub incarnation: u64,
    /// Sequence number of the request within the process.
    pub sequence: u64,
}

/// Message between two holders.
#[derive(Debug, Clone, PartialEq, Encode, Decode)]
pub enum Message {
    /// Requests a new loan of units of one cap, or the renewal of a loan.
    LoanRequest {
        /// Id of this request.
        id: LoanId,
        /// Loan to renew, `None` for a new loan.
        renews: Option<LoanId>,
        /// Resource whose cap the units belong to.
        resource: ResourceName,
        /// Requested units, those of the renewed loan included.
        units: u32,
    },
    /// Responds to a loan request. The lender stops using the lent units before it responds.
    LoanResponse {
        /// Id of the request.
        id: LoanId,
        /// Whether the loan in `renews` of the request continues; otherwise a new loan starts.
        renewed: bool,
        /// Resource whose cap the units belong to.
        resource: ResourceName,
        /// Lent units, 0 when the request is refused.
        units: u32,
        /// Tokens that move from the bucket of the lender to that of the borrower.
        tokens: f64,
        /// Time for which the units may be used, counted from the sending of the request.
        duration_ms: u32,
    },
    /// Ends a loan early. The borrower stops using the units before it sends this message.
    LoanReturn {
        /// Id of the loan.
        id: LoanId,
        /// Resource whose cap the units belong to.
        resource: ResourceName,
        /// Tokens that move back to the lender, already removed from the bucket of the borrower.
        tokens: f64,
    },
}
