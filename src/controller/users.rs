//! Users' requests: answered at once from memory where that is safe, after
//! a fresh reading of the state service where it isn't, and after the commit
//! where something is to be kept.

use super::{Controller, Tag};
use crate::clock::{self, Secs};
use crate::http::{error_body, Reply};
use crate::jobs::{job_key, JobRecord};
use crate::peer::CancellationNotice;
use crate::state::{Class, Op, Outcome, Write};
use crate::wire::{Catalog, JobId, JobSpec, JobView, Shape};
use std::collections::HashMap;
use std::sync::Arc;

/// Bytes that a cancellation adds to a job's record, with room to spare.
const CANCELLED_BYTES: usize = 48;

/// When to come back with what needs all controllers to be upgraded, in seconds.
const UPGRADE_RETRY_S: u32 = 5;

/// When to come back about a job whose record can't be read, in seconds: until an
/// operator has seen to it, nothing else can be said.
const UNREADABLE_RETRY_S: u32 = 30;

/// Requests that wait.
#[derive(Default)]
pub(crate) struct Users {
    /// Wait for a reading begun after they came.
    reads: Vec<(Secs, Read)>,
    /// Wait for a commit.
    submits: HashMap<JobId, (JobRecord, Vec<Reply>)>,
    withdraws: HashMap<JobId, (u64, Vec<Reply>)>,
}

enum Read {
    Query(JobId, Reply),
    Withdraw(JobId, Reply, Secs),
    /// A submission that can never run, unless the job is known.
    Unfit(JobId, String, Reply),
}

impl Controller {
    /// How many may wait for one thing: each has a connection.
    fn most_waiting(&self) -> usize {
        self.settings.params.machine_limits.max_connections
    }

    /// How long a request may wait before it is given up: a fifth of the time
    /// after which users would.
    fn patience(&self) -> Secs {
        1.0
    }

    pub(super) fn submit(&mut self, spec: JobSpec, reply: Reply, now: Secs) {
        let id = spec.id.clone();
        if self.is_known(&id) {
            return self.query(id, reply, now);
        }
        if let Some((_, waiting)) = self.users.submits.get_mut(&id) {
            return waiting.push(reply);
        }
        if self.fresh_at.is_none() || self.state_down {
            return reply.later(503, 2, "the state service can't be reached");
        }
        let Some(catalog) = self.mirror.catalog.clone() else {
            return reply.later(503, 1, "the machine types are not known yet");
        };
        if let Err(why) = self.can_run(&spec, &catalog) {
            // Final for the user: never for a job that another controller has
            // accepted a moment ago, whatever this body says.
            return self.wait_fresh(Read::Unfit(id, why, reply), now);
        }
        // Guard: a version without gangs would start their tasks one by one.
        if spec.shape == Shape::Gang && !self.mirror.all_run_gangs() {
            return reply.later(503, UPGRADE_RETRY_S, "not all controllers run gangs yet");
        }
        if self.users.submits.len() >= self.most_waiting() {
            return reply.later(429, 2, "too many submissions");
        }
        let record = JobRecord {
            tasks: spec.tasks,
            spec: Some(Arc::new(spec)),
            epoch: self.mirror.epoch.as_ref().map_or(0, |e| e.n),
            at_ms: clock::day_ms(),
            cancelled: false,
            done: false,
            cancelled_at_ms: None,
        };
        let value = serde_json::to_value(&record).unwrap_or_default();
        // Guard: a record that the state service doesn't take, or will not once
        // it is cancelled or the limits are lower, could never be kept.
        let size = value.to_string().len() + CANCELLED_BYTES;
        if size > self.settings.params.state.lowest_value_bytes() {
            let why = "its description is longer than can be stored".into();
            return self.wait_fresh(Read::Unfit(id, why, reply), now);
        }
        let write = Write {
            conditions: vec![(job_key(&id), 0)],
            ops: vec![Op::Put {
                key: job_key(&id),
                value,
                lease: None,
            }],
            deadline: now + self.patience(),
            tag: Tag::Submit(id.clone()),
        };
        if self.writer.send(Class::Urgent, write).is_err() {
            return reply.later(429, 2, "too many submissions");
        }
        self.users.submits.insert(id, (record, vec![reply]));
    }

