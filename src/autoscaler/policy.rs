//! The settings of the autoscaler, and how far a rented machine's boot has come.

use crate::clock::Seconds;

/// The least time that the cloud charges for a machine, in seconds.
pub const MINIMUM_CHARGE_S: f64 = 60.0;

/// What the thresholds of a boot have beside multiples of the boot time, in seconds:
/// the time until a machine's first heartbeat. The timeout has twice that.
const FIRST_HEARTBEAT_S: Seconds = 5.0;

/// Settings of the autoscaler, all of them ratios to figures of the settings or of the
/// catalog. Operators set them in a Lua policy, under the names in `docs/operations.md`.
#[derive(Debug, Clone)]
pub struct ScalingPolicy {
    /// For how many boot times of its type an idle machine is kept.
    pub idle_boot_times: f64,
    /// Headroom for services, as a share of the CPUs that services use.
    pub service_headroom_share: f64,
    /// The boot timeout, in nominal boot times.
    pub boot_timeout_boot_times: f64,
    /// For how many of the longest boot times work of low priority that may run on spot
    /// machines waits for one before an on-demand machine is rented for it.
    pub spot_wait_boot_times: f64,
    /// Free capacity that draining leaves for new work, as a share of the work there is.
    pub work_headroom_share: f64,
}

impl Default for ScalingPolicy {
    fn default() -> Self {
        ScalingPolicy {
            idle_boot_times: 0.6,
            service_headroom_share: 0.08,
            boot_timeout_boot_times: 3.0,
            spot_wait_boot_times: 0.4,
            work_headroom_share: 0.15,
        }
    }
}

/// How far a rented machine is that has not sent a heartbeat yet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BootProgress {
    /// It should come up in time: its capacity is counted on.
    Expected,
    /// It may still come up, but its capacity is not counted on: another machine is
    /// rented for its work.
    Overdue,
    /// The boot timeout has passed: it is deleted.
    TimedOut,
}

impl ScalingPolicy {
    /// How far a machine is, `age_s` seconds after it was rented, if its type takes
    /// `boot_s` seconds to boot. It is overdue after half of the boot timeout.
    pub fn boot_progress(&self, age_s: Seconds, boot_s: Seconds) -> BootProgress {
        let timeout_s = boot_s * self.boot_timeout_boot_times + 2.0 * FIRST_HEARTBEAT_S;
        if age_s > timeout_s {
            BootProgress::TimedOut
        } else if age_s >= timeout_s / 2.0 {
            BootProgress::Overdue
        } else {
            BootProgress::Expected
        }
    }
}
