//! Tests of single rules of leases and loans, between two holders without a network.

mod model;

use std::time::Duration;

use kingcupford_quota::{
    AcquireOutcome, Cap, Holder, Ledger, Message, Proposal, Resource, Settings, ShareRecord,
    WriteOutcome,
};
use tokio::time::Instant;

use crate::model::Simulation;

/// Two holders with half of the units each, and the ledger object.
struct Pair {
    now: Instant,
    holders: [Holder; 2],
    /// Version and content of the ledger.
    ledger_object: (u64, Ledger),
    /// Rate of a team, 200/s with a burst of 100.
    resource: Resource,
}

impl Pair {
    /// Creates holders that joined as generations 1 and 2; `acknowledged` is the generation that
    /// both records acknowledge.
    fn new(acknowledged: u64) -> Self {
        let sim = Simulation::new(0, 1, Settings::default());
        let record = |name: &str, joined| ShareRecord {
            name: name.to_owned(),
            address: name.to_owned(),
            incarnation: 1,
            floor: 100_000,
            main: 400_000,
            counter: 1,
            joined,
            acknowledged,
            reclaimed: 0,
        };
        let ledger = Ledger { generation: 2, holders: vec![record("a", 1), record("b", 2)] };
        let now = sim.now;
        let holder = |name| {
            let mut res = Holder::new(name, name, 1, 1, now);
            res.set_caps(sim.caps.clone(), &sim.snapshot, now);
            res.adopt_ledger(1, ledger.clone(), now);
            res
        };
        let holders = [holder("a"), holder("b")];
        Self { now, holders, ledger_object: (1, ledger), resource: sim.caps[0].0 }
    }

    /// Creates holders with fresh leases and full buckets.
    fn settled() -> Self {
        let mut res = Self::new(2);
        for _ in 0..20 {
            res.advance(100);
            res.write(0);
            res.write(1);
        }
        res
    }

    fn advance(&mut self, ms: u64) {
        self.now += Duration::from_millis(ms);
    }

    /// Writes the proposal of a holder, if any, and lets both holders adopt the result.
    fn write(&mut self, index: usize) -> Option<Proposal> {
        let proposal = self.holders[index].propose_ledger(self.now)?;
        assert_eq!(proposal.base_version, Some(self.ledger_object.0));
        self.ledger_object = (self.ledger_object.0 + 1, proposal.ledger.clone());
        self.holders[index].proposal_done(WriteOutcome::Written(self.ledger_object.0), self.now);
        let (version, ledger) = self.ledger_object.clone();
        self.holders[1 - index].adopt_ledger(version, ledger, self.now);
        Some(proposal)
    }

    /// Requests a loan from the first holder for the second one. Returns the lent units and the
    /// response.
    fn request_loan(&mut self, units: u32) -> (u32, Vec<(String, Message)>) {
        let name = kingcupford_quota::ResourceName::TeamRate("large".to_owned());
        let id = kingcupford_quota::LoanId { incarnation: 1, sequence: 1_000 };
        let request = Message::LoanRequest { id, renews: None, resource: name, units };
        let response = self.holders[0].receive("b", request, self.now);
        let Some((_, Message::LoanResponse { units, .. })) = response.first() else {
            panic!("no response to a loan request: {response:?}")
        };
        (*units, response)
    }

    /// Number of requests that a holder admits without a wait.
    fn admit_all(&mut self, index: usize) -> u32 {
        let mut res = 0;
        while self.holders[index].acquire_tokens(self.resource, 1.0, self.now)
            == AcquireOutcome::Acquired
        {
            res += 1;
        }
        res
    }
}

/// Guards against an expired lease restored by a confirmed heartbeat while the reclaim of the peer
/// is in flight to the platform.
#[test]
fn expired_lease_needs_platform_write() {
    let mut pair = Pair::settled();
    pair.advance(10_100);
    assert!(!pair.holders[0].is_main_lease_valid(pair.now));
    pair.holders[0].heartbeat_sent(1, pair.now);
    pair.holders[0].heartbeat_received("b", 1, Some(1), pair.now);
    pair.holders[0].tick::<String>(pair.now, &[]);
    assert!(!pair.holders[0].is_main_lease_valid(pair.now), "restored without the platform");
    pair.write(0).expect("a refresh");
    assert!(pair.holders[0].is_main_lease_valid(pair.now));
}

