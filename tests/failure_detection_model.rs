//! Who is judged dead, against a plain world that knows: machines die or hang
//! in any number and anywhere, zones are cut off and come back.

use finchwood::cluster::failure_detection::{
    FailureDetector, HealthVerdict, MachineHealth, ZoneContactAges, ZoneContactSpan,
};
use proptest::prelude::*;
use std::sync::Arc;

const REPORT_S: f64 = 5.0;
const LEASE_S: f64 = 31.0;
const STEP_S: f64 = 0.5;
const OWNERS: usize = 2;
/// The longest that a worker waits for an answer before it tries elsewhere.
const AWAY_S: f64 = 4.0 + 1.0;

#[derive(Debug, Clone)]
struct Machine {
    zone: usize,
    /// Dead, or hung for good, from then on.
    ends: Option<f64>,
    /// Next report; after a cut, when its worker is back.
    due: f64,
    /// How long it takes to come back, as a share of the longest.
    late: f64,
    heard: f64,
    unanswered_since: Option<f64>,
    /// When its owner asks it next, if it is late, or gives up asking.
    ask: f64,
    asking: bool,
    asked: Option<f64>,
}

/// Plays `span` seconds and tells of every machine that is judged dead: its
/// number and when. A zone may be given up for new machines only while it is
/// cut off, and is once its silence has shown.
fn play(
    mut machines: Vec<Machine>,
    zones: usize,
    cut: Option<(usize, f64, f64)>,
    span: f64,
) -> Vec<(usize, f64)> {
    let names: Vec<Arc<str>> = (0..zones).map(|z| format!("z{z}").into()).collect();
    // By owner and zone: a zone's machines belong to several owners.
    let mut reached: Vec<[Option<ZoneContactSpan>; OWNERS]> = vec![[None; OWNERS]; zones];
    let mut judged = Vec::new();
    let mut now = 0.0;
    while now < span {
        for (i, m) in machines.iter_mut().enumerate() {
            let known = &mut reached[m.zone][i % OWNERS];
            let cut_off = cut.is_some_and(|(z, from, to)| z == m.zone && (from..to).contains(&now));
            let dead = m.ends.is_some_and(|t| now >= t);
            if cut_off {
                m.due = cut.map_or(0.0, |c| c.2) + m.late * (AWAY_S + REPORT_S * 0.5);
            }
            let there = !dead && !cut_off;
            let late = now - m.heard > REPORT_S * 1.3;
            let mut answers = there && now >= m.due;
            if late && now >= m.ask {
                if there {
                    answers = true;
                } else if m.asking {
                    // Given up; once more at once, then now and then.
                    let others = known.is_some_and(|r| m.asked.is_some_and(|a| r.last_at > a));
                    let suspect = others && m.unanswered_since.is_none();
                    m.ask = if suspect { now } else { now + REPORT_S };
                    if suspect {
                        m.unanswered_since = Some(now);
                    }
                    m.asking = false;
                } else {
                    m.ask = now + REPORT_S / 2.0;
                    m.asked = m.asked.or(Some(now));
                    m.asking = true;
                }
            }
            if answers {
                m.due = now + REPORT_S * (0.75 + m.late / 2.0);
                m.heard = now;
                m.unanswered_since = None;
                m.asked = None;
                m.asking = false;
                *known = Some(ZoneContactSpan::extend(*known, now, REPORT_S));
            }
        }
        let signs: Vec<MachineHealth> = machines
            .iter()
            .enumerate()
            .map(|(i, m)| MachineHealth {
                zone: names[m.zone].clone(),
                // Its first report after a while may say nothing new.
                tasks_known: m.heard > 0.0 && now - m.heard >= STEP_S || i % 3 > 0,
                silent_s: now - m.heard,
                unanswered_s: m.unanswered_since.map(|d| now - d),
                zone_contact: reached[m.zone][i % OWNERS].map(|s| ZoneContactAges {
                    began_ago_s: now - s.began_at,
                    last_ago_s: now - s.last_at,
                }),
                seen_by_other_controller: false,
                ignores_commands: false,
                owner_responds_late: false,
            })
            .collect();
        let judge = FailureDetector::new(REPORT_S, LEASE_S, signs.iter());
        for (z, name) in names.iter().enumerate() {
            let silent = cut.filter(|c| c.0 == z).map(|c| (now - c.1, now - c.2));
            let shown = silent.is_some_and(|(begun, over)| begun > REPORT_S * 3.5 && over < 0.0);
            let may = silent.is_some_and(|(begun, over)| begun > 0.0 && over < REPORT_S * 2.0);
            assert!(
                judge.zone_unreachable(name) || !shown,
                "a cut zone still gets machines"
            );
            assert!(
                !judge.zone_unreachable(name) || may,
                "{name} is given up at {now}"
            );
        }
        for (i, s) in signs.iter().enumerate() {
            let verdict = judge.verdict(s);
            if verdict == HealthVerdict::Replace && !judged.iter().any(|(j, _)| *j == i) {
                judged.push((i, now));
            }
            // Neither idle nor of use while it shows no sign.
            assert!(
                verdict != HealthVerdict::Keep || s.silent_s <= REPORT_S * 2.0 && s.tasks_known
            );
        }
        now += STEP_S;
    }
    judged
}

