//! What its owner knows of a machine's content: a state and its transitions.
//!
//! A new owner can't know what it finds. It asks under its own token, which is
//! above every earlier owner's: a report that shows this token proves what is there
//! and that no earlier command can add to it. A worker that is silent proves it by
//! the length of its lease, as only its owner could have renewed that.

use serde::{Deserialize, Serialize};

/// What is known of the content of a machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum MachineState {
    /// The machine registry says that nobody has started anything there: empty.
    Unused,
    /// Somebody has used it, and nothing was heard of it yet: unreconciled.
    #[serde(rename = "unheard")]
    NoHeartbeat,
    /// It has spoken, but not under its owner's token: what it says may be old, or
    /// may be added to by an earlier owner's command. Unreconciled, and being asked.
    #[serde(rename = "heard")]
    Unconfirmed,
    /// A report under its owner's token has shown what is there.
    #[serde(rename = "proven")]
    Confirmed,
    /// Its worker's lease is past: what it held is nowhere.
    #[serde(rename = "lease-past")]
    LeaseExpired,
}

/// What its owner learns of a machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MachineEvent {
    /// A report newer than all before.
    Heartbeat {
        /// No sign of life was seen since its owner came to own it.
        first_contact: bool,
        /// The machine registry says that tasks may have been started there.
        used: bool,
        /// It shows its owner's token, or one above it.
        owner_token_seen: bool,
    },
    /// No answer of its owner's can have renewed its lease any more.
    LeaseExpired,
}

/// What follows from an event.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Transition {
    /// The state from now on.
    pub state: MachineState,
    /// To be asked at once under its owner's token.
    pub probe: bool,
}

impl MachineState {
    /// The state of a machine that has come on the machine registry, or was taken over with it.
    pub fn initial(used: bool) -> MachineState {
        if used {
            MachineState::NoHeartbeat
        } else {
            MachineState::Unused
        }
    }

    /// Whether its content is known.
    pub fn is_reconciled(self) -> bool {
        match self {
            MachineState::Unused | MachineState::Confirmed | MachineState::LeaseExpired => true,
            MachineState::NoHeartbeat | MachineState::Unconfirmed => false,
        }
    }

    /// The state after an event.
    pub fn after(self, event: MachineEvent) -> Transition {
        match event {
            MachineEvent::LeaseExpired => Transition {
                state: MachineState::LeaseExpired,
                probe: false,
            },
            MachineEvent::Heartbeat {
                first_contact,
                used,
                owner_token_seen,
            } => self.after_heartbeat(first_contact, used, owner_token_seen),
        }
    }

    fn after_heartbeat(
        self,
        first_contact: bool,
        used: bool,
        owner_token_seen: bool,
    ) -> Transition {
        if owner_token_seen {
            return Transition {
                state: MachineState::Confirmed,
                probe: false,
            };
        }
        // Guard: one thought to be past its lease has spoken after all. Whatever it
        // says may be old until it has seen the token.
        let surprising = first_contact && used;
        if self.is_reconciled() && !surprising {
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
