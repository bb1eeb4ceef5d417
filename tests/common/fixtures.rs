//! Frozen bytes: files with a `name payload` on each line, and the checks that what is
//! written now is the same. Shared by test files of which each uses some of it.
//!
//! Names of fields and variants appear in the fixture files only, so that renaming
//! things in the code can't rename them here.
#![allow(dead_code)]

use serde::de::DeserializeOwned;
use serde::Serialize;
use std::cell::RefCell;
use std::collections::BTreeSet;

/// The lines of a fixture file, and which of them a test has looked at.
pub struct Fixtures {
    text: &'static str,
    used: RefCell<BTreeSet<String>>,
}

impl Fixtures {
    /// The fixtures of a file's text.
    pub fn new(text: &'static str) -> Fixtures {
        Fixtures {
            text,
            used: RefCell::default(),
        }
    }

    /// All names and payloads, in the order of the file.
    pub fn lines(&self) -> impl Iterator<Item = (&'static str, &'static str)> {
        self.text
            .lines()
            .map(|line| line.split_once(' ').expect("a name and a payload"))
    }

    /// The payload of a name.
    pub fn payload(&self, name: &str) -> &'static str {
        self.used.borrow_mut().insert(name.into());
        let found = self.lines().find(|(known, _)| *known == name);
        found.unwrap_or_else(|| panic!("no fixture {name}")).1
    }

    /// The payload of a name, in which `\r` and `\n` stand for the ends of lines.
    pub fn text(&self, name: &str) -> String {
        self.payload(name).replace("\\r", "\r").replace("\\n", "\n")
    }

    /// A text is the same as the frozen one.
    pub fn assert_text(&self, name: &str, text: &str) {
        let text = text.replace('\r', "\\r").replace('\n', "\\n");
        assert_eq!(text, self.payload(name), "{name}");
    }

    /// A value is written as the frozen JSON.
    pub fn assert_json(&self, name: &str, value: &impl Serialize) {
        self.assert_text(name, &serde_json::to_string(value).expect("JSON"));
    }

    /// A value is written as the frozen JSON, which is read and written back as it was.
    pub fn assert_json_round_trip<T: Serialize + DeserializeOwned>(&self, name: &str, value: &T) {
        self.assert_json(name, value);
        self.assert_json(name, &self.read::<T>(name));
    }

    /// The same, for what is stored: the keys of its objects are in order there.
    pub fn assert_stored_json_round_trip<T: Serialize + DeserializeOwned>(
        &self,
        name: &str,
        value: &T,
    ) {
        self.assert_json(name, &serde_json::json!(value));
        self.assert_json(name, &serde_json::json!(self.read::<T>(name)));
    }

    /// Reads the frozen JSON.
    pub fn read<T: DeserializeOwned>(&self, name: &str) -> T {
        serde_json::from_str(self.payload(name)).unwrap_or_else(|e| panic!("{name}: {e}"))
    }

    /// Bytes are the same as the frozen ones.
    pub fn assert_bytes(&self, name: &str, bytes: &[u8]) {
        let hex: String = bytes.iter().map(|byte| format!("{byte:02x}")).collect();
        self.assert_text(name, &hex);
    }

    /// The frozen bytes.
    pub fn bytes(&self, name: &str) -> Vec<u8> {
        let hex = self.payload(name);
        let byte = |i: usize| u8::from_str_radix(&hex[i..i + 2], 16).expect("hex");
        (0..hex.len()).step_by(2).map(byte).collect()
    }

    /// Every line of the file was looked at.
    pub fn assert_all_used(&self) {
        let used = self.used.borrow();
        let unused: Vec<&str> = self
            .lines()
            .map(|(name, _)| name)
            .filter(|n| !used.contains(*n))
            .collect();
        assert!(
            unused.is_empty(),
            "fixtures that no test looks at: {unused:?}"
        );
    }
}
