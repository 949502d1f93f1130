//! Moves of units between records of a ledger.

use crate::{Ledger, ShareRecord};

/// Fleet size from which a joiner is filled by one owner instead of by all.
const LARGE_FLEET: usize = 16;

/// One of the two parts of a share.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Part {
    /// The part under the floor lease.
    Floor,
    /// The part under the main lease.
    Main,
}

impl Part {
    /// The units of this part in a record.
    fn units(self, record: &mut ShareRecord) -> &mut u32 {
        match self {
            Part::Floor => &mut record.floor,
            Part::Main => &mut record.main,
        }
    }
}

/// Adds units evenly to the records at `to`.
pub(crate) fn spread(ledger: &mut Ledger, to: &[usize], part: Part, units: u32) {
    for (at, added) in to.iter().zip(portions(units, to.len())) {
        *part.units(&mut ledger.holders[*at]) += added;
    }
}

/// Counts units that [`spread`] added as reclaimed.
pub(crate) fn count_reclaimed(ledger: &mut Ledger, to: &[usize], units: u32) {
    for (at, added) in to.iter().zip(portions(units, to.len())) {
        ledger.holders[*at].reclaimed += u64::from(added);
    }
}

/// Gives up to `free` units of one owner to live owners with far less than an even share, and
/// answers how many.
///
/// In a small fleet every owner above the even share gives its surplus. In a large one each surplus
/// is tiny, and a write by every owner for each join would be too many, so the richest owner gives
/// half of its lead to the poorest.
pub(crate) fn even_out(
    ledger: &mut Ledger,
    live: &[usize],
    own: usize,
    part: Part,
    free: u32,
) -> u32 {
    let units: Vec<u32> = live.iter().map(|at| *part.units(&mut ledger.holders[*at])).collect();
    let total: u64 = units.iter().copied().map(u64::from).sum();
    let even = u32::try_from(total / live.len() as u64).unwrap_or(u32::MAX);
    let large = live.len() > LARGE_FLEET;
    let enough = if large { even / 2 } else { even / 5 * 4 };
    let mine = *part.units(&mut ledger.holders[own]);
    let surplus = mine.saturating_sub(even).min(free);
    let lacking: u64 = units.iter().filter(|it| **it < enough).map(|it| u64::from(even - it)).sum();
    if lacking == 0 || surplus == 0 {
        return 0;
    }
    if surplus > even / 20 {
        let give = u64::from(surplus).min(lacking);
        let mut given = 0;
        for (at, has) in live.iter().zip(&units).filter(|it| *it.1 < enough) {
            let added = give * u64::from(even - has) / lacking;
            let added = u32::try_from(added).unwrap_or_default();
            *part.units(&mut ledger.holders[*at]) += added;
            given += added;
        }
        *part.units(&mut ledger.holders[own]) -= given;
        return given;
    }
    let richest = live.iter().zip(&units).max_by_key(|it| it.1).map(|it| *it.0);
    let poorest = live.iter().zip(&units).min_by_key(|it| it.1);
    let Some((poorest, least)) = poorest.filter(|_| large && richest == Some(own)) else {
        return 0;
    };
    let given = ((mine - least) / 2).min(free);
    *part.units(&mut ledger.holders[*poorest]) += given;
    *part.units(&mut ledger.holders[own]) -= given;
    given
}

/// Nearly equal portions of a number of units.
fn portions(units: u32, count: usize) -> impl Iterator<Item = u32> {
    let count = u32::try_from(count).unwrap_or(u32::MAX).max(1);
    (0..count).map(move |at| units / count + u32::from(at < units % count))
}
