//! The state machine from a start to full service.
use crate::backlog::Backlog;
use crate::moment::Age;
use crate::pace::{Came, Pace};
use crate::start::{Disk, Found, Heard, Kind, Mark, Verdict, judge, surely_many};
use crate::topics::{About, Said, Unread};
use crate::trust::{Belief, Thing, beliefs, repeats_known, waiting_in_doubt};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::time::Duration;

/// Members asked at most: what one of them does not know, another does.
const MAX_ASKED: usize = 32;
/// Between asks of one that has not answered: datagrams get lost.
const ASK_AGAIN: Duration = Duration::from_millis(250);
/// Others of whom starts are remembered at most.
const MAX_SEEN: usize = 4096;
/// Members told of a note, and how old it is then at least: it was written beside the loop.
const NOTES_TO: usize = 3;
const NOTED_AFTER: Duration = Duration::from_millis(1500);
/// Missed timers have their requests taken before anything is loaded ahead.
const TIMERS_FIRST: Duration = Duration::from_secs(1);
/// Told to whom comes while others are still asked.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_millis(250);

/// Stages in their order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Stage {
    /// Others are asked what this start is. What may have run is not run again meanwhile.
    Asking,
    /// Synchronous work alone, until it keeps its latency objectives.
    Synchronous,
    /// The deferred backlog too, by what synchronous work leaves.
    Backlog,
    /// Missed timers too.
    Timers,
    /// All, loads ahead of need too.
    Full,
}

impl fmt::Display for Stage {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str(match self {
            Stage::Asking => "asking",
            Stage::Synchronous => "synchronous",
            Stage::Backlog => "backlog",
            Stage::Timers => "timers",
            Stage::Full => "full",
        })
    }
}

#[derive(Clone, Debug)]
pub struct Settings {
    /// In the fleet; empty without one.
    pub name: String,
    /// Whether there may be others to ask.
    pub fleet: bool,
    /// How long others are asked at most.
    pub ask: Duration,
    /// How long service may take to return in stages at most.
    pub longest: Duration,
    /// Workers' memory of idempotency keys outlasts a loss of power.
    pub idempotency_keys_on_disk: bool,
    /// The ration's window: loads ahead begin no sooner after the last life.
    pub load_quota_window: Duration,
    /// The cold rule's window: nothing that was measured before is told within it.
    pub fall_window: Duration,
    /// Asynchronous requests out at a time, as the settings tell.
    pub out: usize,
    /// Whether functions' calls are let in by a pace while copies return after a loss.
    pub pace: bool,
    /// The start that last opened the store of asynchronous requests, as noted there.
    pub store: Option<u64>,
    /// Drawn at this start.
    pub life: u64,
}

#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    Tell {
        to: String,
        bytes: Vec<u8>,
    },
    /// What kind of start this is; said once.
    Judged(Verdict),
    Stage(Stage),
    /// The decision module may be told what was measured before the loss.
    TellMeasured,
}

/// What operators see.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct View {
    pub starts: u64,
    pub stage: Stage,
    /// Seconds since this stage and since the start.
    pub stage_for: u64,
    pub up: u64,
    pub verdict: Option<Verdict>,
    pub beliefs: Vec<(Thing, Belief, String)>,
    pub waits_for: Vec<String>,
    /// Asynchronous requests that may be out at a time, while they are.
    pub backlog: Option<usize>,
    /// Functions whose copies are known to stand, those being tried, and tries of ours that may be out at a time.
    #[serde(default)]
    pub pace: Option<(usize, usize, f64)>,
}

