//! Membership of this scheduler in a fleet: the UDP socket, the saved member list, and the log. The protocol,
//! the states of members and the number of schedulers are decided in `quartzdrift-membership`.
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

/// Maximum number of datagrams received before the event loop handles other sources.
const MAX_DATAGRAMS_PER_WAKEUP: usize = 64;
/// Size of the receive buffer: the longest datagram that the settings allow.
const RECEIVE_BUFFER_BYTES: usize = 2048;
/// Interval at which the member list is saved for `quartzdrift members` and for the next start.
const SAVE_INTERVAL: Duration = Duration::from_secs(5);
/// Delay before the member list is saved after a change, so that several changes are saved together.
const SAVE_DELAY: Duration = Duration::from_millis(500);
/// Minimum time between two log lines about datagrams that were sent from one address and rejected for the
/// same reason.
const REJECTION_LOG_INTERVAL: Duration = Duration::from_secs(60);
/// Maximum number of pairs of sender and reason for which the time of the last log line is kept.
const MAX_LOGGED_REJECTIONS: usize = 256;

/// Membership of this scheduler in a fleet, with its socket.
pub(super) struct Fleet {
    socket: Rc<UdpSocket>,
    membership: Membership,
    scheduler_count: SchedulerCount,
    /// Number of schedulers that was last passed to the request table.
    reported_schedulers: u32,
    next_save_at: Duration,
    rejections: RejectionLog,
    /// Number of datagrams that the system failed to send. The protocol tolerates their loss.
    failed_sends: u64,
}

/// The member list, saved for the next start and for operators.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct FleetView {
    /// Time at which the list was saved, in seconds since 1970.
    #[serde(rename = "at")]
    pub saved_at: u64,
    /// Name of this scheduler.
    pub name: String,
    /// Address at which other members reach this scheduler.
    pub address: SocketAddr,
    /// SWIM incarnation of this scheduler.
    pub incarnation: u32,
    /// Lifeguard's local health multiplier: 0 is healthy, and timeouts grow with it.
    #[serde(rename = "health")]
    pub health_multiplier: u32,
    /// Number of schedulers among which shared limits are divided.
    pub schedulers: u32,
    /// All other members.
    pub members: Vec<MemberView>,
}

/// Another member in the saved member list.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct MemberView {
    /// Name of the member.
    pub name: String,
    /// Address of the member.
    pub address: SocketAddr,
    /// SWIM incarnation of the member.
    pub incarnation: u32,
    /// State of the member.
    pub state: MemberState,
    /// Time that the member had been in this state when the list was saved, in seconds.
    #[serde(rename = "since")]
    pub seconds_in_state: u64,
}

impl MemberView {
    fn new(member: &Member, now: Duration) -> MemberView {
        MemberView {
            name: member.name.to_string(),
            address: member.address,
            incarnation: member.incarnation,
            state: member.state,
            seconds_in_state: now.saturating_sub(member.state_since).as_secs(),
        }
    }
}

