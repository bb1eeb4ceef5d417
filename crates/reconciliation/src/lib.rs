//! Reconciles stored records with the reports of workers when a controller starts to own
//! machines or to lead.
//!
//! A cold restart, a change of leader and the takeover of a machine follow the same path.
//! Placements are not stored, so a new owner starts with no more than the list of machines.
//! For each machine it waits until a report under its own token confirms which tasks are on
//! it ([`machine_state`]), and decides on each reported task ([`verdict`]) by what is stored
//! about it ([`stored_jobs`]). The leader frees the missing tasks of a job once no machine
//! that may run them is unreconciled ([`unreconciled`]). Until then, [`hold_off`] delays
//! actions that would be taken only because machines are unreconciled, and
//! [`restart_record`] records what was decided and why.
//!
//! The crate does no I/O and reads no clock: time and evidence are arguments, decisions are
//! return values.

#![warn(missing_docs, unreachable_pub)]
#![warn(clippy::expect_used, clippy::panic, clippy::unwrap_used)]

pub mod hold_off;
pub mod machine_state;
pub mod restart_record;
pub mod stored_jobs;
pub mod unreconciled;
pub mod verdict;
