//! The fleet of schedulers: datagrams of members come and go by a UDP socket, and the decision module is told how many
//! schedulers there are. What is believed of whom, and how many are told, is decided in `quartzdrift-membership`.
use super::Gateway;
use crate::saved;
use crate::settings::Fleet as Told;
use calloop::generic::Generic;
use calloop::{Interest, LoopHandle, Mode, PostAction};
use quartzdrift_membership::{Count, Members, Output, Refused, State};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::io;
use std::net::{SocketAddr, UdpSocket};
use std::rc::Rc;
use std::time::Duration;

/// Datagrams taken at a time, before the loop turns to other things.
const MAX_TAKE: usize = 64;
/// How often the state is saved for `quartzdrift members` and for the next start.
const SAVE_EVERY: Duration = Duration::from_secs(5);
/// And after a change, so that many changes at once are saved together.
const SAVE_SOON: Duration = Duration::from_millis(500);
/// The same cause of refused datagrams is said so often in the log at most.
const SAY_EVERY: Duration = Duration::from_secs(60);
/// Causes and senders that are remembered as said.
const MAX_SAID: usize = 256;

pub(super) struct Fleet {
    socket: Rc<UdpSocket>,
    members: Members,
    count: Count,
    told: u32,
    save_at: Duration,
    said: BTreeMap<(std::net::IpAddr, Refused), Duration>,
    /// Datagrams that the system did not take; the protocol lives with losses.
    unsent: u64,
}

/// What is kept of the fleet beside the other state, for the next start and for whoever asks.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct View {
    /// Seconds since 1970.
    pub at: u64,
    pub name: String,
    pub address: SocketAddr,
    pub incarnation: u32,
    /// 0 is well; time-outs grow by it.
    pub health: u32,
    /// Schedulers that the decision module is told of.
    pub schedulers: u32,
    pub members: Vec<Seen>,
}

impl View {
    /// For operators' eyes.
    pub fn table(&self, now: Duration) -> String {
        let age = now.as_secs().saturating_sub(self.at);
        let mut text = format!(
            "{} at {}, incarnation {}, health {}; {} schedulers counted; as of {age} s ago\n",
            self.name, self.address, self.incarnation, self.health, self.schedulers
        );
        let wide = self
            .members
            .iter()
            .map(|m| m.name.len())
            .max()
            .unwrap_or(4)
            .max(4);
        text.push_str(&format!(
            "{:<wide$}  {:<8}  {:>9}  {:>11}  address\n",
            "name", "state", "since", "incarnation"
        ));
        for m in &self.members {
            let state = match m.state {
                State::Alive => "alive",
                State::Suspect => "suspect",
                State::Dead => "dead",
                State::Left => "left",
            };
            let since = m.since + age;
            text.push_str(&format!(
                "{:<wide$}  {state:<8}  {since:>7} s  {:>11}  {}\n",
                m.name, m.incarnation, m.address
            ));
        }
        text
    }
}

#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Seen {
    pub name: String,
    pub address: SocketAddr,
    pub incarnation: u32,
    pub state: State,
    /// Seconds that it has been in this state.
    pub since: u64,
}

impl Fleet {
    pub fn next_due(&self) -> Duration {
        self.members.next_due().min(self.save_at)
    }

    fn view(&self, now: Duration) -> View {
        let me = self.members.settings();
        let members = self.members.others().map(|m| Seen {
            name: m.name.to_string(),
            address: m.address,
            incarnation: m.incarnation,
            state: m.state,
            since: now.saturating_sub(m.since).as_secs(),
        });
        View {
            at: now.as_secs(),
            name: me.name.clone(),
            address: me.address,
            incarnation: self.members.incarnation(),
            health: self.members.health(),
            schedulers: self.told,
            members: members.collect(),
        }
    }
}

/// What was saved at the last run; nothing where it cannot be used, which costs no more than a slower start.
fn last(folder: Option<&std::path::Path>) -> Option<View> {
    let bytes = saved::found(folder, saved::MEMBERS, "the saved members cannot be read")?;
    let read = serde_json::from_slice(&bytes);
    read.inspect_err(|e| tracing::warn!(error = %e, "the saved members are set aside"))
        .ok()
}