impl View {
    pub fn table(&self) -> String {
        let mut text = format!(
            "stage {} for {} s, start {}, up {} s\n",
            self.stage, self.stage_for, self.starts, self.up
        );
        if let Some(Verdict {
            kind,
            disk,
            answered,
            lost,
            silent,
            ..
        }) = &self.verdict
        {
            text.push_str(&format!(
                "{kind}: {answered} others answered, {lost} of them ended with us, {silent} did not answer; disk {disk:?}\n"
            ));
        }
        for (thing, belief, why) in &self.beliefs {
            text.push_str(&format!(
                "{:<13} {:<9} {why}\n",
                format!("{thing:?}"),
                format!("{belief:?}")
            ));
        }
        if !self.waits_for.is_empty() {
            text.push_str(&format!("waits for answers of {}\n", self.waits_for.join(", ")));
        }
        if let Some(backlog) = self.backlog {
            text.push_str(&format!("deferred jobs that may be out at a time: {backlog}\n"));
        }
        if let Some((stand, tried, window)) = self.pace {
            text.push_str(&format!(
                "copies return: {stand} functions stand, {tried} are tried; {window:.2} of our own tries at a time\n"
            ));
        }
        text
    }
}

#[derive(Debug, Default)]
struct Asked {
    again: Duration,
    heard: Option<Heard>,
}

#[derive(Debug)]
pub struct Recovery {
    settings: Settings,
    found: Found,
    begun: Duration,
    starts: u64,
    /// Highest starts heard of others; what it was before a member's present start.
    seen: BTreeMap<String, u64>,
    before: BTreeMap<String, (u64, u64)>,
    /// Notes of this start.
    notes: u64,
    /// When members were last told, and the note of that moment, which they are told of next.
    noted: (Duration, u64),
    /// The start and the note of it that others told last, by name; kept for them.
    seen_notes: BTreeMap<String, (u64, u64)>,
    /// Members that counted and those met since.
    asked: BTreeMap<String, Asked>,
    met: BTreeSet<String>,
    verdict: Option<Verdict>,
    stage: Stage,
    since: Duration,
    /// When the stage is next looked at.
    look_at: Duration,
    back_at: Option<Duration>,
    /// No load ahead before: another life's ration may be spent.
    ration_until: Duration,
    /// When what was measured before a loss may be told: what the last life spent on cold workers is not spent again.
    tell_at: Option<Duration>,
    /// It was told, or is to be.
    tells: bool,
    /// While copies return after a loss.
    pace: Option<Pace>,
    backlog: Backlog,
    stopped: bool,
    outputs: Vec<Output>,
}

impl Recovery {
    /// `now`: by the steady clock ([`crate::Moment::steady`]).
    pub fn new(settings: Settings, found: Found, now: Duration) -> Recovery {
        let mark = found.mark.clone().unwrap_or_default();
        let mut known = found.known.clone();
        known.truncate(MAX_ASKED);
        let asked = known.into_iter().map(|name| (name, Asked::default())).collect();
        // A mark is noted now and then: the last life may have gone on after it, but not into this one.
        let ration = if found.disk == Disk::Empty {
            Duration::ZERO
        } else {
            settings.load_quota_window
        };
        let mut recovery = Recovery {
            backlog: Backlog::new(now, settings.out),
            begun: now,
            starts: mark.starts.max(settings.store.unwrap_or(0)) + 1,
            seen: mark.seen,
            notes: 0,
            noted: (now, 0),
            seen_notes: mark.seen_notes,
            before: BTreeMap::new(),
            asked,
            met: BTreeSet::new(),
            verdict: None,
            stage: Stage::Asking,
            since: now,
            look_at: now,
            // Of the future it cannot be: the clock could not be told then.
            back_at: mark.back_at.map(|at| at.min(now)),
            ration_until: now + ration,
            tell_at: None,
            tells: false,
            pace: None,
            stopped: false,
            outputs: Vec::new(),
            settings,
            found,
        };
        // One that takes over cannot be heard before the other has left, and need not ask: it was never away.
        if !recovery.settings.fleet || recovery.found.beside {
            recovery.judge(now);
        }
        recovery
    }

    pub fn outputs(&mut self) -> Vec<Output> {
        std::mem::take(&mut self.outputs)
    }

    pub fn stage(&self) -> Stage {
        self.stage
    }

    pub fn verdict(&self) -> Option<&Verdict> {
        self.verdict.as_ref()
    }

    pub fn found(&self) -> &Found {
        &self.found
    }

    fn about(&self, now: Duration) -> About {
        About {
            starts: self.starts,
            life: self.settings.life,
            up_ms: now.saturating_sub(self.begun).as_millis() as u64,
            was_clean: self.found.was_clean(),
            full: self.stage == Stage::Full,
        }
    }

