//! Tentative quarantines: what most crashes have in common is refused while hardly anything is
//! answered, until a probe shows whether it crashes replicas.
//!
//! While nothing is answered, a refusal costs little, and it ends the crashes if the suspect is
//! their cause. If they go on without it, it is released. If they do not, one request with it is let
//! through after a while: a crash confirms the quarantine, an answer ends it.

use crate::{
    CrashQuarantine, PartHash, QUARANTINE_TIME, RequestHash, Suspect,
    crashes::{
        blame::History,
        lost_runs::independent_runs,
        outage::{ANSWERS_TIME, Coverage, CrashEvent},
        quarantine::Quarantine,
    },
    hash::stable_hash_with_bytes,
};
use ibissail_core::Millis;

/// Share of answers below which hardly anything is answered.
const OUTAGE_SHARE: f64 = 0.25;
/// Crashes from which a part is refused tentatively, and the requests that must have met them.
const MIN_PART_CRASHES: usize = 5;
const MIN_PART_REQUESTS: usize = 2;
/// The same for a request.
const MIN_REQUEST_CRASHES: usize = 5;
const MIN_REQUEST_REPEATS: usize = 2;
/// Largest probability of a chance at which a part is refused tentatively.
const MAX_CHANCE: f64 = 0.003;
/// The same for a request, whose refusals are not probed.
const MAX_REQUEST_CHANCE: f64 = 0.01;
/// The same for a part that was proven sound before.
const MAX_PROVEN_CHANCE: f64 = 0.001;
/// Longest tentative quarantine. After it, one crash is enough to quarantine the part again.
pub(crate) const TENTATIVE_TIME: Millis = Millis(60_000);
/// Time from the start of a tentative quarantine until requests may be let through as probes.
const PROBE_DELAY: Millis = Millis(2_000);
/// Time for each entry of the fleet over which the first probes are spread, so that the result of
/// one is known at the others before they begin theirs.
const PROBE_SPACING: Millis = Millis(1_000);
/// Time before a probe without a crash, and share of its answers that must have gone on: a crash
/// must have no other cause.
const CALM_TIME: Millis = Millis(2_000);
const CALM_SHARE: f64 = 0.6;
/// Time from a probe until the next one of the fleet if nothing has come of it.
const PROBE_TIMEOUT: Millis = Millis(5_000);

/// What makes a quarantine tentative.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Tentative {
    /// Crashes that had the suspect in common when it began.
    pub(crate) crashes: usize,
    /// When this entry may let a request through.
    pub(crate) probe_at: Millis,
    /// The request that was let through last.
    pub(crate) probe: Option<RequestHash>,
    /// When an entry of the fleet last let a request through; zero if none has.
    pub(crate) probed_at: Millis,
}

/// The fleet as one of its entries sees it.
#[derive(Debug, Clone, Copy)]
pub(crate) struct FleetView {
    entries: usize,
    /// Tells the entry from the others.
    seed: u64,
}

impl Default for FleetView {
    fn default() -> Self {
        Self { entries: 1, seed: 0 }
    }
}

impl FleetView {
    /// Time of this entry in the span over which the fleet spreads its probes.
    fn probe_offset(self, suspect: Suspect) -> Millis {
        let hash = match suspect {
            Suspect::Request(content) => content.0,
            Suspect::Part(part) => part.0,
        };
        let hash = stable_hash_with_bytes(&[], &(hash ^ self.seed).to_be_bytes());
        let span = PROBE_SPACING.0.saturating_mul(self.entries as u64).max(1);
        Millis(hash % span)
    }
}

impl CrashQuarantine {
    /// Tells the number of entries of the fleet, and a number that only this one has.
    pub fn set_fleet(&mut self, entries: usize, seed: u64) {
        self.fleet = FleetView { entries, seed };
    }

    /// What to refuse tentatively, with the crashes that it explains best; `None` if requests are
    /// answered or nothing stands out.
    pub(crate) fn most_covered(&self, now: Millis) -> Option<Coverage> {
        let from = now.since(ANSWERS_TIME);
        let is_outage = |share: f64| share < OUTAGE_SHARE;
        let are_prompts_unanswered = is_outage(self.outcomes.proven_share(from, now));
        let are_requests_unanswered = is_outage(self.request_outcomes.proven_share(from, now));
        if !are_prompts_unanswered && !are_requests_unanswered {
            return None;
        }
        let events = self.unexplained_crashes(now);
        if events.len() < MIN_REQUEST_CRASHES {
            return None;
        }
        let coverages = self.coverages(&events, MIN_REQUEST_CRASHES, now);
        let suffices = |coverage: &&Coverage| match coverage.suspect {
            Suspect::Part(_) => are_prompts_unanswered && self.suffices_for_part(coverage),
            Suspect::Request(_) => are_requests_unanswered && self.suffices_for_repeats(coverage),
        };
        let blamed: Vec<&Coverage> = coverages.iter().filter(suffices).collect();
        let best = blamed.first()?;
        // A part that explains clearly more than a request with it is not only in its repeats.
        let is_wider = |other: &&&Coverage| {
            matches!(other.suspect, Suspect::Part(_)) && other.crashes * 4 >= best.crashes * 5
        };
        let wider = match best.suspect {
            Suspect::Request(_) => blamed.iter().find(is_wider),
            Suspect::Part(_) => None,
        };
        Some((*wider.unwrap_or(best)).clone())
    }

