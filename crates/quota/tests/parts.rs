//! Tests of the fair queue, of resource names, and of the encoding and consistency of messages and
//! ledgers.

use kingcupford_config::{Snapshot, Team, TeamId};
use kingcupford_quota::{FairQueue, Ledger, LoanId, Message, Resource, ResourceName, ShareRecord};

/// Guards against a team with many waiting requests that delays other teams.
#[test]
fn fair_queue_serves_small_team_first() {
    let (large, small) = (TeamId(0), TeamId(1));
    let mut queue = FairQueue::new(50);
    for at in 0..50 {
        queue.push(large, 1.0, at).expect("free capacity");
    }
    assert_eq!(queue.push(large, 1.0, 99), Err(99), "the queue of the team is full");
    queue.push(small, 1.0, 100).expect("capacity for another tenant");
    let order: Vec<_> = std::iter::from_fn(|| queue.pop()).take(3).collect();
    assert!(order.contains(&(small, 100)), "{order:?}");
    assert_eq!((queue.len(), queue.team_len(large), queue.team_len(small)), (48, 48, 0));
}

/// Guards against weights without effect, and against credit for idle times of a team.
#[test]
fn fair_queue_follows_weights() {
    let (a, b) = (TeamId(0), TeamId(1));
    let mut queue = FairQueue::new(100);
    for _ in 0..40 {
        queue.push(a, 1.0, ()).expect("free capacity");
        queue.pop();
    }
    for _ in 0..80 {
        queue.push(a, 3.0, ()).expect("free capacity");
        queue.push(b, 1.0, ()).expect("free capacity");
    }
    let served = std::iter::from_fn(|| queue.pop()).take(40).filter(|it| it.0 == a).count();
    assert!((28..=32).contains(&served), "{served} of 40 for weight 3 to 1");
    queue.retain(|_| false);
    assert!(queue.is_empty() && queue.pop().is_none());
}

/// Guards against resource names that do not resolve to the original resource.
#[test]
fn resource_name_round_trip() {
    let mut snapshot = Snapshot::default();
    let team = Team {
        name: "kennel".to_owned(),
        rate_per_s: 1.0,
        burst: 1.0,
        when_isolated: kingcupford_config::IsolationPolicy::Serve,
    };
    let resource = Resource::TeamRate(snapshot.teams.insert("kennel", team));
    let name = ResourceName::new(resource, &snapshot).expect("a known tenant");
    assert_eq!(name, ResourceName::TeamRate("kennel".to_owned()));
    assert_eq!(name.resolve(&snapshot), Some(resource));
    assert_eq!(ResourceName::TeamRate("other".to_owned()).resolve(&snapshot), None);
    assert_eq!(ResourceName::new(Resource::TeamRate(TeamId(9)), &snapshot), None);
}

/// Guards against messages that change by encoding and decoding.
#[test]
fn message_round_trip() {
    let message = Message::LoanRequest {
        id: LoanId { incarnation: 3, sequence: 9 },
        renews: None,
        resource: ResourceName::Link { from: "alpen".to_owned(), to: "jura".to_owned() },
        units: 70_000,
    };
    let config = bincode::config::standard();
    let bytes = bincode::encode_to_vec(&message, config).expect("encodable");
    let (decoded, _): (Message, _) = bincode::decode_from_slice(&bytes, config).expect("decodable");
    assert_eq!(decoded, message);
}

/// Guards against a damaged ledger with more units than the whole cap or unsorted records.
#[test]
fn inconsistent_ledger_detected() {
    let record = |name: &str, main| ShareRecord {
        name: name.to_owned(),
        address: String::new(),
        incarnation: 1,
        floor: 0,
        main,
        counter: 0,
        joined: 1,
        acknowledged: 1,
        reclaimed: 0,
    };
    let ledger = |holders| Ledger { generation: 1, holders };
    assert!(ledger(vec![record("a", 600_000), record("b", 400_000)]).is_consistent());
    assert!(!ledger(vec![record("a", 600_000), record("b", 400_001)]).is_consistent());
    assert!(!ledger(vec![record("b", 1), record("a", 1)]).is_consistent());
}
