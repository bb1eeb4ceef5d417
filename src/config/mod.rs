//! Configuration: the platform's settings file, the operators' Lua policy, and the files
//! that enable features.

pub mod features;
pub mod policy;
pub mod settings;
