//! A part's side of handovers: as giver it stops giving orders and tells what it knows,
//! as taker it goes on from that.
//!
//! A fenced machine is frozen: its worker's lease is renewed, so that nothing there ends,
//! and cancelled tasks are stopped; but nothing is started, reaped or taken in any more.
//! What is on the machine can only become less, so that what the taker is told is never
//! too little, however late it comes.

use super::machine::Machine;
use super::{Held, Leave, Part, Phase, Place, ReportReply, Stop};
use crate::clock::{self, Secs};
use crate::jobs::Mirror;
use crate::membership::{self, token, token_epoch};
use crate::wire::{Call, MachineId, Report, Task, TaskState};
use finchwood_shares::handover::{HandoverId, HandoverOrder, HandoverReport};
use finchwood_shares::knowledge::{LineKnowledge, MachineKnowledge, TaskKnowledge};
use finchwood_shares::position::position;
use finchwood_shares::table::ShareRange;
use std::collections::{BTreeMap, BTreeSet};

/// A share to whose machines no orders are given.
#[derive(Debug, Clone)]
struct Fence {
    range: ShareRange,
    knowledge: Vec<MachineKnowledge>,
    /// The table names the taker, and the machines are let go of.
    released: bool,
}

/// The handovers in which a part takes part.
#[derive(Debug, Clone, Default)]
pub(super) struct HandoverSide {
    fences: BTreeMap<HandoverId, Fence>,
    accepted: BTreeSet<HandoverId>,
    taken: BTreeSet<HandoverId>,
    /// Machines that the table has given to this part, and of which it knows nothing yet.
    awaited: BTreeSet<MachineId>,
    /// When the table last changed.
    table_changed_at: Option<Secs>,
    /// The members of the epoch, among whom the hash names homes.
    members: BTreeMap<String, u64>,
}

impl HandoverSide {
    /// No handovers yet, in an epoch of `members`.
    pub(super) fn new(members: BTreeMap<String, u64>) -> HandoverSide {
        HandoverSide {
            members,
            ..HandoverSide::default()
        }
    }

    /// Whether a machine gets no orders. Guard: by its position, so that one that appears
    /// while its range moves gets none either.
    pub(super) fn is_fenced(&self, id: &MachineId) -> bool {
        let fences = self.fences.values().filter(|fence| !fence.released);
        fences.into_iter().any(|fence| self.is_in(&fence.range, id))
    }

    /// Whether a machine is of a range: by its home, and its position.
    fn is_in(&self, range: &ShareRange, id: &str) -> bool {
        let home = membership::owner(&self.members, id);
        home.is_some_and(|home| range.contains(home, position(id)))
    }

    /// Whether a machine is this part's, and what its giver knows is still to come.
    pub(super) fn is_awaited(&self, id: &MachineId) -> bool {
        self.awaited.contains(id)
    }

    /// A machine is gone.
    pub(super) fn forget(&mut self, id: &MachineId) {
        self.awaited.remove(id);
    }

    /// What the leader is told.
    pub(super) fn report(&self) -> HandoverReport {
        let fenced = self.fences.iter().filter(|(_, fence)| !fence.released);
        let released = self.fences.iter().filter(|(_, fence)| fence.released);
        HandoverReport {
            accepted: self.accepted.iter().copied().collect(),
            fenced: fenced
                .map(|(id, fence)| (*id, fence.knowledge.clone()))
                .collect(),
            released: released.map(|(id, _)| *id).collect(),
            taken: self.taken.iter().copied().collect(),
        }
    }
}

impl Part {
    /// Takes in all handovers that the leader tells. A fence that is no longer told is
    /// over: the handover was withdrawn, or this part has let go of the share.
    pub(super) fn take_handover_orders(
        &mut self,
        orders: &[HandoverOrder],
        mirror: &Mirror,
        now: Secs,
    ) {
        let before = self.handovers.report();
        let told: BTreeSet<HandoverId> = orders.iter().map(HandoverOrder::id).collect();
        self.handovers.fences.retain(|id, _| told.contains(id));
        self.handovers.taken.retain(|id| told.contains(id));
        self.handovers.accepted.clear();
        for order in orders {
            match order {
                HandoverOrder::Offer { id } => {
                    self.handovers.accepted.insert(*id);
                }
                HandoverOrder::Fence { id, range } => self.fence(*id, range, now),
                HandoverOrder::Take {
                    id,
                    range,
                    generation,
                    machines,
                } => {
                    if mirror.shares.generation >= *generation && self.handovers.taken.insert(*id) {
                        self.take_share(range, machines, mirror, now);
                    }
                }
            }
        }
        self.dirty |= self.handovers.report() != before;
    }

