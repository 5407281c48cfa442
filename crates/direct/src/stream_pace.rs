//! The pace of a stream after its first event, as evidence on the version of its replica.
//!
//! A version may begin its streams in the usual time and be slow from then on. Sound replicas pause
//! now and then, and prefill the prompts of other requests between the events of a stream, those of
//! a new version more than others because they have cached none. So the pace is the lower quartile
//! of the times between events rather than their mean: the time of an event beside no prefill.

use crate::stable_hash;
use ibissail_core::{Millis, Tokens};

/// Events after the first one from which the pace of a stream is known before the stream ends.
const MAX_EVENTS: u64 = 8;
/// Events after the first one that a complete stream needs for a pace.
const MIN_EVENTS: u64 = 2;
/// Time between events below which they count as having arrived together, and shortest time per
/// event.
const MIN_EVENT_TIME: Millis = Millis(5);
/// Number of events whose time is recorded, as times are whole milliseconds.
const EVENTS_PER_PACE: u64 = 10;
/// The pace is the smallest time that at least one in this many events does not exceed.
const QUANTILE_DIVISOR: u64 = 4;
/// Highest bits of the latency class of a pace. One latency class in 256 has them by chance; it is
/// compared with the paces then.
const PACE_MARK: u32 = 0xFF;
const MARK_SHIFT: u32 = 24;
/// Pending prefill that counts as none.
const MIN_PREFILL_TOKENS: u64 = 1_024;
/// Binary orders of magnitude of pending prefill that are compared with each other; few classes
/// keep reports short.
const PREFILL_BITS_PER_CLASS: u32 = 2;

/// Short hash that identifies streams with comparable paces: those of the same route and model
/// beside about as much pending prefill of other requests, which slows the events of a stream.
///
/// The number of requests in progress is left out: a slow version has more of them because it is
/// slow.
///
/// # Examples
///
/// ```
/// use ibissail_core::Tokens;
/// use ibissail_direct::{latency_class, is_pace_class, pace_class};
/// assert!(is_pace_class(pace_class("drafts", "small", Tokens(700))));
/// assert!(!is_pace_class(latency_class("drafts", "small", Tokens(700))));
/// ```
#[must_use]
pub fn pace_class(route: &str, model: &str, prefill_beside: Tokens) -> u32 {
    let magnitude = prefill_beside.0.max(MIN_PREFILL_TOKENS).ilog2() / PREFILL_BITS_PER_CLASS;
    let hash = stable_hash(&["pace", route, model, &magnitude.to_string()]);
    let unmarked = hash & ((1 << MARK_SHIFT) - 1);
    PACE_MARK << MARK_SHIFT | unmarked as u32
}

/// Whether the times of a latency class are paces of streams.
#[must_use]
pub fn is_pace_class(latency_class: u32) -> bool {
    latency_class >> MARK_SHIFT == PACE_MARK
}

/// Measures the pace of one stream of a replica.
///
/// # Examples
///
/// ```
/// use ibissail_core::Millis;
/// use ibissail_direct::StreamPace;
/// let mut pace = StreamPace::default();
/// for event in 0..4 {
///     assert_eq!(pace.record_events(1, Millis(1_000 + 30 * event)), None);
/// }
/// assert_eq!(pace.finish(), Some(Millis(300)));
/// ```
#[derive(Debug, Clone, Default)]
pub struct StreamPace {
    /// Events that arrived together, and when the first of them did.
    arrivals: Vec<(Millis, u64)>,
    /// Events after the first one.
    events: u64,
    is_known: bool,
}

impl StreamPace {
    /// Records events that have arrived; returns the time for ten events once it is known.
    pub fn record_events(&mut self, count: u64, now: Millis) -> Option<Millis> {
        if self.is_known || count == 0 {
            return None;
        }
        let is_first = self.arrivals.is_empty();
        self.events += if is_first { count - 1 } else { count };
        match self.arrivals.last_mut() {
            Some((at, together)) if now.since(*at) < MIN_EVENT_TIME => *together += count,
            _ => self.arrivals.push((now, count)),
        }
        if self.events >= MAX_EVENTS { self.finish() } else { None }
    }

    /// Ends the stream; returns the time for ten events unless it was known before or the stream
    /// had too few of them.
    pub fn finish(&mut self) -> Option<Millis> {
        if self.is_known || self.events < MIN_EVENTS {
            return None;
        }
        let pace = self.lower_quartile()?;
        self.is_known = true;
        Some(pace)
    }

    /// Lower quartile of the times of an event, for ten events; `None` if only one is known, which
    /// may be a silence.
    fn lower_quartile(&self) -> Option<Millis> {
        let shortest = MIN_EVENT_TIME.0 * EVENTS_PER_PACE;
        let gaps = self.arrivals.iter().zip(self.arrivals.iter().skip(1));
        let times = gaps.map(|((previous, _), (at, events))| {
            let time = at.since(*previous).0 * EVENTS_PER_PACE / events;
            (time.max(shortest), *events)
        });
        let mut times: Vec<(u64, u64)> = times.collect();
        times.sort_unstable();
        // Events that arrived with the first one have no time of their own.
        let event_count: u64 = times.iter().map(|(_, events)| events).sum();
        match event_count {
            0 => return Some(Millis(shortest)),
            1 => return None,
            _ => {}
        }
        let mut count = 0;
        let quartile = times.iter().find(|(_, events)| {
            count += events;
            QUANTILE_DIVISOR * count >= event_count
        });
        quartile.map(|(time, _)| Millis(*time))
    }
}
