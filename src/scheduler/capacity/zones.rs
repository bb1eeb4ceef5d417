//! Zones, by what they may take and by what they have room for.

/// How many more tasks of a job a zone may take.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ZoneAllowance {
    /// The interned name of the zone.
    pub zone: u32,
    /// Tasks that it may still take.
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

/// What a zone has room for.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ZoneCount {
    /// Tasks that fit.
    pub tasks: u32,
    /// Of these, on machines that have their image.
    pub with_image: u32,
}
