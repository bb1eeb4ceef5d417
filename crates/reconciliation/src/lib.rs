//! What a controller that begins to own machines, or to lead, makes of what it
//! finds: stored records on one side, workers' reports on the other.
//!
//! A cold restart, a change of leader and the takeover of a machine are one path.
//! Nothing about placements is stored, so that a new owner knows only which
//! machines there are. For each it waits for proof ([`machine_state`]), decides on each
//! reported task ([`verdict`]) by what is stored of it ([`stored_jobs`]), and the leader
//! frees a job's missing tasks once no machine that may run them is unreconciled
//! ([`unreconciled`]). Meanwhile [`hold_off`] holds back what only that uncertainty would ask
//! for, and [`restart_record`] keeps what was decided and why.
//!
//! Everything here is pure: time and evidence come in as arguments, decisions go
//! out as values.

#![warn(missing_docs, unreachable_pub)]
#![warn(clippy::expect_used, clippy::panic, clippy::unwrap_used)]

pub mod hold_off;
pub mod machine_state;
pub mod restart_record;
pub mod stored_jobs;
pub mod unreconciled;
pub mod verdict;
