//! Record of what was sent, answered and run, written to `record.txt`.

use std::fs::File;
use std::io::Write as _;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

/// Record with the time since its start.
#[derive(Clone)]
pub struct Record {
    started: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    /// Creates `record.txt` in a folder.
    pub fn create(dir: &str) -> Self {
        let file = File::create(format!("{dir}/record.txt")).expect("the record can be written");
        Self {
            started: Instant::now(),
            file: Arc::new(Mutex::new(file)),
        }
    }

    /// Returns the time since the start.
    pub fn now(&self) -> Duration {
        self.started.elapsed()
    }

    /// Writes a line.
    pub fn line(&self, text: impl AsRef<str>) {
        let line = format!("{:8.3} {}\n", self.now().as_secs_f64(), text.as_ref());
        let mut file = self.file.lock().expect("no panic under the lock");
        let _written = file.write_all(line.as_bytes());
    }

    /// Writes a line here and to standard output.
    pub fn say(&self, text: impl AsRef<str>) {
        println!("{}", text.as_ref());
        self.line(text);
    }
}
