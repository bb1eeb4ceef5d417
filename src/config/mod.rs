//! Configuration: the settings file provided by the platform, the Lua policy written by
//! operators, and the files that enable features.

pub mod features;
pub mod policy;
pub mod settings;
