//! Outgoing datagrams: their headers, piggybacked updates and signatures.
use super::{Membership, Output};
use crate::member::{MemberState, MemberUpdate};
use crate::wire::{DatagramWriter, Header, Part};
use std::net::SocketAddr;

/// Number of sequence numbers kept for each address, to recognise the answers to the last datagrams sent
/// there.
const MAX_SENT_SEQUENCES: usize = 8;
/// Maximum number of outputs that the caller has not taken yet; at this number no further datagrams are sent.
const MAX_PENDING_OUTPUTS: usize = 100_000;
/// Number of members to which a leaving member announces that it leaves.
const LEAVE_FANOUT: usize = 6;

impl Membership {
    /// Sends a message to a member without a delivery guarantee. The message is dropped if the member is
    /// unknown or if it does not fit into a datagram, and the network may lose it.
    pub fn send_message(&mut self, to: &str, topic: u8, bytes: Vec<u8>) {
        if let Some(address) = self.peers.get(to).map(|peer| peer.member.address) {
            self.send(address, &[Part::Message { topic, bytes }]);
        }
    }

    pub(super) fn announce_leaving(&mut self) {
        let update = MemberUpdate {
            name: self.settings.name.clone(),
            address: self.settings.address,
            instance: self.instance,
            incarnation: self.incarnation,
            state: MemberState::Left,
            suspecting_instance: 0,
        };
        for address in self.random_members(LEAVE_FANOUT, |_| true) {
            self.send(address, &[Part::Update(update.clone())]);
        }
    }

    /// Sends a datagram of these parts and fills the remaining space with gossip.
    pub(super) fn send(&mut self, to: SocketAddr, parts: &[Part]) {
        if self.outputs.len() >= MAX_PENDING_OUTPUTS {
            return;
        }
        let header = self.next_header(to);
        let mut writer = DatagramWriter::new(&header, self.settings.max_datagram_size);
        if let Some(update) = self.update_to_refute(to) {
            writer.push(&Part::Update(update));
        }
        for part in parts {
            writer.push(part);
        }
        let fleet_size = self.fleet_size();
        self.gossip
            .transmit(fleet_size, |update| writer.push(&Part::Update(update.clone())));
        self.sign_and_send(to, writer);
    }

    /// Creates the header of the next datagram to an address, and records its sequence number as sent.
    pub(super) fn next_header(&mut self, to: SocketAddr) -> Header {
        self.sequence += 1;
        let sequence = self.sequence;
        let record = self.address_record(to);
        record.sent_sequences.push_back(sequence);
        if record.sent_sequences.len() > MAX_SENT_SEQUENCES {
            record.sent_sequences.pop_front();
        }
        Header {
            recipient_instance: record.instance,
            cluster: self.cluster,
            sender: self.settings.name.clone(),
            instance: self.instance,
            sequence,
            incarnation: self.incarnation,
        }
    }

    /// The record of the recipient as an update, if the recipient has to refute it: the recorded state is not
    /// alive, or the recorded instance differs from the one of the last accepted datagram. Lifeguard's buddy
    /// system puts this update first in the datagram.
    fn update_to_refute(&self, to: SocketAddr) -> Option<MemberUpdate> {
        let name = self.addresses.get(&to)?.member_name.as_ref()?;
        let peer = self.peers.get(name)?;
        let member = &peer.member;
        let accepted_instance = peer.replay_window.instance;
        let is_unconfirmed = accepted_instance != 0 && accepted_instance != member.instance;
        let needs_refutation = !member.is_alive() || is_unconfirmed;
        (member.address == to && needs_refutation).then(|| member.to_update(0))
    }

    pub(super) fn sign_and_send(&mut self, to: SocketAddr, writer: DatagramWriter) {
        if let Some(key) = self.settings.keys.first() {
            let bytes = writer.sign(key);
            self.outputs.push(Output::SendDatagram { to, bytes });
        }
    }
}
