//! Choice of the attempts that are given up when the buffered responses exceed their limit.

use crate::RunKey;
use ibissail_core::{ByteSize, Millis};
use std::cmp::Reverse;

/// Whether an attempt that holds bytes is in progress.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum HolderState {
    /// It has failed, so that its bytes are of little use.
    Failed,
    /// It is in progress.
    Running,
}

/// An attempt whose buffered bytes may be freed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Holder {
    /// The attempt.
    pub key: RunKey,
    /// Whether it is in progress.
    pub state: HolderState,
    /// Size of its response so far.
    pub bytes: ByteSize,
    /// When it was registered.
    pub began_at: Millis,
}

/// Chooses the attempts to give up so that `needed` bytes become free: failed ones first, then those
/// that hold the most, the oldest first among equals. None if all together hold less.
///
/// # Examples
///
/// ```
/// use ibissail_core::{ByteSize, Incarnation, Millis, RequestId};
/// use ibissail_execution::{Holder, HolderState, RunKey, choose_given_up};
/// let holder = |sequence, bytes| Holder {
///     key: RunKey::Attempt {
///         request: RequestId { entry: Incarnation(1), sequence },
///         attempt: 0,
///     },
///     state: HolderState::Running,
///     bytes: ByteSize(bytes),
///     began_at: Millis(0),
/// };
/// let chosen = choose_given_up(vec![holder(1, 10), holder(2, 90)], ByteSize(5));
/// assert_eq!(chosen, [holder(2, 90)]);
/// ```
#[must_use]
pub fn choose_given_up(mut holders: Vec<Holder>, needed: ByteSize) -> Vec<Holder> {
    holders.sort_by_key(|holder| (holder.state, Reverse(holder.bytes), holder.began_at));
    let mut freed = 0;
    let count = holders.iter().take_while(|holder| {
        let is_needed = freed < needed.0;
        freed += if is_needed { holder.bytes.0 } else { 0 };
        is_needed
    });
    let count = count.count();
    holders.truncate(if freed < needed.0 { 0 } else { count });
    holders
}