    /// What is noted for the next start.
    pub fn mark(&self, at: crate::Moment) -> Mark {
        Mark {
            name: self.settings.name.clone(),
            starts: self.starts,
            clean: self.stopped,
            settled: self.verdict.is_some(),
            at,
            back_at: self.back_at,
            seen: self.seen.clone(),
            notes: self.notes,
            seen_notes: self.seen_notes.clone(),
        }
    }

    /// The mark is noted anew. A few members are told, to remember it for us, of the note of some time ago, which lasts by
    /// now: a folder restored from a copy is known by it.
    pub fn note(&mut self, now: Duration) {
        self.notes += 1;
        let (at, notes) = self.noted;
        if now < at + NOTED_AFTER {
            return;
        }
        self.noted = (now, self.notes);
        if self.met.is_empty() || notes == 0 {
            return;
        }
        let bytes = Said::Noted {
            starts: self.starts,
            notes,
        }
        .bytes();
        // Each in its turn, so that all know one that is not far behind.
        let first = (notes as usize * NOTES_TO) % self.met.len();
        let to = self
            .met
            .iter()
            .cycle()
            .skip(first)
            .take(NOTES_TO.min(self.met.len()));
        self.outputs.extend(to.map(|to| Output::Tell {
            to: to.clone(),
            bytes: bytes.clone(),
        }));
    }

    /// A planned stop: all that was open has its final answer.
    pub fn stopped(&mut self) {
        self.stopped = true;
    }

    // --- Asks and answers ---

    /// A member is there: it is asked.
    pub fn member(&mut self, now: Duration, name: &str) {
        if self.met.len() < MAX_SEEN {
            self.met.insert(name.to_owned());
        }
        if self.verdict.is_some() || !self.asked.contains_key(name) && self.asked.len() >= MAX_ASKED {
            return;
        }
        self.asked.entry(name.to_owned()).or_default();
        self.ask(now, name);
    }

    fn ask(&mut self, now: Duration, name: &str) {
        let me = self.about(now);
        let Some(asked) = self
            .asked
            .get_mut(name)
            .filter(|asked| asked.heard.is_none() && asked.again <= now)
        else {
            return;
        };
        asked.again = now + ASK_AGAIN;
        self.outputs.push(Output::Tell {
            to: name.to_owned(),
            bytes: Said::Ask { me }.bytes(),
        });
    }

    /// What the number of starts heard of a member was before its present start; and notes the present one.
    fn see(&mut self, name: &str, me: &About) -> u64 {
        if !self.seen.contains_key(name) && self.seen.len() >= MAX_SEEN {
            return 0;
        }
        let seen = self.seen.entry(name.to_owned()).or_default();
        // A start is known by its life, however often it asks; its number may be one that an older copy makes it use again.
        match self.before.get(name) {
            Some((present, before)) if *present == me.life => {
                *seen = me.starts.max(*seen);
                *before
            }
            Some(_) | None => {
                let before = *seen;
                self.before.insert(name.to_owned(), (me.life, before));
                *seen = before.max(me.starts);
                before
            }
        }
    }

    pub fn told(&mut self, now: Duration, from: &str, bytes: &[u8]) -> Result<(), Unread> {
        match Said::read(bytes)? {
            Said::Ask { me } => {
                let yours = self.see(from, &me);
                let notes = self
                    .seen_notes
                    .get(from)
                    .filter(|(starts, _)| *starts == yours)
                    .map_or(0, |of| of.1);
                let said = Said::Answer {
                    me: self.about(now),
                    yours,
                    notes,
                };
                self.outputs.push(Output::Tell {
                    to: from.to_owned(),
                    bytes: said.bytes(),
                });
            }
            Said::Noted { starts, notes } => {
                let room = self.seen_notes.len() < MAX_SEEN || self.seen_notes.contains_key(from);
                if let Some(seen) = room.then(|| self.seen_notes.entry(from.to_owned()).or_default()) {
                    *seen = (*seen).max((starts, notes));
                }
            }
            Said::Answer { me, yours, notes } => {
                self.see(from, &me);
                if let Some(asked) = self.asked.get_mut(from).filter(|asked| asked.heard.is_none()) {
                    asked.heard = Some(Heard { me, yours, notes });
                }
                // It may come from one that heard of this very start before: that is no later one.
                self.judge_if_told(now);
                self.lost_if_sure(now);
            }
            Said::CacheSettings { pieces } => {
                if let Some(pace) = &mut self.pace {
                    pace.heard(now, &pieces);
                }
            }
        }
        Ok(())
    }

