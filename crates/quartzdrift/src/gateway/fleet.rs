//! This scheduler as a member of a fleet: the UDP socket, the saved member list and the log. `quartzdrift-membership`
//! decides what is believed of other members and how many schedulers are counted.
use super::Gateway;
use crate::settings::FleetSettings;
use crate::snapshots;
use calloop::generic::{Generic, NoIoDrop};
use calloop::{Interest, LoopHandle, Mode, PostAction};
use quartzdrift_membership::{Member, MemberState, Membership, Output, RejectReason, SchedulerCount};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::io;
use std::net::{IpAddr, SocketAddr, UdpSocket};
use std::path::Path;
use std::rc::Rc;
use std::time::Duration;

/// Datagrams received at a time, before the event loop turns to other sources.
const MAX_DATAGRAMS_PER_TURN: usize = 64;
/// Bytes of the receive buffer: the longest datagram that settings allow.
const RECEIVE_BUFFER: usize = 2048;
/// How often the member list is saved for `quartzdrift members` and for the next start.
const SAVE_INTERVAL: Duration = Duration::from_secs(5);
/// How soon it is saved after a change, so that many changes are saved together.
const SAVE_DELAY: Duration = Duration::from_millis(500);
/// The same reason for rejected datagrams of a sender is logged so often at most.
const LOG_INTERVAL: Duration = Duration::from_secs(60);
/// Reasons and senders that are remembered as logged.
const MAX_LOGGED_REJECTIONS: usize = 256;

pub(super) struct Fleet {
    socket: Rc<UdpSocket>,
    members: Membership,
    count: SchedulerCount,
    /// The number of schedulers that the request table was last given.
    schedulers: u32,
    save_at: Duration,
    rejections: RejectionLog,
    /// Datagrams that the system did not take; the protocol tolerates losses.
    unsent: u64,
}

/// The member list as it is saved for the next start and for operators.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct View {
    /// When it was saved, in seconds since 1970.
    pub at: u64,
    /// This scheduler's name.
    pub name: String,
    /// Where other members reach it.
    pub address: SocketAddr,
    /// Its SWIM incarnation.
    pub incarnation: u32,
    /// Lifeguard's local health multiplier: 0 is healthy, and timeouts grow with it.
    pub health: u32,
    /// Schedulers that shared limits are divided by.
    pub schedulers: u32,
    /// All other members.
    pub members: Vec<MemberView>,
}

/// Another member as it is saved.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct MemberView {
    /// Its name.
    pub name: String,
    /// Where it is reached.
    pub address: SocketAddr,
    /// Its SWIM incarnation.
    pub incarnation: u32,
    /// Its state.
    pub state: MemberState,
    /// Seconds that it has been in this state.
    pub since: u64,
}

impl MemberView {
    fn new(member: &Member, now: Duration) -> MemberView {
        MemberView {
            name: member.name.to_string(),
            address: member.address,
            incarnation: member.incarnation,
            state: member.state,
            since: now.saturating_sub(member.state_since).as_secs(),
        }
    }
}

impl View {
    /// The table that `quartzdrift members` prints, with ages as of `now` since 1970.
    pub fn table(&self, now: Duration) -> String {
        let age = now.as_secs().saturating_sub(self.at);
        let mut text = format!(
            "{} at {}, incarnation {}, health {}; {} schedulers counted; as of {age} s ago\n",
            self.name, self.address, self.incarnation, self.health, self.schedulers
        );
        let name_lengths = self.members.iter().map(|member| member.name.len());
        let width = name_lengths.max().unwrap_or(0).max("name".len());
        text.push_str(&format!(
            "{:<width$}  {:<8}  {:>9}  {:>11}  address\n",
            "name", "state", "since", "incarnation"
        ));
        for member in &self.members {
            let state = state_name(member.state);
            let since = member.since + age;
            text.push_str(&format!(
                "{:<width$}  {state:<8}  {since:>7} s  {:>11}  {}\n",
                member.name, member.incarnation, member.address
            ));
        }
        text
    }
}

fn state_name(state: MemberState) -> &'static str {
    match state {
        MemberState::Alive => "alive",
        MemberState::Suspect => "suspect",
        MemberState::Dead => "dead",
        MemberState::Left => "left",
    }
}

/// Keeps repeated rejections out of the log.
#[derive(Default)]
struct RejectionLog {
    logged_at: BTreeMap<(IpAddr, RejectReason), Duration>,
}

impl RejectionLog {
    fn log(&mut self, now: Duration, from: SocketAddr, reason: RejectReason) {
        let key = (from.ip(), reason);
        let logged_at = self.logged_at.get(&key);
        if logged_at.is_some_and(|at| now < *at + LOG_INTERVAL) {
            return;
        }
        if self.logged_at.len() >= MAX_LOGGED_REJECTIONS {
            self.logged_at.pop_first();
        }
        self.logged_at.insert(key, now);
        tracing::warn!(%from, why = %reason, "a datagram is not taken");
    }
}

