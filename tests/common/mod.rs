//! Controllers as real processes, and stand-ins of the systems around them. Shared by
//! test files of which each uses some of it.
#![allow(dead_code)]

pub mod cluster;
pub mod stand_ins;
