//! Outgoing datagrams: headers, piggybacked updates and signatures.
use super::{Membership, Output};
use crate::member::{MemberState, MemberUpdate};
use crate::wire::{DatagramWriter, Header, Part};
use std::net::SocketAddr;

/// Datagrams to an address whose answers are still recognised.
const MAX_SENT_RECORDS: usize = 8;
/// Outputs that wait to be carried out; while so many do, no datagrams are made.
const MAX_OUTPUTS: usize = 100_000;
/// Members that a leaving one tells.
const LEAVE_FANOUT: usize = 6;

impl Membership {
    /// Sends a message to a member, unreliably: it is lost where the network loses it, where the member is unknown, or
    /// where it does not fit into a datagram.
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
            accuser: 0,
        };
        for address in self.random_members(LEAVE_FANOUT, |_| true) {
            self.send(address, &[Part::Update(update.clone())]);
        }
    }

    /// Sends a datagram of these parts and fills it up with gossip.
    pub(super) fn send(&mut self, to: SocketAddr, parts: &[Part]) {
        if self.outputs.len() >= MAX_OUTPUTS {
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
        let size = self.fleet_size();
        self.gossip
            .transmit(size, |update| writer.push(&Part::Update(update.clone())));
        self.sign_and_send(to, writer);
    }

    /// The header of the next datagram to this address, which is now recorded as sent.
    pub(super) fn next_header(&mut self, to: SocketAddr) -> Header {
        self.sequence += 1;
        let sequence = self.sequence;
        let record = self.address_record(to);
        record.sent.push_back(sequence);
        if record.sent.len() > MAX_SENT_RECORDS {
            record.sent.pop_front();
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

    /// What is believed of the recipient, where it has to refute that: it is not alive, or of an instance that has sent
    /// nothing yet. It comes first, as Lifeguard's buddy system has it.
    fn update_to_refute(&self, to: SocketAddr) -> Option<MemberUpdate> {
        let name = self.addresses.get(&to)?.member.as_ref()?;
        let peer = self.peers.get(name)?;
        let member = &peer.member;
        let is_unconfirmed = peer.window.instance != 0 && peer.window.instance != member.instance;
        let is_doubted = !member.is_alive() || is_unconfirmed;
        (member.address == to && is_doubted).then(|| member.to_update(0))
    }

    pub(super) fn sign_and_send(&mut self, to: SocketAddr, writer: DatagramWriter) {
        if let Some(key) = self.settings.keys.first() {
            let bytes = writer.sign(key);
            self.outputs.push(Output::SendDatagram { to, bytes });
        }
    }
}
