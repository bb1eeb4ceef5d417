//! How long a task can outlive the confirmation of its job's cancellation: a
//! slow plain model of one worker and its owner, at generated times of refusal,
//! confirmation, outage and hang, against the figure that the settings give.

#[path = "common/settings.rs"]
mod base;

use base::SETTINGS;
use finchwood::clock::{self, DRIFT};
use finchwood::config::settings::Settings;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

/// The figures that the bound is made of.
#[derive(Debug, Clone, Copy)]
struct Figures {
    report_s: f64,
    lease_s: f64,
    cancel_s: f64,
    /// The greatest age of the knowledge behind an answer.
    knowledge_s: f64,
}

/// What happens, and when, in seconds; the job is cancelled at 50.
#[derive(Debug, Clone)]
struct Scenario {
    /// The owner reads the key-value store so often.
    poll_s: f64,
    /// From then on the key-value store refuses the owner alone.
    refused_at: f64,
    /// From then on nobody is answered.
    outage_at: f64,
    /// The worker hangs then, for so long.
    hang_at: f64,
    hang_s: f64,
    /// The first report, and what part of its interval each takes.
    first_report: f64,
    pace: Vec<f64>,
    /// How long a report and its answer take.
    way_s: f64,
    /// A start that the owner sent at the last moment it could, by direct
    /// command, is carried out so much later.
    late_start_s: f64,
    /// Other owners follow: each is certain of nothing, and answers.
    successors: u32,
}

const CONFIRMED: f64 = 50.0;
const STEP: f64 = 0.05;

/// The last moment at which a task of the job is on the worker and the worker
/// runs, in seconds after the confirmation. The worker's clock is the slowest
/// that is allowed.
fn outlives(f: &Figures, s: &Scenario) -> f64 {
    let hung = |t: f64| t >= s.hang_at && t < s.hang_at + s.hang_s;
    let lease = f.lease_s * (1.0 + DRIFT);
    let (mut read, mut polled) = (0.0, 0.0);
    let (mut lease_from, mut session, mut on) = (0.0, 1, true);
    let mut due = s.first_report;
    let mut sent: Vec<(f64, f64)> = Vec::new();
    let (mut reports, mut last, mut last_start) = (0, 0.0, (0.0, 1));
    let mut stopped = false;
    let mut t = 0.0;
    while t < CONFIRMED + 4.0 * f.cancel_s {
        t += STEP;
        if t - polled >= s.poll_s && t < s.refused_at && t < s.outage_at {
            (read, polled) = (t, t);
        }
        let entitled = t - read < f.knowledge_s;
        let knows = read >= CONFIRMED;
        // Until it knows, the owner may start the task again whenever it likes.
        if entitled && !knows {
            last_start = (t, session);
        }
        if !hung(t) {
            if t - lease_from > lease {
                (on, session, lease_from) = (false, session + 1, t);
                sent.clear();
            }
            if t >= due {
                let pace = s.pace[reports % s.pace.len()];
                reports += 1;
                due = t + f.report_s * pace;
                sent.push((t, t + s.way_s));
            }
        }
        // A report that arrives is answered while its sender waits for it.
        let arrived: Vec<(f64, f64)> = sent.iter().copied().filter(|r| r.1 <= t).collect();
        sent.retain(|r| r.1 > t);
        for (from, _) in arrived {
            // A successor knows of the cancellation, or doesn't answer; it may
            // be certain of nothing, and stops what is shown to run all the same.
            let later = t > CONFIRMED + f.knowledge_s
                && (reports as u32).is_multiple_of(s.successors.max(1));
            let answers = entitled || (s.successors > 0 && later && t < s.outage_at);
            if answers && !hung(t) && t - from < 4.0 {
                lease_from = from;
                if knows || !entitled {
                    (on, stopped) = (false, true);
                }
            }
        }
        // The late start meets its session, or dies with it; and with a stop
        // goes a higher token.
        let late = last_start.0 + s.late_start_s;
        if !hung(t) && !stopped && t >= late && t < late + STEP && last_start.1 == session {
            on = true;
        }
        if on && !hung(t) && t - lease_from <= lease {
            last = t;
        }
    }
    last - CONFIRMED
}