/// A message of another member.
struct Message {
    from: Rc<str>,
    topic: u8,
    bytes: Vec<u8>,
}

/// What the membership's outputs ask of the gateway.
#[derive(Default)]
struct FleetEvents {
    member_changed: bool,
    /// Members that are alive now.
    alive: Vec<Rc<str>>,
    messages: Vec<Message>,
}

impl Fleet {
    pub(super) fn next_due(&self) -> Duration {
        self.members.next_due().min(self.save_at)
    }

    fn view(&self, now: Duration) -> View {
        let own = self.members.settings();
        let others = self.members.other_members();
        View {
            at: now.as_secs(),
            name: own.name.clone(),
            address: own.address,
            incarnation: self.members.incarnation(),
            health: self.members.health_multiplier(),
            schedulers: self.schedulers,
            members: others.map(|member| MemberView::new(member, now)).collect(),
        }
    }

    fn receive_datagrams(&mut self, now: Duration, socket: &UdpSocket) {
        let mut buffer = [0; RECEIVE_BUFFER];
        for _ in 0..MAX_DATAGRAMS_PER_TURN {
            match socket.recv_from(&mut buffer) {
                Ok((length, from)) => self.members.receive(now, from, &buffer[..length]),
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => break,
                // ICMP's answer to an earlier datagram: nobody listens there.
                Err(_) => {}
            }
        }
    }

    /// Carries out the membership's outputs as far as the fleet itself can.
    fn carry_out(&mut self, now: Duration) -> FleetEvents {
        let mut events = FleetEvents::default();
        for output in self.members.take_outputs() {
            match output {
                Output::SendDatagram { to, bytes } => {
                    let failed = self.socket.send_to(&bytes, to).is_err();
                    self.unsent += u64::from(failed);
                }
                Output::MemberChanged(member) => self.handle_change(now, member, &mut events),
                Output::DatagramRejected { from, reason } => self.rejections.log(now, from, reason),
                Output::NameConflict { address } => {
                    let mend = "give each scheduler a name of its own in [fleet]";
                    tracing::error!(
                        by = %address,
                        mend,
                        "another member bears our name: others do not hear us"
                    );
                }
                Output::MessageReceived { from, topic, bytes } => {
                    events.messages.push(Message { from, topic, bytes });
                }
            }
        }
        events
    }

    fn handle_change(&mut self, now: Duration, member: Member, events: &mut FleetEvents) {
        self.save_at = self.save_at.min(now + SAVE_DELAY);
        events.member_changed = true;
        let Member {
            name,
            address,
            state,
            incarnation,
            ..
        } = member;
        tracing::info!(%name, %address, ?state, incarnation, "member");
        if state == MemberState::Alive {
            events.alive.push(name);
        }
    }
}

/// The member list of the last run; `None` where it cannot be used, which costs no more than a slower start.
fn load_view(folder: Option<&Path>) -> Option<View> {
    let bytes = snapshots::read_or_warn(folder, snapshots::MEMBERS, "the saved members cannot be read")?;
    let view = serde_json::from_slice(&bytes);
    view.inspect_err(|e| tracing::warn!(error = %e, "the saved members are set aside"))
        .ok()
}

/// Names of the members that counted when the list was saved: all but the dead and those that left.
pub(super) fn known_members(folder: Option<&Path>) -> Vec<String> {
    let is_reachable =
        |member: &MemberView| matches!(member.state, MemberState::Alive | MemberState::Suspect);
    let members = load_view(folder).into_iter().flat_map(|view| view.members);
    members.filter(is_reachable).map(|member| member.name).collect()
}

fn bind(listen: SocketAddr) -> io::Result<UdpSocket> {
    let socket = UdpSocket::bind(listen).map_err(|e| {
        let message = format!("cannot listen for members at {listen}: {e}");
        io::Error::new(e.kind(), message)
    })?;
    socket.set_nonblocking(true)?;
    Ok(socket)
}

