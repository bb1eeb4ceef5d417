//! What writes to the key-value store have in common.

use crate::store::WriteOp;
use serde::Serialize;
use serde_json::Value;

/// A put of a serialised record that lives until it is deleted.
pub(super) fn put_record<R: Serialize>(key: impl Into<String>, record: &R) -> WriteOp {
    put_value(key, to_value(record))
}

/// A put of a value that lives until it is deleted.
pub(super) fn put_value(key: impl Into<String>, value: Value) -> WriteOp {
    WriteOp::Put {
        key: key.into(),
        value,
        lease: None,
    }
}

/// A record as it is stored.
pub(super) fn to_value<R: Serialize>(record: &R) -> Value {
    serde_json::to_value(record).unwrap_or_default()
}
