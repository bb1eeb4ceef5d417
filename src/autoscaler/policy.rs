//! The operators' settings for the autoscaler, and the boot timeout that follows from them.

use crate::clock::Seconds;

/// The minimum time that the cloud charges for a machine, in seconds.
pub const MINIMUM_CHARGE_S: f64 = 60.0;

/// The time that a machine may need for its first heartbeat after it has booted, in
/// seconds. The boot timeout includes it twice, so that half of the timeout, when a machine
/// becomes overdue, includes it once.
const FIRST_HEARTBEAT_S: Seconds = 5.0;

/// The settings of the autoscaler; each is a ratio to a value of the settings or of the
/// catalog. Operators set them in a Lua policy, under the names in `docs/operations.md`.
#[derive(Debug, Clone)]
pub struct ScalingPolicy {
    /// How long an idle machine is kept, in boot times of its type.
    pub idle_boot_times: f64,
    /// Headroom for services, as a share of the CPUs that services use.
    pub service_headroom_share: f64,
    /// The boot timeout, in nominal boot times.
    pub boot_timeout_boot_times: f64,
    /// How long low-priority jobs that allow spot machines wait for one before an on-demand
    /// machine is rented for them, in units of the longest boot time of all types.
    pub spot_wait_boot_times: f64,
    /// Free capacity that draining leaves for new tasks, as a share of the CPUs in use.
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

/// The progress of a rented machine that has not sent a heartbeat yet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BootProgress {
    /// It should boot in time, so that its capacity is planned with.
    Expected,
    /// It may still boot, but its capacity is not planned with: another machine is rented
    /// in its place.
    Overdue,
    /// The boot timeout has passed, so that it is deleted.
    TimedOut,
}

impl ScalingPolicy {
    /// Returns the progress of a machine `age_s` seconds after it was rented, if its type
    /// takes `boot_s` seconds to boot. It is overdue from half of the boot timeout on.
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
