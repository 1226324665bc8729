//! Record of a run: what was sent, answered and run.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::Mutex;
use std::time::Instant;

/// Writes lines with the time since the start of the run, in seconds.
pub struct Record {
    started: Instant,
    file: Mutex<File>,
}

impl Record {
    pub fn create(path: &Path) -> std::io::Result<Self> {
        Ok(Self {
            started: Instant::now(),
            file: Mutex::new(File::create(path)?),
        })
    }

    /// Returns the time since the start of the run, in seconds.
    pub fn now(&self) -> f64 {
        self.started.elapsed().as_secs_f64()
    }

    pub fn add(&self, line: &str) {
        let text = format!("{:8.3} {line}\n", self.now());
        let mut file = self.file.lock().unwrap();
        // A record that cannot be written spoils the run, but not the processes.
        let _written = file.write_all(text.as_bytes());
    }

    /// Records a line that the caller of the script sees as well.
    pub fn say(&self, line: &str) {
        println!("{:8.3} {line}", self.now());
        self.add(line);
    }
}
