//! Group commit: batches queued conditional writes into transactions.

use super::{CommitOutcome, Condition, RateBudget, StoreClient, WriteClass, WriteOp};
use crate::clock::{self, Seconds, Timestamp};
use crate::config::settings::Settings;
use crate::threads::spawn_detached;
use crossbeam::channel::{bounded, Receiver, Sender, TrySendError};
use std::time::Duration;

/// A conditional write, which is committed alone or in one transaction with others.
#[derive(Debug)]
pub struct ConditionalWrite<T> {
    /// The conditions under which the write is applied.
    pub conditions: Vec<Condition>,
    /// The operations of the write.
    pub ops: Vec<WriteOp>,
    /// The time after which the write is no longer sent.
    pub deadline: Timestamp,
    /// What the write is for; returned to its sender with the outcome.
    pub purpose: T,
}

/// The queues of writes that wait to be committed, one for each [`WriteClass`].
pub struct GroupCommitter<T> {
    urgent: Sender<ConditionalWrite<T>>,
    bulk: Sender<ConditionalWrite<T>>,
}

/// The number of threads that commit writes of one class.
const THREADS_PER_CLASS: usize = 2;

/// The longest time that the rate limit may delay one batch, in seconds. The commit of a
/// finished job or of a user's submission may have to wait until the batch is sent.
const MAX_BATCH_DELAY_S: Seconds = 0.5;

/// The largest number of conditions in a transaction, for each operation that it may have.
const MAX_CONDITIONS_PER_OP: usize = 4;

/// The largest encoded size of a transaction's operations, in bytes. The store accepts
/// slightly larger transactions.
const MAX_TRANSACTION_BYTES: usize = 48 * 1024;

/// The capacity of the queue of a class, in seconds of writes at the store's rate limit;
/// [`MIN_QUEUE_CAPACITY`] is added to it.
const QUEUE_CAPACITY_S: f64 = 8.0;

/// The number of writes that the queue of a class can hold at any rate limit.
const MIN_QUEUE_CAPACITY: usize = 64;

/// The longest delay before a retry after the store's rate limit was exceeded, in seconds.
const MAX_RATE_LIMIT_DELAY_S: Seconds = 0.1;

impl<T: Send + 'static> GroupCommitter<T> {
    /// Starts detached threads that batch queued writes into transactions. `on_outcome` is
    /// called once for each write, with the write's purpose and the outcome; its return value is
    /// ignored.
    pub fn start<F>(settings: &Settings, budget: RateBudget, on_outcome: F) -> GroupCommitter<T>
    where
        F: Fn(T, CommitOutcome) -> bool + Send + Clone + 'static,
    {
        let start = |class| start_class(settings, &budget, class, &on_outcome);
        GroupCommitter {
            urgent: start(WriteClass::Urgent),
            bulk: start(WriteClass::Bulk),
        }
    }

    /// Queues a write to be committed.
    ///
    /// # Errors
    /// Returns the write if the queue is full.
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

/// Starts the threads that commit writes of one class. Returns the sender of their queue.
fn start_class<T, F>(
    settings: &Settings,
    budget: &RateBudget,
    class: WriteClass,
    on_outcome: &F,
) -> Sender<ConditionalWrite<T>>
where
    T: Send + 'static,
    F: Fn(T, CommitOutcome) -> bool + Send + Clone + 'static,
{
    let write_rps = settings.params.state.write_rps;
    let (queue, writes) = bounded((write_rps * QUEUE_CAPACITY_S) as usize + MIN_QUEUE_CAPACITY);
    // A batch waits until the rate limit allows all of its operations.
    let ops_in_time = (write_rps * class.rate_share() * MAX_BATCH_DELAY_S).ceil() as usize;
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
            on_outcome: on_outcome.clone(),
        };
        let writes = writes.clone();
        spawn_detached(&format!("state-{class:?}-{number}"), move || {
            committer.run(&writes, max_ops);
        });
    }
    queue
}

/// The state of one thread that commits batches.
struct Committer<F> {
    store: StoreClient,
    budget: RateBudget,
    class: WriteClass,
    on_outcome: F,
}

impl<F> Committer<F> {
    /// Commits queued writes until their queue is disconnected.
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

