//! The project's program as a process with a loopback address of its own.

use std::fs::{self, File};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::unix::process::CommandExt;
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

const FRONTEND_PORT: u16 = 8221;
const READINESS_PORT: u16 = 8224;
const FIRST_INTERNAL_PORT: u16 = 7600;

const PR_SET_PDEATHSIG: i32 = 1;
const SIGKILL: u64 = 9;

unsafe extern "C" {
    fn prctl(option: i32, ...) -> i32;
}

/// Running entry; it is killed when this is dropped, and when this process is killed.
pub struct Entry {
    ip: String,
    child: Child,
}

impl Entry {
    /// Starts the program of the deploy file with settings like those of a small deployment.
    pub fn start(
        program: &Path,
        folder: &Path,
        name: &str,
        zone: &str,
        store: SocketAddr,
    ) -> std::io::Result<Self> {
        let ip = free_ip();
        let text = settings(&ip, name, zone, store);
        fs::write(folder.join(format!("{name}.conf")), text)?;
        let child = spawn(program, folder, name)?;
        Ok(Self { ip, child })
    }

    pub fn frontend(&self) -> SocketAddr {
        format!("{}:{FRONTEND_PORT}", self.ip).parse().unwrap()
    }

    /// Returns whether a readiness check gets 200.
    pub fn is_ready(&self) -> bool {
        let addr: SocketAddr = format!("{}:{READINESS_PORT}", self.ip).parse().unwrap();
        let Ok(mut stream) = TcpStream::connect_timeout(&addr, Duration::from_millis(500)) else {
            return false;
        };
        let _set = stream.set_read_timeout(Some(Duration::from_millis(500)));
        let request = b"GET /-/readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
        let mut answer = [0; 12];
        stream.write_all(request).is_ok()
            && stream.read_exact(&mut answer).is_ok()
            && answer.ends_with(b"200")
    }

    pub fn wait_until_ready(&self, limit: Duration) -> bool {
        let until = Instant::now() + limit;
        while Instant::now() < until {
            if self.is_ready() {
                return true;
            }
            std::thread::sleep(Duration::from_millis(20));
        }
        false
    }

    pub fn has_ended(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(Some(_)))
    }
}

impl Drop for Entry {
    fn drop(&mut self) {
        // Both fail only if the process has ended.
        let _killed = self.child.kill();
        let _waited = self.child.wait();
    }
}

fn spawn(program: &Path, folder: &Path, name: &str) -> std::io::Result<Child> {
    let log = folder.join(format!("{name}.log"));
    let log = File::options().create(true).append(true).open(log)?;
    let mut command = Command::new(program);
    // SAFETY: prctl is safe to call between fork and exec, and gets numbers alone.
    unsafe {
        command.pre_exec(|| {
            prctl(PR_SET_PDEATHSIG, SIGKILL);
            Ok(())
        });
    }
    command
        .env(
            "EELGRASSRAMP_NODE_FILE",
            folder.join(format!("{name}.conf")),
        )
        .stdin(Stdio::null())
        .stdout(log.try_clone()?)
        .stderr(log)
        .spawn()
}

/// Returns a loopback address on which all ports of an entry are free.
fn free_ip() -> String {
    use std::sync::atomic::{AtomicU32, Ordering};
    static NEXT: AtomicU32 = AtomicU32::new(0);
    loop {
        let n = NEXT.fetch_add(1, Ordering::Relaxed) + std::process::id() * 16;
        let ip = format!(
            "127.{}.{}.{}",
            20 + n / 50_000 % 200,
            n / 200 % 250,
            10 + n % 200
        );
        let ports = [
            FRONTEND_PORT,
            READINESS_PORT,
            FIRST_INTERNAL_PORT,
            FIRST_INTERNAL_PORT + 1,
        ];
        let are_free = ports
            .iter()
            .all(|port| TcpListener::bind(format!("{ip}:{port}")).is_ok());
        if are_free {
            return ip;
        }
    }
}

fn settings(ip: &str, name: &str, zone: &str, store: SocketAddr) -> String {
    format!(
        "nodeName={name}\nrole=entry\nmachineClass=edge\nserves=edge\nip={ip}\nzone={zone}\n\
         region=r\nzones.zone-a=r\nzones.zone-b=r\nzones.zone-c=r\n\
         listen.frontend={ip}:{FRONTEND_PORT}\nlisten.readiness={ip}:{READINESS_PORT}\n\
         internalPorts={FIRST_INTERNAL_PORT},7615\nseeds=\nbootstrap=true\ncountsAsLoss=false\n\
         limits.cpuShare=0.19\nlimits.cpuCores=1\nlimits.memoryMb=260\nlimits.maxFds=4100\n\
         limits.linkMbps=1000.0\nlimits.diskMb=0\ndiscovery=platform\nentry=vip\n\
         heartbeatMs=1200\n\
         contracts=base,drain,config,cost,retry,recover,engine,stream,tenants,quota,rollout,platform\n\
         faultTolerance.machines=1\nfaultTolerance.zones=0\nfaultTolerance.regions=0\n\
         bounds.seedLagS=3\nbounds.reuseAfterS=2\nbounds.contactMs=3000\nbounds.ackMs=4000\n\
         bounds.catchUpS=4\nbounds.drainMs=2000\nbounds.graceS=8\nbounds.lossSlackMs=200\n\
         bounds.configApplyMs=2000\nbounds.rollbackSlackMs=250\nbounds.outerBoundMs=5000\n\
         bounds.strictRevocation=false\nbounds.revokeMs=5000\nbounds.retryBudgetRatio=0.2\n\
         bounds.budgetWindowS=10\nbounds.retryBudgetSlack=54\nbounds.quotaWindowS=8\n\
         bounds.quotaOverrun=0.1\nbounds.quotaSlack=190000\nbounds.exposureShare=0.1\n\
         bounds.exposureSlack=50\nbounds.rollbackMs=5000\nbounds.recoveryS=12\n\
         bounds.passMs=120\nbounds.retryAfterS=10\nplatform.address={store}\n\
         platform.form=objects\nplatform.writesPerS=400\nplatform.readsPerS=2000\n\
         platform.historyS=20\nplatform.valueBytes=1048576\nplatform.ttlMinMs=1000\n"
    )
}
