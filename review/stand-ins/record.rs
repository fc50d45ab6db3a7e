//! Times and the record of a case.

use std::{
    fs::File,
    io::Write,
    sync::{Arc, Mutex},
    time::{SystemTime, UNIX_EPOCH},
};

/// Returns the time in milliseconds since the Unix epoch, the same for all processes of a case.
pub fn now_ms() -> f64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    now.map_or(0.0, |now| now.as_secs_f64() * 1000.0)
}

/// File to which a case writes what it did and saw, with seconds since its start.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    start_ms: f64,
}

impl Record {
    pub fn create(path: &str) -> std::io::Result<Self> {
        let file = Arc::new(Mutex::new(File::create(path)?));
        let start_ms = now_ms();
        Ok(Self { file, start_ms })
    }

    /// Returns a time as seconds since the start of the case.
    pub fn seconds(&self, at_ms: f64) -> f64 {
        (at_ms - self.start_ms) / 1000.0
    }

    pub fn line(&self, text: &str) {
        self.line_at(now_ms(), text);
    }

    pub fn line_at(&self, at_ms: f64, text: &str) {
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{:9.3} {text}", self.seconds(at_ms));
    }
}
