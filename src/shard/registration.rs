//! Machines that are added to the machine registry, changed in it or removed from it.

use super::events::RemovalProof;
use super::machine::{Machine, MachineIdentity};
use super::Shard;
use crate::clock::Seconds;
use crate::store::records::MachineRecord;
use crate::wire::MachineId;
use finchwood_reconciliation::machine_state::MachineState;

impl Shard {
    /// Applies the registry's record of a machine of this shard, which is new or has changed.
    pub fn register_machine(&mut self, id: &MachineId, record: &MachineRecord, now: Seconds) {
        // The source's state of the machine has not arrived yet.
        if self.transfers.is_awaiting_state(id) {
            return;
        }
        let first_counter = self.issued_tokens.first_counter(id);
        let machine = self.machines.entry(id.clone()).or_insert_with(|| {
            tracing::debug!(machine = %id, in_use = record.in_use, "registered machine added");
            let identity = MachineIdentity {
                machine_type: record.machine_type.clone(),
                zone: record.zone.clone(),
                spot: record.spot,
                address: None,
            };
            Machine {
                state: MachineState::initial(record.in_use),
                ..Machine::new(identity, first_counter, now)
            }
        });
        machine.registered = true;
        machine.record_mark(record.in_use);
        if machine.identity.address.is_none() {
            machine.identity.address.clone_from(&record.address);
        }
        self.report_due = true;
    }

    /// Applies the removal of a machine from the machine registry: the machine was deleted,
    /// and its tasks with it.
    pub fn unregister_machine(&mut self, id: &MachineId) {
        self.transfers.stop_awaiting(id);
        if self.remove_machine(id) {
            self.remove_tasks_of_ended_sessions(id, u64::MAX, RemovalProof::MachineDeleted);
        }
        self.report_due = true;
    }

    /// Removes the record of a machine, and tells the leader so. Returns whether there was one.
    pub(super) fn remove_machine(&mut self, id: &MachineId) -> bool {
        let Some(machine) = self.machines.remove(id) else {
            return false;
        };
        self.issued_tokens.record_removed(id, machine.token.counter);
        self.other_copies.remove_machine(id);
        self.last_reported.remove(id);
        self.removed_machines
            .push((id.clone(), self.report_seq + 1));
        true
    }

    /// Returns the machines of this shard that are in the machine registry.
    pub fn registered_machines(&self) -> Vec<MachineId> {
        self.machines
            .iter()
            .filter(|(_, machine)| machine.registered)
            .map(|(id, _)| id.clone())
            .collect()
    }
}
