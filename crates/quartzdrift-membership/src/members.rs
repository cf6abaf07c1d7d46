//! The protocol: probes, suspicion, joining and leaving.
use crate::news::{Member, News, Rumours, State};
use crate::replay::Window;
use crate::wire::{self, Datagram, Head, MAX_NAME, Part, Refused, Writer};
use rand::rngs::StdRng;
use rand::seq::SliceRandom;
use rand::{RngExt, SeedableRng};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// Members asked to probe one that did not answer.
const RELAYS: usize = 3;
/// Members that tell a suspect of its state as soon as they hear of it.
const WARNERS: f64 = 6.0;
/// Relayed probes that are open at a time; more are not carried out.
const MAX_RELAYS_OPEN: usize = 256;
/// Of a probe's time-out: when an asked member says that it got no answer either.
const NACK_AT: f64 = 0.8;
/// Lifeguard's local health: the worst, by which our own time-outs grow.
const MAX_HEALTH: u32 = 8;
/// Least time of a suspicion, in periods for each factor of ten in the fleet's size; and the most against the least.
const MIN_SUSPECT: f64 = 4.0;
const SUSPECT_RATIO: f64 = 6.0;
/// Independent accusers that bring a suspicion down to its least time.
const ACCUSERS: usize = 3;
/// Periods between full exchanges with one member, and with one that is believed dead: it may be a broken network.
const EXCHANGE_EVERY: u32 = 20;
/// And after these from the start: of a fleet that starts at once the first to answer knows only a part.
const EXCHANGE_EARLY: [u32; 2] = [3, 7];
/// Periods between tries to join, doubling up to the most.
const MAX_JOIN: u32 = 32;
/// Bytes kept for the end of a page: a name and a few.
const PAGE_END: usize = MAX_NAME + 8;
/// Datagrams to an address whose answers are still known as answers.
const SENT_KEPT: usize = 8;
/// Answers a second to those who do not know our life: an old datagram sent again draws no more.
const MAX_HELLOS: u32 = 512;
/// Outputs that wait to be carried out; more datagrams are not made.
const MAX_OUTPUTS: usize = 100_000;

#[derive(Clone, Debug)]
pub struct Settings {
    pub name: String,
    /// Where others reach us.
    pub address: SocketAddr,
    pub cluster: String,
    pub seeds: Vec<SocketAddr>,
    /// The first makes tags, all are taken: a key is changed by adding the new one everywhere as second, then as first.
    pub keys: Vec<Vec<u8>>,
    /// Between probes.
    pub period: Duration,
    /// Until a probe is sent by way of others; shorter than a period.
    pub probe_timeout: Duration,
    /// Bytes of a datagram.
    pub datagram_most: usize,
    /// Members known at a time, the dead among them.
    pub members_most: usize,
    /// How long a dead member is remembered; then its name may be given away and its news mean nothing.
    pub forget: Duration,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            name: String::new(),
            address: SocketAddr::from(([127, 0, 0, 1], 0)),
            cluster: String::new(),
            seeds: Vec::new(),
            keys: Vec::new(),
            period: Duration::from_secs(1),
            probe_timeout: Duration::from_millis(300),
            datagram_most: 1200,
            members_most: 4096,
            forget: Duration::from_secs(24 * 3600),
        }
    }
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output {
    Send {
        to: SocketAddr,
        bytes: Vec<u8>,
    },
    /// What is believed of a member has changed.
    Changed(Member),
    /// A datagram was not taken.
    Refused {
        from: SocketAddr,
        why: Refused,
    },
    /// Somebody else is known by our name.
    NameTaken {
        by: SocketAddr,
    },
    Told {
        from: Rc<str>,
        topic: u8,
        bytes: Vec<u8>,
    },
}

struct Known {
    member: Member,
    window: Window,
    /// Of a suspect: the lives of those who accuse it.
    accusers: BTreeSet<u64>,
}

/// What is known of an address beside members: a life, and what we sent there lately.
#[derive(Default)]
struct Place {
    life: u64,
    sent: VecDeque<u64>,
    /// The member that is there, as last believed.
    name: Option<Rc<str>>,
}

