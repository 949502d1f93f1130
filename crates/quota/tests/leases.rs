//! Single rules of leases and loans, between two holders without a network.

mod model;

use std::time::Duration;

use kingcupford_quota::{
    AcquireOutcome, Cap, Holder, Ledger, Message, Proposal, Resource, Settings, ShareRecord,
    WriteOutcome,
};
use tokio::time::Instant;

use crate::model::World;

/// Two holders, of which each owns half, and the ledger object.
struct Pair {
    /// Current time.
    now: Instant,
    /// The holders.
    holders: [Holder; 2],
    /// Version and content of the object.
    object: (u64, Ledger),
    /// A tenant's rate of 200/s with a burst of 100.
    resource: Resource,
}

impl Pair {
    /// Both with fresh leases and full buckets; `acknowledged` is the generation that the first
    /// holder acknowledges in its record, while the second joined as generation 2.
    fn new(acknowledged: u64) -> Self {
        let world = World::new(0, 1, Settings::default());
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
        let now = world.now;
        let holder = |name| {
            let mut res = Holder::new(name, name, 1, 1, now);
            res.set_caps(world.caps.clone(), &world.snapshot, now);
            res.adopt_ledger(1, ledger.clone(), now);
            res
        };
        let holders = [holder("a"), holder("b")];
        Self { now, holders, object: (1, ledger), resource: world.caps[0].0 }
    }

    /// Both with fresh leases and full buckets.
    fn settled() -> Self {
        let mut res = Self::new(2);
        for _ in 0..20 {
            res.advance(100);
            res.write(0);
            res.write(1);
        }
        res
    }

    /// Advances the time.
    fn advance(&mut self, ms: u64) {
        self.now += Duration::from_millis(ms);
    }

    /// Writes what a holder proposes, and shows both the result.
    fn write(&mut self, index: usize) -> Option<Proposal> {
        let proposal = self.holders[index].propose_ledger(self.now)?;
        assert_eq!(proposal.base_version, Some(self.object.0));
        self.object = (self.object.0 + 1, proposal.ledger.clone());
        self.holders[index].proposal_done(WriteOutcome::Written(self.object.0), self.now);
        let (version, ledger) = self.object.clone();
        self.holders[1 - index].adopt_ledger(version, ledger, self.now);
        Some(proposal)
    }

    /// Units that the first holder lends for a request of the second one.
    fn borrow(&mut self, units: u32) -> (u32, Vec<(String, Message)>) {
        let name = kingcupford_quota::ResourceName::TenantRate("large".to_owned());
        let id = kingcupford_quota::LoanId { incarnation: 1, sequence: 1_000 };
        let request = Message::LoanRequest { id, renews: None, resource: name, units };
        let answer = self.holders[0].receive("b", request, self.now);
        let Some((_, Message::LoanResponse { units, .. })) = answer.first() else {
            panic!("no answer to a loan request: {answer:?}")
        };
        (*units, answer)
    }

    /// Requests that a holder admits at once.
    fn drain(&mut self, index: usize) -> u32 {
        let mut res = 0;
        while self.holders[index].acquire_tokens(self.resource, 1.0, self.now)
            == AcquireOutcome::Acquired
        {
            res += 1;
        }
        res
    }
}