fn scenarios() -> impl Strategy<Value = Scenario> {
    (
        (
            0.1..1.0f64,
            35.0..60.0f64,
            45.0..80.0f64,
            30.0..110.0f64,
            0.0..60.0f64,
        ),
        (
            0.0..5.0f64,
            prop::collection::vec(0.75..1.25f64, 4),
            0.0..3.9f64,
            0.0..90.0f64,
            0..4u32,
        ),
    )
        .prop_map(|((poll_s, refused_at, outage_at, hang_at, hang_s), rest)| {
            let (first_report, pace, way_s, late_start_s, successors) = rest;
            Scenario {
                poll_s,
                refused_at,
                outage_at,
                hang_at,
                hang_s,
                first_report,
                pace,
                way_s,
                late_start_s,
                successors,
            }
        })
}

fn settings(report_s: f64, lease_s: f64, cancel_s: f64) -> Settings {
    let text = SETTINGS
        .replace("report_s = 3.0", &format!("report_s = {report_s:?}"))
        .replace("lease_s = 20.0", &format!("lease_s = {lease_s:?}"))
        .replace("cancel_s = 40.0", &format!("cancel_s = {cancel_s:?}"));
    Settings::parse(&text).expect("settings")
}

fn figures() -> impl Strategy<Value = Figures> {
    (1.0..6.0f64, 3.0..9.0f64, 0.0..30.0f64).prop_map(|(report_s, leases, more)| {
        let lease_s = report_s * leases;
        let cancel_s = clock::with_drift_margin(lease_s) + report_s * 1.01 + more;
        let s = settings(report_s, lease_s, cancel_s);
        assert!(s.cancellation_bound_s() < cancel_s);
        Figures {
            report_s,
            lease_s,
            cancel_s,
            knowledge_s: s.max_staleness_s(),
        }
    })
}

fn runner(cases: u32) -> TestRunner {
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[13; 32]);
    TestRunner::new_with_rng(
        Config {
            cases,
            failure_persistence: None,
            ..Config::default()
        },
        rng,
    )
}

/// A step of the model, and the way of an answer within it.
const SLACK: f64 = 2.0 * STEP;

#[test]
fn no_task_outlives_its_cancellation_for_longer_than_the_settings_say() {
    let check = |(f, s): (Figures, Scenario)| {
        let bound = settings(f.report_s, f.lease_s, f.cancel_s).cancellation_bound_s();
        let took = outlives(&f, &s);
        prop_assert!(took <= bound + SLACK, "{} of {} s", took, bound);
        prop_assert!(took <= f.cancel_s, "{} of {} s", took, f.cancel_s);
        Ok(())
    };
    runner(600)
        .run(&(figures(), scenarios()), check)
        .unwrap_or_else(|e| panic!("{e}"));
}

/// With a step wider by more than a report interval the model shows a task that stays for too long: the
/// bound is no wider than it must be, and the model sees what it is about.
#[test]
fn wider_steps_break_the_bound() {
    type Widen = fn(&Figures) -> Figures;
    let wider: [(&str, Widen); 2] = [
        ("old knowledge", |f| Figures {
            knowledge_s: f.cancel_s - f.lease_s + f.report_s,
            ..*f
        }),
        ("longer leases", |f| Figures {
            lease_s: f.cancel_s - f.knowledge_s + f.report_s,
            ..*f
        }),
    ];
    for (name, widen) in wider {
        let mut worst = f64::MIN;
        let mut r = runner(1);
        for _ in 0..600 {
            let tree = (figures(), scenarios()).new_tree(&mut r).expect("a case");
            let (f, s) = proptest::strategy::ValueTree::current(&tree);
            worst = worst.max(outlives(&widen(&f), &s) - f.cancel_s);
        }
        assert!(worst > 0.0, "{name}: nothing stays for too long, {worst}");
    }
}