    /// All answered, or the time for it is over. Where nobody was known, those who answer may not be all yet.
    fn judge_if_told(&mut self, now: Duration) {
        if self.verdict.is_some() {
            return;
        }
        let all = !self.asked.is_empty() && self.asked.values().all(|asked| asked.heard.is_some());
        let early = if self.found.known.is_empty() {
            self.settings.ask / 2
        } else {
            Duration::ZERO
        };
        if now >= self.begun + self.settings.ask || all && now >= self.begun + early {
            self.judge(now);
        }
    }

    fn heard(&self) -> Vec<Heard> {
        self.asked
            .values()
            .filter_map(|asked| asked.heard.clone())
            .collect()
    }

    /// Where those who answered prove a loss, copies return at a pace before all have answered.
    fn lost_if_sure(&mut self, now: Duration) {
        let up = now.saturating_sub(self.begun);
        if self.verdict.is_none()
            && self.pace.is_none()
            && surely_many(&self.found, &self.heard(), self.asked.len(), up)
        {
            self.lost(now);
        }
    }

    /// Many were lost: copies return at a pace, and what was measured before is told once the cold rule's window has passed
    /// since the last life: it ended before this start, and before the machine's.
    fn lost(&mut self, now: Duration) {
        if self.settings.pace && self.pace.is_none() {
            self.pace = Some(Pace::new(now, self.settings.life));
        }
        if !std::mem::replace(&mut self.tells, true) {
            let off = if self.found.machine_ran() {
                Duration::ZERO
            } else {
                self.found.now.since_boot
            };
            self.tell_at = Some(now.max(self.begun + self.settings.fall_window.saturating_sub(off)));
        }
    }

    fn judge(&mut self, now: Duration) {
        let heard = self.heard();
        let silent = self.asked.len() - heard.len();
        let verdict = judge(&self.found, &heard, silent, now.saturating_sub(self.begun));
        // A later start that others know of is not to be used again.
        self.starts = self.starts.max(verdict.latest + 1);
        if verdict.kind == Kind::LossOfMany {
            self.back_at = Some(self.begun);
            self.lost(now);
        }
        if verdict.kind != Kind::LossOfMany || verdict.disk != Disk::Whole {
            self.tell_at = None;
        }
        let staged = verdict.kind == Kind::LossOfMany && !verdict.others_full;
        self.outputs.push(Output::Judged(verdict.clone()));
        self.verdict = Some(verdict);
        self.enter(now, if staged { Stage::Synchronous } else { Stage::Full });
    }

    // --- Stages ---

    fn enter(&mut self, now: Duration, stage: Stage) {
        (self.stage, self.since) = (stage, now);
        self.look_at = now + TIMERS_FIRST;
        if stage > Stage::Synchronous {
            self.pace = None;
        }
        match stage {
            Stage::Synchronous => self.backlog = Backlog::new(now, self.settings.out),
            Stage::Backlog => self.backlog.begin(),
            Stage::Asking | Stage::Timers | Stage::Full => {}
        }
        self.outputs.push(Output::Stage(stage));
    }

    pub fn next_due(&self) -> Option<Duration> {
        let stage = match self.stage {
            Stage::Asking => {
                let again = self
                    .asked
                    .iter()
                    .filter(|(name, asked)| asked.heard.is_none() && self.met.contains(*name));
                let again = again.map(|(_, asked)| asked.again);
                let early = Some(self.begun + self.settings.ask / 2).filter(|at| *at > self.look_at);
                again.chain(early).chain([self.begun + self.settings.ask]).min()
            }
            Stage::Synchronous | Stage::Backlog => Some(self.backlog.next_due()),
            Stage::Timers => Some(self.look_at),
            Stage::Full => None,
        };
        let news = self
            .pace
            .as_ref()
            .filter(|_| !self.met.is_empty())
            .and_then(Pace::next_due);
        stage.into_iter().chain(self.tell_at).chain(news).min()
    }