    /// Stops giving orders to the machines of a range, and notes what is known of them.
    fn fence(&mut self, id: HandoverId, range: &ShareRange, now: Secs) {
        if self.handovers.fences.contains_key(&id) {
            return;
        }
        let side = &self.handovers;
        let machines: Vec<MachineId> = self
            .machines
            .keys()
            .filter(|machine| side.is_in(range, machine))
            .cloned()
            .collect();
        for id in &machines {
            self.give_back_unsent(id);
            if let Some(m) = self.machines.get_mut(id).filter(|m| m.in_flight) {
                // It may be executed yet: dead once its worker has seen a higher token.
                m.counter += 1;
            }
        }
        let knowledge = machines
            .iter()
            .filter_map(|id| self.knowledge(id, now))
            .collect();
        tracing::debug!(handover = id, %range, machines = machines.len(), "fenced");
        let fence = Fence {
            range: range.clone(),
            knowledge,
            released: false,
        };
        self.handovers.fences.insert(id, fence);
    }

    /// Tasks that were to be started on a machine, and certainly were not, are the leader's
    /// again. Guard: given back later, they would be in the taker's hands as well.
    fn give_back_unsent(&mut self, id: &MachineId) {
        for task in self.held.names_on(id) {
            let place = self.held.get(&task).and_then(|held| held.at.as_ref());
            if place.is_some_and(|place| !place.confirmed && place.start_token == u64::MAX) {
                self.leave(&task, Leave::Passed);
            }
        }
    }

    /// Machines that get no orders, as they are being handed over.
    pub fn fenced_machines(&self) -> Vec<MachineId> {
        self.machines
            .keys()
            .filter(|id| self.handovers.is_fenced(id))
            .cloned()
            .collect()
    }

    /// Answers a worker of a share that is being handed over: its lease is renewed, and
    /// what is cancelled stops.
    pub(super) fn answer_fenced(&mut self, r: &Report, mirror: &Mirror, now: Secs) -> ReportReply {
        let epoch = self.epoch;
        let Some(m) = self.machines.get_mut(&r.machine) else {
            return ReportReply::Refuse;
        };
        if (r.session, r.seq) <= (m.session, m.seq) || r.session <= m.over {
            return ReportReply::Refuse;
        }
        m.answered = Some(now);
        // Guard: it would look silent for as long as the table can't be written.
        if token_epoch(r.token) == epoch {
            m.heard = Some(now);
        }
        let cancelled = |task: &str| {
            let job = Task::parse(task).and_then(|task| mirror.jobs.get(&task.job));
            job.is_some_and(|job| job.record.cancelled)
        };
        let stops = r
            .tasks
            .iter()
            .filter(|line| line.state != TaskState::Ended && cancelled(&line.task));
        let commands = stops
            .map(|line| Call::Stop {
                task: line.task.clone(),
                attempt: line.attempt,
                grace_s: 0.0,
            })
            .collect();
        ReportReply::Commands {
            token: token(epoch, m.counter),
            commands,
        }
    }

    /// The table of shares has changed: what is no longer this part's goes, and what is
    /// new waits for its giver's knowledge.
    pub fn shares_changed(&mut self, mirror: &Mirror, now: Secs, owns: impl Fn(&str) -> bool) {
        self.handovers.table_changed_at = Some(now);
        let gone: Vec<MachineId> = self
            .machines
            .keys()
            .filter(|id| !owns(id))
            .cloned()
            .collect();
        for id in &gone {
            self.let_go(id);
        }
        let (node, table) = (&self.node, &mirror.shares);
        for fence in self.handovers.fences.values_mut() {
            fence.released |= table.sole_owner(&fence.range) != Some(node);
        }
        let machines = &self.machines;
        let gained = mirror
            .roster
            .keys()
            .filter(|id| owns(id) && !machines.contains_key(*id));
        self.handovers.awaited = gained.cloned().collect();
        self.dirty = true;
    }

    /// A machine is another part's, with all that is on it.
    fn let_go(&mut self, id: &MachineId) {
        for task in self.held.names_on(id) {
            self.drop_held(&task);
        }
        self.machines.remove(id);
        self.told.remove(id);
        self.unlisted.push((id.clone(), self.seq + 1));
    }

    /// Goes on with a share from what its giver knew. A machine of it that the giver did
    /// not know is asked like any other.
    fn take_share(
        &mut self,
        range: &ShareRange,
        known: &[MachineKnowledge],
        mirror: &Mirror,
        now: Secs,
    ) {
        let side = &self.handovers;
        let mine: BTreeSet<MachineId> = side
            .awaited
            .iter()
            .filter(|id| side.is_in(range, id))
            .cloned()
            .collect();
        self.handovers.awaited.retain(|id| !mine.contains(id));
        for machine in known.iter().filter(|machine| mine.contains(&machine.id)) {
            self.adopt_machine(machine, mirror, now);
        }
        for id in &mine {
            if let Some((record, _)) = mirror.roster.get(id) {
                self.list(id, &record.clone(), now);
            }
            let until = self.giver_renews_until();
            if let Some(m) = self.machines.get_mut(id) {
                m.giver_renews_until = until;
            }
        }
        tracing::debug!(%range, machines = mine.len(), "took a share");
    }