/// Names of those that counted when this was saved: all but the dead and those that left.
pub(super) fn known(folder: Option<&std::path::Path>) -> Vec<String> {
    let there = |m: &Seen| matches!(m.state, State::Alive | State::Suspect);
    last(folder)
        .into_iter()
        .flat_map(|view| view.members)
        .filter(there)
        .map(|m| m.name)
        .collect()
}

impl Gateway {
    pub(super) fn start_fleet(&mut self, handle: &LoopHandle<'static, Gateway>) -> io::Result<()> {
        let Some(Told {
            mut members,
            listen,
            silent,
        }) = self.settings.fleet.clone()
        else {
            return Ok(());
        };
        let bound =
            |e: io::Error| io::Error::new(e.kind(), format!("cannot listen for members at {listen}: {e}"));
        let socket = Rc::new(UdpSocket::bind(listen).map_err(bound)?);
        socket.set_nonblocking(true)?;
        let here = socket.local_addr()?;
        // Port 0 took a free one; that is where others reach us.
        if members.address.port() == 0 {
            members.address.set_port(here.port());
        }
        let ready = |_, socket: &mut calloop::generic::NoIoDrop<Rc<UdpSocket>>, gateway: &mut Gateway| {
            gateway.datagrams(&Rc::clone(socket));
            Ok(PostAction::Continue)
        };
        handle
            .insert_source(Generic::new(socket.clone(), Interest::READ, Mode::Level), ready)
            .map_err(|e| io::Error::other(e.to_string()))?;
        let saved = last(self.settings.state.as_deref());
        let before = saved.as_ref().map_or(0, |view| view.schedulers);
        let known: Vec<SocketAddr> = saved
            .into_iter()
            .flat_map(|view| view.members)
            .filter(|m| m.state != State::Left)
            .map(|m| m.address)
            .collect();
        let least = self.settings.scheduler.schedulers.unwrap_or(1);
        let now = self.now();
        tracing::info!(name = %members.name, address = %members.address, known = known.len(), "member of a fleet");
        // Never the same twice for a name: replayed datagrams of an earlier start are told by it.
        let members = Members::new(members, rand::random(), &known, rand::random(), now);
        let count = Count::new(least, before, silent);
        let (told, save_at, said) = (0, now + SAVE_EVERY, BTreeMap::new());
        self.fleet = Some(Fleet {
            socket,
            members,
            count,
            told,
            save_at,
            said,
            unsent: 0,
        });
        self.fleet_changed();
        Ok(())
    }

    fn datagrams(&mut self, socket: &UdpSocket) {
        let now = self.now();
        let Some(fleet) = &mut self.fleet else { return };
        let mut buffer = [0; 2048];
        for _ in 0..MAX_TAKE {
            match socket.recv_from(&mut buffer) {
                Ok((length, from)) => fleet.members.packet(now, from, &buffer[..length]),
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => break,
                // What an earlier datagram came to is told here: nobody listens there.
                Err(_) => {}
            }
        }
        self.fleet_changed();
    }

    pub(super) fn fleet_due(&mut self, now: Duration) {
        let Some(fleet) = self.fleet.as_mut().filter(|fleet| fleet.next_due() <= now) else {
            return;
        };
        let saves = fleet.save_at <= now;
        if fleet.members.next_due() <= now {
            fleet.members.due(now);
            self.fleet_changed();
        }
        if saves {
            self.save_fleet();
        }
    }