    pub fn due(&mut self, now: Duration) {
        if self.tell_at.take_if(|at| *at <= now).is_some() {
            self.outputs.push(Output::TellMeasured);
        }
        if let Some(pace) = &mut self.pace {
            let members: Vec<&String> = self.met.iter().collect();
            if let Some((members, pieces)) = pace.tell(now, &members) {
                let bytes = Said::CacheSettings { pieces }.bytes();
                let tell = |to| Output::Tell {
                    to,
                    bytes: bytes.clone(),
                };
                self.outputs.extend(members.into_iter().map(tell));
            }
        }
        let over = now >= self.begun + self.settings.longest;
        match self.stage {
            Stage::Asking => {
                self.look_at = self.look_at.max(now);
                let names: Vec<String> = self.met.iter().cloned().collect();
                names.iter().for_each(|name| self.ask(now, name));
                self.judge_if_told(now);
            }
            Stage::Synchronous => {
                self.backlog.due(now);
                if over || self.backlog.calm() {
                    self.enter(now, Stage::Backlog);
                }
            }
            Stage::Backlog => {
                self.backlog.due(now);
                // At its most it is no pace any more.
                if over || self.backlog.full() {
                    self.enter(now, Stage::Timers);
                }
            }
            Stage::Timers if now >= self.look_at => self.enter(now, Stage::Full),
            Stage::Timers | Stage::Full => {}
        }
    }

    // --- What is let in ---

    /// Whether a request that the store shows as waiting may have run all the same.
    pub fn waiting_in_doubt(&self) -> bool {
        self.verdict
            .as_ref()
            .is_none_or(|verdict| waiting_in_doubt(verdict, self.settings.store))
    }

    /// Whether what was measured before is still to be told, or it is not known yet whether it is.
    pub fn keeps_measured(&self) -> bool {
        self.verdict.is_none() || self.tell_at.is_some()
    }

    /// Of the time that we were away, what the wall clock alone tells of: it may have been set ahead.
    pub fn away_unproven(&self) -> Duration {
        match self.found.age() {
            Some(age @ Age::Claimed(claimed)) => claimed.saturating_sub(age.surely(&self.found.now)),
            Some(Age::Told(_) | Age::AtLeast(_)) | None => Duration::ZERO,
        }
    }

    /// The number of this start.
    pub fn starts(&self) -> u64 {
        self.starts
    }

    /// How long a call that may repeat a request with an idempotency key has to stay away; its `window` is how long workers would know it.
    /// After that no repeat of a request from before the loss may come any more.
    pub fn repeats_wait(&self, now: Duration, window: Duration) -> Option<Duration> {
        if self.settings.idempotency_keys_on_disk {
            return None;
        }
        if self.verdict.is_none() {
            return Some(DEFAULT_RETRY_AFTER);
        }
        let until = self.back_at? + window;
        (now < until).then(|| until - now)
    }

    /// Whether a call for this function may become a request now, and the number to tell [`Recovery::tried`] of its end where it is
    /// a try; else when to come back.
    pub fn let_in(&mut self, now: Duration, function: &str) -> Result<Option<u32>, Duration> {
        let Some(pace) = &mut self.pace else {
            return Ok(None);
        };
        // Its lower half: what a collision costs is a load more.
        let number = xxhash_rust::xxh3::xxh3_64(function.as_bytes()) as u32;
        let let_in = pace.let_in(now, number).map(|tries| tries.then_some(number));
        if let_in.is_err() {
            self.answered(false);
        }
        let_in
    }

    /// The request of a call that was let in as a try has its final answer.
    pub fn tried(&mut self, now: Duration, number: u32, came: Came) {
        if let Some(pace) = &mut self.pace {
            pace.tried(now, number, came);
        }
    }

