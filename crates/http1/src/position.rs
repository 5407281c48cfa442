//! How far a stream has got, and which event may follow.

use crate::HttpError;

/// The ids that are usual in streams of one kind.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct UsualIds {
    /// Largest first id.
    pub first: u64,
    /// Largest difference between two ids that follow each other.
    pub step: u64,
    /// Largest such difference in recent streams. A response may go on with a stream this far behind
    /// its last event.
    pub gap: u64,
}

/// How far a caller has received a stream, whichever responses its events came from.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct StreamPosition {
    last_id: Option<u64>,
    first_id: Option<u64>,
    /// Largest difference between two ids that follow each other.
    largest_step: u64,
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

impl Default for UsualIds {
    fn default() -> Self {
        Self { first: 1, step: 1, gap: 1 }
    }
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
    /// let usual = UsualIds { first: 5, ..UsualIds::default() };
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

    /// How far an event that has not been returned is ahead of the last one, or of 0; `None` if there
    /// is no such event.
    ///
    /// # Examples
    ///
    /// ```
    /// let mut splitter = ibissail_http1::EventSplitter::default();
    /// splitter.push(b"id: 1\ndata: a\n\nid: 9\ndata: b\n\n")?;
    /// assert_eq!(splitter.position().withheld_distance(), Some(8));
    /// # Ok::<(), ibissail_http1::HttpError>(())
    /// ```
    #[must_use]
    pub fn withheld_distance(&self) -> Option<u64> {
        self.withheld_id.map(|id| id.saturating_sub(self.last_id.unwrap_or_default()))
    }

    /// The largest distance that is usual for the next event.
    ///
    /// # Examples
    ///
    /// ```
    /// let mut splitter = ibissail_http1::EventSplitter::default();
    /// splitter.push(b"id: 1\ndata: a\n\nid: 6\ndata: b\n\nid: 7\ndata: c\n\n")?;
    /// assert_eq!(splitter.position().usual_distance(), 5);
    /// # Ok::<(), ibissail_http1::HttpError>(())
    /// ```
    #[must_use]
    pub fn usual_distance(&self) -> u64 {
        match self.last_id {
            None => self.usual.first,
            Some(_) => self.usual.step.max(self.largest_step),
        }
    }

    pub(crate) fn with_withheld(self, id: Option<u64>) -> Self {
        Self { withheld_id: id.or(self.withheld_id), ..self }
    }

    /// Moves behind the next event; fails if it does not follow. The first event of a response that
    /// goes on with a stream may be no further away than events were before, in this stream or in recent
    /// ones, unless another response had the same one there.
    pub(crate) fn advance(&mut self, id: u64, is_resumed: bool) -> Result<Distance, HttpError> {
        let last = self.last_id.unwrap_or_default();
        let step = id.saturating_sub(last);
        let is_withheld = self.withheld_id.take() == Some(id);
        // Before the first step the distance between ids is unknown.
        let known = self.largest_step.max(self.first_id.unwrap_or_default());
        let largest = known.max(self.usual.gap);
        let has_gap = is_resumed && known > 0 && step > largest && !is_withheld;
        if !self.is_followed_by(id) || has_gap {
            return Err(HttpError::Malformed(format!("event {id} does not follow event {last}")));
        }
        let usual = self.usual_distance();
        match self.last_id {
            None => self.first_id = Some(id),
            Some(_) if is_resumed && !is_withheld => {}
            Some(_) => self.largest_step = self.largest_step.max(step),
        }
        self.last_id = Some(id);
        self.event_count += 1;
        if step <= usual || is_withheld {
            return Ok(Distance::Usual);
        }
        if self.leap.is_none_or(|(before, at)| step > at - before) {
            self.leap = Some((last, id));
        }
        Ok(Distance::Far)
    }

    /// Whether the id is above the last one.
    pub(crate) fn is_followed_by(&self, id: u64) -> bool {
        self.last_id.is_none_or(|last| id > last)
    }

    /// Records that an event with this id came later. If it belongs before one that was far ahead,
    /// that one, or this one, is none of the stream.
    pub(crate) fn record_earlier(&mut self, id: u64) {
        self.is_doubtful |= self.leap.is_some_and(|(before, at)| before < id && id < at);
    }
}