/// Guards against a lease restored by a peer's confirmation while the peer's reclaim is under way.
#[test]
fn lapsed_lease_needs_platform() {
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

/// Guards against a lease that counts from a confirmation instead of the confirmed heartbeat.
#[test]
fn confirmation_counts_from_heartbeat() {
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

/// Guards against a reclaim by an owner that the holder does not know and never asks.
#[test]
fn unknown_owner_reclaims_nothing() {
    let mut pair = Pair::new(1);
    for _ in 0..600 {
        pair.advance(100);
        pair.write(1);
    }
    let main = pair.object.1.record("a", 1).map(|it| it.main);
    assert_eq!(main, Some(400_000));
}

/// Guards against a reclaim while heartbeats arrive, and one that never comes.
#[test]
fn reclaim_after_silence_only() {
    let mut pair = Pair::settled();
    for _ in 0..300 {
        pair.advance(100);
        pair.holders[1].heartbeat_received("a", 1, None, pair.now);
        pair.write(1);
    }
    assert_eq!(pair.object.1.record("a", 1).map(|it| it.main), Some(400_000));
    let silent = pair.now;
    while pair.object.1.record("a", 1).is_some_and(|it| it.main > 0) {
        pair.advance(100);
        pair.write(1);
    }
    let waited = pair.now - silent;
    assert!(waited >= Duration::from_secs(12) && waited < Duration::from_secs(15), "{waited:?}");
}

/// Guards against a write whose answer was lost and whose lease is lost with it.
#[test]
fn lost_answer_found_later() {
    let mut pair = Pair::settled();
    pair.advance(8_000);
    let proposal = pair.holders[0].propose_ledger(pair.now).expect("a refresh");
    pair.holders[0].proposal_done(WriteOutcome::Unknown, pair.now);
    pair.advance(5_000);
    assert!(!pair.holders[0].is_main_lease_valid(pair.now), "nobody knows whether it took effect");
    pair.holders[0].adopt_ledger(pair.object.0 + 1, proposal.ledger, pair.now);
    assert!(pair.holders[0].is_main_lease_valid(pair.now));
    pair.advance(5_001);
    assert!(!pair.holders[0].is_main_lease_valid(pair.now), "the lease counts from the sending");
}

/// Guards against loans that outlast the lender's lease.
#[test]
fn lend_within_lease() {
    let mut pair = Pair::settled();
    let until = (0..)
        .find(|ms| !pair.holders[0].is_main_lease_valid(pair.now + Duration::from_millis(*ms)));
    pair.advance(until.expect("an end of the lease") - 1_500);
    assert!(pair.holders[0].is_main_lease_valid(pair.now));
    let (units, _) = pair.borrow(1_000_000);
    assert_eq!(units, 100_000, "only the floor part outlasts the loan");
}

/// Guards against tokens that exist twice after a loan, or more than once by a repeated answer.
#[test]
fn loan_moves_tokens() {
    let mut pair = Pair::settled();
    assert_eq!((pair.drain(0), pair.drain(1)), (50, 50));
    pair.advance(300);
    assert_eq!(pair.drain(1), 30);
    let asked = pair.holders[1].tick(pair.now, &["a"]);
    let request = asked.into_iter().find(|it| matches!(it.1, Message::LoanRequest { .. }));
    let (_, request) = request.expect("a loan request");
    let answer = pair.holders[0].receive("b", request, pair.now);
    let (_, answer) = answer.into_iter().next().expect("an answer");
    pair.holders[1].receive("a", answer.clone(), pair.now);
    pair.holders[1].receive("a", answer, pair.now);
    let lent = pair.drain(1);
    assert!(lent > 5, "{lent} of the lender's 30 tokens moved");
    let admitted = lent + pair.drain(0);
    assert!((29..=30).contains(&admitted), "{admitted} admitted of the lender's 30 tokens");
}

/// Guards against tokens that a lender with a half-full bucket keeps although it lent them.
#[test]
fn half_full_lender_gives_tokens() {
    let mut pair = Pair::settled();
    for _ in 0..30 {
        pair.holders[0].acquire_tokens(pair.resource, 1.0, pair.now);
    }
    // The silence lowers the lender's reserve, and the bucket refills by 0.1 tokens only.
    pair.advance(1);
    let before = 20.1;
    pair.holders[0].set_caps(
        vec![(pair.resource, Cap::Rate { rate_per_s: 0.001, burst: 100.0 })],
        &World::new(0, 1, Settings::default()).snapshot,
        pair.now,
    );
    pair.advance(2_500);
    let (units, answer) = pair.borrow(250_000);
    assert_eq!(units, 250_000);
    let Some((_, Message::LoanResponse { tokens, .. })) = answer.first() else { panic!("no loan") };
    assert!((tokens - before / 2.0).abs() < 0.1, "{tokens} tokens moved");
    assert_eq!(pair.drain(0), 10, "the lender keeps the other half");
}
