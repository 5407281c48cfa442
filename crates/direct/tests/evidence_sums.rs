//! Sums of the counts that peers report do not overflow.

use ibissail_direct::{Evidence, RouteCounts, TimeCounts, VersionCounts};

#[test]
fn counts_of_peers_do_not_overflow() {
    let routes = RouteCounts { answers: u32::MAX, bad: u32::MAX };
    let times = TimeCounts { answers: u32::MAX, log_sum: u64::MAX, log_squares: u64::MAX };
    let new = VersionCounts {
        routes: [(1, routes), (2, routes)].into(),
        times: [(1, times)].into(),
        ..VersionCounts::default()
    };
    let told = Evidence { new, ..Evidence::default() };
    let mut total = told.clone();
    total.merge(&told);
    assert_eq!(total, told);
    assert_eq!(total.new.response_count(), u32::MAX);
}