struct Probe {
    target: Rc<str>,
    number: u32,
    /// When others are asked, when it has failed, and whether they were asked already.
    ask_at: Duration,
    end: Duration,
    asked: u32,
    nacks: u32,
}

struct Relay {
    to: SocketAddr,
    number: u32,
    nack_at: Duration,
    nacked: bool,
    end: Duration,
}

pub struct Members {
    settings: Settings,
    cluster: u64,
    life: u64,
    incarnation: u32,
    leaving: bool,
    now: Duration,
    chance: StdRng,
    number: u64,
    probes: u32,
    known: BTreeMap<Rc<str>, Known>,
    /// How many of them are believed to be there.
    there: usize,
    /// When each suspicion ends.
    suspects: BTreeMap<Rc<str>, Duration>,
    places: BTreeMap<SocketAddr, Place>,
    rumours: Rumours,
    order: Vec<Rc<str>>,
    probe: Option<Probe>,
    relays: BTreeMap<u32, Relay>,
    health: u32,
    period_at: Duration,
    periods: u32,
    join_at: Duration,
    join_wait: u32,
    joined: bool,
    hellos: (u64, u32),
    taken_by: u64,
    outputs: Vec<Output>,
}

/// Whether such a member is believed to be there.
fn is_there(state: State) -> bool {
    matches!(state, State::Alive | State::Suspect)
}

impl Members {
    /// `life` must never be the same again for a name; `saved`: addresses met before a restart, tried beside the seeds.
    pub fn new(settings: Settings, life: u64, saved: &[SocketAddr], seed: u64, now: Duration) -> Members {
        let cluster = wire::cluster(&settings.cluster);
        let mut settings = settings;
        let room = settings.members_most;
        settings.seeds.extend(saved.iter().take(room));
        Members {
            cluster,
            life: life.max(1),
            incarnation: 0,
            leaving: false,
            now,
            chance: StdRng::seed_from_u64(seed),
            number: 0,
            probes: 0,
            known: BTreeMap::new(),
            there: 0,
            suspects: BTreeMap::new(),
            places: BTreeMap::new(),
            rumours: Rumours::default(),
            order: Vec::new(),
            probe: None,
            relays: BTreeMap::new(),
            health: 0,
            period_at: now,
            periods: 0,
            join_at: now,
            join_wait: 1,
            joined: false,
            hellos: (0, 0),
            taken_by: 0,
            outputs: Vec::new(),
            settings,
        }
    }

    pub fn outputs(&mut self) -> Vec<Output> {
        std::mem::take(&mut self.outputs)
    }

    /// All others that are known, whatever is believed of them.
    pub fn others(&self) -> impl Iterator<Item = &Member> {
        self.known.values().map(|known| &known.member)
    }

    /// What it runs by: our own name and address among it.
    pub fn settings(&self) -> &Settings {
        &self.settings
    }

    pub fn incarnation(&self) -> u32 {
        self.incarnation
    }

    /// Our own health as Lifeguard has it: 0 is well.
    pub fn health(&self) -> u32 {
        self.health
    }

    /// Others that are believed to be there.
    pub fn there(&self) -> impl Iterator<Item = &Member> {
        self.others().filter(|m| is_there(m.state))
    }

    fn size(&self) -> usize {
        1 + self.there
    }

    pub fn next_due(&self) -> Duration {
        let probe = self
            .probe
            .iter()
            .map(|p| if p.asked == 0 { p.ask_at.min(p.end) } else { p.end });
        let relays = self
            .relays
            .values()
            .map(|r| if r.nacked { r.end } else { r.nack_at });
        let suspects = self.suspects.values().copied();
        let join = (!self.joined && !self.leaving).then_some(self.join_at);
        probe
            .chain(relays)
            .chain(suspects)
            .chain(join)
            .fold(self.period_at, Duration::min)
    }