impl Gateway {
    pub(super) fn start_fleet(&mut self, handle: &LoopHandle<'static, Gateway>) -> io::Result<()> {
        let Some(FleetSettings {
            mut members,
            listen,
            max_silence,
        }) = self.settings.fleet.clone()
        else {
            return Ok(());
        };
        let socket = Rc::new(bind(listen)?);
        // With port 0 the system has chosen the port that others reach us at.
        if members.address.port() == 0 {
            members.address.set_port(socket.local_addr()?.port());
        }
        register_socket(handle, socket.clone())?;
        let last_view = load_view(self.settings.state_folder.as_deref());
        let count_before = last_view.as_ref().map_or(0, |view| view.schedulers);
        let known_addresses: Vec<SocketAddr> = last_view
            .into_iter()
            .flat_map(|view| view.members)
            .filter(|member| member.state != MemberState::Left)
            .map(|member| member.address)
            .collect();
        tracing::info!(
            name = %members.name,
            address = %members.address,
            known = known_addresses.len(),
            "member of a fleet"
        );
        let minimum = self.settings.scheduler.scheduler_count.unwrap_or(1);
        let now = self.now();
        // A random instance is never used twice by a name; replayed datagrams of an earlier start are detected by it.
        let instance = rand::random();
        self.fleet = Some(Fleet {
            socket,
            members: Membership::new(members, instance, &known_addresses, rand::random(), now),
            count: SchedulerCount::new(minimum, count_before, max_silence),
            schedulers: 0,
            save_at: now + SAVE_INTERVAL,
            rejections: RejectionLog::default(),
            unsent: 0,
        });
        self.fleet_changed();
        Ok(())
    }

    fn receive_datagrams(&mut self, socket: &UdpSocket) {
        let now = self.now();
        let Some(fleet) = &mut self.fleet else { return };
        fleet.receive_datagrams(now, socket);
        self.fleet_changed();
    }

    pub(super) fn fleet_due(&mut self, now: Duration) {
        let Some(fleet) = self.fleet.as_mut().filter(|fleet| fleet.next_due() <= now) else {
            return;
        };
        let is_save_due = fleet.save_at <= now;
        if fleet.members.next_due() <= now {
            fleet.members.due(now);
            self.fleet_changed();
        }
        if is_save_due {
            self.save_fleet();
        }
    }

    /// Carries out the membership's outputs and updates the number of schedulers.
    fn fleet_changed(&mut self) {
        let now = self.now();
        let Some(fleet) = &mut self.fleet else { return };
        let events = fleet.carry_out(now);
        let schedulers = fleet
            .count
            .update(now, events.member_changed, fleet.members.other_members());
        if schedulers != fleet.schedulers {
            tracing::info!(before = fleet.schedulers, schedulers, "number of schedulers");
            fleet.schedulers = schedulers;
            self.request_table.set_scheduler_count(now, schedulers);
            self.carry_out();
        }
        self.dispatch_to_recovery(now, events);
    }

    /// Passes members and messages on by topic; recovery is the only user of messages.
    fn dispatch_to_recovery(&mut self, now: Duration, events: FleetEvents) {
        if events.alive.is_empty() && events.messages.is_empty() {
            return;
        }
        if let Some(recovery) = &mut self.recovery {
            for name in &events.alive {
                recovery.machine.member_seen(now, name);
            }
        }
        for Message { from, topic, bytes } in events.messages {
            let result = match (topic, &mut self.recovery) {
                (quartzdrift_recovery::RECOVERY_TOPIC, Some(recovery)) => {
                    recovery.machine.receive(now, &from, &bytes)
                }
                // Of a later release, or of no use without a state folder.
                (_, _) => Ok(()),
            };
            if let Err(error) = result {
                tracing::warn!(%from, topic, why = %error, "what a member tells is not understood");
            }
        }
        self.carry_out_recovery();
    }

    pub(super) fn send_to_member(&mut self, to: &str, topic: u8, bytes: Vec<u8>) {
        let Some(fleet) = &mut self.fleet else { return };
        fleet.members.send_message(to, topic, bytes);
        self.fleet_changed();
    }

    fn save_fleet(&mut self) {
        let now = self.now();
        let Some(fleet) = &mut self.fleet else { return };
        fleet.save_at = now + SAVE_INTERVAL;
        let Some(writer) = &self.snapshot_writer else {
            return;
        };
        if let Ok(bytes) = serde_json::to_vec_pretty(&fleet.view(now)) {
            writer.enqueue(snapshots::MEMBERS, bytes);
        }
    }

    /// Announces that this member leaves, so that nobody declares it dead.
    pub(super) fn leave_fleet(&mut self) {
        let now = self.now();
        if let Some(fleet) = &mut self.fleet {
            fleet.members.leave(now);
            self.fleet_changed();
            self.save_fleet();
        }
    }
}

fn register_socket(handle: &LoopHandle<'static, Gateway>, socket: Rc<UdpSocket>) -> io::Result<()> {
    let on_readable = |_, socket: &mut NoIoDrop<Rc<UdpSocket>>, gateway: &mut Gateway| {
        gateway.receive_datagrams(&Rc::clone(socket));
        Ok(PostAction::Continue)
    };
    handle
        .insert_source(Generic::new(socket, Interest::READ, Mode::Level), on_readable)
        .map_err(|e| io::Error::other(e.to_string()))?;
    Ok(())
}

#[cfg(test)]
mod tests;
