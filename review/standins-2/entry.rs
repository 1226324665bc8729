//! The entry processes, with settings like those of a small deployment.

use std::fs::File;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::thread;
use std::time::Duration;
use std::time::Instant;

/// Time in which an entry becomes ready.
const READY_TIMEOUT: Duration = Duration::from_secs(10);

/// Pause between two readiness checks while an entry starts.
const READY_POLL: Duration = Duration::from_millis(50);

/// The bounds that the settings state.
#[derive(Clone, Copy)]
pub struct Bounds {
    pub contact_ms: u32,
    pub drain_ms: u32,
    pub config_apply_ms: u32,
    pub grace_s: u32,
    pub memory_mb: u32,
}

/// The bounds of the site krusvaerk-ramp.
pub const SMALL: Bounds = Bounds {
    contact_ms: 3_000,
    drain_ms: 2_000,
    config_apply_ms: 2_000,
    grace_s: 8,
    memory_mb: 260,
};

struct Shared {
    program: PathBuf,
    folder: PathBuf,
    children: Mutex<Vec<Child>>,
}

/// All entry processes of a run.
#[derive(Clone)]
pub struct Fleet {
    shared: Arc<Shared>,
}

/// One machine with an entry.
#[derive(Clone)]
pub struct Entry {
    pub name: String,
    pub callers: SocketAddr,
    pub readiness: SocketAddr,
    zone: String,
    internal_port: u16,
    pid: u32,
}

impl Fleet {
    pub fn new(program: PathBuf) -> Self {
        let folder = format!("eelgrassramp-review-2-{}", std::process::id());
        let shared = Shared {
            program,
            folder: std::env::temp_dir().join(folder),
            children: Mutex::default(),
        };
        Self {
            shared: Arc::new(shared),
        }
    }

    /// Starts an entry and waits until it is ready.
    pub fn start(
        &self,
        name: &str,
        zone: &str,
        store: SocketAddr,
        bounds: Bounds,
    ) -> Result<Entry, String> {
        let mut entry = Entry {
            name: name.to_owned(),
            callers: free_addr()?,
            readiness: free_addr()?,
            zone: zone.to_owned(),
            internal_port: free_port_pair()?,
            pid: 0,
        };
        self.write_settings(&entry, store, bounds)?;
        self.run(&mut entry)?;
        let until = Instant::now() + READY_TIMEOUT;
        while !entry.is_ready() {
            if Instant::now() > until {
                return Err(format!("{name} is not ready"));
            }
            thread::sleep(READY_POLL);
        }
        Ok(entry)
    }

    /// Starts the process of an entry with its present settings.
    pub fn run(&self, entry: &mut Entry) -> Result<(), String> {
        let text = |e: std::io::Error| e.to_string();
        let log = File::options()
            .create(true)
            .append(true)
            .open(self.file(entry, "log"))
            .map_err(text)?;
        let errors = log.try_clone().map_err(text)?;
        let child = Command::new(&self.shared.program)
            .env_clear()
            .env("EELGRASSRAMP_NODE_FILE", self.file(entry, "conf"))
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(errors)
            .spawn()
            .map_err(text)?;
        entry.pid = child.id();
        self.children().push(child);
        Ok(())
    }

    /// Replaces the settings of an entry in one step.
    pub fn write_settings(
        &self,
        entry: &Entry,
        store: SocketAddr,
        bounds: Bounds,
    ) -> Result<(), String> {
        let text = |e: std::io::Error| e.to_string();
        std::fs::create_dir_all(&self.shared.folder).map_err(text)?;
        let new = self.file(entry, "new");
        std::fs::write(&new, settings(entry, store, bounds)).map_err(text)?;
        std::fs::rename(new, self.file(entry, "conf")).map_err(text)
    }

    /// Sends a signal to the process of an entry.
    pub fn signal(&self, entry: &Entry, name: &str) -> Result<(), String> {
        let children = self.children();
        if !children.iter().any(|child| child.id() == entry.pid) {
            return Err(format!("{} does not run", entry.name));
        }
        let script = format!("kill -{name} {}", entry.pid);
        let status = Command::new("sh").arg("-c").arg(script).status();
        match status {
            Ok(status) if status.success() => Ok(()),
            _ => Err(format!("signal {name} failed")),
        }
    }

    /// Returns the peak of an entry's memory in bytes; `None` if its process has ended.
    pub fn peak_memory(&self, entry: &Entry) -> Option<u64> {
        let status = std::fs::read_to_string(format!("/proc/{}/status", entry.pid)).ok()?;
        let line = status
            .lines()
            .find_map(|line| line.strip_prefix("VmHWM:"))?;
        let kib: u64 = line.split_whitespace().next()?.parse().ok()?;
        Some(kib * 1024)
    }