    /// Whether a request with an idempotency key that was out at the end of the last life may be sent again.
    pub fn repeats_known(&self) -> bool {
        self.verdict
            .as_ref()
            .is_some_and(|verdict| repeats_known(verdict, self.settings.idempotency_keys_on_disk))
    }

    /// A synchronous request had its final answer, in its time or not.
    pub fn answered(&mut self, kept: bool) {
        if matches!(self.stage, Stage::Synchronous | Stage::Backlog) {
            self.backlog.answered(kept);
        }
    }

    /// Asynchronous requests that may be out at a time; `None`: as many as the settings allow.
    pub fn backlog(&self) -> Option<usize> {
        match self.stage {
            Stage::Asking | Stage::Synchronous => Some(0),
            Stage::Backlog => Some(self.backlog.out()),
            Stage::Timers | Stage::Full => None,
        }
    }

    /// No asynchronous request is due any more: the backlog is through, whatever might have been let in.
    pub fn backlog_through(&mut self, now: Duration) {
        if self.stage == Stage::Backlog {
            self.enter(now, Stage::Timers);
        }
    }

    pub fn timers(&self) -> bool {
        self.stage >= Stage::Timers
    }

    pub fn loads_ahead(&self, now: Duration) -> bool {
        self.stage == Stage::Full && now >= self.ration_until
    }

    /// Goes to full service at once, as an operator says; what may not run twice stays as judged.
    pub fn force(&mut self, now: Duration) {
        if self.verdict.is_none() {
            self.judge(now);
        }
        if self.stage != Stage::Full {
            self.enter(now, Stage::Full);
        }
    }