    /// A few of those who fit, by chance.
    fn some(&mut self, count: usize, fits: impl Fn(&Member) -> bool) -> Vec<SocketAddr> {
        let mut all: Vec<SocketAddr> = self.there().filter(|m| fits(m)).map(|m| m.address).collect();
        all.shuffle(&mut self.chance);
        all.truncate(count);
        all
    }

    // --- What leaves ---

    fn head(&mut self, to: SocketAddr) -> Head {
        self.number += 1;
        let place = self.places.entry(to).or_default();
        place.sent.push_back(self.number);
        if place.sent.len() > SENT_KEPT {
            place.sent.pop_front();
        }
        Head {
            cluster: self.cluster,
            from: self.settings.name.clone(),
            life: self.life,
            to: place.life,
            number: self.number,
            incarnation: self.incarnation,
        }
    }

    /// A datagram of these parts; what room is left carries news.
    fn send(&mut self, to: SocketAddr, parts: &[Part]) {
        if self.outputs.len() >= MAX_OUTPUTS {
            return;
        }
        let head = self.head(to);
        let mut writer = Writer::new(&head, self.settings.datagram_most);
        // Whoever is doubted hears of it first, to contradict.
        let wrong = |k: &&Known| {
            k.member.state != State::Alive || k.window.life != 0 && k.window.life != k.member.life
        };
        let name = self.places.get(&to).and_then(|place| place.name.as_ref());
        let doubted = name
            .and_then(|name| self.known.get(name))
            .filter(|k| k.member.address == to)
            .filter(wrong);
        if let Some(known) = doubted {
            writer.add(&Part::News(known.member.news(0)));
        }
        parts.iter().for_each(|part| {
            writer.add(part);
        });
        let size = self.size();
        self.rumours
            .pass_on(size, |news| writer.add(&Part::News(news.clone())));
        self.end(to, writer);
    }

    /// Signs a datagram; it leaves next.
    fn end(&mut self, to: SocketAddr, writer: Writer) {
        if let Some(key) = self.settings.keys.first() {
            self.outputs.push(Output::Send {
                to,
                bytes: writer.end(key),
            });
        }
    }

    /// Something of the user's to one member; lost where the network loses it, or where it is too long.
    pub fn tell(&mut self, to: &str, topic: u8, bytes: Vec<u8>) {
        if let Some(to) = self.known.get(to).map(|known| known.member.address) {
            self.send(to, &[Part::Told { topic, bytes }]);
        }
    }

    /// Says to some that we leave; they pass it on.
    pub fn leave(&mut self, now: Duration) {
        self.now = self.now.max(now);
        self.leaving = true;
        self.incarnation += 1;
        let me = News {
            name: self.settings.name.clone(),
            address: self.settings.address,
            life: self.life,
            incarnation: self.incarnation,
            state: State::Left,
            accuser: 0,
        };
        for to in self.some(RELAYS * 2, |_| true) {
            self.send(to, &[Part::News(me.clone())]);
        }
    }

    // --- What comes ---

    pub fn packet(&mut self, now: Duration, from: SocketAddr, bytes: &[u8]) {
        self.now = self.now.max(now);
        if let Err(why) = self.take(from, bytes) {
            self.outputs.push(Output::Refused { from, why });
        }
    }

    fn take(&mut self, from: SocketAddr, bytes: &[u8]) -> Result<(), Refused> {
        if bytes.len() > self.settings.datagram_most {
            return Err(Refused::Foreign);
        }
        let Datagram { head, parts } = wire::read(bytes, self.cluster, &self.settings.keys)?;
        if head.from == self.settings.name {
            if head.life != self.life {
                self.name_taken(from, head.life);
                return Err(Refused::NameTaken);
            }
            return Err(Refused::Replayed);
        }
        if head.to != self.life {
            return self.strange(from, &head, &parts);
        }
        let name: Rc<str> = Rc::from(head.from.as_str());
        let (life, incarnation) = (head.life, head.incarnation);
        let alive = || News {
            name: head.from.clone(),
            address: from,
            life,
            incarnation,
            state: State::Alive,
            accuser: 0,
        };
        if !self.known.contains_key(&name) {
            self.believe(alive());
        }
        let Some(known) = self.known.get_mut(&name) else {
            return Err(Refused::TooMany);
        };
        let there = is_there(known.member.state);
        if there && known.member.address != from && known.member.life != head.life {
            return Err(Refused::NameTaken);
        }
        if !known.window.take(head.life, head.number) {
            return Err(Refused::Replayed);
        }
        // Its own word counts if it is newer than what is believed; if not it hears of that, and contradicts.
        let newer = incarnation > known.member.incarnation
            || there && life != known.member.life && incarnation == known.member.incarnation;
        self.places.entry(from).or_default().life = head.life;
        let left = |part: &Part| matches!(part, Part::News(news) if news.name == head.from && news.state == State::Left);
        if newer && !parts.iter().any(left) {
            self.believe(alive());
        }
        parts.into_iter().for_each(|part| self.part(&name, from, part));
        Ok(())
    }

