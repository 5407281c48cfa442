//! A count that no other can be added to leaves a ledger usable.

use ibissail_billing::{Ledger, UsageRecord};
use ibissail_core::{Incarnation, RequestId, Tokens};

/// Guards against a sum of tokens that starts again at zero, or ends the task that writes it.
#[test]
fn sums_stay_at_the_largest_value() {
    let mut ledger = Ledger::default();
    for sequence in 0..2 {
        ledger.count(&UsageRecord {
            request: RequestId { entry: Incarnation(1), sequence },
            organisation: "huts".parse().expect("a name"),
            target: "swift@1".parse().expect("a target"),
            input: Tokens(u64::MAX),
            output: Tokens(u64::MAX - sequence),
        });
    }
    let sum = ledger.sum();
    assert_eq!((sum.requests, sum.input.0, sum.output.0), (2, u64::MAX, u64::MAX));
}
