//! The group commit: batches conditional writes into transactions.

use super::{CommitOutcome, Condition, RateBudget, StoreClient, WriteClass, WriteOp};
use crate::clock::{self, Seconds, Timestamp};
use crate::config::settings::Settings;
use crate::threads::spawn_detached;
use crossbeam::channel::{bounded, Receiver, Sender, TrySendError};
use std::time::Duration;

/// A conditional write, committed in one transaction with others or alone.
#[derive(Debug)]
pub struct ConditionalWrite<T> {
    /// The conditions under which it applies.
    pub conditions: Vec<Condition>,
    /// Its operations.
    pub ops: Vec<WriteOp>,
    /// The time after which it is not sent any more.
    pub deadline: Timestamp,
    /// What the sender needs to handle the outcome.
    pub purpose: T,
}

/// The queues of writes that wait for their transactions.
pub struct GroupCommitter<T> {
    urgent: Sender<ConditionalWrite<T>>,
    bulk: Sender<ConditionalWrite<T>>,
}

/// The number of threads that commit writes of one class.
const THREADS_PER_CLASS: usize = 2;

/// The longest that the rate limit may delay one batch, in seconds: the end of a job, or
/// a user's submission, may wait behind it.
const BATCH_S: Seconds = 0.5;

/// The most conditions of a transaction, for each operation that it may have.
const CONDITIONS_PER_OP: usize = 4;

/// The most bytes of a transaction's operations; the store accepts a little more.
const TRANSACTION_BYTES: usize = 48 * 1024;

/// The queue of a class holds so many seconds of writes at the store's rate ...
const QUEUE_S: f64 = 8.0;

/// ... and at least so many writes.
const SHORTEST_QUEUE: usize = 64;

/// The longest pause before a retry after the store refused for rate, in seconds.
const RATE_LIMIT_PAUSE_S: Seconds = 0.1;

impl<T: Send + 'static> GroupCommitter<T> {
    /// Starts detached threads that batch waiting writes into transactions. Each write's
    /// purpose goes to `notify` once, with the outcome.
    pub fn start<F>(settings: &Settings, budget: RateBudget, notify: F) -> GroupCommitter<T>
    where
        F: Fn(T, CommitOutcome) -> bool + Send + Clone + 'static,
    {
        let start = |class| start_class(settings, &budget, class, &notify);
        GroupCommitter {
            urgent: start(WriteClass::Urgent),
            bulk: start(WriteClass::Bulk),
        }
    }

    /// Queues a write.
    ///
    /// # Errors
    /// The queue is full: the write is returned.
    pub fn send(
        &self,
        class: WriteClass,
        write: ConditionalWrite<T>,
    ) -> Result<(), ConditionalWrite<T>> {
        let queue = match class {
            WriteClass::Urgent => &self.urgent,
            WriteClass::Bulk => &self.bulk,
        };
        match queue.try_send(write) {
            Ok(()) => Ok(()),
            Err(TrySendError::Full(write) | TrySendError::Disconnected(write)) => Err(write),
        }
    }
}

/// Starts the threads that commit writes of one class. Returns their queue.
fn start_class<T, F>(
    settings: &Settings,
    budget: &RateBudget,
    class: WriteClass,
    notify: &F,
) -> Sender<ConditionalWrite<T>>
where
    T: Send + 'static,
    F: Fn(T, CommitOutcome) -> bool + Send + Clone + 'static,
{
    let write_rps = settings.params.state.write_rps;
    let (queue, writes) = bounded((write_rps * QUEUE_S) as usize + SHORTEST_QUEUE);
    // A batch waits until the rate allows as many operations as it has.
    let ops_in_time = (write_rps * class.rate_share() * BATCH_S).ceil() as usize;
    let max_ops = settings
        .params
        .state
        .lowest_txn_ops()
        .min(ops_in_time)
        .max(1);
    for number in 0..THREADS_PER_CLASS {
        let committer = Committer {
            store: StoreClient::new(settings),
            budget: budget.clone(),
            class,
            notify: notify.clone(),
        };
        let writes = writes.clone();
        spawn_detached(&format!("state-{class:?}-{number}"), move || {
            committer.run(&writes, max_ops);
        });
    }
    queue
}

/// One thread of the group commit.
struct Committer<F> {
    store: StoreClient,
    budget: RateBudget,
    class: WriteClass,
    notify: F,
}

impl<F> Committer<F> {
    /// Commits waiting writes until their queue is disconnected.
    fn run<T>(&self, writes: &Receiver<ConditionalWrite<T>>, max_ops: usize)
    where
        F: Fn(T, CommitOutcome) -> bool,
    {
        let mut next = None;
        loop {
            let Some(first) = next.take().or_else(|| writes.recv().ok()) else {
                return;
            };
            let mut batch = Batch::new(first, max_ops);
            next = batch.extend(writes);
            self.commit(batch.writes);
        }
    }