    /// A datagram that does not name our life: nothing of it is taken but that its sender may try again, or the answer that
    /// tells us its life.
    fn strange(&mut self, from: SocketAddr, head: &Head, parts: &[Part]) -> Result<(), Refused> {
        let second = self.now.as_secs();
        if self.hellos.0 != second {
            self.hellos = (second, 0);
        }
        if parts.iter().any(|part| matches!(part, Part::Hello { .. })) || self.hellos.1 >= MAX_HELLOS {
            return Err(Refused::Replayed);
        }
        self.hellos.1 += 1;
        let place = self.places.entry(from).or_default();
        let before = std::mem::replace(&mut place.life, head.life);
        // What we believe of it goes along: it may have to contradict.
        let believed = self
            .known
            .get(&*head.from)
            .map(|known| Part::News(known.member.news(0)));
        let parts: Vec<Part> = [Part::Hello { answers: head.number }]
            .into_iter()
            .chain(believed)
            .collect();
        self.send(from, &parts);
        if let Some(place) = self.places.get_mut(&from).filter(|_| before != 0) {
            // Only a datagram that names our life proves another life there.
            place.life = before;
        }
        Ok(())
    }

    fn part(&mut self, name: &Rc<str>, from: SocketAddr, part: Part) {
        match part {
            Part::Ping { probe } => self.send(from, &[Part::Ack { probe }]),
            Part::Ack { probe } => self.acked(probe),
            Part::Relay { probe, about } => self.relay(from, probe, &about),
            Part::Nack { probe } => {
                if let Some(own) = self.probe.as_mut().filter(|own| own.number == probe) {
                    own.nacks += 1;
                }
            }
            Part::News(news) => self.news(news),
            Part::Hello { answers } => self.hello(from, answers),
            Part::Ask { after } => self.page(from, &after),
            Part::Page { last, more } => {
                self.joined = true;
                if more {
                    self.send(from, &[Part::Ask { after: last }]);
                }
            }
            Part::Told { topic, bytes } => self.outputs.push(Output::Told {
                from: name.clone(),
                topic,
                bytes,
            }),
        }
    }

    /// Our life was not known there; it is now.
    fn hello(&mut self, from: SocketAddr, answers: u64) {
        let ours = self
            .places
            .get(&from)
            .is_some_and(|place| place.sent.contains(&answers));
        if ours {
            self.send(from, &[Part::Ask { after: String::new() }]);
        }
    }

    /// A page of all that we know, in the order of names.
    fn page(&mut self, to: SocketAddr, after: &str) {
        let head = self.head(to);
        let mut writer = Writer::new(&head, self.settings.datagram_most.saturating_sub(PAGE_END));
        let rest = self
            .known
            .range::<str, _>((std::ops::Bound::Excluded(after), std::ops::Bound::Unbounded));
        let (mut last, mut more) = (after.to_owned(), false);
        for (name, known) in rest {
            more = !writer.add(&Part::News(known.member.news(0)));
            if more {
                break;
            }
            last = name.to_string();
        }
        writer.free(PAGE_END);
        writer.add(&Part::Page { last, more });
        self.end(to, writer);
    }

    // --- Beliefs ---

