//! The zones as placement sees them: their allowances and their capacity.

/// How many further tasks of a job a zone may take.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ZoneAllowance {
    /// The interned name of the zone.
    pub zone: u32,
    /// The number of tasks.
    pub tasks: u32,
}

impl ZoneAllowance {
    /// A zone that may take any number of tasks.
    pub fn unlimited(zone: u32) -> ZoneAllowance {
        ZoneAllowance {
            zone,
            tasks: u32::MAX,
        }
    }
}

/// How many tasks of a request a zone has capacity for.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ZoneCount {
    /// The number of tasks that fit.
    pub tasks: u32,
    /// The number of these that fit on machines with their image.
    pub with_image: u32,
}