/// Guards against a lease that counts from the confirmation instead of the sending of the confirmed
/// heartbeat.
#[test]
fn lease_counts_from_confirmed_heartbeat() {
    let mut pair = Pair::settled();
    pair.holders[0].heartbeat_sent(1, pair.now);
    pair.advance(6_000);
    pair.holders[0].heartbeat_received("b", 1, Some(1), pair.now);
    pair.holders[0].tick::<String>(pair.now, &[]);
    pair.advance(3_990);
    assert!(pair.holders[0].is_main_lease_valid(pair.now));
    pair.advance(20);
    assert!(!pair.holders[0].is_main_lease_valid(pair.now));
}

/// Guards against a reclaim by a holder that joined after the generation that the other holder has
/// acknowledged. The other holder does not wait for confirmations of such a holder.
#[test]
fn unacknowledged_holder_reclaims_nothing() {
    let mut pair = Pair::new(1);
    for _ in 0..600 {
        pair.advance(100);
        pair.write(1);
    }
    let main = pair.ledger_object.1.record("a", 1).map(|it| it.main);
    assert_eq!(main, Some(400_000));
}

/// Guards against a reclaim while heartbeats arrive, and against a missing reclaim after they stop.
#[test]
fn reclaim_only_after_silence() {
    let mut pair = Pair::settled();
    for _ in 0..300 {
        pair.advance(100);
        pair.holders[1].heartbeat_received("a", 1, None, pair.now);
        pair.write(1);
    }
    assert_eq!(pair.ledger_object.1.record("a", 1).map(|it| it.main), Some(400_000));
    let silent_since = pair.now;
    while pair.ledger_object.1.record("a", 1).is_some_and(|it| it.main > 0) {
        pair.advance(100);
        pair.write(1);
    }
    let waited = pair.now - silent_since;
    assert!(waited >= Duration::from_secs(12) && waited < Duration::from_secs(15), "{waited:?}");
}

/// Guards against a lost lease after a write that took effect but whose response was lost.
#[test]
fn lease_restored_after_lost_response() {
    let mut pair = Pair::settled();
    pair.advance(8_000);
    let proposal = pair.holders[0].propose_ledger(pair.now).expect("a refresh");
    pair.holders[0].proposal_done(WriteOutcome::Unknown, pair.now);
    pair.advance(5_000);
    assert!(!pair.holders[0].is_main_lease_valid(pair.now), "the outcome of the write is unknown");
    pair.holders[0].adopt_ledger(pair.ledger_object.0 + 1, proposal.ledger, pair.now);
    assert!(pair.holders[0].is_main_lease_valid(pair.now));
    pair.advance(5_001);
    assert!(
        !pair.holders[0].is_main_lease_valid(pair.now),
        "the lease counts from the sending of the write"
    );
}

/// Guards against loans that outlast the lease of the lender.
#[test]
fn loans_end_within_lease() {
    let mut pair = Pair::settled();
    let until = (0..)
        .find(|ms| !pair.holders[0].is_main_lease_valid(pair.now + Duration::from_millis(*ms)));
    pair.advance(until.expect("an end of the lease") - 1_500);
    assert!(pair.holders[0].is_main_lease_valid(pair.now));
    let (units, _) = pair.request_loan(1_000_000);
    assert_eq!(units, 100_000, "only the lease of the floor share outlasts the loan");
}

/// Guards against tokens duplicated by a loan or by a repeated response.
#[test]
fn loan_moves_tokens_once() {
    let mut pair = Pair::settled();
    assert_eq!((pair.admit_all(0), pair.admit_all(1)), (50, 50));
    pair.advance(300);
    assert_eq!(pair.admit_all(1), 30);
    let messages = pair.holders[1].tick(pair.now, &["a"]);
    let request = messages.into_iter().find(|it| matches!(it.1, Message::LoanRequest { .. }));
    let (_, request) = request.expect("a loan request");
    let response = pair.holders[0].receive("b", request, pair.now);
    let (_, response) = response.into_iter().next().expect("a response");
    pair.holders[1].receive("a", response.clone(), pair.now);
    pair.holders[1].receive("a", response, pair.now);
    let lent = pair.admit_all(1);
    assert!(lent > 5, "{lent} of the lender's 30 tokens moved");
    let admitted = lent + pair.admit_all(0);
    assert!((29..=30).contains(&admitted), "{admitted} admitted of the lender's 30 tokens");
}