    /// Commits a batch of writes, with retries, until each of them has an outcome.
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
                // Each write is committed alone, so that an invalid one does not repeatedly
                // fail the others of its transaction.
                CommitOutcome::Invalid if writes.len() > 1 => {
                    for write in writes {
                        self.commit(vec![write]);
                    }
                    return;
                }
                // The transaction was certainly not applied: it is retried until the
                // deadlines of its writes.
                CommitOutcome::RateLimited => {
                    self.budget.record_rate_limit(self.class);
                    let delay_s = rand::random::<f64>() * MAX_RATE_LIMIT_DELAY_S;
                    std::thread::sleep(Duration::from_secs_f64(delay_s));
                }
                outcome => return self.report(writes, &outcome),
            }
        }
    }

    /// Sends the writes as one transaction, once the rate budget allows it.
    fn commit_once<T>(&self, writes: &[ConditionalWrite<T>]) -> CommitOutcome {
        self.budget.wait_call();
        let op_count = writes.iter().map(|write| write.ops.len()).sum();
        self.budget.wait_writes(self.class, op_count);
        let mut conditions: Vec<Condition> = Vec::new();
        for condition in writes.iter().flat_map(|write| &write.conditions) {
            if !conditions.contains(condition) {
                conditions.push(condition.clone());
            }
        }
        let ops: Vec<WriteOp> = writes.iter().flat_map(|write| write.ops.clone()).collect();
        self.store.commit(&conditions, &ops)
    }

    /// Reports the writes whose deadlines have passed as refused. Returns the others.
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

    /// Reports a conflict to the writes with a condition on one of `keys`, or to all writes
    /// if none has one. Returns the writes that were not reported.
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
            (self.on_outcome)(write.purpose, outcome.clone());
        }
    }
}

/// A batch of writes that fit into one transaction.
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

    /// Adds queued writes as long as the transaction can hold them. Returns the first write
    /// that does not fit.
    fn extend(&mut self, queued: &Receiver<ConditionalWrite<T>>) -> Option<ConditionalWrite<T>> {
        while let Ok(write) = queued.try_recv() {
            let bytes = encoded_len(&write.ops);
            if !self.can_include(&write, bytes) {
                return Some(write);
            }
            self.op_count += write.ops.len();
            self.condition_count += write.conditions.len();
            self.bytes += bytes;
            self.writes.push(write);
        }
        None
    }

    /// Whether a write whose operations have `bytes` bytes fits into the transaction. Writes
    /// are committed in different transactions if one of them changes a key that the other
    /// changes or has a condition on, or if their conditions exclude each other. A condition on
    /// a key that neither changes may be common to both, as that on the epoch is.
    fn can_include(&self, write: &ConditionalWrite<T>, bytes: usize) -> bool {
        let interferes = self.writes.iter().any(|other| interfere(other, write));
        !interferes
            && self.op_count + write.ops.len() <= self.max_ops
            && self.condition_count + write.conditions.len() <= self.max_ops * MAX_CONDITIONS_PER_OP
            && self.bytes + bytes <= MAX_TRANSACTION_BYTES
    }
}

fn interfere<T>(one: &ConditionalWrite<T>, other: &ConditionalWrite<T>) -> bool {
    let excludes = |condition: &Condition| {
        other
            .conditions
            .iter()
            .any(|other| other.key == condition.key && other.revision != condition.revision)
    };
    changes_key_of(one, other) || changes_key_of(other, one) || one.conditions.iter().any(excludes)
}

/// Whether `write` changes a key that `other` changes or has a condition on.
fn changes_key_of<T>(write: &ConditionalWrite<T>, other: &ConditionalWrite<T>) -> bool {
    let conditions = other.conditions.iter().map(|condition| &*condition.key);
    let keys: Vec<&str> = conditions
        .chain(other.ops.iter().map(WriteOp::key))
        .collect();
    write.ops.iter().any(|op| keys.contains(&op.key()))
}

/// Returns the size of operations as they are sent, in bytes.
fn encoded_len(ops: &[WriteOp]) -> usize {
    serde_json::to_vec(ops).map_or(0, |bytes| bytes.len())
}
