//! Distribution of units among the records of a ledger.

use crate::{Ledger, ShareRecord};

/// Number of live holders above which a single holder gives units to a joiner instead of all
/// holders.
const SMALL_FLEET_MAX_HOLDERS: usize = 16;

/// The two kinds of shares, by the lease that applies.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ShareKind {
    Floor,
    Main,
}

impl ShareKind {
    fn units(self, record: &mut ShareRecord) -> &mut u32 {
        match self {
            ShareKind::Floor => &mut record.floor,
            ShareKind::Main => &mut record.main,
        }
    }
}

/// Adds units evenly to the records at the indices `to`.
pub(crate) fn distribute(ledger: &mut Ledger, to: &[usize], kind: ShareKind, units: u32) {
    for (at, added) in to.iter().zip(portions(units, to.len())) {
        *kind.units(&mut ledger.holders[*at]) += added;
    }
}

/// Counts units that [`distribute`] added to the records at the indices `to` as reclaimed.
pub(crate) fn count_reclaimed(ledger: &mut Ledger, to: &[usize], units: u32) {
    for (at, added) in to.iter().zip(portions(units, to.len())) {
        ledger.holders[*at].reclaimed += u64::from(added);
    }
}

/// Moves up to `free` units from the holder at `own` to live holders that have less than 80% of an
/// even share (50% in a large fleet), and returns the number of moved units.
///
/// A holder whose surplus exceeds 5% of the even share divides it among those live holders. In a
/// small fleet with even shares, every holder has such a surplus after a join. In a large fleet,
/// the surplus of each holder is tiny and a write by every holder for each join would be too many,
/// so only the holder with the most units gives half of its lead to the one with the fewest.
pub(crate) fn rebalance(
    ledger: &mut Ledger,
    live: &[usize],
    own: usize,
    kind: ShareKind,
    free: u32,
) -> u32 {
    let units: Vec<u32> = live.iter().map(|at| *kind.units(&mut ledger.holders[*at])).collect();
    let total: u64 = units.iter().copied().map(u64::from).sum();
    let even = u32::try_from(total / live.len() as u64).unwrap_or(u32::MAX);
    let is_large_fleet = live.len() > SMALL_FLEET_MAX_HOLDERS;
    let threshold = if is_large_fleet { even / 2 } else { even / 5 * 4 };
    let own_units = *kind.units(&mut ledger.holders[own]);
    let surplus = own_units.saturating_sub(even).min(free);
    let shortfall: u64 =
        units.iter().filter(|it| **it < threshold).map(|it| u64::from(even - it)).sum();
    if shortfall == 0 || surplus == 0 {
        return 0;
    }
    if surplus > even / 20 {
        let to_give = u64::from(surplus).min(shortfall);
        let mut given = 0;
        for (at, current) in live.iter().zip(&units).filter(|it| *it.1 < threshold) {
            let added = to_give * u64::from(even - current) / shortfall;
            let added = u32::try_from(added).unwrap_or_default();
            *kind.units(&mut ledger.holders[*at]) += added;
            given += added;
        }
        *kind.units(&mut ledger.holders[own]) -= given;
        return given;
    }
    let most = live.iter().zip(&units).max_by_key(|it| it.1).map(|it| *it.0);
    let fewest = live.iter().zip(&units).min_by_key(|it| it.1);
    let Some((fewest, least)) = fewest.filter(|_| is_large_fleet && most == Some(own)) else {
        return 0;
    };
    let given = ((own_units - least) / 2).min(free);
    *kind.units(&mut ledger.holders[*fewest]) += given;
    *kind.units(&mut ledger.holders[own]) -= given;
    given
}

/// Splits `units` into `count` portions that differ by at most one.
fn portions(units: u32, count: usize) -> impl Iterator<Item = u32> {
    let count = u32::try_from(count).unwrap_or(u32::MAX).max(1);
    (0..count).map(move |at| units / count + u32::from(at < units % count))
}