    /// Until when the giver of a machine that has just come may renew its worker's lease:
    /// one that has not read the changed table answers until its knowledge is too old.
    pub(super) fn giver_renews_until(&self) -> Secs {
        let margin = clock::with_drift_margin(self.timing.member_life_s);
        self.handovers
            .table_changed_at
            .map_or(f64::MIN, |changed| changed + margin)
    }

    /// What is known of a machine, for its taker.
    fn knowledge(&self, id: &MachineId, now: Secs) -> Option<MachineKnowledge> {
        let m = self.machines.get(id)?;
        let held = self
            .held
            .on(id)
            .filter_map(|(task, held)| task_knowledge(task, held, now));
        let lines = m
            .lines
            .iter()
            .map(|(task, (attempt, state, why))| LineKnowledge {
                task: task.clone(),
                attempt: *attempt,
                state: *state,
                why: why.clone(),
            });
        Some(MachineKnowledge {
            id: id.clone(),
            kind: m.kind.clone(),
            zone: m.zone.clone(),
            spot: m.spot,
            addr: m.addr.clone(),
            listed: m.listed,
            up: m.up,
            state: m.state,
            session: m.session,
            seq: m.seq,
            counter: m.counter,
            over: m.over,
            heard_ago_s: m.heard.map(|at| now - at),
            session_seen_ago_s: now - m.session_seen,
            notice_in_s: m.notice_until.map(|until| until - now),
            lines: lines.collect(),
            held: held.collect(),
            images: m.images.iter().cloned().collect(),
        })
    }

    /// Takes over a machine with all that its giver knew. Its token is above any that the
    /// giver used.
    fn adopt_machine(&mut self, known: &MachineKnowledge, mirror: &Mirror, now: Secs) {
        let lines = known
            .lines
            .iter()
            .map(|l| (l.task.clone(), (l.attempt, l.state, l.why.clone())));
        let machine = Machine {
            kind: known.kind.clone(),
            zone: known.zone.clone(),
            spot: known.spot,
            addr: known.addr.clone(),
            listed: known.listed,
            up: known.up,
            state: known.state,
            session: known.session,
            seq: known.seq,
            counter: known.counter + 1,
            over: known.over,
            heard: known.heard_ago_s.map(|ago| now - ago),
            session_seen: now - known.session_seen_ago_s,
            notice_until: known.notice_in_s.map(|in_s| now + in_s),
            lines: lines.collect(),
            images: known.images.iter().cloned().collect(),
            probe: true,
            reconciled: true,
            ..Machine::unknown(now)
        };
        self.machines.insert(known.id.clone(), machine);
        for task in &known.held {
            self.adopt_task(&known.id, task, mirror, now);
        }
    }

    fn adopt_task(
        &mut self,
        machine: &MachineId,
        known: &TaskKnowledge,
        mirror: &Mirror,
        now: Secs,
    ) {
        if self.held.contains(&known.task) {
            tracing::warn!(task = %known.task, %machine, "a task that comes with a share is held already");
            return;
        }
        let phase = match (known.done, known.confirmed) {
            (true, _) => Phase::Done,
            (false, true) => Phase::Running,
            (false, false) => Phase::Starting,
        };
        let place = Place {
            machine: machine.clone(),
            session: known.session,
            phase,
            start_token: known.start_token,
            sent: known.sent,
            confirmed: known.confirmed,
            stop: known.stopping.then_some(Stop::Recalled),
            stop_sent: false,
            since: now - known.for_s,
        };
        let held = Held {
            attempt: known.attempt,
            assignment: known.assignment,
            at: Some(place),
            since: now,
            avoid: Vec::new(),
            told: None,
        };
        // It was here before, and is again: that it had gone need not be told any more.
        self.dropped
            .retain(|(task, attempt, _)| *task != known.task || *attempt != known.attempt);
        let seen = self.seen.entry(known.task.clone()).or_insert(0);
        *seen = (*seen).max(known.assignment);
        self.held.insert(known.task.clone(), held);
        if mirror
            .jobs
            .get(&known.task.job)
            .is_some_and(|job| job.record.cancelled)
        {
            self.recall(&known.task, known.attempt, Stop::Cancelled);
        }
    }
}

fn task_knowledge(task: &Task, held: &Held, now: Secs) -> Option<TaskKnowledge> {
    let place = held.at.as_ref()?;
    Some(TaskKnowledge {
        task: task.clone(),
        attempt: held.attempt,
        assignment: held.assignment,
        session: place.session,
        start_token: place.start_token,
        sent: place.sent,
        confirmed: place.confirmed,
        done: place.phase == Phase::Done,
        stopping: place.stop.is_some(),
        for_s: now - place.since,
    })
}
