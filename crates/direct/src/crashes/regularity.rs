//! Whether crashes follow a suspect after always the same time.

use ibissail_core::Millis;

/// Crashes from which times are compared.
const MIN_TIMES: usize = 4;
/// Times are the same that differ by at most a tenth of their median, or by this.
const TOLERANCE: Millis = Millis(15);
/// Probability that the time of a request that has caused no crash is the same by chance.
const CHANCE_OF_SAME: f64 = 0.3;

/// Number of times that are the same as their median.
fn same_times(times: &[Millis]) -> usize {
    let mut sorted = times.to_vec();
    sorted.sort_unstable();
    let Some(median) = sorted.get(sorted.len() / 2).copied() else { return 0 };
    let tolerance = TOLERANCE.max(Millis(median.0 / 10));
    let is_same = |time: &&Millis| time.since(median).max(median.since(**time)) <= tolerance;
    sorted.iter().filter(is_same).count()
}

fn are_same(times: &[Millis]) -> bool {
    same_times(times) * 5 >= times.len() * 4
}

/// Probability of a chance that crashes have followed a suspect after times so much alike.
///
/// `times` has a pair for each crash: the time since the suspect was sent to the replica first, and
/// the time since anything was. If the latter are alike too, as where requests are given up after a
/// while, they tell nothing about the suspect unless it came later.
pub(crate) fn chance_of_times(times: &[(Millis, Millis)]) -> f64 {
    let own: Vec<Millis> = times.iter().map(|(own, _)| *own).collect();
    let all: Vec<Millis> = times.iter().map(|(_, all)| *all).collect();
    let later = times.iter().filter(|(own, all)| own.0 * 10 < all.0 * 9).count();
    let tells_apart = !are_same(&all) || later * 2 >= times.len();
    if times.len() < MIN_TIMES || !are_same(&own) || !tells_apart {
        return 1.0;
    }
    let same = i32::try_from(same_times(&own)).unwrap_or(i32::MAX);
    CHANCE_OF_SAME.powi(same - 1)
}
