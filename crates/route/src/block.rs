//! The table of client blocks.

use std::net::IpAddr;

use ipnet::IpNet;
use kingcupford_config::SiteId;

/// Client blocks flattened to disjoint intervals, searched by their start.
#[derive(Debug, Clone, Default)]
pub struct BlockTable {
    /// IPv4 intervals.
    v4: Intervals<u32>,
    /// IPv6 intervals.
    v6: Intervals<u128>,
}

impl BlockTable {
    /// Flattens blocks; where blocks overlap, the longer prefix wins.
    ///
    /// Blocks of IPv4-mapped IPv6 addresses (`::ffff:0:0/96` and longer) are IPv4 blocks.
    pub fn new(blocks: &[(IpNet, SiteId)]) -> Self {
        let mut v4 = Vec::new();
        let mut v6 = Vec::new();
        for (block, site) in blocks {
            match block {
                IpNet::V4(it) => {
                    v4.push((u32::from(it.network()), u32::from(it.broadcast()), *site));
                }
                IpNet::V6(it) => match (it.network().to_ipv4_mapped(), it.prefix_len()) {
                    (Some(start), 96..) => {
                        let end = it.broadcast().to_ipv4_mapped().unwrap_or(start);
                        v4.push((u32::from(start), u32::from(end), *site));
                    }
                    _ => v6.push((u128::from(it.network()), u128::from(it.broadcast()), *site)),
                },
            }
        }
        Self { v4: Intervals::new(v4), v6: Intervals::new(v6) }
    }

    /// The site of the longest block that holds an address; IPv4-mapped addresses are IPv4.
    pub fn site(&self, address: IpAddr) -> Option<SiteId> {
        match address.to_canonical() {
            IpAddr::V4(it) => self.v4.site(u32::from(it)),
            IpAddr::V6(it) => self.v6.site(u128::from(it)),
        }
    }

    /// Memory of the intervals.
    pub fn size_bytes(&self) -> usize {
        self.v4.size_bytes() + self.v6.size_bytes()
    }
}

/// Marks an interval outside all blocks.
const NO_SITE: u16 = u16::MAX;

/// Disjoint intervals, each reaching to the start of the next one.
#[derive(Debug, Clone)]
struct Intervals<A> {
    /// Sorted starts, kept apart from the sites so that a search touches few cache lines.
    starts: Vec<A>,
    /// The site of each interval, or [`NO_SITE`].
    sites: Vec<u16>,
}

impl<A: Address> Intervals<A> {
    /// Flattens nested or separate blocks given as first address, last address and site.
    fn new(mut blocks: Vec<(A, A, SiteId)>) -> Self {
        // Of two blocks with the same start the enclosing one comes first.
        blocks.sort_by(|a, b| (a.0, b.1).cmp(&(b.0, a.1)));
        let mut res = Self::default();
        let mut open: Vec<(A, u16)> = Vec::new();
        for (start, end, site) in blocks {
            res.close(&mut open, Some(start));
            res.push(start, site.0);
            open.push((end, site.0));
        }
        res.close(&mut open, None);
        res.starts.shrink_to_fit();
        res.sites.shrink_to_fit();
        res
    }

    /// Ends the open blocks that lie wholly before `until`, all when there is no further block.
    fn close(&mut self, open: &mut Vec<(A, u16)>, until: Option<A>) {
        while let Some((end, _)) = open.pop_if(|it| until.is_none_or(|until| it.0 < until)) {
            let Some(next) = end.next() else { continue };
            let outer = open.last().map_or(NO_SITE, |it| it.1);
            self.push(next, outer);
        }
    }

    /// Starts an interval; one that begins where the last one did replaces it.
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

    /// The site of the interval that holds an address.
    fn site(&self, address: A) -> Option<SiteId> {
        let after = self.starts.partition_point(|it| *it <= address);
        let site = self.sites[after.checked_sub(1)?];
        (site != NO_SITE).then_some(SiteId(site))
    }

    /// Memory of starts and sites.
    fn size_bytes(&self) -> usize {
        self.starts.capacity() * size_of::<A>() + self.sites.capacity() * size_of::<u16>()
    }
}

impl<A> Default for Intervals<A> {
    fn default() -> Self {
        Self { starts: Vec::new(), sites: Vec::new() }
    }
}

/// An address as an integer.
trait Address: Copy + Ord {
    /// The following address, `None` after the last one.
    fn next(self) -> Option<Self>;
}

impl Address for u32 {
    fn next(self) -> Option<Self> {
        self.checked_add(1)
    }
}

impl Address for u128 {
    fn next(self) -> Option<Self> {
        self.checked_add(1)
    }
}
