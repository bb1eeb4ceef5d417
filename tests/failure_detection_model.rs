//! Compares the verdicts of the failure detector with a simple simulation: any number of
//! machines may die or hang, in any zone, and zones may be partitioned for a while.

use finchwood::cluster::failure_detection::{
    FailureDetector, HealthVerdict, MachineHealth, ZoneContactAges, ZoneContactSpan,
};
use proptest::prelude::*;
use std::sync::Arc;

const REPORT_S: f64 = 5.0;
const LEASE_S: f64 = 31.0;
const STEP_S: f64 = 0.5;
/// The number of controllers that share the machines.
const OWNERS: usize = 2;
/// The longest time for which a worker waits for a response before it contacts another
/// controller.
const MAX_RESPONSE_WAIT_S: f64 = 4.0 + 1.0;

#[derive(Debug, Clone)]
struct Machine {
    /// The index of its zone.
    zone: usize,
    /// When it dies or hangs for good; `None` if it does not.
    fails_at: Option<f64>,
    /// When its next heartbeat is due. During a partition of its zone: when its worker reaches
    /// its owner again.
    heartbeat_due_at: f64,
    /// The delay of its heartbeats, as a fraction of the longest delay (0 to 1).
    delay_fraction: f64,
    /// When its owner last received a heartbeat or a response to a probe.
    last_contact_at: f64,
    /// Since when it has left probes unanswered while other machines of its zone were
    /// reachable; `None` if it has not.
    unanswered_since: Option<f64>,
    /// If it is silent: when its owner sends the next probe, or when the one in flight times
    /// out.
    next_probe_at: f64,
    probe_in_flight: bool,
    /// When the first probe since the last contact was sent; `None` if none was.
    first_probe_at: Option<f64>,
}