/// Guards against a lender that keeps tokens that it lent, here with a bucket that is not full.
#[test]
fn partly_full_lender_moves_tokens() {
    let mut pair = Pair::settled();
    for _ in 0..30 {
        pair.holders[0].acquire_tokens(pair.resource, 1.0, pair.now);
    }
    // Refills the bucket of the lender by 0.1 tokens. The low rate of the new cap then adds almost
    // no tokens, while a silence of 2.5 s ends the local demand for which the lender reserves units.
    pair.advance(1);
    let tokens_before = 20.1;
    pair.holders[0].set_caps(
        vec![(pair.resource, Cap::Rate { rate_per_s: 0.001, burst: 100.0 })],
        &Simulation::new(0, 1, Settings::default()).snapshot,
        pair.now,
    );
    pair.advance(2_500);
    let (units, response) = pair.request_loan(250_000);
    assert_eq!(units, 250_000);
    let Some((_, Message::LoanResponse { tokens, .. })) = response.first() else {
        panic!("no loan")
    };
    assert!((tokens - tokens_before / 2.0).abs() < 0.1, "{tokens} tokens moved");
    assert_eq!(pair.admit_all(0), 10, "the lender keeps the other half");
}

/// Guards against units that two holders use after a restoration, because one adopts a copy of the
/// ledger from before it gave them away and the other one does not know of the restoration yet.
#[test]
fn restored_ledger_adds_units_after_leases() {
    let mut pair = Pair::settled();
    let (version, copy) = pair.ledger_object.clone();
    let mut moved = copy.clone();
    moved.holders[0].main -= 200_000;
    moved.holders[0].counter += 1;
    moved.holders[1].main += 200_000;
    for it in &mut pair.holders {
        it.adopt_ledger(version + 1, moved.clone(), pair.now);
    }
    let restored_version = version + 1_000;
    pair.holders[0].adopt_ledger(restored_version, copy.clone(), pair.now);
    assert_eq!(pair.holders[0].share_units(), (100_000, 400_000));
    let count_for_s = |pair: &mut Pair, seconds: u32| {
        pair.admit_all(0);
        pair.admit_all(1);
        let mut admitted = 0;
        for _ in 0..seconds * 10 {
            pair.advance(100);
            admitted += pair.admit_all(0) + pair.admit_all(1);
        }
        admitted
    };
    let admitted = count_for_s(&mut pair, 5);
    assert!(admitted <= 1_001, "{admitted} admitted, the limit is 200 per second");
    pair.ledger_object = (restored_version, copy.clone());
    pair.holders[1].adopt_ledger(restored_version, copy, pair.now);
    for _ in 0..80 {
        pair.advance(100);
        pair.write(0);
        pair.write(1);
    }
    let admitted = count_for_s(&mut pair, 2);
    assert!((390..=401).contains(&admitted), "{admitted} admitted of 400 after the leases");
}

/// Guards against floor units that two holders use after a restoration during a partition, when the
/// main leases have ended and the floor leases have not.
#[test]
fn restored_ledger_adds_floor_after_floor_lease() {
    let mut pair = Pair::settled();
    let (version, copy) = pair.ledger_object.clone();
    let mut moved = copy.clone();
    moved.holders[0].floor -= 50_000;
    moved.holders[0].counter += 1;
    moved.holders[1].floor += 50_000;
    for it in &mut pair.holders {
        it.adopt_ledger(version + 1, moved.clone(), pair.now);
    }
    pair.holders[0].adopt_ledger(version + 1_000, copy, pair.now);
    pair.advance(15_000);
    pair.admit_all(0);
    pair.admit_all(1);
    let mut admitted = 0;
    for _ in 0..100 {
        pair.advance(100);
        admitted += pair.admit_all(0) + pair.admit_all(1);
    }
    assert!(admitted <= 401, "{admitted} in 10 s, the floor shares are 40 per second");
    assert!(admitted >= 390, "{admitted} in 10 s of 400");
}

/// Guards against a division that starts over, with all units at one holder, when the platform is
/// restored from a copy without a ledger.
#[test]
fn lost_ledger_is_written_again() {
    let mut pair = Pair::settled();
    let (version, ledger) = pair.ledger_object.clone();
    pair.holders[0].ledger_lost(version - 1, pair.now);
    pair.advance(100);
    assert_eq!(pair.holders[0].propose_ledger(pair.now), None, "an older read says nothing");
    pair.holders[0].ledger_lost(version, pair.now);
    let proposal = pair.holders[0].propose_ledger(pair.now).expect("the lost ledger");
    assert_eq!(proposal.base_version, None);
    let units = |it: &Ledger| it.holders.iter().map(|it| (it.floor, it.main)).collect::<Vec<_>>();
    assert_eq!(units(&proposal.ledger), units(&ledger));
    pair.holders[0].proposal_done(WriteOutcome::Written(version + 1_000), pair.now);
    pair.holders[0].ledger_lost(version, pair.now);
    pair.advance(70_000);
    let next = pair.holders[0].propose_ledger(pair.now).expect("a refresh");
    assert_eq!(next.base_version, Some(version + 1_000));
}
