//! Frequent events for the log. Thousands of events of one kind make one line, which says how many
//! there were and names the first few.

/// The most events that a log line names.
const MAX_EXAMPLES: usize = 4;

/// The events of one kind since the last log line.
#[derive(Debug, Default)]
pub struct EventSample {
    count: u64,
    examples: Vec<String>,
}

impl EventSample {
    /// Counts an event, and describes it if it is one of the first.
    pub fn record(&mut self, describe: impl FnOnce() -> String) {
        self.record_many(1, describe);
    }

    /// Counts several events that have one description.
    pub fn record_many(&mut self, count: u64, describe: impl FnOnce() -> String) {
        self.count += count;
        if self.examples.len() < MAX_EXAMPLES {
            self.examples.push(describe());
        }
    }

    /// Returns the events and begins anew; `None` if there were none.
    pub fn take(&mut self) -> Option<EventSample> {
        (self.count > 0).then(|| std::mem::take(self))
    }

    /// How many events there were.
    pub fn count(&self) -> u64 {
        self.count
    }

    /// The descriptions of the first events.
    pub fn examples(&self) -> &[String] {
        &self.examples
    }
}
