//! How far a stream has got, and which event may follow.

use crate::HttpError;
use derive_more::Display;

/// The ids that are usual in streams of one kind.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct UsualIds {
    /// The first id.
    pub first: UsualDistance,
    /// Differences between two ids that follow each other.
    pub step: UsualDistance,
}

/// How far an event usually is ahead of the one before, or of 0.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
#[display("{largest} ({regularity})")]
pub struct UsualDistance {
    /// The largest of a recent stream.
    pub largest: u64,
    /// Whether recent streams agree on it.
    pub regularity: Regularity,
}

/// Whether streams of one kind have the same distances between their ids.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Display)]
#[display(rename_all = "lowercase")]
pub enum Regularity {
    /// Too few streams are known, or some agree and others do not.
    #[default]
    Unknown,
    /// Nearly all agree, so that an event that is further ahead is hardly one of its stream.
    Even,
    /// Nearly all differ, so that an event may be any distance ahead.
    Uneven,
}

impl UsualIds {
    /// Takes even streams for ones of unknown regularity, in which an event that is far ahead waits for
    /// the next one.
    ///
    /// # Examples
    ///
    /// ```
    /// use ibissail_http1::{Regularity, UsualDistance, UsualIds};
    /// let step = UsualDistance { largest: 2, regularity: Regularity::Even };
    /// let usual = UsualIds { step, ..UsualIds::default() }.without_refusals();
    /// assert_eq!(usual.step, UsualDistance::from(2));
    /// ```
    #[must_use]
    pub fn without_refusals(self) -> Self {
        Self { first: self.first.without_refusals(), step: self.step.without_refusals() }
    }
}

impl UsualDistance {
    fn without_refusals(self) -> Self {
        match self.regularity {
            Regularity::Even => Self::from(self.largest),
            Regularity::Unknown | Regularity::Uneven => self,
        }
    }

    /// Whether an event may be so far ahead.
    fn allows(self, distance: u64) -> bool {
        self.regularity == Regularity::Uneven || distance <= self.largest
    }
}

impl Default for UsualDistance {
    fn default() -> Self {
        Self::from(1)
    }
}

impl From<u64> for UsualDistance {
    fn from(largest: u64) -> Self {
        Self { largest, regularity: Regularity::Unknown }
    }
}

/// How far a caller has received a stream, whichever responses its events came from.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct StreamPosition {
    last_id: Option<u64>,
    first_id: Option<u64>,
    /// Largest difference between two ids that follow each other.
    largest_step: u64,
    /// Whether not all of these differences are the same.
    has_uneven_steps: bool,
    usual: UsualIds,
    event_count: u64,
    /// Ids before and at the event that was furthest ahead of the one before.
    leap: Option<(u64, u64)>,
    /// Id of an event that was far ahead and has not been returned.
    withheld_id: Option<u64>,
    is_doubtful: bool,
}

/// How far an event is ahead of the one before.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Distance {
    Usual,
    /// Further than events of the stream were before, and than is usual.
    Far,
}

impl StreamPosition {
    /// The position of a stream that goes on after the event with this id, if any.
    #[must_use]
    pub fn after(id: Option<u64>) -> Self {
        Self { last_id: id, ..Self::default() }
    }

    /// Sets the ids that are usual in streams of this kind.
    ///
    /// # Examples
    ///
    /// ```
    /// use ibissail_http1::{EventSplitter, StreamPosition, UsualIds};
    /// let event = b"id: 5\ndata: a\n\n";
    /// assert!(EventSplitter::default().push(event)?.is_empty());
    /// let usual = UsualIds { first: 5.into(), ..UsualIds::default() };
    /// let mut splitter = EventSplitter::new(StreamPosition::default().with_usual_ids(usual));
    /// assert_eq!(splitter.push(event)?, event);
    /// # Ok::<(), ibissail_http1::HttpError>(())
    /// ```
    #[must_use]
    pub fn with_usual_ids(self, usual: UsualIds) -> Self {
        Self { usual, ..self }
    }

    /// The id of the last complete event; `None` before the first.
    #[must_use]
    pub fn last_id(&self) -> Option<u64> {
        self.last_id
    }

    /// The id of the first event; `None` if there is none, or the stream began after another.
    #[must_use]
    pub fn first_id(&self) -> Option<u64> {
        self.first_id
    }

    /// Largest difference between two ids that follow each other; 0 if there are no two.
    #[must_use]
    pub fn largest_step(&self) -> u64 {
        self.largest_step
    }

    /// Whether some ids that follow each other are further apart than others.
    #[must_use]
    pub fn has_uneven_steps(&self) -> bool {
        self.has_uneven_steps
    }

