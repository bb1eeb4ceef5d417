//! Checks the bound on how long a task may run after the cancellation of its job was
//! confirmed. A slow, simple model of one worker and its owner runs with generated times of
//! refusals, outages and hangs, and is compared with the bound that the settings give.

#[path = "common/settings.rs"]
mod settings_text;

use finchwood::clock::{self, DRIFT};
use finchwood::config::settings::Settings;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use settings_text::SETTINGS;

/// The settings that determine the bound, in seconds.
#[derive(Debug, Clone, Copy)]
struct Timing {
    /// The interval between heartbeats.
    report_s: f64,
    /// The duration of a worker's lease.
    lease_s: f64,
    /// The time within which a cancelled task must have stopped.
    cancel_s: f64,
    /// The greatest age of the owner's cache at which it may still respond to the worker.
    max_staleness_s: f64,
}

/// What happens and when, in seconds. The job is cancelled at [`CONFIRMED_AT`].
#[derive(Debug, Clone)]
struct Scenario {
    /// The interval at which the owner reads the key-value store.
    poll_s: f64,
    /// When the key-value store begins to refuse requests of this owner alone, for good.
    refused_at: f64,
    /// When the key-value store stops responding to all controllers, for good.
    outage_at: f64,
    /// When the worker hangs.
    hang_at: f64,
    /// How long the worker hangs.
    hang_s: f64,
    /// When the worker sends its first heartbeat.
    first_heartbeat_at: f64,
    /// The intervals between heartbeats, as multiples of the report interval.
    interval_factors: Vec<f64>,
    /// The time from sending a heartbeat to receiving the response.
    round_trip_s: f64,
    /// The delay with which the worker receives the last start that the owner could send by
    /// direct command.
    start_delay_s: f64,
    /// The number of later owners. They have not reconciled the machine when they respond.
    successors: u32,
}

/// When the cancellation of the job is confirmed, in seconds.
const CONFIRMED_AT: f64 = 50.0;
/// The length of one step of the model, in seconds.
const STEP: f64 = 0.05;

/// Returns the last moment at which a task of the job runs on the worker and the worker does
/// not hang, in seconds after the confirmation. The worker's clock is the slowest that is
/// allowed.
fn run_time_after_cancellation(timing: &Timing, scenario: &Scenario) -> f64 {
    let hangs = |time: f64| time >= scenario.hang_at && time < scenario.hang_at + scenario.hang_s;
    let lease = timing.lease_s * (1.0 + DRIFT);
    let (mut cache_read_at, mut polled_at) = (0.0, 0.0);
    let (mut lease_renewed_at, mut session, mut running) = (0.0, 1, true);
    let mut next_heartbeat_at = scenario.first_heartbeat_at;
    // Heartbeats in flight: when each was sent, and when the response arrives.
    let mut in_flight: Vec<(f64, f64)> = Vec::new();
    // The last start by direct command: when it was sent, and to which session.
    let (mut heartbeat_count, mut last_running_at, mut last_start) = (0, 0.0, (0.0, 1));
    let mut stopped = false;
    let mut now = 0.0;
    while now < CONFIRMED_AT + 4.0 * timing.cancel_s {
        now += STEP;
        if now - polled_at >= scenario.poll_s
            && now < scenario.refused_at
            && now < scenario.outage_at
        {
            (cache_read_at, polled_at) = (now, now);
        }
        let cache_is_fresh = now - cache_read_at < timing.max_staleness_s;
        let has_read_cancellation = cache_read_at >= CONFIRMED_AT;
        // Until the owner has read the cancellation, it may start the task again at any time.
        if cache_is_fresh && !has_read_cancellation {
            last_start = (now, session);
        }
        if !hangs(now) {
            if now - lease_renewed_at > lease {
                (running, session, lease_renewed_at) = (false, session + 1, now);
                in_flight.clear();
            }
            if now >= next_heartbeat_at {
                let factor =
                    scenario.interval_factors[heartbeat_count % scenario.interval_factors.len()];
                heartbeat_count += 1;
                next_heartbeat_at = now + timing.report_s * factor;
                in_flight.push((now, now + scenario.round_trip_s));
            }
        }
        let arrived: Vec<(f64, f64)> = in_flight
            .iter()
            .copied()
            .filter(|heartbeat| heartbeat.1 <= now)
            .collect();
        in_flight.retain(|heartbeat| heartbeat.1 > now);
        for (sent_at, _) in arrived {
            // A successor has read the cancellation, or does not respond. It may not have
            // reconciled the machine, but stops the tasks that the heartbeat reports anyway.
            let reaches_successor = now > CONFIRMED_AT + timing.max_staleness_s
                && (heartbeat_count as u32).is_multiple_of(scenario.successors.max(1));
            let responds = cache_is_fresh
                || (scenario.successors > 0 && reaches_successor && now < scenario.outage_at);
            // The worker uses a response only within the time for which it waits.
            if responds && !hangs(now) && now - sent_at < 4.0 {
                lease_renewed_at = sent_at;
                if has_read_cancellation || !cache_is_fresh {
                    (running, stopped) = (false, true);
                }
            }
        }
        // The delayed start takes effect unless the session for which it was sent has ended or
        // the worker has received the stop, which carries a higher fencing token.
        let start_arrives_at = last_start.0 + scenario.start_delay_s;
        if !hangs(now)
            && !stopped
            && now >= start_arrives_at
            && now < start_arrives_at + STEP
            && last_start.1 == session
        {
            running = true;
        }
        if running && !hangs(now) && now - lease_renewed_at <= lease {
            last_running_at = now;
        }
    }
    last_running_at - CONFIRMED_AT
}