fn fleet(sizes: &[usize], lates: &[f64]) -> Vec<Machine> {
    let zones = sizes.iter().enumerate().flat_map(|(z, n)| vec![z; *n]);
    let lates = lates.iter().cycle();
    zones
        .zip(lates)
        .map(|(zone, &late)| Machine {
            zone,
            ends: None,
            due: late * REPORT_S,
            late,
            heard: 0.0,
            unanswered_since: None,
            ask: 0.0,
            asking: false,
            asked: None,
        })
        .collect()
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 64, failure_persistence: None, rng_algorithm: prop::test_runner::RngAlgorithm::ChaCha, ..ProptestConfig::default() })]

    /// However many die together, and be they most of a zone: each is replaced
    /// soon, and none that lives is, as long as anybody of the zone is left.
    #[test]
    fn many_dead_are_no_cut(
        sizes in proptest::collection::vec(4usize..40, 2..5),
        lates in proptest::collection::vec(0.0f64..1.0, 37),
        share in 0.02f64..0.95,
        first in 0usize..4,
    ) {
        let mut machines = fleet(&sizes, &lates);
        let n = ((machines.len() as f64 * share) as usize).max(1);
        // From one zone on, and over to the next; the last of each zone lives.
        let order: Vec<usize> = (0..machines.len()).collect();
        let start: usize = sizes.iter().take(first % sizes.len()).sum();
        let mut died = Vec::new();
        for &i in order.iter().cycle().skip(start).take(machines.len()).take(n) {
            let zone = machines[i].zone;
            let left = machines.iter().filter(|m| m.zone == zone && m.ends.is_none()).count();
            if left > 1 {
                machines[i].ends = Some(20.0);
                died.push(i);
            }
        }
        // Where its owner has few others there, it takes a while until one is
        // reached meanwhile; with none, what other owners reach decides.
        let left = |i: usize| {
            let others = machines.iter().enumerate().filter(|(j, m)| {
                j % OWNERS == i % OWNERS && m.zone == machines[i].zone && m.ends.is_none()
            });
            others.count()
        };
        let soon: Vec<f64> = (0..machines.len())
            .map(|i| match left(i) {
                0 => 6.0,
                1..=5 => 5.0,
                _ => 4.0,
            })
            .collect();
        let judged = play(machines, sizes.len(), None, 60.0);
        for i in &died {
            let at = judged.iter().find(|(j, _)| j == i).map(|j| j.1);
            prop_assert!(at.is_some_and(|t| t < 20.0 + REPORT_S * soon[*i]), "{} of {}: {at:?}", i, died.len());
        }
        prop_assert_eq!(judged.len(), died.len());
    }

    /// Nobody of a zone that is cut off is replaced for it, nor when it is back
    /// and its workers come one after the other. What died elsewhere meanwhile
    /// is, and what died in the zone once that is back.
    #[test]
    fn a_cut_zone_is_kept_and_its_dead_are_found_later(
        sizes in proptest::collection::vec(3usize..40, 2..5),
        lates in proptest::collection::vec(0.0f64..1.0, 37),
        long in 4.0f64..80.0,
        inside in any::<bool>(),
    ) {
        let mut machines = fleet(&sizes, &lates);
        let dead = if inside { 0 } else { sizes[0] };
        machines[dead].ends = Some(32.0);
        let judged = play(machines, sizes.len(), Some((0, 30.0, 30.0 + long)), 70.0 + long);
        prop_assert_eq!(judged.len(), 1, "{:?}", judged);
        prop_assert_eq!(judged[0].0, dead);
        let by = if inside { 30.0 + long + REPORT_S * 5.0 + AWAY_S } else { 32.0 + REPORT_S * 6.0 };
        prop_assert!(judged[0].1 < by, "at {}", judged[0].1);
    }
}
