//! Tests of the block table.

use std::net::{IpAddr, Ipv4Addr, Ipv6Addr};

use ipnet::{IpNet, Ipv4Net, Ipv6Net};
use kingcupford_config::SiteId;
use kingcupford_route::BlockTable;
use proptest::prelude::*;

use crate::deployment::fixed_seed;

/// Reference implementation: scans all blocks for the longest one that contains the address.
fn scan_site(blocks: &[(IpNet, SiteId)], address: IpAddr) -> Option<SiteId> {
    let matching = blocks.iter().filter(|it| it.0.contains(&address));
    matching.max_by_key(|it| it.0.prefix_len()).map(|it| it.1)
}

/// Generates blocks that nest often, because few bits of their addresses differ.
fn blocks() -> impl Strategy<Value = Vec<(IpNet, SiteId)>> {
    let v4 = (any::<u32>(), 0_u8..=32).prop_map(|(bits, length)| {
        let address = Ipv4Addr::from(bits & 0xc000_0307 | 0x0a00_0000);
        IpNet::from(Ipv4Net::new(address, length).unwrap().trunc())
    });
    let v6 = (any::<u128>(), 0_u8..=128).prop_map(|(bits, length)| {
        let address = Ipv6Addr::from(bits & (0xc3 << 120 | 0x307) | 0x2001 << 96);
        IpNet::from(Ipv6Net::new(address, length).unwrap().trunc())
    });
    proptest::collection::vec((prop_oneof![v4, v6], 0_u16..150), 0..60).prop_map(|mut blocks| {
        blocks.sort();
        blocks.dedup_by_key(|it| it.0);
        blocks.into_iter().map(|(net, site)| (net, SiteId(site))).collect()
    })
}

proptest! {
    #![proptest_config(fixed_seed(1, 2000))]

    // Guards against a shorter block that hides a longer one, and against an outer block that is
    // lost after the end of an inner one.
    #[test]
    fn site_agrees_with_scan(blocks in blocks(), bits in any::<(u32, u128)>()) {
        let table = BlockTable::new(&blocks);
        let mut addresses =
            vec![IpAddr::from(Ipv4Addr::from(bits.0)), IpAddr::from(Ipv6Addr::from(bits.1))];
        for (net, _) in &blocks {
            match net {
                IpNet::V4(it) => {
                    let (first, last) = (u32::from(it.network()), u32::from(it.broadcast()));
                    let edges = [first, last, first.wrapping_sub(1), last.wrapping_add(1)];
                    addresses.extend(edges.map(|it| IpAddr::from(Ipv4Addr::from(it))));
                }
                IpNet::V6(it) => {
                    let (first, last) = (u128::from(it.network()), u128::from(it.broadcast()));
                    let edges = [first, last, first.wrapping_sub(1), last.wrapping_add(1)];
                    addresses.extend(edges.map(|it| IpAddr::from(Ipv6Addr::from(it))));
                }
            }
        }
        for address in addresses.into_iter().filter(|it| it.to_canonical() == *it) {
            prop_assert_eq!(table.site(address), scan_site(&blocks, address), "{}", address);
        }
    }
}

// Guards against wrong sites for IPv4 clients of dual-stack listeners, which report their addresses
// as IPv4-mapped IPv6 addresses.
#[test]
fn site_of_mapped_addresses() {
    let table = BlockTable::new(&[
        ("10.0.0.0/8".parse().unwrap(), SiteId(1)),
        ("::/0".parse().unwrap(), SiteId(2)),
        ("::ffff:10.9.0.0/112".parse().unwrap(), SiteId(3)),
    ]);
    assert_eq!(table.site("::ffff:10.1.2.3".parse().unwrap()), Some(SiteId(1)));
    assert_eq!(table.site("10.9.2.3".parse().unwrap()), Some(SiteId(3)));
    assert_eq!(table.site("::ffff:11.1.2.3".parse().unwrap()), None);
    assert_eq!(table.site("::1".parse().unwrap()), Some(SiteId(2)));
}