/// Generates scenarios with faults shortly before and after the confirmation.
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
            let (first_heartbeat_at, interval_factors, round_trip_s, start_delay_s, successors) =
                rest;
            Scenario {
                poll_s,
                refused_at,
                outage_at,
                hang_at,
                hang_s,
                first_heartbeat_at,
                interval_factors,
                round_trip_s,
                start_delay_s,
                successors,
            }
        })
}

/// Returns the settings of a small deployment with these values.
fn settings(report_s: f64, lease_s: f64, cancel_s: f64) -> Settings {
    let text = SETTINGS
        .replace("report_s = 3.0", &format!("report_s = {report_s:?}"))
        .replace("lease_s = 20.0", &format!("lease_s = {lease_s:?}"))
        .replace("cancel_s = 40.0", &format!("cancel_s = {cancel_s:?}"));
    Settings::parse(&text).expect("valid settings")
}

/// Generates valid settings. The bound must always be below `cancel_s`.
fn timings() -> impl Strategy<Value = Timing> {
    (1.0..6.0f64, 3.0..9.0f64, 0.0..30.0f64).prop_map(|(report_s, lease_intervals, extra_s)| {
        let lease_s = report_s * lease_intervals;
        let cancel_s = clock::with_drift_margin(lease_s) + report_s * 1.01 + extra_s;
        let parsed = settings(report_s, lease_s, cancel_s);
        assert!(parsed.cancellation_bound_s() < cancel_s);
        Timing {
            report_s,
            lease_s,
            cancel_s,
            max_staleness_s: parsed.max_staleness_s(),
        }
    })
}

/// Returns a runner with a fixed seed.
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

/// The error of the model due to the length of its steps, in seconds: one step, and one more
/// for a response that arrives within a step.
const SLACK: f64 = 2.0 * STEP;

#[test]
fn no_task_runs_longer_after_its_cancellation_than_the_settings_promise() {
    let check = |(timing, scenario): (Timing, Scenario)| {
        let bound =
            settings(timing.report_s, timing.lease_s, timing.cancel_s).cancellation_bound_s();
        let ran_s = run_time_after_cancellation(&timing, &scenario);
        prop_assert!(
            ran_s <= bound + SLACK,
            "ran for {} s after the cancellation, the bound is {} s",
            ran_s,
            bound
        );
        prop_assert!(
            ran_s <= timing.cancel_s,
            "ran for {} s after the cancellation, cancel_s is {} s",
            ran_s,
            timing.cancel_s
        );
        Ok(())
    };
    runner(600)
        .run(&(timings(), scenarios()), check)
        .unwrap_or_else(|error| panic!("{error}"));
}

/// If the owner's cache may be older, or the lease longer, than `cancel_s` allows, by more
/// than a report interval, the model must find a task that runs for longer than `cancel_s`.
/// This shows that the limits are not stricter than necessary and that the model detects
/// violations.
#[test]
fn longer_staleness_or_longer_leases_violate_the_limit() {
    type Extend = fn(&Timing) -> Timing;
    let extensions: [(&str, Extend); 2] = [
        ("longer staleness", |timing| Timing {
            max_staleness_s: timing.cancel_s - timing.lease_s + timing.report_s,
            ..*timing
        }),
        ("longer leases", |timing| Timing {
            lease_s: timing.cancel_s - timing.max_staleness_s + timing.report_s,
            ..*timing
        }),
    ];
    for (name, extend) in extensions {
        let mut worst_excess_s = f64::MIN;
        let mut runner = runner(1);
        for _ in 0..600 {
            let tree = (timings(), scenarios())
                .new_tree(&mut runner)
                .expect("a generated case");
            let (timing, scenario) = proptest::strategy::ValueTree::current(&tree);
            worst_excess_s = worst_excess_s
                .max(run_time_after_cancellation(&extend(&timing), &scenario) - timing.cancel_s);
        }
        assert!(
            worst_excess_s > 0.0,
            "{name}: no task ran for longer than cancel_s, the largest excess was {worst_excess_s} s"
        );
    }
}
