//! The reconciliation state of a machine: whether its owner has confirmed which tasks are on
//! it.
//!
//! A new owner has no information about the tasks on a machine. It probes the machine under
//! its own token, which is higher than that of every earlier owner. A report that shows this
//! token confirms which tasks are there: from then on, the worker rejects every command of an
//! earlier owner, so that none of them can start another task. If the worker stays silent, the
//! expiry of its lease proves that no task is left, since only the owner could have renewed
//! that lease.
//!
//! Nothing else proves that a machine is empty. In particular the mark of use in the machine
//! registry does not, which may be missing or late: it decides only whether others wait for a
//! machine that no owner has heard.

use serde::{Deserialize, Serialize};

/// What is known of the tasks on a machine. A machine is unreconciled while its tasks are not
/// known, and gets no tasks as long as it is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum MachineState {
    /// The machine registry does not mark it as in use, and it has not reported to its owner
    /// yet, as while it boots. Unreconciled, but nobody has to wait for it.
    Unused,
    /// It is in use, and has not reported to its owner yet: unreconciled.
    #[serde(rename = "unheard")]
    NoHeartbeat,
    /// It has reported, but not under its owner's token: the report may be old, or a command
    /// of an earlier owner may still add to it. Unreconciled, and being probed.
    #[serde(rename = "heard")]
    Unconfirmed,
    /// A report under its owner's token has shown which tasks are on it.
    #[serde(rename = "proven")]
    Confirmed,
    /// The lease of its worker has expired: nothing runs there any more.
    #[serde(rename = "lease-past")]
    LeaseExpired,
}

/// An event that may change the state of a machine, as its owner observes it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MachineEvent {
    /// A report has arrived that is newer than all earlier ones.
    Heartbeat {
        /// Whether it is the machine's first report since its owner came to own it.
        first_contact: bool,
        /// Whether the worker has seen the owner's token, or a higher one.
        owner_token_seen: bool,
    },
    /// The worker's lease has expired for certain: no response of the owner can have renewed it
    /// since.
    LeaseExpired,
}

/// The result of an event.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Transition {
    /// The state after the event.
    pub state: MachineState,
    /// Whether the owner has to probe the machine at once under its token.
    pub probe: bool,
}

impl MachineState {
    /// Returns the initial state of a machine that was added to the machine registry or taken
    /// over. `in_use` is whether the machine registry marks it as in use.
    pub fn initial(in_use: bool) -> MachineState {
        if in_use {
            MachineState::NoHeartbeat
        } else {
            MachineState::Unused
        }
    }

    /// Whether the tasks on the machine are known.
    pub fn is_reconciled(self) -> bool {
        match self {
            // Guard: an earlier owner may have started tasks on a machine that the registry does
            // not mark as in use, if the mark is late or on another page.
            MachineState::Unused | MachineState::NoHeartbeat | MachineState::Unconfirmed => false,
            MachineState::Confirmed | MachineState::LeaseExpired => true,
        }
    }

    /// Whether tasks that are not known may be on the machine, so that others have to wait for
    /// its reconciliation.
    pub fn may_hold_unknown_tasks(self) -> bool {
        !self.is_reconciled() && self != MachineState::Unused
    }

    /// Returns the state that follows when the machine registry marks the machine as in use.
    pub fn after_mark(self) -> MachineState {
        match self {
            MachineState::Unused => MachineState::NoHeartbeat,
            state => state,
        }
    }

    /// Returns the state that follows this one after an event.
    pub fn after(self, event: MachineEvent) -> Transition {
        match event {
            MachineEvent::LeaseExpired => Transition {
                state: MachineState::LeaseExpired,
                probe: false,
            },
            MachineEvent::Heartbeat {
                first_contact,
                owner_token_seen,
            } => self.after_heartbeat(first_contact, owner_token_seen),
        }
    }

    fn after_heartbeat(self, first_contact: bool, owner_token_seen: bool) -> Transition {
        if owner_token_seen {
            return Transition {
                state: MachineState::Confirmed,
                probe: false,
            };
        }
        // Guard: a machine that counted as empty, for instance because its lease was thought
        // to have expired, has reported after all. What it reports may be old until its worker
        // has seen the token.
        if self.is_reconciled() && !first_contact {
            return Transition {
                state: self,
                probe: false,
            };
        }
        Transition {
            state: MachineState::Unconfirmed,
            probe: true,
        }
    }
}