/// Simulates `duration_s` seconds. Returns the index of each machine that is judged dead and
/// the time of that verdict. `partition` is a zone and the times at which its partition begins
/// and ends. Asserts that a zone counts as unreachable only during its partition and shortly
/// after it, and that it does so once the partition has lasted for long enough.
fn simulate(
    mut machines: Vec<Machine>,
    zones: usize,
    partition: Option<(usize, f64, f64)>,
    duration_s: f64,
) -> Vec<(usize, f64)> {
    let names: Vec<Arc<str>> = (0..zones).map(|zone| format!("z{zone}").into()).collect();
    // By zone and owner, as the machines of a zone belong to several owners.
    let mut contact_spans: Vec<[Option<ZoneContactSpan>; OWNERS]> = vec![[None; OWNERS]; zones];
    let mut judged_dead = Vec::new();
    let mut now = 0.0;
    while now < duration_s {
        for (index, machine) in machines.iter_mut().enumerate() {
            let contact_span = &mut contact_spans[machine.zone][index % OWNERS];
            let is_partitioned = partition
                .is_some_and(|(zone, from, to)| zone == machine.zone && (from..to).contains(&now));
            let has_failed = machine.fails_at.is_some_and(|fails_at| now >= fails_at);
            if is_partitioned {
                machine.heartbeat_due_at = partition.map_or(0.0, |partition| partition.2)
                    + machine.delay_fraction * (MAX_RESPONSE_WAIT_S + REPORT_S * 0.5);
            }
            let is_reachable = !has_failed && !is_partitioned;
            let is_silent = now - machine.last_contact_at > REPORT_S * 1.3;
            let mut has_contact = is_reachable && now >= machine.heartbeat_due_at;
            if is_silent && now >= machine.next_probe_at {
                if is_reachable {
                    has_contact = true;
                } else if machine.probe_in_flight {
                    // The probe timed out. If other machines of the zone were reached since
                    // the first probe, it is repeated at once, but only the first time that
                    // this happens. Otherwise it is repeated after a report interval.
                    let others_reached = contact_span.is_some_and(|span| {
                        machine
                            .first_probe_at
                            .is_some_and(|sent_at| span.last_at > sent_at)
                    });
                    let newly_unanswered = others_reached && machine.unanswered_since.is_none();
                    machine.next_probe_at = if newly_unanswered {
                        now
                    } else {
                        now + REPORT_S
                    };
                    if newly_unanswered {
                        machine.unanswered_since = Some(now);
                    }
                    machine.probe_in_flight = false;
                } else {
                    machine.next_probe_at = now + REPORT_S / 2.0;
                    machine.first_probe_at = machine.first_probe_at.or(Some(now));
                    machine.probe_in_flight = true;
                }
            }
            if has_contact {
                machine.heartbeat_due_at = now + REPORT_S * (0.75 + machine.delay_fraction / 2.0);
                machine.last_contact_at = now;
                machine.unanswered_since = None;
                machine.first_probe_at = None;
                machine.probe_in_flight = false;
                *contact_span = Some(ZoneContactSpan::extend(*contact_span, now, REPORT_S));
            }
        }
        let healths: Vec<MachineHealth> = machines
            .iter()
            .enumerate()
            .map(|(index, machine)| MachineHealth {
                zone: names[machine.zone].clone(),
                // The first heartbeat after a silence may not reconcile a machine. Here every
                // third machine is unreconciled before its first contact and in each step in
                // which it has contact.
                reconciled: machine.last_contact_at > 0.0
                    && now - machine.last_contact_at >= STEP_S
                    || index % 3 > 0,
                silent_s: now - machine.last_contact_at,
                unanswered_s: machine.unanswered_since.map(|since| now - since),
                zone_contact: contact_spans[machine.zone][index % OWNERS].map(|span| {
                    ZoneContactAges {
                        began_ago_s: now - span.began_at,
                        last_ago_s: now - span.last_at,
                    }
                }),
                seen_by_other_controller: false,
                ignores_commands: false,
                owner_responds_late: false,
            })
            .collect();
        let detector = FailureDetector::new(REPORT_S, LEASE_S, healths.iter());
        for (zone, name) in names.iter().enumerate() {
            // How long ago the partition began and how long ago it ended, in seconds. Negative
            // if that is yet to come.
            let ages = partition
                .filter(|partition| partition.0 == zone)
                .map(|partition| (now - partition.1, now - partition.2));
            let must_be_unreachable = ages.is_some_and(|(since_begin, since_end)| {
                since_begin > REPORT_S * 3.5 && since_end < 0.0
            });
            let may_be_unreachable = ages.is_some_and(|(since_begin, since_end)| {
                since_begin > 0.0 && since_end < REPORT_S * 2.0
            });
            assert!(
                detector.zone_unreachable(name) || !must_be_unreachable,
                "the partitioned zone {name} does not count as unreachable at {now} s"
            );
            assert!(
                !detector.zone_unreachable(name) || may_be_unreachable,
                "{name} counts as unreachable at {now} s without a partition"
            );
        }
        for (index, health) in healths.iter().enumerate() {
            let verdict = detector.verdict(health);
            if verdict == HealthVerdict::Replace
                && !judged_dead.iter().any(|(judged, _)| *judged == index)
            {
                judged_dead.push((index, now));
            }
            // A silent or unreconciled machine must count neither as idle nor as available.
            assert!(
                verdict != HealthVerdict::Keep
                    || health.silent_s <= REPORT_S * 2.0 && health.reconciled
            );
        }
        now += STEP_S;
    }
    judged_dead
}

