//! Whether crashes follow a suspect after always the same time.

use ibissail_core::Millis;

/// Crashes from which times are compared.
const MIN_TIMES: usize = 4;
/// Times are the same that differ by at most a tenth of their median, or by this.
const TOLERANCE: Millis = Millis(15);
/// Probability that the time of a request that has caused no crash is the same by chance.
const CHANCE_OF_SAME: f64 = 0.3;

fn median(times: &[Millis]) -> Millis {
    let mut sorted = times.to_vec();
    sorted.sort_unstable();
    sorted.get(sorted.len() / 2).copied().unwrap_or_default()
}

fn distance(one: Millis, other: Millis) -> Millis {
    one.since(other).max(other.since(one))
}

/// Number of times that are the same as their median.
fn same_times(times: &[Millis]) -> usize {
    let median = median(times);
    let tolerance = TOLERANCE.max(Millis(median.0 / 10));
    times.iter().filter(|time| distance(**time, median) <= tolerance).count()
}

/// Sum of the distances from the median.
fn deviation(times: &[Millis]) -> u64 {
    let median = median(times);
    times.iter().map(|time| distance(*time, median).0).sum()
}

/// Probability of a chance that crashes have followed a suspect after times so much alike.
///
/// `times` has a pair for each crash: the time since the suspect was sent to the replica first, and
/// the time since anything was. If the latter are as much alike, as where requests are given up
/// after a while, they tell nothing about the suspect unless it came later.
pub(crate) fn chance_of_times(times: &[(Millis, Millis)]) -> f64 {
    let own: Vec<Millis> = times.iter().map(|(own, _)| *own).collect();
    let all: Vec<Millis> = times.iter().map(|(_, all)| *all).collect();
    let later = times.iter().filter(|(own, all)| own.0 * 10 < all.0 * 9).count();
    let tells_apart = deviation(&own) * 2 < deviation(&all) || later * 2 >= times.len();
    let same = same_times(&own);
    if times.len() < MIN_TIMES || same * 5 < times.len() * 4 || !tells_apart {
        return 1.0;
    }
    CHANCE_OF_SAME.powi(i32::try_from(same - 1).unwrap_or(i32::MAX))
}