    /// Commits writes until each has an outcome.
    fn commit<T>(&self, mut writes: Vec<ConditionalWrite<T>>)
    where
        F: Fn(T, CommitOutcome) -> bool,
    {
        loop {
            writes = self.refuse_expired(writes);
            if writes.is_empty() {
                return;
            }
            match self.commit_once(&writes) {
                CommitOutcome::Conflict(keys) => {
                    writes = self.report_conflict(writes, &keys);
                }
                // An invalid write must not fail those that only share its transaction
                // with it, again and again.
                CommitOutcome::Invalid if writes.len() > 1 => {
                    for write in writes {
                        self.commit(vec![write]);
                    }
                    return;
                }
                // Certainly not applied: retried within the writes' deadlines.
                CommitOutcome::RateLimited => {
                    self.budget.record_rate_limit(self.class);
                    let pause = rand::random::<f64>() * RATE_LIMIT_PAUSE_S;
                    std::thread::sleep(Duration::from_secs_f64(pause));
                }
                outcome => return self.report(writes, &outcome),
            }
        }
    }

    /// Sends one transaction, once the rates allow it.
    fn commit_once<T>(&self, writes: &[ConditionalWrite<T>]) -> CommitOutcome {
        self.budget.wait_call();
        let op_count = writes.iter().map(|write| write.ops.len()).sum();
        self.budget.wait_writes(self.class, op_count);
        let conditions: Vec<Condition> = writes
            .iter()
            .flat_map(|write| write.conditions.clone())
            .collect();
        let ops: Vec<WriteOp> = writes.iter().flat_map(|write| write.ops.clone()).collect();
        self.store.commit(&conditions, &ops)
    }

    /// Reports the writes whose deadlines have passed. Returns the others.
    fn refuse_expired<T>(&self, writes: Vec<ConditionalWrite<T>>) -> Vec<ConditionalWrite<T>>
    where
        F: Fn(T, CommitOutcome) -> bool,
    {
        let now = clock::now();
        let (expired, rest): (Vec<_>, Vec<_>) =
            writes.into_iter().partition(|write| write.deadline < now);
        self.report(expired, &CommitOutcome::Refused);
        rest
    }

    /// Reports the writes with a condition on one of `keys`, or all if none has one.
    /// Returns those that were not reported.
    fn report_conflict<T>(
        &self,
        writes: Vec<ConditionalWrite<T>>,
        keys: &[String],
    ) -> Vec<ConditionalWrite<T>>
    where
        F: Fn(T, CommitOutcome) -> bool,
    {
        let outcome = CommitOutcome::Conflict(keys.to_vec());
        let (failed, rest): (Vec<_>, Vec<_>) = writes.into_iter().partition(|write| {
            let mut conditions = write.conditions.iter();
            conditions.any(|condition| keys.contains(&condition.key))
        });
        if failed.is_empty() {
            self.report(rest, &outcome);
            return Vec::new();
        }
        self.report(failed, &outcome);
        rest
    }

    fn report<T>(&self, writes: Vec<ConditionalWrite<T>>, outcome: &CommitOutcome)
    where
        F: Fn(T, CommitOutcome) -> bool,
    {
        for write in writes {
            (self.notify)(write.purpose, outcome.clone());
        }
    }
}

/// Writes that fit into one transaction.
struct Batch<T> {
    writes: Vec<ConditionalWrite<T>>,
    max_ops: usize,
    op_count: usize,
    condition_count: usize,
    bytes: usize,
}

impl<T> Batch<T> {
    fn new(first: ConditionalWrite<T>, max_ops: usize) -> Batch<T> {
        Batch {
            max_ops,
            op_count: first.ops.len(),
            condition_count: first.conditions.len(),
            bytes: encoded_len(&first.ops),
            writes: vec![first],
        }
    }

    /// Adds waiting writes as long as the transaction can hold them. Returns the first
    /// that does not fit.
    fn extend(&mut self, waiting: &Receiver<ConditionalWrite<T>>) -> Option<ConditionalWrite<T>> {
        while let Ok(write) = waiting.try_recv() {
            let bytes = encoded_len(&write.ops);
            if !self.can_hold(&write, bytes) {
                return Some(write);
            }
            self.op_count += write.ops.len();
            self.condition_count += write.conditions.len();
            self.bytes += bytes;
            self.writes.push(write);
        }
        None
    }

    fn can_hold(&self, write: &ConditionalWrite<T>, bytes: usize) -> bool {
        let shares_condition = self
            .writes
            .iter()
            .flat_map(|other| &other.conditions)
            .any(|condition| write.conditions.contains(condition));
        !shares_condition
            && self.op_count + write.ops.len() <= self.max_ops
            && self.condition_count + write.conditions.len() <= self.max_ops * CONDITIONS_PER_OP
            && self.bytes + bytes <= TRANSACTION_BYTES
    }
}

/// The bytes of operations as they are sent.
fn encoded_len(ops: &[WriteOp]) -> usize {
    serde_json::to_vec(ops).map_or(0, |bytes| bytes.len())
}