/// Returns `sizes[zone]` machines for each zone, with these delay fractions in turn. None of
/// them fails.
fn fleet(sizes: &[usize], delay_fractions: &[f64]) -> Vec<Machine> {
    let zones = sizes
        .iter()
        .enumerate()
        .flat_map(|(zone, size)| vec![zone; *size]);
    let delay_fractions = delay_fractions.iter().cycle();
    zones
        .zip(delay_fractions)
        .map(|(zone, &delay_fraction)| Machine {
            zone,
            fails_at: None,
            heartbeat_due_at: delay_fraction * REPORT_S,
            delay_fraction,
            last_contact_at: 0.0,
            unanswered_since: None,
            next_probe_at: 0.0,
            probe_in_flight: false,
            first_probe_at: None,
        })
        .collect()
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 64, failure_persistence: None, rng_algorithm: prop::test_runner::RngAlgorithm::ChaCha, ..ProptestConfig::default() })]

    /// Machines that die together, even most of a zone, must not look like a network
    /// partition. As long as a machine of the zone remains reachable, each dead machine is
    /// replaced soon and no live one is.
    #[test]
    fn machines_that_die_together_are_replaced_and_not_taken_for_a_partition(
        sizes in proptest::collection::vec(4usize..40, 2..5),
        delay_fractions in proptest::collection::vec(0.0f64..1.0, 37),
        dead_fraction in 0.02f64..0.95,
        first_zone in 0usize..4,
    ) {
        let mut machines = fleet(&sizes, &delay_fractions);
        let count = ((machines.len() as f64 * dead_fraction) as usize).max(1);
        // They die in the order of their indices, from the first machine of a zone on. The
        // last live machine of each zone survives.
        let order: Vec<usize> = (0..machines.len()).collect();
        let start: usize = sizes.iter().take(first_zone % sizes.len()).sum();
        let mut died = Vec::new();
        for &index in order.iter().cycle().skip(start).take(machines.len()).take(count) {
            let zone = machines[index].zone;
            let alive = machines
                .iter()
                .filter(|machine| machine.zone == zone && machine.fails_at.is_none())
                .count();
            if alive > 1 {
                machines[index].fails_at = Some(20.0);
                died.push(index);
            }
        }
        // If the owner has few other live machines in the zone, it takes a while until it has
        // contact with one of them. If it has none, the contact of other owners decides.
        let live_neighbors = |index: usize| {
            let others = machines.iter().enumerate().filter(|(other, machine)| {
                other % OWNERS == index % OWNERS
                    && machine.zone == machines[index].zone
                    && machine.fails_at.is_none()
            });
            others.count()
        };
        let max_intervals: Vec<f64> = (0..machines.len())
            .map(|index| match live_neighbors(index) {
                0 => 6.0,
                1..=5 => 5.0,
                _ => 4.0,
            })
            .collect();
        let judged_dead = simulate(machines, sizes.len(), None, 60.0);
        for index in &died {
            let judged_at = judged_dead
                .iter()
                .find(|(judged, _)| judged == index)
                .map(|entry| entry.1);
            prop_assert!(
                judged_at.is_some_and(|time| time < 20.0 + REPORT_S * max_intervals[*index]),
                "machine {} of {} dead ones is judged dead at {judged_at:?}",
                index,
                died.len()
            );
        }
        prop_assert_eq!(judged_dead.len(), died.len());
    }

    /// No machine is replaced because its zone is partitioned, nor while workers return one
    /// after another at the end of the partition. A machine that dies meanwhile in another
    /// zone is replaced during the partition, and one in the partitioned zone soon after it.
    #[test]
    fn machines_of_a_partitioned_zone_are_kept_and_dead_ones_are_replaced_after_it(
        sizes in proptest::collection::vec(3usize..40, 2..5),
        delay_fractions in proptest::collection::vec(0.0f64..1.0, 37),
        partition_s in 4.0f64..80.0,
        in_partition in any::<bool>(),
    ) {
        let mut machines = fleet(&sizes, &delay_fractions);
        let dead = if in_partition { 0 } else { sizes[0] };
        machines[dead].fails_at = Some(32.0);
        let judged_dead =
            simulate(machines, sizes.len(), Some((0, 30.0, 30.0 + partition_s)), 70.0 + partition_s);
        prop_assert_eq!(judged_dead.len(), 1, "{:?}", judged_dead);
        prop_assert_eq!(judged_dead[0].0, dead);
        let deadline = if in_partition {
            30.0 + partition_s + REPORT_S * 5.0 + MAX_RESPONSE_WAIT_S
        } else {
            32.0 + REPORT_S * 6.0
        };
        prop_assert!(
            judged_dead[0].1 < deadline,
            "judged dead at {} s, due by {deadline} s",
            judged_dead[0].1
        );
    }
}
