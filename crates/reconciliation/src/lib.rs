//! What a controller that begins to own machines, or to lead, makes of what it
//! finds: stored records on one side, workers' reports on the other.
//!
//! A cold restart, a change of leader and the takeover of a machine are one path.
//! Nothing about placements is stored, so that a new owner knows only which
//! machines there are. For each it waits for proof ([`machine`]), judges each
//! reported task ([`verdict`]) by what is stored of it ([`stored`]), and the leader
//! frees a job's missing tasks once no machine that may run them is in doubt
//! ([`doubt`]). Meanwhile [`caution`] holds back what only that doubt would ask
//! for, and [`record`] keeps what was decided and why.
//!
//! Everything here is pure: time and evidence come in as arguments, decisions go
//! out as values.

pub mod hold_off;
pub mod machine_state;
pub mod restart_record;
pub mod stored_jobs;
pub mod unreconciled;
pub mod verdict;