    pub fn view(&self, now: Duration) -> View {
        let rows = self.verdict.as_ref().map(|verdict| {
            beliefs(
                verdict,
                self.settings.idempotency_keys_on_disk,
                self.settings.store,
            )
        });
        let silent = |(name, asked): (&String, &Asked)| asked.heard.is_none().then(|| name.clone());
        View {
            starts: self.starts,
            stage: self.stage,
            stage_for: now.saturating_sub(self.since).as_secs(),
            up: now.saturating_sub(self.begun).as_secs(),
            verdict: self.verdict.clone(),
            beliefs: rows
                .into_iter()
                .flatten()
                .map(|(thing, belief, why)| (thing, belief, why.to_owned()))
                .collect(),
            waits_for: if self.verdict.is_none() {
                self.asked.iter().filter_map(silent).collect()
            } else {
                Vec::new()
            },
            backlog: (self.stage == Stage::Backlog).then(|| self.backlog.out()),
            pace: self.pace.as_ref().map(Pace::view),
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::Moment;

    const S: Duration = Duration::from_secs(1);
    const ZERO: Duration = Duration::from_secs(1_000_000);

    fn settings(name: &str) -> Settings {
        Settings {
            name: name.to_owned(),
            fleet: true,
            ask: S * 2,
            longest: S * 60,
            idempotency_keys_on_disk: false,
            load_quota_window: S * 10,
            fall_window: S,
            out: 8,
            pace: true,
            store: None,
            life: 7,
        }
    }

    /// One that ended uncleanly three seconds ago, and counted these others.
    fn lost(name: &str, known: &[&str]) -> Recovery {
        let at = Moment {
            wall: ZERO - S * 3,
            boot: "a".into(),
            since_boot: S * 500,
        };
        let mark = Mark {
            name: name.into(),
            starts: 4,
            settled: true,
            at,
            ..Mark::default()
        };
        let now = Moment {
            wall: ZERO,
            boot: "b".into(),
            since_boot: S,
        };
        let known = known.iter().map(|&name| name.to_owned()).collect();
        Recovery::new(settings(name), Found::marked(mark, name, known, now), ZERO)
    }

    fn answer(up: Duration, was_clean: bool) -> Vec<u8> {
        let me = About {
            starts: 9,
            life: 1,
            up_ms: up.as_millis() as u64,
            was_clean,
            full: false,
        };
        Said::Answer {
            me,
            yours: 4,
            notes: 0,
        }
        .bytes()
    }

    fn stages(of: &mut Recovery) -> Vec<Stage> {
        let stage = |output| match output {
            Output::Stage(stage) => Some(stage),
            Output::Tell { .. } | Output::Judged(_) | Output::TellMeasured => None,
        };
        of.outputs().into_iter().filter_map(stage).collect()
    }

    #[test]
    fn every_wait_ends_whoever_answers() {
        for answers in 0..=2 {
            let mut of = lost("a", &["b", "c"]);
            let mut now = ZERO;
            for name in &["b", "c"][..answers] {
                of.member(now, name);
                of.told(now, name, &answer(S, false)).unwrap();
            }
            assert_eq!(of.verdict().is_some(), answers == 2, "{answers}");
            for _ in 0..100 {
                now = of.next_due().unwrap_or(now).max(now);
                of.due(now);
                if of.verdict().is_some() {
                    break;
                }
            }
            assert!(of.verdict().is_some(), "the wait does not end: {answers}");
            assert!(
                now <= ZERO + S * 2 && of.verdict().unwrap().kind == Kind::LossOfMany,
                "{answers}"
            );
        }
    }

    #[test]
    fn one_that_does_not_answer_is_asked_again_until_it_is_time() {
        let mut of = lost("a", &["b"]);
        let (mut now, mut asks) = (ZERO, 0);
        of.member(now, "b");
        while of.verdict().is_none() {
            asks += of
                .outputs()
                .iter()
                .filter(|output| matches!(output, Output::Tell { .. }))
                .count();
            now = of.next_due().unwrap().max(now);
            of.due(now);
        }
        assert!((6..=9).contains(&asks), "{asks}");
        // Members that come later are not asked any more, and what they say late changes nothing.
        of.outputs();
        of.member(now, "c");
        of.told(now, "b", &answer(S * 900, true)).unwrap();
        assert_eq!(of.verdict().unwrap().kind, Kind::LossOfMany);
        assert!(
            !of.outputs()
                .iter()
                .any(|output| matches!(output, Output::Tell { .. }))
        );
    }

    #[test]
    fn service_returns_in_its_order_and_what_may_repeat_stays_away_for_its_window() {
        let mut of = lost("a", &[]);
        assert_eq!(
            (of.repeats_wait(ZERO, S * 5), of.backlog()),
            (Some(DEFAULT_RETRY_AFTER), Some(0))
        );
        let mut now = ZERO;
        let mut seen = Vec::new();
        while of.stage() != Stage::Full {
            now = of.next_due().unwrap().max(now);
            let well = now > ZERO + S * 6;
            (0..20).for_each(|_| of.answered(well));
            assert_eq!(of.timers(), of.stage() >= Stage::Timers);
            assert!(!of.loads_ahead(now));
            of.due(now);
            seen.extend(stages(&mut of));
        }
        assert_eq!(
            seen,
            [Stage::Synchronous, Stage::Backlog, Stage::Timers, Stage::Full]
        );
        assert!(
            now > ZERO + S * 8,
            "synchronous work was not well before: {now:?}"
        );
        assert_eq!(of.backlog(), None);
        assert!(!of.repeats_known());
        assert_eq!(of.repeats_wait(ZERO + S * 3, S * 5), Some(S * 2));
        assert_eq!(
            (
                of.repeats_wait(ZERO + S * 5, S * 5),
                of.repeats_wait(ZERO + S * 3, S * 3)
            ),
            (None, None)
        );
        // The next life of one that crashes within that window keeps to it.
        let at = Moment {
            wall: ZERO + S * 2,
            boot: "b".into(),
            since_boot: S * 3,
        };
        let again = Found::marked(
            of.mark(at.clone()),
            "a",
            vec![],
            Moment {
                since_boot: S * 4,
                ..at
            },
        );
        let again = Recovery::new(
            Settings {
                fleet: false,
                ..settings("a")
            },
            again,
            ZERO + S * 3,
        );
        assert_eq!(
            (again.verdict().unwrap().kind, again.stage()),
            (Kind::CrashOfOne, Stage::Full)
        );
        assert_eq!(again.repeats_wait(ZERO + S * 3, S * 5), Some(S * 2));
        assert!(
            !again.loads_ahead(ZERO + S * 12) && again.loads_ahead(ZERO + S * 13),
            "the last life's ration"
        );
    }

    #[test]
    fn who_answers_first_may_prove_a_loss_and_copies_return_at_a_pace_until_service_is_well() {
        let known: Vec<String> = (0..17).map(|n| format!("m{n}")).collect();
        let mut of = lost("a", &known.iter().map(String::as_str).collect::<Vec<_>>());
        assert_eq!(of.let_in(ZERO, "f"), Ok(None), "nothing is known yet");
        of.told(ZERO, "m1", &answer(S * 900, true)).unwrap();
        assert!(of.view(ZERO).pace.is_none(), "that one ran on");
        of.told(ZERO, "m2", &answer(S, false)).unwrap();
        assert!(of.view(ZERO).pace.is_some() && of.verdict().is_none());
        // The machine is on for as long as the cold rule's window: the last life spent nothing within it.
        of.due(ZERO);
        let measured = |of: &mut Recovery| of.outputs().contains(&Output::TellMeasured);
        assert!(measured(&mut of));
        let number = of.let_in(ZERO, "f").unwrap().expect("a try");
        assert!(of.let_in(ZERO, "f").is_err());
        of.tried(ZERO + S / 2, number, Came::Stands);
        assert_eq!(of.let_in(ZERO + S / 2, "f"), Ok(None));
        let mut now = ZERO;
        while of.stage() < Stage::Backlog {
            now = of.next_due().unwrap().max(now);
            (0..20).for_each(|_| of.answered(true));
            of.due(now);
        }
        assert!(of.view(now).pace.is_none() && !measured(&mut of), "told once");
        // Of many members one that ended as well proves nothing; more than one in ten do.
        let many: Vec<String> = (0..32).map(|n| format!("m{n}")).collect();
        let mut few = lost("a", &many.iter().map(String::as_str).collect::<Vec<_>>());
        for (n, name) in many.iter().take(3).enumerate() {
            few.told(ZERO, name, &answer(S, false)).unwrap();
            assert_eq!(few.view(ZERO).pace.is_some(), n == 2, "{n}");
        }
        // One of seventeen that crashed alone meets no pace; nor does one that stopped as planned.
        let mut one = lost("a", &known.iter().map(String::as_str).collect::<Vec<_>>());
        known
            .iter()
            .for_each(|name| one.told(ZERO, name, &answer(S * 900, true)).unwrap());
        assert!(one.verdict().is_some() && one.let_in(ZERO, "f") == Ok(None) && one.stage() == Stage::Full);
    }

    #[test]
    fn stages_end_by_themselves_or_by_an_operators_word() {
        let mut of = lost("a", &[]);
        let mut now = ZERO;
        while of.stage() < Stage::Timers {
            now = of.next_due().unwrap().max(now);
            (0..20).for_each(|_| of.answered(false));
            of.due(now);
        }
        assert!(now <= ZERO + S * 62, "{now:?}");
        let mut forced = lost("a", &["b"]);
        forced.force(ZERO);
        assert_eq!((forced.stage(), forced.repeats_known()), (Stage::Full, false));
    }

    #[test]
    fn a_number_used_twice_is_told_by_its_life() {
        let mut other = lost("o", &[]);
        let yours = |other: &mut Recovery, starts, life| {
            let me = About {
                starts,
                life,
                up_ms: 0,
                was_clean: false,
                full: false,
            };
            other.told(ZERO, "x", &Said::Ask { me }.bytes()).unwrap();
            other.outputs().into_iter().find_map(|output| match output {
                Output::Tell { bytes, .. } => match Said::read(&bytes) {
                    Ok(Said::Answer { yours, .. }) => Some(yours),
                    Ok(Said::Ask { .. } | Said::CacheSettings { .. } | Said::Noted { .. }) | Err(_) => None,
                },
                Output::Judged(_) | Output::Stage(_) | Output::TellMeasured => None,
            })
        };
        assert_eq!(yours(&mut other, 3, 30), Some(0));
        assert_eq!(yours(&mut other, 3, 30), Some(0), "it asked again");
        assert_eq!(yours(&mut other, 4, 40), Some(3));
        assert_eq!(yours(&mut other, 4, 41), Some(4), "a copy from before");
    }
}
