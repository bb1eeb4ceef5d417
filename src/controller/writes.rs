//! Helpers that build writes to the key-value store.

use crate::store::WriteOp;
use serde::Serialize;
use serde_json::Value;

/// Returns an operation that stores a record without a lease, so that the record is kept
/// until it is deleted.
pub(super) fn put_record<R: Serialize>(key: impl Into<String>, record: &R) -> WriteOp {
    put_value(key, to_value(record))
}

/// Returns an operation that stores a value without a lease, so that the value is kept until
/// it is deleted.
pub(super) fn put_value(key: impl Into<String>, value: Value) -> WriteOp {
    WriteOp::Put {
        key: key.into(),
        value,
        lease: None,
    }
}

/// Returns a record in its stored form.
pub(super) fn to_value<R: Serialize>(record: &R) -> Value {
    serde_json::to_value(record).unwrap_or_default()
}
