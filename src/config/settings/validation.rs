//! Validation of constraints on the settings that their types do not express.

use super::{Settings, SettingsError, Team};
use crate::clock;

/// Checks all settings. Returns an error for the first invalid field.
pub(super) fn validate(settings: &Settings) -> Result<(), SettingsError> {
    check_positive(settings)?;
    check_not_negative(settings)?;
    check_lease(settings)?;
    check_cancellation_bound(settings)?;
    check_node_name(&settings.node_name)?;
    check_zones(&settings.params.zones)?;
    check_members(settings)?;
    settings.params.teams.iter().try_for_each(check_team)
}

fn check_positive(settings: &Settings) -> Result<(), SettingsError> {
    let params = &settings.params;
    let workers = &params.workers;
    let state = &params.state;
    let limits = &params.machine_limits;
    let required = [
        ("params.workers.report_s", workers.report_s),
        ("params.workers.lease_s", workers.lease_s),
        ("params.workers.cancel_s", workers.cancel_s),
        ("params.workers.gang_wait_s", workers.gang_wait_s),
        ("params.workers.gang_peer_s", workers.gang_peer_s),
        ("params.state.rps", state.rps),
        ("params.state.write_rps", state.write_rps),
        ("params.state.value_kb", state.value_kb),
        ("params.state.txn_ops", state.txn_ops as f64),
        ("params.cloud.rps", params.cloud.rps),
        ("params.machine_limits.core_share", limits.core_share),
        ("params.machine_limits.ram_mb", limits.ram_mb),
        (
            "params.machine_limits.max_connections",
            limits.max_connections as f64,
        ),
        ("params.initial_size", params.initial_size as f64),
    ];
    let next = &state.next;
    let optional = [
        ("params.state.next.write_rps", next.write_rps),
        ("params.state.next.value_kb", next.value_kb),
        (
            "params.state.next.txn_ops",
            next.txn_ops.map(|count| count as f64),
        ),
    ];
    let present = optional
        .into_iter()
        .filter_map(|(field, value)| Some((field, value?)));
    for (field, value) in required.into_iter().chain(present) {
        if !value.is_finite() || value <= 0.0 {
            return invalid(field, format!("{value} is not above zero"));
        }
    }
    Ok(())
}

fn check_not_negative(settings: &Settings) -> Result<(), SettingsError> {
    let params = &settings.params;
    let fields = [
        ("params.time_bound_ms", params.time_bound_ms),
        ("params.cloud.list_lag_s", params.cloud.list_lag_s),
    ];
    for (field, value) in fields {
        if is_negative_or_infinite(value) {
            return invalid(field, format!("{value} is not zero or more"));
        }
    }
    Ok(())
}

fn check_lease(settings: &Settings) -> Result<(), SettingsError> {
    let workers = &settings.params.workers;
    if workers.lease_s <= workers.report_s {
        return invalid("params.workers.lease_s", "is not longer than report_s");
    }
    Ok(())
}

/// Checks that `cancel_s` leaves enough time after a whole lease of a worker. A cancelled task
/// may continue to run for such a lease after the last response from a cache without the
/// cancellation. What remains of `cancel_s` bounds the staleness of that cache.
fn check_cancellation_bound(settings: &Settings) -> Result<(), SettingsError> {
    let workers = &settings.params.workers;
    let needed = clock::with_drift_margin(workers.lease_s) + workers.report_s;
    if workers.cancel_s < needed {
        let reason = format!(
            "{} s leave no time beside lease_s: at least {needed:.1} s are needed",
            workers.cancel_s
        );
        return invalid("params.workers.cancel_s", reason);
    }
    Ok(())
}

/// Checks the name of this controller, which is part of its key in the key-value store.
fn check_node_name(name: &str) -> Result<(), SettingsError> {
    if name.is_empty() || name.contains(['/', ' ']) {
        return invalid("node_name", "is empty or holds a slash or space");
    }
    Ok(())
}

fn check_zones(zones: &[String]) -> Result<(), SettingsError> {
    if zones.is_empty() {
        return invalid("params.zones", "names no zone");
    }
    Ok(())
}

fn check_members(settings: &Settings) -> Result<(), SettingsError> {
    let own_name = &settings.node_name;
    if settings
        .members
        .iter()
        .any(|member| member.node_name == *own_name)
    {
        return invalid("members", format!("{own_name} is this node itself"));
    }
    Ok(())
}

fn check_team(team: &Team) -> Result<(), SettingsError> {
    let amounts = [
        ("cpus", team.cpus),
        ("cpus_max", team.cpus_max),
        ("gpus", team.gpus),
        ("gpus_max", team.gpus_max),
    ];
    for (amount, value) in amounts {
        if is_negative_or_infinite(value) {
            return invalid("params.teams", format!("{}: {amount} = {value}", team.name));
        }
    }
    Ok(())
}

fn is_negative_or_infinite(value: f64) -> bool {
    !value.is_finite() || value < 0.0
}

fn invalid(field: &'static str, reason: impl Into<String>) -> Result<(), SettingsError> {
    Err(SettingsError::InvalidField {
        field,
        reason: reason.into(),
    })
}
