//! Fixture files of wire and storage formats, with a `name payload` pair on each line, and
//! assertions that the program still writes the same bytes. Several test files include this
//! module, and each uses only part of it.
//!
//! The outer names of fields and variants appear only in the fixture files, so a rename in
//! the code that changes a format fails a test.
#![allow(dead_code)]

use serde::de::DeserializeOwned;
use serde::Serialize;
use std::cell::RefCell;
use std::collections::BTreeSet;

/// The lines of a fixture file, and the names of those that a test has used.
pub struct Fixtures {
    text: &'static str,
    used_names: RefCell<BTreeSet<String>>,
}

impl Fixtures {
    /// Wraps the text of a fixture file.
    pub fn new(text: &'static str) -> Fixtures {
        Fixtures {
            text,
            used_names: RefCell::default(),
        }
    }

    /// Returns all names and payloads, in the order of the file, without marking them as used.
    pub fn lines(&self) -> impl Iterator<Item = (&'static str, &'static str)> {
        self.text
            .lines()
            .map(|line| line.split_once(' ').expect("a name and a payload"))
    }

    /// Returns the payload of a name and marks it as used. Panics if there is no such name.
    pub fn payload(&self, name: &str) -> &'static str {
        self.used_names.borrow_mut().insert(name.into());
        let found = self.lines().find(|(line_name, _)| *line_name == name);
        found.unwrap_or_else(|| panic!("no fixture {name}")).1
    }

    /// Returns the payload of a name with the escapes `\r` and `\n` replaced by line ends.
    pub fn text(&self, name: &str) -> String {
        self.payload(name).replace("\\r", "\r").replace("\\n", "\n")
    }

    /// Asserts that a text equals the payload, in which line ends are escaped.
    pub fn assert_text(&self, name: &str, text: &str) {
        let text = text.replace('\r', "\\r").replace('\n', "\\n");
        assert_eq!(text, self.payload(name), "{name}");
    }

    /// Asserts that a value is serialized to the JSON of the payload.
    pub fn assert_json(&self, name: &str, value: &impl Serialize) {
        self.assert_text(name, &serde_json::to_string(value).expect("JSON"));
    }

    /// Asserts that a value is serialized to the JSON of the payload, and that the payload is
    /// unchanged when it is parsed and serialized again.
    pub fn assert_json_round_trip<T: Serialize + DeserializeOwned>(&self, name: &str, value: &T) {
        self.assert_json(name, value);
        self.assert_json(name, &self.read::<T>(name));
    }

    /// Asserts the same as [`Fixtures::assert_json_round_trip`] for a stored value, whose
    /// object keys are sorted.
    pub fn assert_stored_json_round_trip<T: Serialize + DeserializeOwned>(
        &self,
        name: &str,
        value: &T,
    ) {
        self.assert_json(name, &serde_json::json!(value));
        self.assert_json(name, &serde_json::json!(self.read::<T>(name)));
    }

    /// Parses the JSON of the payload.
    pub fn read<T: DeserializeOwned>(&self, name: &str) -> T {
        serde_json::from_str(self.payload(name)).unwrap_or_else(|error| panic!("{name}: {error}"))
    }

    /// Asserts that bytes equal the payload, which is in hexadecimal.
    pub fn assert_bytes(&self, name: &str, bytes: &[u8]) {
        let hex: String = bytes.iter().map(|byte| format!("{byte:02x}")).collect();
        self.assert_text(name, &hex);
    }

    /// Returns the bytes of a payload in hexadecimal.
    pub fn bytes(&self, name: &str) -> Vec<u8> {
        let hex = self.payload(name);
        let byte = |i: usize| u8::from_str_radix(&hex[i..i + 2], 16).expect("hexadecimal digits");
        (0..hex.len()).step_by(2).map(byte).collect()
    }

    /// Asserts that every line of the file was used.
    pub fn assert_all_used(&self) {
        let used = self.used_names.borrow();
        let unused: Vec<&str> = self
            .lines()
            .map(|(name, _)| name)
            .filter(|name| !used.contains(*name))
            .collect();
        assert!(unused.is_empty(), "fixtures that no test uses: {unused:?}");
    }
}