    /// Whether a job can ever run; else why not.
    fn can_run(&self, spec: &JobSpec, catalog: &Catalog) -> Result<(), String> {
        let team = self.settings.team(&spec.team).ok_or("unknown team")?;
        match spec.zones_that_fit(catalog) {
            0 => return Err("a task fits no allowed machine type".into()),
            // Half of the tasks, rounded up, may be in one zone.
            n if spec.scatter && spec.tasks > 1 && (n == 1 || spec.one_zone) => {
                return Err("its tasks must be in two zones and may only be in one".into());
            }
            _ => {}
        }
        let n = if spec.shape == Shape::Array {
            1.0
        } else {
            f64::from(spec.tasks)
        };
        if n * spec.cpus > team.cpu_cap() || n * spec.gpus > team.gpu_cap() {
            return Err("the job needs more than the team's limit".into());
        }
        Ok(())
    }

    pub(super) fn submit_written(&mut self, id: JobId, outcome: Outcome, now: Secs) {
        let Some((record, replies)) = self.users.submits.remove(&id) else {
            return;
        };
        match outcome {
            Outcome::Done(version) => {
                if let Some(s) = &record.spec {
                    tracing::debug!(%id, tasks = s.tasks, estimate = s.estimate_s, due = s.deadline_s, "accepted");
                }
                let value = serde_json::to_value(&record).unwrap_or_default();
                self.mirror.put(&job_key(&id), value, version);
                self.job_changed(&id);
                self.note_accepted(now);
                let mut status = 201;
                for reply in replies {
                    let view = JobView {
                        id: id.clone(),
                        state: "pending".into(),
                        done: None,
                        running: None,
                    };
                    reply.send(status, serde_json::to_vec(&view).unwrap_or_default());
                    status = 200;
                }
            }
            Outcome::Conflict(_) => {
                // Another node has it already.
                for reply in replies {
                    self.query(id.clone(), reply, now);
                }
            }
            Outcome::Refused | Outcome::Invalid | Outcome::TooMuch | Outcome::Unknown => {
                for reply in replies {
                    reply.later(503, 1, "not committed");
                }
            }
        }
    }

    pub(super) fn query(&mut self, id: JobId, reply: Reply, now: Secs) {
        if self.mirror.jobs.get(&id).is_some_and(|j| !j.live()) {
            return self.answer(&id, reply);
        }
        self.wait_fresh(Read::Query(id, reply), now);
    }

    pub(super) fn withdraw(&mut self, id: JobId, reply: Reply, now: Secs) {
        match self.mirror.jobs.get(&id) {
            Some(j) if !j.live() => self.answer_final(&id, reply),
            Some(_) => self.cancel(id, reply, now),
            None => {
                let until = now + self.patience();
                self.wait_fresh(Read::Withdraw(id, reply, until), now);
            }
        }
    }

    /// Whether some controller has accepted a job, and be it that its record can't be
    /// read.
    fn is_known(&self, id: &JobId) -> bool {
        self.mirror.jobs.contains_key(id) || self.mirror.unreadable.has(&job_key(id))
    }

    fn wait_fresh(&mut self, read: Read, now: Secs) {
        let reply_now = self.fresh_at.is_none()
            || self.state_down
            || self.users.reads.len() >= self.most_waiting();
        if reply_now {
            return read
                .into_reply()
                .later(503, 1, "the state service can't be reached");
        }
        self.users.reads.push((now, read));
        let _ = self.kicks.try_send(());
    }

    fn cancel(&mut self, id: JobId, reply: Reply, now: Secs) {
        if self.state_down {
            return reply.later(503, 1, "the state service can't be reached");
        }
        if let Some(waiting) = self.users.withdraws.get_mut(&id) {
            return waiting.1.push(reply);
        }
        let Some(job) = self.mirror.jobs.get(&id) else {
            return;
        };
        let record = cancelled(&job.record);
        let at_ms = record.cancelled_at_ms.unwrap_or_default();
        let write = Write {
            conditions: vec![(job_key(&id), job.version)],
            ops: vec![Op::Put {
                key: job_key(&id),
                value: serde_json::to_value(&record).unwrap_or_default(),
                lease: None,
            }],
            deadline: now + self.patience(),
            tag: Tag::Withdraw(id.clone()),
        };
        if self.writer.send(Class::Urgent, write).is_err() {
            return reply.later(429, 1, "too many requests");
        }
        self.users.withdraws.insert(id, (at_ms, vec![reply]));
    }