    fn name_taken(&mut self, by: SocketAddr, life: u64) {
        if std::mem::replace(&mut self.taken_by, life) != life {
            self.outputs.push(Output::NameTaken { by });
        }
    }

    fn news(&mut self, news: News) {
        if news.name == self.settings.name {
            return self.own_news(&news);
        }
        if news.name.is_empty() || news.name.len() > MAX_NAME {
            return;
        }
        self.believe(news);
    }

    /// News of ourselves: what is wrong is contradicted by a higher incarnation.
    fn own_news(&mut self, news: &News) {
        let other = news.life != self.life && news.address != self.settings.address;
        if other && matches!(news.state, State::Alive | State::Suspect) {
            return self.name_taken(news.address, news.life);
        }
        let wrong = !self.leaving && (news.state != State::Alive || news.life != self.life);
        if wrong && news.incarnation >= self.incarnation {
            self.incarnation = news.incarnation.saturating_add(1);
            if news.life == self.life {
                self.unwell();
            }
            // Each datagram carries the new incarnation; some members get one at once.
            self.some(RELAYS, |_| true)
                .into_iter()
                .for_each(|to| self.send(to, &[]));
        }
    }

    fn suspicion(&self, accusers: usize) -> Duration {
        let scale = ((self.size() as f64).log10()).max(1.0);
        let least = self.settings.period.mul_f64(MIN_SUSPECT * scale);
        let most = least.mul_f64(SUSPECT_RATIO);
        // From the most with one accuser down to the least, as Lifeguard has it.
        let part = (accusers as f64).ln_1p() - std::f64::consts::LN_2;
        let all = ((ACCUSERS + 1) as f64).ln_1p() - std::f64::consts::LN_2;
        (most - (most - least).mul_f64((part / all).clamp(0.0, 1.0))).max(least)
    }

    fn believe(&mut self, news: News) {
        let name: Rc<str> = Rc::from(news.name.as_str());
        let now = self.now;
        if !self.known.contains_key(&name) {
            if self.known.len() >= self.settings.members_most {
                return;
            }
            let (address, life, incarnation, state) = (news.address, news.life, news.incarnation, news.state);
            let member = Member {
                name: name.clone(),
                address,
                life,
                incarnation,
                state,
                since: now,
            };
            let known = Known {
                member,
                window: Window::default(),
                accusers: BTreeSet::new(),
            };
            self.known.insert(name.clone(), known);
            self.there += usize::from(is_there(news.state));
        } else {
            let Some(known) = self.known.get_mut(&name) else {
                return;
            };
            // Another life at the same incarnation is a start of which we have not heard.
            let alive = known.member.state == State::Alive && news.state == State::Alive;
            let restarted = known.member.incarnation == news.incarnation
                && alive
                && known.window.life == news.life
                && known.member.life != news.life;
            if !known.member.older_than(&news) && !restarted {
                // One more accuser of what is suspected already.
                let same = known.member.state == State::Suspect && news.state == State::Suspect;
                if same && known.member.incarnation == news.incarnation && news.accuser != 0 {
                    let more = known.accusers.len() <= ACCUSERS && known.accusers.insert(news.accuser);
                    if more {
                        let (count, since) = (known.accusers.len(), known.member.since);
                        let until = since + self.suspicion(count);
                        self.suspects.insert(name, until);
                        self.rumours.add(news);
                    }
                }
                return;
            }
            let member = &mut known.member;
            self.there += usize::from(is_there(news.state));
            self.there -= usize::from(is_there(member.state));
            (member.address, member.life) = (news.address, news.life);
            (member.incarnation, member.state, member.since) = (news.incarnation, news.state, now);
        }
        let suspicion = self.suspicion(1);
        let Some(known) = self.known.get_mut(&name) else {
            return;
        };
        known.accusers.clear();
        self.suspects.remove(&name);
        let (to, suspect) = (known.member.address, news.state == State::Suspect);
        if suspect {
            known.accusers.insert(news.accuser);
            self.suspects.insert(name.clone(), now + suspicion);
        }
        // Its life is known from the news; no question is needed before the first datagram to it.
        let place = self.places.entry(news.address).or_default();
        place.name = Some(name);
        if is_there(news.state) {
            place.life = news.life;
        }
        self.outputs.push(Output::Changed(known.member.clone()));
        self.rumours.add(news);
        // A few of all who hear of it tell the suspect at once: where much is lost it may not hear in time.
        if suspect && self.chance.random_range(0.0..1.0) < WARNERS / self.size() as f64 {
            self.send(to, &[]);
        }
    }

