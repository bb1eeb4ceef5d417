//! Controllers as real processes, and stand-ins for the external systems that they depend on.
//! Several test files include this module, and each uses only part of it.
#![allow(dead_code)]

pub mod cluster;
pub mod stand_ins;