    /// Whether the stream began with an id that is usual, or after another event.
    pub(crate) fn has_usual_first_id(&self) -> bool {
        self.first_id.is_none_or(|id| self.usual.first.allows(id))
    }

    /// Number of complete events, without mere comments.
    #[must_use]
    pub fn event_count(&self) -> u64 {
        self.event_count
    }

    /// Whether the stream may have got here by an event that is none of it, so that another response
    /// must not go on from here.
    ///
    /// # Examples
    ///
    /// ```
    /// let mut splitter = ibissail_http1::EventSplitter::default();
    /// splitter.push(b"id: 1\ndata: a\n\nid: 98\ndata: x\n\nid: 99\ndata: x\n\n")?;
    /// assert!(splitter.push(b"id: 2\ndata: b\n\n").is_err());
    /// assert!(splitter.position().is_doubtful());
    /// # Ok::<(), ibissail_http1::HttpError>(())
    /// ```
    #[must_use]
    pub fn is_doubtful(&self) -> bool {
        self.is_doubtful
    }

    /// Takes over what a response that has broken off or is silent shows beyond its events.
    ///
    /// # Examples
    ///
    /// ```
    /// use ibissail_http1::{EventSplitter, StreamPosition};
    /// let mut broken = EventSplitter::default();
    /// broken.push(b"id: 1\ndata: a\n\nid: 9\ndata: b\n\n")?;
    /// // Another response that goes on with the same event confirms it.
    /// let position = StreamPosition::after(Some(1)).with_signs_of(broken.position());
    /// assert!(!EventSplitter::new(position).push(b"id: 9\ndata: b\n\n")?.is_empty());
    /// # Ok::<(), ibissail_http1::HttpError>(())
    /// ```
    #[must_use]
    pub fn with_signs_of(self, broken: Self) -> Self {
        let Self { withheld_id, is_doubtful, .. } = broken;
        Self { withheld_id, is_doubtful, ..self }
    }

    pub(crate) fn with_withheld(self, id: Option<u64>) -> Self {
        Self { withheld_id: id.or(self.withheld_id), ..self }
    }

    /// Moves behind the next event; fails if it does not follow. Unless another response had the same
    /// event there, it may be no further away than is usual where streams are even, and the first one
    /// of a response that goes on with a stream no further than events were before.
    pub(crate) fn advance(&mut self, id: u64, is_resumed: bool) -> Result<Distance, HttpError> {
        let last = self.last_id.unwrap_or_default();
        if !self.is_followed_by(id) {
            return Err(HttpError::Malformed(format!("event {id} does not follow event {last}")));
        }
        let step = id - last;
        let is_withheld = self.withheld_id.take() == Some(id);
        let usual = match self.last_id {
            None => self.usual.first,
            Some(_) => self.usual.step,
        };
        // Before the first step the distance between ids is unknown.
        let known = self.largest_step.max(self.first_id.unwrap_or_default());
        let is_far = !is_withheld && !usual.allows(step) && step > self.largest_step;
        let is_refused = match usual.regularity {
            Regularity::Unknown => is_resumed && known > 0 && step > known && !is_withheld,
            Regularity::Even => is_far,
            Regularity::Uneven => false,
        };
        if is_refused {
            return Err(HttpError::Malformed(format!("event {id} is far ahead of event {last}")));
        }
        self.record_step(id, step, is_resumed);
        if !is_far {
            return Ok(Distance::Usual);
        }
        if self.leap.is_none_or(|(before, at)| step > at - before) {
            self.leap = Some((last, id));
        }
        Ok(Distance::Far)
    }

    fn record_step(&mut self, id: u64, step: u64, is_resumed: bool) {
        match self.last_id {
            None => self.first_id = Some(id),
            Some(_) if is_resumed => {}
            Some(_) => {
                self.has_uneven_steps |= self.largest_step > 0 && step != self.largest_step;
                self.largest_step = self.largest_step.max(step);
            }
        }
        self.last_id = Some(id);
        self.event_count += 1;
    }

    /// Whether the id is above the last one.
    pub(crate) fn is_followed_by(&self, id: u64) -> bool {
        self.last_id.is_none_or(|last| id > last)
    }

    /// Records that an event with this id was refused. If it belongs before one that was far ahead, that
    /// one, or this one, is none of the stream. Another response that goes on with the same event
    /// confirms it, unless it was the first of such a response itself: both may lack what is between.
    pub(crate) fn record_refused(&mut self, id: u64, is_resumed: bool) {
        if self.is_followed_by(id) && !is_resumed {
            self.withheld_id = Some(id);
        }
        self.is_doubtful |= self.leap.is_some_and(|(before, at)| before < id && id < at);
    }
}
