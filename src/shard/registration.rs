//! Machines that come on the machine registry, and go off it.

use super::machine::{Machine, MachineIdentity};
use super::Shard;
use crate::clock::Seconds;
use crate::store::records::MachineRecord;
use crate::wire::MachineId;
use finchwood_reconciliation::machine_state::MachineState;

impl Shard {
    /// A machine of this shard is on the machine registry, or was changed there.
    pub fn register_machine(&mut self, id: &MachineId, record: &MachineRecord, now: Seconds) {
        // What its source knows of it is still to come.
        if self.transfers.is_awaited(id) {
            return;
        }
        let machine = self.machines.entry(id.clone()).or_insert_with(|| {
            let identity = MachineIdentity {
                machine_type: record.machine_type.clone(),
                zone: record.zone.clone(),
                spot: record.spot,
                address: None,
            };
            Machine {
                // Never used by anybody: the machine registry would say so.
                state: MachineState::initial(record.in_use),
                ..Machine::new(identity, now)
            }
        });
        machine.registered = true;
        machine.used |= record.in_use;
        if machine.identity.address.is_none() {
            machine.identity.address.clone_from(&record.address);
        }
        self.report_due = true;
    }

    /// A machine is off the machine registry: it and all that was on it are gone.
    pub fn unregister_machine(&mut self, id: &MachineId) {
        self.transfers.forget(id);
        if self.machines.remove(id).is_some() {
            self.last_reported.remove(id);
            self.expire_session(id, u64::MAX);
            self.unregistered_machines
                .push((id.clone(), self.report_seq + 1));
        }
        self.report_due = true;
    }

    /// The machines of this shard that are on the machine registry.
    pub fn registered_machines(&self) -> Vec<MachineId> {
        self.machines
            .iter()
            .filter(|(_, machine)| machine.registered)
            .map(|(id, _)| id.clone())
            .collect()
    }
}