    fn suffices_for_part(&self, coverage: &Coverage) -> bool {
        let max_chance = match self.history(coverage.suspect) {
            History::Proven => MAX_PROVEN_CHANCE,
            History::Probation | History::Unknown | History::Unproven => MAX_CHANCE,
        };
        coverage.crashes >= MIN_PART_CRASHES
            && coverage.requests >= MIN_PART_REQUESTS
            && coverage.chance <= max_chance
    }

    fn suffices_for_repeats(&self, coverage: &Coverage) -> bool {
        let Suspect::Request(content) = coverage.suspect else { return false };
        coverage.requests >= MIN_REQUEST_REPEATS
            && coverage.chance <= MAX_REQUEST_CHANCE
            && independent_runs(self.lost_runs.with(content)) >= MIN_REQUEST_CRASHES
    }

    /// A tentative quarantine that begins now.
    pub(crate) fn tentative(&self, suspect: Suspect, since: Millis, crashes: usize) -> Quarantine {
        let delay = PROBE_DELAY.saturating_add(self.fleet.probe_offset(suspect));
        let probe_at = since.saturating_add(delay);
        let tentative = Tentative { crashes, probe_at, probe: None, probed_at: Millis(0) };
        Quarantine { tentative: Some(tentative), ..Quarantine::new(since, TENTATIVE_TIME) }
    }

    /// Releases what is refused tentatively although crashes go on without it.
    pub(crate) fn release_disproved(&mut self, now: Millis) {
        if self.quarantines.values().all(|known| known.tentative.is_none() || known.is_released) {
            return;
        }
        let events = self.unexplained_crashes(now);
        for known in self.quarantines.values_mut().filter(|known| !known.is_released) {
            let Some(tentative) = known.tentative else { continue };
            let is_later = |event: &&CrashEvent| event.at > known.since;
            let without = events.values().filter(is_later).count();
            if without >= MIN_PART_CRASHES.max(tentative.crashes / 2) {
                known.is_released = true;
                known.released_at = now;
            }
        }
    }

    /// Whether a request with these suspects, of which some are quarantined, may be sent as a probe.
    pub fn try_probe<S>(&mut self, suspects: &[S], request: RequestHash, now: Millis) -> bool
    where
        S: Copy + Into<Suspect>,
    {
        let refused = suspects.iter().map(|suspect| (*suspect).into());
        let refused: Vec<Suspect> =
            refused.filter(|suspect| self.rest(*suspect, now).is_some()).collect();
        let last_crash = self.crashes.iter().map(|(_, crash)| crash.at).max().unwrap_or_default();
        let is_due = |suspect: &Suspect| {
            let calm_at = last_crash.saturating_add(CALM_TIME);
            let calm_at = calm_at.saturating_add(self.fleet.probe_offset(*suspect));
            let tentative = self.quarantines.get(suspect).and_then(|known| known.tentative);
            tentative.is_some_and(|tentative| tentative.probe_at.max(calm_at) <= now)
        };
        let is_calm = self.outcomes.proven_share(now.since(CALM_TIME), now) >= CALM_SHARE;
        if refused.is_empty() || !is_calm || !refused.iter().all(is_due) {
            return false;
        }
        for suspect in refused {
            let known = self.quarantines.get_mut(&suspect);
            if let Some(tentative) = known.and_then(|known| known.tentative.as_mut()) {
                tentative.probe_at = now.saturating_add(PROBE_TIMEOUT);
                tentative.probe = Some(request);
                tentative.probed_at = now;
                self.probed.push(suspect);
            }
        }
        true
    }

    /// Puts off the next probe of a part that a peer has probed this long ago.
    pub(crate) fn merge_probe(&mut self, part: PartHash, age: Millis, now: Millis) {
        let suspect = Suspect::Part(part);
        let offset = self.fleet.probe_offset(suspect);
        let known = self.quarantines.get_mut(&suspect);
        let Some(tentative) = known.and_then(|known| known.tentative.as_mut()) else { return };
        let probed_at = now.since(age);
        if probed_at > tentative.probed_at {
            tentative.probed_at = probed_at;
            let next = probed_at.saturating_add(PROBE_TIMEOUT).saturating_add(offset);
            tentative.probe_at = tentative.probe_at.max(next);
        }
    }

    /// Confirms the tentative quarantines whose probe has crashed a replica.
    pub(crate) fn confirm(&mut self, request: RequestHash, parts: &[PartHash], now: Millis) {
        for part in parts {
            let suspect = Suspect::Part(*part);
            let Some(known) = self.quarantines.get_mut(&suspect) else { continue };
            let is_probe =
                known.tentative.is_some_and(|tentative| tentative.probe == Some(request));
            if is_probe && !known.is_released {
                *known = Quarantine { is_reported: true, ..Quarantine::new(now, QUARANTINE_TIME) };
                self.confirmed.push(suspect);
            }
        }
    }
}