impl FleetView {
    /// Formats the table that `quartzdrift members` prints. Ages are as of `now`, the time since 1970.
    pub fn table(&self, now: Duration) -> String {
        let age = now.as_secs().saturating_sub(self.saved_at);
        let mut text = format!(
            "{} at {}, incarnation {}, health {}; {} schedulers counted; as of {age} s ago\n",
            self.name, self.address, self.incarnation, self.health_multiplier, self.schedulers
        );
        let name_lengths = self.members.iter().map(|member| member.name.len());
        let width = name_lengths.max().unwrap_or(0).max("name".len());
        text.push_str(&format!(
            "{:<width$}  {:<8}  {:>9}  {:>11}  address\n",
            "name", "state", "since", "incarnation"
        ));
        for member in &self.members {
            let state = state_name(member.state);
            let since = member.seconds_in_state + age;
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

/// Limits how often rejected datagrams are logged.
#[derive(Default)]
struct RejectionLog {
    logged_at: BTreeMap<(IpAddr, RejectReason), Duration>,
}

impl RejectionLog {
    fn log(&mut self, now: Duration, from: SocketAddr, reason: RejectReason) {
        let key = (from.ip(), reason);
        let logged_at = self.logged_at.get(&key);
        if logged_at.is_some_and(|at| now < *at + REJECTION_LOG_INTERVAL) {
            return;
        }
        if self.logged_at.len() >= MAX_LOGGED_REJECTIONS {
            self.logged_at.pop_first();
        }
        self.logged_at.insert(key, now);
        tracing::warn!(%from, why = %reason, "datagram rejected");
    }
}

/// A message received from another member.
struct MemberMessage {
    from: Rc<str>,
    topic: u8,
    bytes: Vec<u8>,
}

/// Outputs of the membership protocol for the gateway to carry out.
#[derive(Default)]
struct FleetEvents {
    member_changed: bool,
    /// Members whose state has changed, and is now alive.
    alive_members: Vec<Rc<str>>,
    messages: Vec<MemberMessage>,
}

impl Fleet {
    pub(super) fn next_due(&self) -> Duration {
        self.membership.next_due().min(self.next_save_at)
    }

    fn current_view(&self, now: Duration) -> FleetView {
        let own = self.membership.settings();
        let others = self.membership.other_members();
        FleetView {
            saved_at: now.as_secs(),
            name: own.name.clone(),
            address: own.address,
            incarnation: self.membership.incarnation(),
            health_multiplier: self.membership.health_multiplier(),
            schedulers: self.reported_schedulers,
            members: others.map(|member| MemberView::new(member, now)).collect(),
        }
    }

    fn receive_datagrams(&mut self, now: Duration, socket: &UdpSocket) {
        let mut buffer = [0; RECEIVE_BUFFER_BYTES];
        for _ in 0..MAX_DATAGRAMS_PER_WAKEUP {
            match socket.recv_from(&mut buffer) {
                Ok((length, from)) => self.membership.receive(now, from, &buffer[..length]),
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => break,
                // An ICMP error: no process listens at the destination of an earlier datagram.
                Err(_) => {}
            }
        }
    }

    /// Sends datagrams, logs changes and rejections, and returns the outputs that the gateway has to carry
    /// out.
    fn carry_out_outputs(&mut self, now: Duration) -> FleetEvents {
        let mut events = FleetEvents::default();
        for output in self.membership.take_outputs() {
            match output {
                Output::SendDatagram { to, bytes } => {
                    let failed = self.socket.send_to(&bytes, to).is_err();
                    self.failed_sends += u64::from(failed);
                }
                Output::MemberChanged(member) => self.member_changed(now, member, &mut events),
                Output::DatagramRejected { from, reason } => self.rejections.log(now, from, reason),
                Output::NameConflict { address } => {
                    let mend = "give each scheduler a unique name in [fleet]";
                    tracing::error!(
                        by = %address,
                        mend,
                        "another member has this scheduler's name: other members ignore this scheduler"
                    );
                }
                Output::MessageReceived { from, topic, bytes } => {
                    events.messages.push(MemberMessage { from, topic, bytes });
                }
            }
        }
        events
    }

    fn member_changed(&mut self, now: Duration, member: Member, events: &mut FleetEvents) {
        self.next_save_at = self.next_save_at.min(now + SAVE_DELAY);
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
            events.alive_members.push(name);
        }
    }
}

/// Reads the member list of the last run. Returns `None` if it cannot be used; joining the fleet then
/// takes longer.
fn read_saved_view(folder: Option<&Path>) -> Option<FleetView> {
    let bytes = snapshots::read_or_warn(folder, snapshots::MEMBERS, "cannot read the saved member list")?;
    let view = serde_json::from_slice(&bytes);
    view.inspect_err(|e| tracing::warn!(error = %e, "saved member list is invalid, ignoring it"))
        .ok()
}

/// Names of the members that were alive or suspect when the last run saved its member list.
pub(super) fn reachable_members_of_last_run(folder: Option<&Path>) -> Vec<String> {
    let is_reachable =
        |member: &MemberView| matches!(member.state, MemberState::Alive | MemberState::Suspect);
    let members = read_saved_view(folder).into_iter().flat_map(|view| view.members);
    members.filter(is_reachable).map(|member| member.name).collect()
}

fn bind_socket(listen: SocketAddr) -> io::Result<UdpSocket> {
    let socket = UdpSocket::bind(listen).map_err(|e| {
        let message = format!("cannot bind the UDP socket of the fleet to {listen}: {e}");
        io::Error::new(e.kind(), message)
    })?;
    socket.set_nonblocking(true)?;
    Ok(socket)
}

impl Gateway {
    /// Binds the socket and joins the fleet, if the settings configure one.
    pub(super) fn start_fleet(&mut self, handle: &LoopHandle<'static, Gateway>) -> io::Result<()> {
        let Some(FleetSettings {
            mut members,
            listen,
            max_silence,
        }) = self.settings.fleet.clone()
        else {
            return Ok(());
        };
        let socket = Rc::new(bind_socket(listen)?);
        // With port 0, the other members use the port that the system has chosen.
        if members.address.port() == 0 {
            members.address.set_port(socket.local_addr()?.port());
        }
        register_socket(handle, socket.clone())?;
        let saved_view = read_saved_view(self.settings.state_folder.as_deref());
        let previous_count = saved_view.as_ref().map_or(0, |view| view.schedulers);
        let known_addresses: Vec<SocketAddr> = saved_view
            .into_iter()
            .flat_map(|view| view.members)
            .filter(|member| member.state != MemberState::Left)
            .map(|member| member.address)
            .collect();
        tracing::info!(
            name = %members.name,
            address = %members.address,
            known = known_addresses.len(),
            "joining the fleet"
        );
        let minimum = self.settings.scheduler.scheduler_count.unwrap_or(1);
        let now = self.now();
        // The random instance id differs from those of earlier starts, so that their replayed datagrams are
        // rejected.
        let instance = rand::random();
        self.fleet = Some(Fleet {
            socket,
            membership: Membership::new(members, instance, &known_addresses, rand::random(), now),
            scheduler_count: SchedulerCount::new(minimum, previous_count, max_silence),
            reported_schedulers: 0,
            next_save_at: now + SAVE_INTERVAL,
            rejections: RejectionLog::default(),
            failed_sends: 0,
        });
        self.fleet_changed();
        Ok(())
    }

    /// Handles the datagrams that have arrived at the socket.
    fn receive_datagrams(&mut self, socket: &UdpSocket) {
        let now = self.now();
        let Some(fleet) = &mut self.fleet else { return };
        fleet.receive_datagrams(now, socket);
        self.fleet_changed();
    }

    /// Runs the timers of the membership protocol that are due, and saves the member list if that is due.
    pub(super) fn fire_fleet_timers(&mut self, now: Duration) {
        let Some(fleet) = self.fleet.as_mut().filter(|fleet| fleet.next_due() <= now) else {
            return;
        };
        let is_save_due = fleet.next_save_at <= now;
        if fleet.membership.next_due() <= now {
            fleet.membership.due(now);
            self.fleet_changed();
        }
        if is_save_due {
            self.save_fleet();
        }
    }

    /// Carries out the outputs of the membership protocol, and updates the number of schedulers.
    fn fleet_changed(&mut self) {
        let now = self.now();
        let Some(fleet) = &mut self.fleet else { return };
        let events = fleet.carry_out_outputs(now);
        let schedulers =
            fleet
                .scheduler_count
                .update(now, events.member_changed, fleet.membership.other_members());
        if schedulers != fleet.reported_schedulers {
            tracing::info!(
                before = fleet.reported_schedulers,
                schedulers,
                "number of schedulers changed"
            );
            fleet.reported_schedulers = schedulers;
            self.request_table.set_scheduler_count(now, schedulers);
            self.carry_out();
        }
        self.dispatch_to_recovery(now, events);
    }

    /// Passes alive members and received messages to the recovery, which is the only user of member messages.
    fn dispatch_to_recovery(&mut self, now: Duration, events: FleetEvents) {
        if events.alive_members.is_empty() && events.messages.is_empty() {
            return;
        }
        if let Some(recovery) = &mut self.recovery {
            for name in &events.alive_members {
                recovery.state_machine.member_seen(now, name);
            }
        }
        for MemberMessage { from, topic, bytes } in events.messages {
            let result = match (topic, &mut self.recovery) {
                (quartzdrift_recovery::RECOVERY_TOPIC, Some(recovery)) => {
                    recovery.state_machine.receive(now, &from, &bytes)
                }
                // The topic belongs to a later release, or there is no recovery because no state folder is
                // configured.
                (_, _) => Ok(()),
            };
            if let Err(error) = result {
                tracing::warn!(%from, topic, why = %error, "invalid message from a member");
            }
        }
        self.carry_out_recovery();
    }

    /// Sends a message to another member of the fleet.
    pub(super) fn send_to_member(&mut self, to: &str, topic: u8, bytes: Vec<u8>) {
        let Some(fleet) = &mut self.fleet else { return };
        fleet.membership.send_message(to, topic, bytes);
        self.fleet_changed();
    }

    fn save_fleet(&mut self) {
        let now = self.now();
        let Some(fleet) = &mut self.fleet else { return };
        fleet.next_save_at = now + SAVE_INTERVAL;
        let Some(writer) = &self.snapshot_writer else {
            return;
        };
        if let Ok(bytes) = serde_json::to_vec_pretty(&fleet.current_view(now)) {
            writer.enqueue(snapshots::MEMBERS, bytes);
        }
    }

    /// Announces that this member leaves, so that the other members do not declare it dead.
    pub(super) fn leave_fleet(&mut self) {
        let now = self.now();
        if let Some(fleet) = &mut self.fleet {
            fleet.membership.leave(now);
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