    fn doubt(&mut self, name: &Rc<str>, state: State) {
        let Some(known) = self.known.get(name) else { return };
        let mut news = known.member.news(self.life);
        news.state = state;
        self.believe(news);
    }

    fn unwell(&mut self) {
        self.health = (self.health + 1).min(MAX_HEALTH);
    }

    // --- Probes ---

    /// Time-outs grow while we ourselves are slow.
    fn slower(&self, of: Duration) -> Duration {
        of * (self.health + 1)
    }

    fn acked(&mut self, probe: u32) {
        if let Some(relay) = self.relays.remove(&probe) {
            return self.send(relay.to, &[Part::Ack { probe: relay.number }]);
        }
        if self.probe.take_if(|own| own.number == probe).is_some() {
            self.health = self.health.saturating_sub(1);
        }
    }

    fn relay(&mut self, from: SocketAddr, number: u32, about: &News) {
        if self.relays.len() >= MAX_RELAYS_OPEN {
            return;
        }
        self.probes = self.probes.wrapping_add(1);
        let now = self.now;
        let nack_at = now + self.settings.probe_timeout.mul_f64(NACK_AT);
        let end = now + self.settings.period;
        self.relays.insert(
            self.probes,
            Relay {
                to: from,
                number,
                nack_at,
                nacked: false,
                end,
            },
        );
        let probe = self.probes;
        self.send(about.address, &[Part::Ping { probe }]);
    }

    pub fn due(&mut self, now: Duration) {
        let late = now.saturating_sub(self.next_due());
        self.now = self.now.max(now);
        let now = self.now;
        if late > self.settings.period {
            self.paused(late);
        }
        self.relays_due(now);
        self.probe_due(now);
        let over: Vec<Rc<str>> = self
            .suspects
            .iter()
            .filter(|(_, until)| **until <= now)
            .map(|(name, _)| name.clone())
            .collect();
        over.iter().for_each(|name| self.doubt(name, State::Dead));
        if !self.joined && self.join_at <= now && !self.leaving {
            self.join();
        }
        if self.period_at <= now {
            // Lost periods are not made up for.
            self.period_at = now + self.settings.period;
            self.periods = self.periods.wrapping_add(1);
            if !self.leaving {
                self.period();
            }
        }
    }

    /// We were not there for a while: whoever did not answer meanwhile is not to blame.
    fn paused(&mut self, late: Duration) {
        self.probe = None;
        self.relays.clear();
        self.suspects.values_mut().for_each(|until| *until += late);
        self.unwell();
    }

    fn relays_due(&mut self, now: Duration) {
        let due = |r: &Relay| !r.nacked && r.nack_at <= now;
        let late: Vec<u32> = self
            .relays
            .iter()
            .filter(|(_, r)| due(r))
            .map(|(n, _)| *n)
            .collect();
        for probe in late {
            let Some(relay) = self.relays.get_mut(&probe) else {
                continue;
            };
            relay.nacked = true;
            let (to, number) = (relay.to, relay.number);
            self.send(to, &[Part::Nack { probe: number }]);
        }
        self.relays.retain(|_, relay| relay.end > now);
    }