    /// Carries out what the membership says, and tells the module of a new number.
    fn fleet_changed(&mut self) {
        let now = self.now();
        let Some(fleet) = &mut self.fleet else { return };
        let (mut changed, mut told, mut met) = (false, Vec::new(), Vec::new());
        for output in fleet.members.outputs() {
            match output {
                Output::Send { to, bytes } => {
                    fleet.unsent += u64::from(fleet.socket.send_to(&bytes, to).is_err())
                }
                Output::Changed(m) => {
                    fleet.save_at = fleet.save_at.min(now + SAVE_SOON);
                    changed = true;
                    let (name, address, state) = (&m.name, m.address, m.state);
                    tracing::info!(%name, %address, ?state, incarnation = m.incarnation, "member");
                    if state == State::Alive {
                        met.push(m.name);
                    }
                }
                Output::Refused { from, why } => {
                    let key = (from.ip(), why);
                    let again = fleet.said.get(&key).is_some_and(|at| now < *at + SAY_EVERY);
                    if !again {
                        if fleet.said.len() >= MAX_SAID {
                            fleet.said.pop_first();
                        }
                        fleet.said.insert(key, now);
                        tracing::warn!(%from, %why, "a datagram is not taken");
                    }
                }
                Output::NameTaken { by } => {
                    let mend = "give each scheduler a name of its own in [fleet]";
                    tracing::error!(%by, mend, "another member bears our name: others do not hear us");
                }
                Output::Told { from, topic, bytes } => told.push((from, topic, bytes)),
            }
        }
        let schedulers = fleet.count.now(now, changed, fleet.members.others());
        if schedulers != fleet.told {
            tracing::info!(before = fleet.told, schedulers, "number of schedulers");
            fleet.told = schedulers;
            self.request_table.set_scheduler_count(now, schedulers);
            self.carry_out();
        }
        self.hear(now, met, told);
    }

    /// What members tell goes by its topic.
    fn hear(&mut self, now: Duration, met: Vec<Rc<str>>, told: Vec<(Rc<str>, u8, Vec<u8>)>) {
        if met.is_empty() && told.is_empty() {
            return;
        }
        if let Some(returning) = &mut self.returning {
            met.iter().for_each(|name| returning.machine.member(now, name));
        }
        for (from, topic, bytes) in told {
            let heard = match (topic, &mut self.returning) {
                (quartzdrift_recovery::RECOVERY, Some(returning)) => {
                    returning.machine.told(now, &from, &bytes)
                }
                // Of a later release, or of no use to one that keeps nothing.
                (_, _) => Ok(()),
            };
            if let Err(why) = heard {
                tracing::warn!(%from, topic, %why, "what a member tells is not understood");
            }
        }
        self.returned();
    }

    pub(super) fn tell_member(&mut self, to: &str, topic: u8, bytes: Vec<u8>) {
        let Some(fleet) = &mut self.fleet else { return };
        fleet.members.tell(to, topic, bytes);
        self.fleet_changed();
    }

    fn save_fleet(&mut self) {
        let now = self.now();
        let Some(fleet) = &mut self.fleet else { return };
        fleet.save_at = now + SAVE_EVERY;
        if let (Some(saver), Ok(bytes)) = (&self.saver, serde_json::to_vec_pretty(&fleet.view(now))) {
            saver.save(saved::MEMBERS, bytes);
        }
    }

    /// Says that we go, so that nobody takes us for dead.
    pub(super) fn leave_fleet(&mut self) {
        let now = self.now();
        if let Some(fleet) = &mut self.fleet {
            fleet.members.leave(now);
            self.fleet_changed();
            self.save_fleet();
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn the_table_tells_each_member_with_its_age() {
        let at = SocketAddr::from(([127, 0, 0, 1], 9790));
        let seen = |name: &str, state, since| Seen {
            name: name.to_owned(),
            address: at,
            incarnation: 3,
            state,
            since,
        };
        let view = View {
            at: 100,
            name: "one".to_owned(),
            address: at,
            incarnation: 2,
            health: 0,
            schedulers: 3,
            members: vec![seen("second", State::Alive, 40), seen("three", State::Dead, 7)],
        };
        let table = view.table(Duration::from_secs(105));
        let lines: Vec<Vec<&str>> = table
            .lines()
            .map(|line| line.split_whitespace().collect())
            .collect();
        assert!(table.starts_with(
            "one at 127.0.0.1:9790, incarnation 2, health 0; 3 schedulers counted; as of 5 s ago"
        ));
        assert_eq!(lines[2], ["second", "alive", "45", "s", "3", "127.0.0.1:9790"]);
        assert_eq!(lines[3][..3], ["three", "dead", "12"]);
    }
}
