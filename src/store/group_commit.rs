//! The group commit: conditional writes gathered into transactions.

use super::{spawn, CommitOutcome, RateBudget, StoreClient, WriteClass, WriteOp};
use crate::clock::{self, Seconds};
use crate::config::settings::Settings;
use crossbeam::channel::{bounded, Receiver, Sender, TrySendError};
use std::time::Duration;

/// A conditional write that wants to go out, with others or alone.
#[derive(Debug)]
pub struct ConditionalWrite<T> {
    pub conditions: Vec<(String, u64)>,
    pub ops: Vec<WriteOp>,
    /// After this it is not sent any more.
    pub deadline: Seconds,
    pub purpose: T,
}

/// Sends writes to the group commit.
pub struct GroupCommitter<T> {
    urgent: Sender<ConditionalWrite<T>>,
    bulk: Sender<ConditionalWrite<T>>,
}

/// Threads that commit, for each class.
const LANES: usize = 2;

/// How long a batch may take to be allowed by the rate: users wait for the end
/// of a job, and for a submission, behind it.
const BATCH_S: Seconds = 0.5;

impl<T: Send + 'static> GroupCommitter<T> {
    /// Starts the threads that gather waiting writes into transactions.
    pub fn start<F>(settings: &Settings, budget: RateBudget, tell: F) -> GroupCommitter<T>
    where
        F: Fn(T, CommitOutcome) -> bool + Send + Clone + 'static,
    {
        let bound = (settings.params.state.write_rps * 8.0) as usize + 64;
        let start = |class: WriteClass| {
            let (queue, inbox) = bounded::<ConditionalWrite<T>>(bound);
            for lane in 0..LANES {
                let store = StoreClient::new(settings);
                let (inbox, budget, tell) = (inbox.clone(), budget.clone(), tell.clone());
                // A batch waits for as many writes as it holds.
                let rate = settings.params.state.write_rps * class.share();
                let most = settings
                    .params
                    .state
                    .lowest_txn_ops()
                    .min((rate * BATCH_S).ceil() as usize)
                    .max(1);
                spawn(&format!("state-{class:?}-{lane}"), move || {
                    let mut left: Option<ConditionalWrite<T>> = None;
                    loop {
                        let first = match left.take() {
                            Some(w) => w,
                            None => match inbox.recv() {
                                Ok(w) => w,
                                Err(_) => return,
                            },
                        };
                        let mut batch = vec![first];
                        left = gather(&inbox, &mut batch, most);
                        commit_batch(&store, &budget, class, batch, &tell);
                    }
                });
            }
            queue
        };
        GroupCommitter {
            urgent: start(WriteClass::Urgent),
            bulk: start(WriteClass::Bulk),
        }
    }

    /// Queues a write, or hands it back if the queue is full.
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
            Err(TrySendError::Full(w) | TrySendError::Disconnected(w)) => Err(w),
        }
    }
}

fn bytes(ops: &[WriteOp]) -> usize {
    serde_json::to_vec(ops).map_or(0, |v| v.len())
}

/// Takes more waiting writes as long as one transaction can hold them.
/// Returns the first that did not fit.
fn gather<T>(
    inbox: &Receiver<ConditionalWrite<T>>,
    batch: &mut Vec<ConditionalWrite<T>>,
    most: usize,
) -> Option<ConditionalWrite<T>> {
    let mut ops: usize = batch[0].ops.len();
    let mut conditions = batch[0].conditions.len();
    let mut size = bytes(&batch[0].ops);
    while let Ok(next) = inbox.try_recv() {
        let clash = batch
            .iter()
            .any(|w| w.conditions.iter().any(|c| next.conditions.contains(c)));
        let next_size = bytes(&next.ops);
        if clash
            || ops + next.ops.len() > most
            || conditions + next.conditions.len() > most * 4
            || size + next_size > 48 * 1024
        {
            return Some(next);
        }
        ops += next.ops.len();
        conditions += next.conditions.len();
        size += next_size;
        batch.push(next);
    }
    None
}

fn commit_batch<T>(
    store: &StoreClient,
    budget: &RateBudget,
    class: WriteClass,
    mut batch: Vec<ConditionalWrite<T>>,
    tell: &impl Fn(T, CommitOutcome) -> bool,
) {
    loop {
        let now = clock::now();
        let (late, rest): (Vec<_>, Vec<_>) = batch.into_iter().partition(|w| w.deadline < now);
        for w in late {
            tell(w.purpose, CommitOutcome::Refused);
        }
        batch = rest;
        if batch.is_empty() {
            return;
        }
        budget.wait_call();
        budget.wait_writes(class, batch.iter().map(|w| w.ops.len()).sum());
        let conditions: Vec<_> = batch.iter().flat_map(|w| w.conditions.clone()).collect();
        let ops: Vec<_> = batch.iter().flat_map(|w| w.ops.clone()).collect();
        match store.commit(&conditions, &ops) {
            CommitOutcome::Conflict(keys) => {
                let (failed, rest): (Vec<_>, Vec<_>) = batch
                    .into_iter()
                    .partition(|w| w.conditions.iter().any(|(k, _)| keys.contains(k)));
                let stuck = failed.is_empty();
                for w in failed {
                    tell(w.purpose, CommitOutcome::Conflict(keys.clone()));
                }
                batch = rest;
                if stuck {
                    for w in batch {
                        tell(w.purpose, CommitOutcome::Conflict(keys.clone()));
                    }
                    return;
                }
            }
            // Guard: one write that the service doesn't take must not be given up
            // together with those that only shared its transaction, again and again.
            CommitOutcome::Invalid if batch.len() > 1 => {
                for write in batch {
                    commit_batch(store, budget, class, vec![write], tell);
                }
                return;
            }
            // Certainly not executed: again within the writes' deadlines.
            CommitOutcome::RateLimited => {
                budget.rate_limited(class);
                std::thread::sleep(Duration::from_secs_f64(rand::random::<f64>() * 0.1));
            }
            outcome => {
                for w in batch {
                    tell(w.purpose, outcome.clone());
                }
                return;
            }
        }
    }
}