    /// Kills the process of an entry, as the platform does.
    pub fn kill(&self, entry: &Entry) {
        let mut children = self.children();
        let Some(index) = children.iter().position(|child| child.id() == entry.pid) else {
            return;
        };
        end(&mut children.swap_remove(index));
    }

    /// Ends all processes and removes the files of the run.
    pub fn end(&self) {
        for child in self.children().iter_mut() {
            end(child);
        }
        let _removed = std::fs::remove_dir_all(&self.shared.folder);
    }

    fn file(&self, entry: &Entry, extension: &str) -> PathBuf {
        self.shared
            .folder
            .join(format!("{}.{extension}", entry.name))
    }

    fn children(&self) -> MutexGuard<'_, Vec<Child>> {
        let children = self.shared.children.lock();
        children.unwrap_or_else(PoisonError::into_inner)
    }
}

impl Entry {
    /// Returns whether the entry answers its readiness check with 200.
    pub fn is_ready(&self) -> bool {
        let check = || -> std::io::Result<bool> {
            let timeout = Duration::from_secs(1);
            let mut stream = TcpStream::connect_timeout(&self.readiness, timeout)?;
            stream.set_read_timeout(Some(timeout))?;
            stream.write_all(b"GET /-/readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")?;
            let mut head = [0; 12];
            stream.read_exact(&mut head)?;
            Ok(head.ends_with(b"200"))
        };
        check().unwrap_or(false)
    }
}

fn end(child: &mut Child) {
    let _killed = child.kill();
    let _waited = child.wait();
}

fn settings(entry: &Entry, store: SocketAddr, bounds: Bounds) -> String {
    let Entry {
        name,
        callers,
        readiness,
        zone,
        internal_port: port,
        ..
    } = entry;
    let Bounds {
        contact_ms,
        drain_ms,
        config_apply_ms,
        grace_s,
        memory_mb,
    } = bounds;
    let last_port = port + 1;
    format!(
        "nodeName={name}\nrole=entry\nmachineClass=edge\nserves=edge\nip=127.0.0.1\nzone={zone}\n\
         region=north\nzones.a=north\nzones.b=north\nzones.c=north\nlisten.frontend={callers}\n\
         listen.readiness={readiness}\ninternalPorts={port},{last_port}\nbootstrap=true\n\
         limits.cpuShare=0.19\nlimits.cpuCores=1\nlimits.memoryMb={memory_mb}\nlimits.maxFds=4100\n\
         limits.linkMbps=1000.0\ndiscovery=platform\nentry=vip\nheartbeatMs=1200\n\
         contracts=base,drain,config,cost,retry,recover,engine,stream,tenants,quota,rollout,platform\n\
         bounds.reuseAfterS=2\nbounds.contactMs={contact_ms}\nbounds.drainMs={drain_ms}\n\
         bounds.graceS={grace_s}\nbounds.lossSlackMs=200\nbounds.configApplyMs={config_apply_ms}\n\
         bounds.rollbackSlackMs=250\nbounds.outerBoundMs=5000\nbounds.retryBudgetRatio=0.2\n\
         bounds.budgetWindowS=10\nbounds.retryBudgetSlack=56\nbounds.quotaWindowS=8\n\
         bounds.quotaOverrun=0.1\nbounds.quotaSlack=190000\nbounds.exposureShare=0.1\n\
         bounds.exposureSlack=50\nbounds.rollbackMs=5000\nbounds.recoveryS=12\nbounds.passMs=120\n\
         platform.address={store}\nplatform.form=objects\nplatform.writesPerS=400\n\
         platform.readsPerS=2000\nplatform.historyS=20\nplatform.valueBytes=1048576\n\
         platform.ttlMinMs=1000\n"
    )
}

fn free_addr() -> Result<SocketAddr, String> {
    let listener = TcpListener::bind("127.0.0.1:0").map_err(|e| e.to_string())?;
    listener.local_addr().map_err(|e| e.to_string())
}

/// Returns the first of two free ports in a row.
fn free_port_pair() -> Result<u16, String> {
    for _ in 0..100 {
        let first = free_addr()?.port();
        if first < u16::MAX && TcpListener::bind(("127.0.0.1", first + 1)).is_ok() {
            return Ok(first);
        }
    }
    Err("no two free ports in a row".to_owned())
}