    fn probe_due(&mut self, now: Duration) {
        let Some(probe) = &self.probe else { return };
        if probe.end <= now {
            let Some(probe) = self.probe.take() else { return };
            // Others that should have answered and did not: the fault may be ours.
            let missing = probe.asked.saturating_sub(probe.nacks);
            if missing > 0 || probe.asked == 0 {
                self.unwell();
            }
            return self.doubt(&probe.target, State::Suspect);
        }
        if probe.asked == 0 && probe.ask_at <= now {
            let (target, number) = (probe.target.clone(), probe.number);
            let Some(about) = self.known.get(&target).map(|known| known.member.news(0)) else {
                return;
            };
            let others = self.some(RELAYS, |m| m.name != target && m.state == State::Alive);
            if let Some(probe) = &mut self.probe {
                probe.asked = others.len() as u32;
                if others.is_empty() {
                    probe.ask_at = probe.end;
                }
            }
            for to in others {
                self.send(
                    to,
                    &[Part::Relay {
                        probe: number,
                        about: about.clone(),
                    }],
                );
            }
        }
    }

    fn join(&mut self) {
        let own = self.settings.seeds.clone();
        for to in own {
            self.send(to, &[Part::Ask { after: String::new() }]);
        }
        // A little of chance, so that a fleet that starts at once does not ask at once.
        let wait = self.settings.period * self.join_wait;
        self.join_at = self.now + wait.mul_f64(self.chance.random_range(0.75..1.25));
        self.join_wait = (self.join_wait * 2).min(MAX_JOIN);
    }

    fn period(&mut self) {
        let (now, forget) = (self.now, self.settings.forget);
        let old = |k: &Known| !is_there(k.member.state) && k.member.since + forget < now;
        let gone: Vec<Rc<str>> = self
            .known
            .iter()
            .filter(|(_, k)| old(k))
            .map(|(n, _)| n.clone())
            .collect();
        for name in gone {
            self.rumours.forget(&name);
            self.known.remove(&name);
        }
        if self.periods.is_multiple_of(EXCHANGE_EVERY) || EXCHANGE_EARLY.contains(&self.periods) {
            self.exchange();
        }
        if self.probe.is_some() {
            return;
        }
        while let Some(target) = self.order.pop() {
            let there = |k: &&Known| is_there(k.member.state);
            let Some(to) = self
                .known
                .get(&target)
                .filter(there)
                .map(|known| known.member.address)
            else {
                continue;
            };
            return self.ping(target, to);
        }
        // A round is over: the next one is in another order, and each is probed once in it.
        self.order = self.there().map(|m| m.name.clone()).collect();
        self.order.shuffle(&mut self.chance);
        if let Some(target) = self.order.pop()
            && let Some(to) = self.known.get(&target).map(|known| known.member.address)
        {
            self.ping(target, to);
        }
    }

    fn ping(&mut self, target: Rc<str>, to: SocketAddr) {
        self.probes = self.probes.wrapping_add(1);
        let (number, now) = (self.probes, self.now);
        let ask_at = now + self.slower(self.settings.probe_timeout);
        let end = now + self.slower(self.settings.period);
        self.probe = Some(Probe {
            target,
            number,
            ask_at,
            end,
            asked: 0,
            nacks: 0,
        });
        self.send(to, &[Part::Ping { probe: number }]);
    }

    /// All that is known, with one who is there; and a question to one who is not, or to a seed.
    fn exchange(&mut self) {
        let there: Vec<SocketAddr> = self.there().map(|m| m.address).collect();
        let dead = self
            .others()
            .filter(|m| m.state == State::Dead)
            .map(|m| m.address);
        let seeds = self
            .settings
            .seeds
            .iter()
            .copied()
            .filter(|seed| !there.contains(seed));
        let lost: Vec<SocketAddr> = dead.chain(seeds).collect();
        for of in [there, lost] {
            if !of.is_empty() {
                let to = of[self.chance.random_range(0..of.len())];
                self.send(to, &[Part::Ask { after: String::new() }]);
            }
        }
        // Addresses that nobody known has are of no use any more.
        let mut used: BTreeSet<SocketAddr> = self.others().map(|m| m.address).collect();
        used.extend(&self.settings.seeds);
        self.places.retain(|at, _| used.contains(at));
    }

    /// What memory holds: members, addresses, news to pass on, relayed probes.
    pub fn sizes(&self) -> (usize, usize, usize, usize) {
        (
            self.known.len(),
            self.places.len(),
            self.rumours.len(),
            self.relays.len(),
        )
    }
}