    pub(super) fn withdraw_written(&mut self, id: JobId, outcome: Outcome, now: Secs) {
        let Some((at_ms, replies)) = self.users.withdraws.remove(&id) else {
            return;
        };
        match outcome {
            Outcome::Done(version) => {
                if self.mirror.apply_cancellation(&id, version, at_ms) {
                    self.job_changed(&id);
                }
                // The others hear of it in this round: the machines may be theirs.
                self.cancellation_notices.push((
                    CancellationNotice {
                        job: id.clone(),
                        version,
                        at_ms,
                    },
                    now,
                ));
                self.said_hello = f64::MIN;
                for reply in replies {
                    self.answer_final(&id, reply);
                }
            }
            Outcome::Conflict(_) => {
                for reply in replies {
                    let until = now + self.patience();
                    self.wait_fresh(Read::Withdraw(id.clone(), reply, until), now);
                }
            }
            Outcome::Refused | Outcome::Invalid | Outcome::TooMuch | Outcome::Unknown => {
                for reply in replies {
                    reply.later(503, 1, "not committed");
                }
            }
        }
    }

    /// Serves what a new reading allows; refuses what waited too long.
    pub(super) fn serve_waiting(&mut self, now: Secs) {
        if self.users.reads.is_empty() {
            return;
        }
        let fresh = self.fresh_at.unwrap_or(f64::MIN);
        let reads = std::mem::take(&mut self.users.reads);
        for (came, read) in reads {
            if fresh >= came {
                match read {
                    Read::Query(id, reply) => self.answer(&id, reply),
                    Read::Unfit(id, why, reply) if !self.is_known(&id) => {
                        reply.send(422, error_body(&why));
                    }
                    Read::Unfit(id, _, reply) => self.answer(&id, reply),
                    Read::Withdraw(id, reply, until) => match self.mirror.jobs.get(&id) {
                        Some(j) if !j.live() => self.answer_final(&id, reply),
                        Some(_) if now < until => self.cancel(id, reply, now),
                        Some(_) => reply.later(503, 1, "not committed"),
                        None => self.answer_unknown(&id, reply),
                    },
                }
            } else if self.state_down || now - came > self.patience() {
                read.into_reply()
                    .later(503, 1, "the state service can't be reached");
            } else {
                self.users.reads.push((came, read));
            }
        }
        if !self.users.reads.is_empty() {
            let _ = self.kicks.try_send(());
        }
    }

    fn answer_final(&self, id: &JobId, reply: Reply) {
        let done = self.mirror.jobs.get(id).is_some_and(|j| j.record.done);
        let state = if done { "done" } else { "cancelled" };
        let view = JobView {
            id: id.clone(),
            state: state.into(),
            done: None,
            running: None,
        };
        reply.send(200, serde_json::to_vec(&view).unwrap_or_default());
    }

    /// Nothing can be said of a job without a readable record. Guard: one whose record
    /// can't be read was accepted, and must not be called unknown.
    fn answer_unknown(&self, id: &JobId, reply: Reply) {
        if self.mirror.unreadable.has(&job_key(id)) {
            return reply.later(503, UNREADABLE_RETRY_S, "the job's record can't be read");
        }
        reply.send(404, error_body("no such job"));
    }

    fn answer(&self, id: &JobId, reply: Reply) {
        let Some(job) = self.mirror.jobs.get(id) else {
            return self.answer_unknown(id, reply);
        };
        let running = self.running.get(id).copied().unwrap_or(0);
        let (state, done, running) = if job.record.done {
            ("done", job.record.tasks, 0)
        } else if job.record.cancelled {
            ("cancelled", job.finished.len(), 0)
        } else if running > 0 {
            ("running", job.finished.len(), running)
        } else {
            ("pending", job.finished.len(), 0)
        };
        let view = JobView {
            id: id.clone(),
            state: state.into(),
            done: Some(done),
            running: Some(running),
        };
        reply.send(200, serde_json::to_vec(&view).unwrap_or_default());
    }
}

/// A job's record once it is cancelled.
fn cancelled(record: &JobRecord) -> JobRecord {
    JobRecord {
        cancelled: true,
        cancelled_at_ms: Some(clock::day_ms()),
        ..record.clone()
    }
}

impl Read {
    fn into_reply(self) -> Reply {
        match self {
            Read::Query(_, reply) | Read::Withdraw(_, reply, _) | Read::Unfit(_, _, reply) => reply,
        }
    }
}
