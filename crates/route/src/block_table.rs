//! Longest-prefix match of client addresses to sites.

use std::net::IpAddr;

use ipnet::IpNet;
use kingcupford_config::SiteId;

/// Longest-prefix-match table from client address blocks to sites.
///
/// The blocks are flattened to sorted disjoint intervals, so that a lookup is one binary search.
#[derive(Debug, Clone, Default)]
pub struct BlockTable {
    v4: Intervals<u32>,
    v6: Intervals<u128>,
}

impl BlockTable {
    /// Builds the table; where blocks overlap, the longer prefix wins.
    ///
    /// Blocks of IPv4-mapped IPv6 addresses (`::ffff:0:0/96` and longer) are IPv4 blocks.
    pub fn new(blocks: &[(IpNet, SiteId)]) -> Self {
        let mut v4 = Vec::new();
        let mut v6 = Vec::new();
        for (block, site) in blocks {
            match block {
                IpNet::V4(net) => {
                    v4.push((u32::from(net.network()), u32::from(net.broadcast()), *site));
                }
                IpNet::V6(net) => match (net.network().to_ipv4_mapped(), net.prefix_len()) {
                    (Some(first), 96..) => {
                        let last = net.broadcast().to_ipv4_mapped().unwrap_or(first);
                        v4.push((u32::from(first), u32::from(last), *site));
                    }
                    _ => v6.push((u128::from(net.network()), u128::from(net.broadcast()), *site)),
                },
            }
        }
        Self { v4: Intervals::new(v4), v6: Intervals::new(v6) }
    }

    /// Returns the site of the longest block that contains `address`, or `None` outside all blocks.
    ///
    /// IPv4-mapped IPv6 addresses are looked up as IPv4 addresses.
    pub fn site(&self, address: IpAddr) -> Option<SiteId> {
        match address.to_canonical() {
            IpAddr::V4(v4) => self.v4.site(u32::from(v4)),
            IpAddr::V6(v6) => self.v6.site(u128::from(v6)),
        }
    }

    /// Returns the heap memory that the table occupies.
    pub fn size_bytes(&self) -> usize {
        self.v4.size_bytes() + self.v6.size_bytes()
    }
}

/// Marks an interval outside all blocks.
const NO_SITE: u16 = u16::MAX;

/// Disjoint intervals, each reaching to the start of the next one.
#[derive(Debug, Clone)]
struct Intervals<A> {
    /// Sorted starts, stored apart from the sites so that a search touches few cache lines.
    starts: Vec<A>,
    /// Raw site id of each interval, or [`NO_SITE`].
    sites: Vec<u16>,
}

impl<A: Address> Intervals<A> {
    /// Flattens nested or disjoint blocks given as first address, last address and site.
    fn new(mut blocks: Vec<(A, A, SiteId)>) -> Self {
        // Of two blocks with the same start, the enclosing one comes first.
        blocks.sort_by(|a, b| (a.0, b.1).cmp(&(b.0, a.1)));
        let mut intervals = Self::default();
        // Stack of the blocks that enclose the current address, as last address and site.
        let mut enclosing: Vec<(A, u16)> = Vec::new();
        for (first, last, site) in blocks {
            intervals.close_ended(&mut enclosing, Some(first));
            intervals.push(first, site.0);
            enclosing.push((last, site.0));
        }
        intervals.close_ended(&mut enclosing, None);
        intervals.starts.shrink_to_fit();
        intervals.sites.shrink_to_fit();
        intervals
    }

    /// Pops the enclosing blocks that end before `next_block`, or all if no block follows, and
    /// continues with the site of the block around each.
    fn close_ended(&mut self, enclosing: &mut Vec<(A, u16)>, next_block: Option<A>) {
        while let Some((last, _)) =
            enclosing.pop_if(|it| next_block.is_none_or(|first| it.0 < first))
        {
            let Some(start) = last.successor() else { continue };
            let outer_site = enclosing.last().map_or(NO_SITE, |it| it.1);
            self.push(start, outer_site);
        }
    }

    /// Appends an interval; replaces the last one if both have the same start.
    fn push(&mut self, start: A, site: u16) {
        if self.starts.last() == Some(&start) {
            self.starts.pop();
            self.sites.pop();
        }
        if self.sites.last().copied().unwrap_or(NO_SITE) == site {
            return;
        }
        self.starts.push(start);
        self.sites.push(site);
    }

    fn site(&self, address: A) -> Option<SiteId> {
        let following = self.starts.partition_point(|it| *it <= address);
        let site = self.sites[following.checked_sub(1)?];
        (site != NO_SITE).then_some(SiteId(site))
    }

    fn size_bytes(&self) -> usize {
        self.starts.capacity() * size_of::<A>() + self.sites.capacity() * size_of::<u16>()
    }
}

impl<A> Default for Intervals<A> {
    fn default() -> Self {
        Self { starts: Vec::new(), sites: Vec::new() }
    }
}

/// An IP address as an integer.
trait Address: Copy + Ord {
    /// Returns the next address, or `None` after the last one.
    fn successor(self) -> Option<Self>;
}

impl Address for u32 {
    fn successor(self) -> Option<Self> {
        self.checked_add(1)
    }
}

impl Address for u128 {
    fn successor(self) -> Option<Self> {
        self.checked_add(1)
    }
}
